/// TCP relay between the processes of a test. It simulates network partitions by holding back the traffic of blocked links.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/error.h"

namespace coriandermount::standins {

/// Address that the relay listens on, and the address to which it forwards connections.
struct relay_route {
    std::string listenAddress;
    std::uint16_t listenPort = 0;
    std::string targetAddress;
    std::uint16_t targetPort = 0;
};

/// Forwards bytes on one thread of its own. Traffic of a blocked link is delivered after the link has been unblocked, as by TCP
/// retransmission after a partition.
class relay {
public:
    explicit relay(std::vector<relay_route> routes);
    ~relay();

    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;

    /// Starts listening. Fails with `settings_invalid` if an address can't be bound.
    result<void> start();
    /// Closes all connections and stops listening.
    void stop();

    /// Holds back the traffic of connections from the source address `from` to the listening address `to`, in both directions.
    /// Any thread may call this.
    void blockLink(const std::string& from, const std::string& to);

    /// Unblocks all links. Any thread may call this.
    void heal();

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::standins
