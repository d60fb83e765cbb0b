/// The claim protocol of one VM as a deterministic state machine.
#pragma once

#include <memory>

#include "claims/claim_runner.h"
#include "claims/options.h"

namespace coriandermount::claims {

/// The VMs that the claim protocol talks to.
struct fleet_contacts {
    std::vector<peer_address> ownDomain;
    std::vector<domain_contacts> otherDomains;
};

/// Takes inputs one at a time and returns what is to be sent, appended and answered. Holds no clock, thread or socket.
class claim_core {
public:
    claim_core(claim_core_options options, answer_codec codec);
    ~claim_core();

    claim_core(const claim_core&) = delete;
    claim_core& operator=(const claim_core&) = delete;

    outputs submit(const claim_request& request, caller_token token, const input_time& at);
    outputs awaitAnswer(const job_key& key, caller_token token, const input_time& at);
    outputs finish(const job_answer& answer, const input_time& at);
    outputs release(const job_answer& answer, const input_time& at);
    outputs receive(const message& received, const input_time& at);
    outputs applyLogRecords(const std::vector<claim_view>& views, bool complete, time_point sentAt, const input_time& at);
    outputs tick(const input_time& at);

    void setFleet(fleet_contacts contacts);

    /// Returns a new job name: claimed by the quorum of the view, or by this VM alone while it serves in no view.
    std::string issueId(const input_time& at);

    bool serving(const input_time& at) const;
    const claim_view* newestView() const;
    std::size_t records() const;
    std::size_t answerBytes() const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::claims
