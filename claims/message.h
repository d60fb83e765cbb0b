/// Messages between the claim services of entry VMs. Each is one-way; any may be lost, delayed or doubled.
#pragma once

#include <optional>
#include <string>
#include <tuple>
#include <type_traits>
#include <variant>
#include <vector>

#include "claims/view.h"

namespace coriandermount::claims {

/// One attempt of one VM to run a job: the VM is its runner. Never used again once given up.
struct attempt_ref {
    vm_ref runner;
    std::uint64_t number = 0;

    bool sameAttempt(const attempt_ref& other) const { return number == other.number && runner.sameIncarnation(other.runner); }

    friend bool operator==(const attempt_ref&, const attempt_ref&) = default;
};

/// What a voter remembers about a key.
struct claim_record {
    attempt_ref holder;
    std::uint64_t contentDigest = 0;

    friend bool operator==(const claim_record&, const claim_record&) = default;
};

/// Tells which views the sender knows and which it serves; also the heartbeat.
struct hello {
    vm_ref from;
    std::string rack;
    failure_domain_id domain;
    /// Newest view that the sender knows; it votes in no older one.
    std::uint64_t promisedView = 0;
    /// View that the sender votes in; all older ones are closed.
    std::uint64_t activatedView = 0;
    std::vector<claim_view> views;
    bool wantsReply = false;
};

/// Runner to owner: claim a key.
struct claim_call {
    job_key key;
    claim_record record;
    /// Attempts known to be given up; their votes may be replaced.
    std::vector<attempt_ref> givenUp;
    bool forwarded = false;
};

enum class claim_status {
    granted,
    /// Another attempt was recorded first.
    held,
    /// A closed view can't be read any more, so an earlier grant can't be ruled out.
    indeterminate,
};

struct claim_reply {
    job_key key;
    attempt_ref attempt;
    claim_status status = claim_status::held;
    std::uint64_t epoch = 0;
    std::optional<claim_record> holder;
};

/// Owner to voter: record a claim unless another is recorded.
struct vote_call {
    vm_ref owner;
    std::uint64_t view = 0;
    job_key key;
    claim_record record;
    std::vector<attempt_ref> givenUp;
};

enum class vote_status { recorded, held, stale };

struct vote_reply {
    vm_ref from;
    std::uint64_t view = 0;
    job_key key;
    attempt_ref attempt;
    vote_status status = vote_status::stale;
    std::optional<claim_record> holder;
};

/// Owner to a member of a closed view: tell what is recorded for a key.
struct lookup_call {
    vm_ref owner;
    std::uint64_t view = 0;
    job_key key;
    attempt_ref attempt;
};

struct lookup_reply {
    vm_ref from;
    std::uint64_t view = 0;
    job_key key;
    attempt_ref attempt;
    std::optional<claim_record> holder;
};

/// Runner to voters: an attempt was given up before anything was started.
struct release_call {
    job_key key;
    attempt_ref attempt;
};

/// Runner of a later submission to the holder: how far is the first one?
struct status_call {
    job_key key;
    attempt_ref holder;
    attempt_ref requester;
};

enum class attempt_status {
    given_up,
    /// Not decided yet; ask again.
    undecided,
    /// Runs; the answer will be sent.
    running,
    answered,
    /// Ended, but the answer is no longer kept.
    answer_dropped,
    /// The VM was started anew since and knows nothing of it.
    lost,
};

struct status_reply {
    job_key key;
    attempt_ref holder;
    attempt_ref requester;
    attempt_status status = attempt_status::undecided;
    /// The encoded answer, for `answered`.
    std::string answer;
};

/// A message of any kind.
using message = std::variant<hello, claim_call, claim_reply, vote_call, vote_reply, lookup_call, lookup_reply, release_call,
    status_call, status_reply>;

/// The fields of a message in the order in which they are sent; `Message` may be const.
template <class Message> auto fieldsOf(Message& value)
{
    using kind = std::remove_const_t<Message>;
    if constexpr (std::is_same_v<kind, hello>)
        return std::tie(
            value.from, value.rack, value.domain, value.promisedView, value.activatedView, value.views, value.wantsReply);
    else if constexpr (std::is_same_v<kind, claim_call>)
        return std::tie(value.key, value.record, value.givenUp, value.forwarded);
    else if constexpr (std::is_same_v<kind, claim_reply>)
        return std::tie(value.key, value.attempt, value.status, value.epoch, value.holder);
    else if constexpr (std::is_same_v<kind, vote_call>)
        return std::tie(value.owner, value.view, value.key, value.record, value.givenUp);
    else if constexpr (std::is_same_v<kind, vote_reply>)
        return std::tie(value.from, value.view, value.key, value.attempt, value.status, value.holder);
    else if constexpr (std::is_same_v<kind, lookup_call>)
        return std::tie(value.owner, value.view, value.key, value.attempt);
    else if constexpr (std::is_same_v<kind, lookup_reply>)
        return std::tie(value.from, value.view, value.key, value.attempt, value.holder);
    else if constexpr (std::is_same_v<kind, release_call>)
        return std::tie(value.key, value.attempt);
    else if constexpr (std::is_same_v<kind, status_call>)
        return std::tie(value.key, value.holder, value.requester);
    else
        return std::tie(value.key, value.holder, value.requester, value.status, value.answer);
}

} // namespace coriandermount::claims
