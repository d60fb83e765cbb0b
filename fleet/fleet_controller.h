/// Runs the membership protocol of one VM and publishes the fleet view and the worker table on the blackboard.
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

/// Objects that the controller uses. All of them must outlive the controller.
struct fleet_dependencies {
    const clock_source& clock;
    peers::peer_link& link;
    peers::peer_service& service;
    platform::vm_list& vmList;
    blackboard& board;
    event_log::event_sink& journal;
    metrics::registry& metrics;
};

/// Callbacks of the controller, which are called on its own threads. A callback never runs concurrently with itself.
struct fleet_listener {
    /// Called after a changed worker table was published on the blackboard.
    std::function<void()> onWorkersChanged = [] {};
    /// Called once when this VM becomes leaving: through a peer, the platform's list, an operator or `leave`.
    std::function<void()> onMarkedLeaving = [] {};
    /// Called with the revision and the address of a peer whose configuration differs and is not older. Called again for each
    /// message until the revision of this VM matches.
    std::function<void(const configuration_revision&, const std::string& peerAddress)> onConfigurationMismatch
        = [](const configuration_revision&, const std::string&) {};
    /// Returns true once the other subsystems are ready to serve requests. The VM is not reported as ready before.
    std::function<bool()> otherSubsystemsReady = [] { return true; };
};

/// Options of `fleet_controller`.
struct fleet_controller_options {
    membership_options membership;
    /// Time between two requests for the platform's list.
    std::chrono::milliseconds listInterval { 500 };
    /// Time for which workers are kept that disappear from the platform's list together with more than half of all workers.
    std::chrono::milliseconds shrinkGracePeriod { 60000 };
};

/// Connects the membership protocol to the network, the platform's list, the journal and the blackboard. `leave`, `drain` and
/// `setConfiguration` may be called from any thread.
class fleet_controller {
public:
    /// Registers the RPC methods of the fleet with the peer service.
    fleet_controller(fleet_dependencies dependencies, fleet_controller_options options, fleet_listener listener);
    /// Calls `stop`.
    ~fleet_controller();

    fleet_controller(const fleet_controller&) = delete;
    fleet_controller& operator=(const fleet_controller&) = delete;

    /// Starts the protocol thread. `peerPort` is the port of the peer listener; it is appended to an advertised address without a
    /// port.
    void start(std::uint16_t peerPort);

    /// Stops the protocol thread and waits for it to end. Must be called before the client of the peer link is destroyed.
    void stop();

    /// Announces to all members that this VM accepts no new work, and waits up to 500 ms for their acknowledgements.
    void leave();

    /// Marks a member of this domain as leaving. Fails with `not_found` if the member is not known.
    result<void> drain(const vm_id& vm);

    /// Sets the revision of this VM's configuration, which is sent to peers with each message.
    void setConfiguration(const configuration_revision& revision);

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::fleet
