/// Decides whether a submission is the first with its key.
#pragma once

#include <functional>
#include <optional>

#include "core/job.h"

namespace coriandermount::claims {

struct claim_request {
    job_key key;
    std::uint64_t contentDigest = 0;
    bool idempotent = false;
};

/// Verdict on a claim.
struct claim_decision {
    /// Nothing was set for the first submission, which has to be run; a resubmission gets the first one's answer.
    std::optional<job_answer> answer;
    /// Fencing epoch under which tasks of a granted claim are started.
    std::uint64_t epoch = 0;

    bool granted() const { return !answer.has_value(); }
};

/// Grants each job key at most once.
class claim_service {
public:
    virtual ~claim_service() = default;

    using completion = std::function<void(result<claim_decision>)>;
    using answer_completion = std::function<void(result<job_answer>)>;

    /// Claims a key. `done` is called once: at once or later, on any thread. While the first submission runs, a
    /// resubmission's `done` is called when that one ends. Fails with `job_conflict`, `job_id_expired`,
    /// `job_id_from_future`, `claim_owner_lost`, `home_unreachable` or `answer_dropped`.
    virtual void claim(const claim_request& request, completion done) = 0;

    /// Keeps the answer of a granted claim and hands it to those who wait for it.
    virtual void finish(const job_answer& answer) = 0;

    /// Gives a granted claim back; only for a job of which nothing was started. Waiting resubmissions get `answer`.
    virtual void release(const job_answer& answer) = 0;

    /// Waits for the answer of a key. Fails with `job_unknown` when no claim is known.
    virtual void awaitAnswer(const job_key& key, answer_completion done) = 0;

    /// Issues job names that no other submission has. A name keeps its home failure domain; see docs/design/claims.md.
    virtual std::vector<std::string> issueNames(std::size_t count) = 0;
};

} // namespace coriandermount::claims
