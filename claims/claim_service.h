/// Interface that decides whether a submission is the first one with its job key.
#pragma once

#include <functional>
#include <optional>

#include "core/job.h"

namespace coriandermount::claims {

/// Key of a submission, with the digest by which different content under the same key is detected.
struct claim_request {
    job_key key;
    std::uint64_t contentDigest = 0;
    bool idempotent = false;
};

/// Decision on a claim.
struct claim_decision {
    /// Answer of the first submission. Empty when the claim was granted and the caller has to run the job.
    std::optional<job_answer> answer;
    /// Fencing epoch with which the tasks of a granted claim are started.
    std::uint64_t epoch = 0;

    bool granted() const { return !answer.has_value(); }
};

/// Grants each job key at most once. All functions may be called on any thread.
class claim_service {
public:
    virtual ~claim_service() = default;

    using completion = std::function<void(result<claim_decision>)>;
    using answer_completion = std::function<void(result<job_answer>)>;

    /// Claims a key. `done` is called once, on any thread, possibly before `claim` returns. For a resubmission of a running
    /// job, `done` is called when the job ends. Fails with `job_conflict`, `job_id_expired`, `job_id_from_future`,
    /// `claim_owner_lost`, `home_unreachable`, `answer_dropped` or `shutting_down`.
    virtual void claim(const claim_request& request, completion done) = 0;

    /// Keeps the answer of a granted claim and sends it to all callers that wait for it.
    virtual void finish(const job_answer& answer) = 0;

    /// Gives up a granted claim. Only allowed for a job of which no task was started. Resubmissions that wait on this VM get
    /// `answer`.
    virtual void release(const job_answer& answer) = 0;

    /// Waits for the answer of a key. `done` is called as in `claim`. Fails with `job_unknown` when no claim is known, and
    /// with the errors of `claim`.
    virtual void awaitAnswer(const job_key& key, answer_completion done) = 0;

    /// Returns `count` new job ids that no other submission has. The home failure domain of such an id never changes; see
    /// docs/design/claims.md.
    virtual std::vector<std::string> issueIds(std::size_t count) = 0;
};

} // namespace coriandermount::claims
