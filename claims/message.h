/// Messages between the claim services of entry VMs. Each message is one-way and may be lost, delayed or duplicated.
#pragma once

#include <optional>
#include <string>
#include <tuple>
#include <type_traits>
#include <variant>
#include <vector>

#include "claims/view.h"

namespace coriandermount::claims {

/// Identifies one attempt to run a job, made by the VM `runner`. The number of an attempt that was given up is never reused.
struct attempt_ref {
    vm_ref runner;
    std::uint64_t number = 0;

    bool sameAttempt(const attempt_ref& other) const { return number == other.number && runner.sameIncarnation(other.runner); }

    friend bool operator==(const attempt_ref&, const attempt_ref&) = default;
};

/// Claim that a voter has recorded for a key.
struct claim_record {
    attempt_ref holder;
    std::uint64_t contentDigest = 0;

    friend bool operator==(const claim_record&, const claim_record&) = default;
};

/// Heartbeat between the VMs of a failure domain. Announces the views that the sender knows and votes in.
struct view_heartbeat {
    vm_ref from;
    std::string rack;
    failure_domain_id domain;
    /// Newest view that the sender knows; the sender votes in no older view.
    std::uint64_t promisedView = 0;
    /// View that the sender votes in; all older views are closed. 0 when the sender votes in none.
    std::uint64_t activatedView = 0;
    /// Views that the receiver may not know yet.
    std::vector<claim_view> views;
    bool wantsReply = false;
};

/// Claims a key; sent by the runner to a coordinator.
struct claim_call {
    job_key key;
    claim_record record;
    /// Attempts known to be given up; votes recorded for them may be replaced.
    std::vector<attempt_ref> givenUp;
    /// A forwarded claim is not forwarded again.
    bool forwarded = false;
};

/// Outcome of a claim.
enum class claim_status {
    granted,
    /// Another attempt holds the key.
    held,
    /// A closed view can no longer be read, so an earlier grant can't be ruled out.
    indeterminate,
};

/// Outcome of a claim; sent by the coordinator to the runner.
struct claim_reply {
    job_key key;
    attempt_ref attempt;
    claim_status status = claim_status::held;
    std::uint64_t epoch = 0;
    std::optional<claim_record> holder;
};

/// Requests that a voter records a claim unless another attempt holds the key; sent by the coordinator.
struct vote_call {
    vm_ref coordinator;
    std::uint64_t view = 0;
    job_key key;
    claim_record record;
    std::vector<attempt_ref> givenUp;
};

/// Outcome of a vote; `stale` means that the voter does not vote in that view or refuses the key.
enum class vote_status { recorded, held, stale };

/// Reply of a voter to a `vote_call`.
struct vote_reply {
    vm_ref from;
    std::uint64_t view = 0;
    job_key key;
    attempt_ref attempt;
    vote_status status = vote_status::stale;
    std::optional<claim_record> holder;
};

/// Asks a member of a closed view for the record of a key; sent by the coordinator.
struct lookup_call {
    vm_ref coordinator;
    std::uint64_t view = 0;
    job_key key;
    attempt_ref attempt;
};

/// Reply of a member of a closed view to a `lookup_call`; `holder` is empty when no claim is recorded.
struct lookup_reply {
    vm_ref from;
    std::uint64_t view = 0;
    job_key key;
    attempt_ref attempt;
    std::optional<claim_record> holder;
};

/// Withdraws an attempt that was given up before any task was started; sent by the runner to all voters.
struct release_call {
    job_key key;
    attempt_ref attempt;
};

/// Asks the VM that holds a key for the status of its attempt; sent by the runner of a resubmission.
struct status_call {
    job_key key;
    attempt_ref holder;
    attempt_ref requester;
};

/// Status of the attempt that holds a key.
enum class attempt_status {
    given_up,
    /// The claim is not decided yet; the requester has to ask again.
    undecided,
    /// The job is running; its answer is sent when the job ends.
    running,
    answered,
    /// The job has ended and its answer is no longer kept.
    answer_dropped,
    /// The VM has restarted since and has no record of the attempt.
    lost,
};

/// Reply of the VM that holds a key to a `status_call`; sent again when a running job ends.
struct status_reply {
    job_key key;
    attempt_ref holder;
    attempt_ref requester;
    attempt_status status = attempt_status::undecided;
    /// Encoded answer of the job; set for `answered` only.
    std::string answer;
};

/// A message of any kind.
using message = std::variant<view_heartbeat, claim_call, claim_reply, vote_call, vote_reply, lookup_call, lookup_reply,
    release_call, status_call, status_reply>;

/// Returns references to the fields of a message in the order of the wire format. `Message` may be const.
template <class Message> auto fieldsOf(Message& value)
{
    using kind = std::remove_const_t<Message>;
    if constexpr (std::is_same_v<kind, view_heartbeat>)
        return std::tie(
            value.from, value.rack, value.domain, value.promisedView, value.activatedView, value.views, value.wantsReply);
    else if constexpr (std::is_same_v<kind, claim_call>)
        return std::tie(value.key, value.record, value.givenUp, value.forwarded);
    else if constexpr (std::is_same_v<kind, claim_reply>)
        return std::tie(value.key, value.attempt, value.status, value.epoch, value.holder);
    else if constexpr (std::is_same_v<kind, vote_call>)
        return std::tie(value.coordinator, value.view, value.key, value.record, value.givenUp);
    else if constexpr (std::is_same_v<kind, vote_reply>)
        return std::tie(value.from, value.view, value.key, value.attempt, value.status, value.holder);
    else if constexpr (std::is_same_v<kind, lookup_call>)
        return std::tie(value.coordinator, value.view, value.key, value.attempt);
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
