/// Runs the share controller on a thread, exchanges its messages with peers and publishes the share snapshots.
#pragma once

#include <functional>
#include <memory>

#include "blackboard/blackboard.h"
#include "core/clock.h"
#include "peers/peer_link.h"
#include "quota/share_controller.h"

namespace coriandermount::quota {

/// Objects that the service uses; they must outlive it.
struct share_service_dependencies {
    const clock_source& clock;
    peers::peer_link& link;
    peers::peer_service& service;
    blackboard& board;
};

/// Connects a `share_controller` to the clock, the peers and the blackboard of this VM. `ready` may be called from any thread.
class share_service {
public:
    using listener = std::function<void(std::shared_ptr<const share_snapshot>)>;

    /// Registers the RPC methods of the service. `onPublished` is called with every snapshot after it was published, on the
    /// service's thread; `start` calls it once with an empty snapshot that is not published.
    share_service(share_service_dependencies dependencies, lease_times times, listener onPublished);
    ~share_service();

    share_service(const share_service&) = delete;
    share_service& operator=(const share_service&) = delete;

    /// Starts the thread.
    void start();

    /// Stops the thread and completes the pending RPCs with empty replies. Must be called before the client of the peer link is
    /// destroyed.
    void stop();

    /// Returns whether this VM holds a lease and may start tasks.
    bool ready() const;

private:
    struct data;
    std::shared_ptr<data> m_data;
};

} // namespace coriandermount::quota
