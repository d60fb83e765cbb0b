/// Claims the keys of jobs that were submitted to this VM, and keeps the answers of jobs that have ended.
#pragma once

#include <deque>
#include <set>
#include <unordered_map>

#include "claims/record_table.h"
#include "claims/view_tracker.h"

namespace coriandermount::claims {

/// Addresses of the VMs of another failure domain that claims can be sent to.
struct domain_contacts {
    failure_domain_id domain;
    std::vector<std::string> addresses;
};

/// Part of the claim state machine that acts for the VM that received a submission, the runner of the job. Not thread-safe;
/// the options and the view tracker must outlive it.
class claim_runner {
public:
    claim_runner(const claim_core_options& options, const view_tracker& views, answer_codec codec);

    void setContacts(std::vector<domain_contacts> contacts) { m_contacts = std::move(contacts); }

    /// Claims the key of a submission, or waits for the answer when this VM already knows the key.
    void submit(const claim_request& request, caller_token token, const input_time& at, outputs& out);
    /// Waits for the answer of a key. The decision fails with `job_unknown` when no claim is known.
    void awaitAnswer(const job_key& key, caller_token token, outputs& out);
    /// Keeps the answer of a granted claim and sends it to the callers and VMs that wait for it.
    void finish(const job_answer& answer, outputs& out);
    /// Gives up a granted claim of which no task was started. Waiting callers get `answer`.
    void release(const job_answer& answer, outputs& out);

    void handle(const claim_reply& reply, const input_time& at, outputs& out);
    void handle(const status_call& call, outputs& out);
    void handle(const status_reply& reply, const input_time& at, outputs& out);
    /// Sends calls again, fails attempts that timed out, and erases expired answers.
    void tick(const input_time& at, outputs& out);

    /// Returns the number of attempts that wait for a decision or for the answer of another VM.
    std::size_t openAttempts() const { return m_open.size(); }
    /// Returns the memory that the kept answers use, in bytes.
    std::size_t answerBytes() const { return m_answerBytes; }

private:
    enum class attempt_state {
        claiming,
        /// Another VM holds the key, and this VM waits for its answer.
        following,
        granted,
    };

    struct attempt {
        attempt_ref ref;
        std::uint64_t contentDigest = 0;
        attempt_state state = attempt_state::claiming;
        /// Callers that wait for a decision. The first one gets the grant, the others get the answer.
        std::vector<caller_token> waiting;
        std::vector<attempt_ref> givenUp;
        attempt_ref followedAttempt;
        unsigned tries = 0;
        time_point deadline {};
        time_point nextSend {};
        time_point lastReplyAt {};
        /// Calls of the VMs to which the answer is sent.
        std::vector<status_call> followers;
    };

    struct kept_answer {
        job_answer answer;
        std::size_t bytes = 0;
    };

    std::optional<error> checkIssueTime(const job_key& key, bool known, wall_time wall) const;
    std::vector<std::string> candidates(const job_key& key, const input_time& at) const;
    void sendClaim(const job_key& key, attempt& current, const input_time& at, outputs& out) const;
    void sendStatus(const job_key& key, attempt& current, const input_time& at, outputs& out) const;
    void follow(const job_key& key, attempt& current, const claim_record& holder, const input_time& at, outputs& out);
    void retryClaim(const job_key& key, attempt& current, const input_time& at, outputs& out);
    void fail(const job_key& key, const error& problem, outputs& out);
    void resolve(const attempt& current, const job_answer& answer, outputs& out) const;
    void notifyFollowers(const attempt& current, attempt_status status, const std::string& answer, outputs& out) const;
    status_reply statusOf(const status_call& call) const;
    void keepAnswer(const job_answer& answer);
    void resolveEnded(const job_key& key, caller_token token, outputs& out) const;
    void eraseExpired(const input_time& at);

    const claim_core_options& m_options;
    const view_tracker& m_views;
    answer_codec m_codec;
    std::vector<domain_contacts> m_contacts;
    std::unordered_map<job_key, attempt> m_attempts;
    /// Attempts of this VM whose jobs have ended; also those whose answers are no longer kept.
    record_table m_ended;
    std::unordered_map<job_key, kept_answer> m_answers;
    /// Keys of the attempts in the states `claiming` and `following`.
    std::set<job_key> m_open;
    /// Keys of the kept answers, oldest first.
    std::deque<job_key> m_answerOrder;
    std::size_t m_answerBytes = 0;
    std::uint64_t m_nextNumber = 1;
    time_point m_nextSweep {};
};

} // namespace coriandermount::claims
