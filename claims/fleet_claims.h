/// Claim service that is distributed over the entry VMs of the fleet.
#pragma once

#include <memory>

#include "blackboard/blackboard.h"
#include "claims/claim_service.h"
#include "claims/options.h"
#include "core/clock.h"
#include "peers/peer_link.h"
#include "platform/log.h"

namespace coriandermount::claims {

/// Objects that the claim service uses. All of them must outlive the service.
struct fleet_claims_dependencies {
    const clock_source& clock;
    blackboard& board;
    peers::peer_link& link;
    platform::log& log;
};

/// Runs the claim state machine on a thread of its own: transports its messages, reads and appends claim views in the log,
/// and calls the waiting callers back. Thread-safe apart from `start` and `stop`.
class fleet_claims final : public claim_service {
public:
    fleet_claims(fleet_claims_dependencies dependencies, claim_core_options options, answer_codec codec);
    ~fleet_claims() override;

    /// Registers the RPC method of claims. Must be called before the peer listener starts.
    void registerMethods(peers::peer_service& service);

    /// Starts the service. `peerAddress` is the address at which other VMs reach this VM.
    void start(const std::string& peerAddress);

    /// Stops the service and joins its thread. Must be called before the clients of the peer link and the log are destroyed.
    void stop();

    void claim(const claim_request& request, completion done) override;
    void finish(const job_answer& answer) override;
    void release(const job_answer& answer) override;
    void awaitAnswer(const job_key& key, answer_completion done) override;
    std::vector<std::string> issueIds(std::size_t count) override;

    /// Returns whether this VM may coordinate claims and vote in its failure domain.
    bool serving() const;

private:
    struct data;
    std::shared_ptr<data> m_data;
};

} // namespace coriandermount::claims
