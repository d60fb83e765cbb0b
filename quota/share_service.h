/// Runs the share controller on a thread, carries its messages to the peers and publishes the shares.
#pragma once

#include <functional>
#include <memory>

#include "blackboard/blackboard.h"
#include "core/clock.h"
#include "peers/peer_link.h"
#include "quota/share_controller.h"

namespace coriandermount::quota {

/// What the service works with; everything outlives it.
struct share_service_dependencies {
    const clock_source& clock;
    peers::peer_link& link;
    peers::peer_service& service;
    blackboard& board;
};

class share_service {
public:
    using listener = std::function<void(std::shared_ptr<const share_snapshot>)>;

    /// Registers its methods with the peer service; `changed` gets every snapshot after it was published.
    share_service(share_service_dependencies parts, lease_times times, listener changed);
    ~share_service();

    share_service(const share_service&) = delete;
    share_service& operator=(const share_service&) = delete;

    void start();

    /// Ends the thread; called before the link's client is destroyed.
    void stop();

    /// Whether this VM holds a lease, so that it may start tasks.
    bool ready() const;

private:
    struct data;
    std::shared_ptr<data> m_data;
};

} // namespace coriandermount::quota
