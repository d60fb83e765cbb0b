/// The dispatcher of one entry VM, built from its settings.
#pragma once

#include <functional>
#include <memory>

#include "core/clock.h"
#include "core/error.h"
#include "peers/peer_link.h"
#include "settings/settings.h"

namespace coriandermount {

/// Replacements for objects of a node, for tests and embedded fleets.
struct node_overrides {
    /// Clock that replaces the system clock, if set; must outlive the node.
    const clock_source* clock = nullptr;
    /// Builds the peer link that the node uses in place of `link`, if set; `link` outlives the result.
    std::function<std::unique_ptr<peers::peer_link>(peers::peer_link& link)> wrapPeerLink;
};

/// Owns the listeners, controllers and state of one entry VM. The destructor stops the node without draining it.
class node {
public:
    explicit node(const settings::values& settings, const node_overrides& overrides = {});
    ~node();

    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /// Starts listeners and controllers. Fails with `settings_invalid` when an address can't be bound.
    result<void> start();

    /// Stops accepting new work, waits for open jobs up to the shutdown limit, and stops. Returns false if jobs were still
    /// unfinished.
    bool shutDown();

    /// Returns the port of the listener for callers.
    std::uint16_t port() const;

    /// Returns the port of the listener for other entry VMs.
    std::uint16_t peerPort() const;

    /// Returns whether the VM can serve: the fleet, the quota shares, and the configuration or its absence are known.
    bool ready() const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount
