/// Cuts and delays between entry VMs, for tests on real sockets.
#pragma once

#include <chrono>
#include <memory>
#include <string>

#include "peers/peer_link.h"

namespace coriandermount::standins {

/// Faults of the network between VMs, shared by all links of a test.
class network_faults {
public:
    network_faults();
    ~network_faults();

    network_faults(const network_faults&) = delete;
    network_faults& operator=(const network_faults&) = delete;

    /// Calls from `fromVm` to the peer listener at `toAddress` fail from now on.
    void blockLink(const std::string& fromVm, const std::string& toAddress);

    /// Ends all cuts.
    void heal();

    bool isLinkBlocked(const std::string& fromVm, const std::string& toAddress) const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

/// Peer link of one VM that is subject to faults of the network.
class faulty_peer_link final : public peers::peer_link {
public:
    /// `real` and `faults` outlive the link.
    faulty_peer_link(peers::peer_link& real, const network_faults& faults, std::string vm);

    void call(const std::string& address, const std::string& method, std::string message, std::chrono::milliseconds timeout,
        completion done) override;

private:
    peers::peer_link& m_real;
    const network_faults& m_faults;
    std::string m_vm;
};

} // namespace coriandermount::standins
