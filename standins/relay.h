/// TCP relay between processes that can hold back all traffic of chosen pairs, as a cut network does.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/error.h"

namespace coriandermount::standins {

/// One address that is relayed to another.
struct relay_route {
    std::string listenAddress;
    std::uint16_t listenPort = 0;
    std::string targetAddress;
    std::uint16_t targetPort = 0;
};

/// Forwards bytes on one thread. Traffic that is held back is delivered after the cut has ended, as TCP would do.
class relay {
public:
    explicit relay(std::vector<relay_route> routes);
    ~relay();

    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;

    /// Fails with `settings_invalid` when an address can't be bound.
    result<void> start();
    void stop();

    /// Holds back traffic from the source address `from` to the listening address `to`, and its answers.
    void blockLink(const std::string& from, const std::string& to);

    /// Ends all cuts.
    void heal();

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::standins
