/// Claim service over the entry VMs of the fleet.
#pragma once

#include <memory>

#include "blackboard/blackboard.h"
#include "claims/claim_service.h"
#include "claims/options.h"
#include "core/clock.h"
#include "peers/peer_link.h"
#include "platform/log.h"

namespace coriandermount::claims {

/// What the service works with; everything outlives it.
struct fleet_claims_dependencies {
    const clock_source& clock;
    blackboard& board;
    peers::peer_link& link;
    platform::log& log;
};

/// Runs the claim state machine: carries its messages, reads and appends the views in the log, and calls back.
class fleet_claims final : public claim_service {
public:
    fleet_claims(fleet_claims_dependencies parts, claim_core_options options, answer_codec codec);
    ~fleet_claims() override;

    /// Registers the peer method; called before the peer listener starts.
    void registerMethods(peers::peer_service& service);

    /// Starts with the address at which peers reach this VM.
    void start(const std::string& peerAddress);

    /// Ends the thread; called before the peer link's and the log's client are destroyed.
    void stop();

    void claim(const claim_request& request, completion done) override;
    void finish(const job_answer& answer) override;
    void release(const job_answer& answer) override;
    void awaitAnswer(const job_key& key, answer_completion done) override;
    std::vector<std::string> issueNames(std::size_t count) override;

    /// Whether this VM grants claims of its failure domain.
    bool serving() const;

private:
    struct data;
    std::shared_ptr<data> m_data;
};

} // namespace coriandermount::claims
