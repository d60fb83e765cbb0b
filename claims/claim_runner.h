/// Follows the jobs that this VM was asked to run, from submission to the kept answer.
#pragma once

#include <deque>
#include <set>
#include <unordered_map>

#include "claims/record_table.h"
#include "claims/view_tracker.h"

namespace coriandermount::claims {

/// VMs of another failure domain that a claim can be sent to.
struct domain_contacts {
    failure_domain_id domain;
    std::vector<std::string> addresses;
};

/// Part of the claim state machine that stands for the VM which received a submission.
class claim_runner {
public:
    claim_runner(const claim_core_options& options, const view_tracker& views, answer_codec codec);

    void setContacts(std::vector<domain_contacts> contacts) { m_contacts = std::move(contacts); }

    void submit(const claim_request& request, caller_token token, const input_time& at, outputs& out);
    void awaitAnswer(const job_key& key, caller_token token, outputs& out);
    void finish(const job_answer& answer, outputs& out);
    void release(const job_answer& answer, outputs& out);

    void handle(const claim_reply& reply, const input_time& at, outputs& out);
    void handle(const status_call& call, outputs& out);
    void handle(const status_reply& reply, const input_time& at, outputs& out);
    void tick(const input_time& at, outputs& out);

    std::size_t openAttempts() const { return m_open.size(); }
    std::size_t answerBytes() const { return m_answerBytes; }

private:
    enum class attempt_state {
        claiming,
        /// Another VM holds the key; its answer is awaited.
        following,
        granted,
    };

    struct attempt {
        attempt_ref ref;
        std::uint64_t contentDigest = 0;
        attempt_state state = attempt_state::claiming;
        /// Callers that wait; the first one is told of a grant.
        std::vector<caller_token> waiting;
        std::vector<attempt_ref> givenUp;
        attempt_ref followed;
        unsigned tries = 0;
        time_point deadline {};
        time_point nextSend {};
        time_point lastHeard {};
        /// Requests of other VMs for the answer.
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
    void claimAgain(const job_key& key, attempt& current, const input_time& at, outputs& out);
    void fail(const job_key& key, const error& problem, outputs& out);
    void resolve(const attempt& current, const job_answer& answer, outputs& out) const;
    void tellFollowers(const attempt& current, attempt_status status, const std::string& answer, outputs& out) const;
    status_reply statusOf(const status_call& call) const;
    void keep(const job_answer& answer);
    void tellEnded(const job_key& key, caller_token token, outputs& out) const;
    void forgetExpired(const input_time& at);

    const claim_core_options& m_options;
    const view_tracker& m_views;
    answer_codec m_codec;
    std::vector<domain_contacts> m_contacts;
    std::unordered_map<job_key, attempt> m_attempts;
    /// Jobs of this VM that ended, with or without their answer.
    record_table m_ended;
    std::unordered_map<job_key, kept_answer> m_answers;
    /// Keys that claim or follow.
    std::set<job_key> m_open;
    std::deque<job_key> m_answerOrder;
    std::size_t m_answerBytes = 0;
    std::uint64_t m_nextNumber = 1;
    time_point m_nextSweep {};
};

} // namespace coriandermount::claims
