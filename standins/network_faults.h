/// Blocked links between entry VMs, for tests on real sockets.
#pragma once

#include <chrono>
#include <memory>
#include <string>

#include "peers/peer_link.h"

namespace coriandermount::standins {

/// Holds the blocked links between VMs. All peer links of a test share one object; any thread may call its methods.
class network_faults {
public:
    network_faults();
    ~network_faults();

    network_faults(const network_faults&) = delete;
    network_faults& operator=(const network_faults&) = delete;

    /// Makes all further calls from the VM `fromVm` to the peer listener at `toAddress` fail.
    void blockLink(const std::string& fromVm, const std::string& toAddress);

    /// Unblocks all links.
    void heal();

    /// Returns whether calls from `fromVm` to `toAddress` fail.
    bool isLinkBlocked(const std::string& fromVm, const std::string& toAddress) const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

/// Peer link of one VM. Calls over blocked links fail at once, as calls that may have arrived; others go to the real peer link.
class faulty_peer_link final : public peers::peer_link {
public:
    /// `real` and `faults` must outlive this object. `vm` is the id of the calling VM.
    faulty_peer_link(peers::peer_link& real, const network_faults& faults, std::string vm);

    void call(const std::string& address, const std::string& method, std::string message, std::chrono::milliseconds timeout,
        completion done) override;

private:
    peers::peer_link& m_real;
    const network_faults& m_faults;
    std::string m_vm;
};

} // namespace coriandermount::standins
