/// Runs the membership protocol of one VM and publishes the fleet and the workers on the blackboard.
#pragma once

#include <functional>
#include <memory>

#include "blackboard/blackboard.h"
#include "core/clock.h"
#include "event_log/journal.h"
#include "fleet/membership.h"
#include "metrics/metrics.h"
#include "peers/peer_link.h"
#include "platform/vm_list.h"

namespace coriandermount::fleet {

/// What the controller works with; everything outlives it.
struct fleet_dependencies {
    const clock_source& clock;
    peers::peer_link& link;
    peers::peer_service& service;
    platform::vm_list& vmList;
    blackboard& board;
    event_log::event_sink& journal;
    metrics::registry& metrics;
};

/// What the controller tells others; called on its own threads, never at the same time as itself.
struct fleet_listener {
    std::function<void()> onWorkersChanged = [] {};
    /// A peer, the list or an operator took this VM out of service.
    std::function<void()> onMarkedLeaving = [] {};
    /// A peer has another configuration; called again with each message until this VM's mark changes.
    std::function<void(const configuration_revision&, const std::string& peerAddress)> onConfigurationMismatch
        = [](const configuration_revision&, const std::string&) {};
    /// Whether everything else that the VM needs before it serves has been learned.
    std::function<bool()> otherSubsystemsReady = [] { return true; };
};

struct fleet_controller_options {
    membership_options membership;
    std::chrono::milliseconds listInterval { 500 };
    /// How long workers are kept that vanish from the list together with most others.
    std::chrono::milliseconds shrinkGracePeriod { 60000 };
};

class fleet_controller {
public:
    /// Registers its methods with the peer service.
    fleet_controller(fleet_dependencies dependencies, fleet_controller_options options, fleet_listener listener);
    ~fleet_controller();

    fleet_controller(const fleet_controller&) = delete;
    fleet_controller& operator=(const fleet_controller&) = delete;

    /// Starts the protocol; `peerPort` is the port that the peer listener got.
    void start(std::uint16_t peerPort);

    /// Ends the protocol; called before the link's client is destroyed.
    void stop();

    /// Tells all members that this VM takes no new work, and waits a moment for them to acknowledge it.
    void leave();

    /// Takes a member of this domain out of service; fails with `not_found` when it is not known.
    result<void> drain(const vm_id& vm);

    /// Sets the configuration that this VM tells its peers.
    void setConfiguration(const configuration_revision& revision);

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::fleet
