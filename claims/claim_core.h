/// The claim protocol of one VM as a deterministic state machine.
#pragma once

#include <memory>

#include "claims/claim_runner.h"
#include "claims/options.h"

namespace coriandermount::claims {

/// Addresses of the VMs that take part in the claim protocol, by failure domain.
struct fleet_contacts {
    std::vector<peer_address> ownDomain;
    std::vector<domain_contacts> otherDomains;
};

/// Processes one input at a time and returns the actions to carry out: messages, log records and decisions. Has no clock,
/// thread or socket of its own; not thread-safe.
class claim_core {
public:
    claim_core(claim_core_options options, answer_codec codec);
    ~claim_core();

    claim_core(const claim_core&) = delete;
    claim_core& operator=(const claim_core&) = delete;

    /// Claims the key of a submission. The decision carries `token`.
    outputs submit(const claim_request& request, caller_token token, const input_time& at);

    /// Waits for the answer of a key. The decision fails with `job_unknown` when no claim is known.
    outputs awaitAnswer(const job_key& key, caller_token token, const input_time& at);

    /// Keeps the answer of a granted claim and sends it to the VMs and callers that wait for it.
    outputs finish(const job_answer& answer, const input_time& at);

    /// Gives up a granted claim of which no task was started.
    outputs release(const job_answer& answer, const input_time& at);

    /// Processes a message of another VM.
    outputs receive(const message& received, const input_time& at);

    /// Applies the views of a log read that was sent at `sentAt`. `complete` says that the log has lost no earlier record.
    outputs applyLogRecords(const std::vector<claim_view>& views, bool complete, time_point sentAt, const input_time& at);

    /// Sends heartbeats and retries, and ends what has timed out; called periodically.
    outputs tick(const input_time& at);

    /// Replaces the addresses of the other VMs.
    void setFleet(fleet_contacts contacts);

    /// Returns a new job id. Claims on the id need a quorum of the view, or this VM alone if it votes in no view.
    std::string issueId(const input_time& at);

    /// Returns whether this VM may coordinate claims and vote.
    bool serving(const input_time& at) const;

    /// Returns the newest known view; null when none is known.
    const claim_view* newestView() const;

    /// Returns the number of recorded claims.
    std::size_t records() const;

    /// Returns the memory that the kept answers use, in bytes.
    std::size_t answerBytes() const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::claims
