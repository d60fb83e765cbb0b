#include "standins/network_faults.h"

#include <mutex>
#include <set>
#include <utility>

namespace coriandermount::standins {

struct network_faults::data {
    mutable std::mutex mutex;
    std::set<std::pair<std::string, std::string>> blockedLinks;
};

network_faults::network_faults()
    : m_data(std::make_unique<data>())
{
}

network_faults::~network_faults() = default;

void network_faults::blockLink(const std::string& fromVm, const std::string& toAddress)
{
    const std::scoped_lock lock(m_data->mutex);
    m_data->blockedLinks.emplace(fromVm, toAddress);
}

void network_faults::heal()
{
    const std::scoped_lock lock(m_data->mutex);
    m_data->blockedLinks.clear();
}

bool network_faults::isLinkBlocked(const std::string& fromVm, const std::string& toAddress) const
{
    const std::scoped_lock lock(m_data->mutex);
    return m_data->blockedLinks.contains({ fromVm, toAddress });
}

faulty_peer_link::faulty_peer_link(peers::peer_link& real, const network_faults& faults, std::string vm)
    : m_real(real)
    , m_faults(faults)
    , m_vm(std::move(vm))
{
}

void faulty_peer_link::call(const std::string& address, const std::string& method, std::string message,
    std::chrono::milliseconds timeout, completion done)
{
    if (m_faults.isLinkBlocked(m_vm, address)) {
        done(tl::unexpected<net::transport_error>(
            net::transport_error { net::transport_progress::may_have_arrived, true, false, "link is blocked by the test" }));
        return;
    }
    m_real.call(address, method, std::move(message), timeout, std::move(done));
}

} // namespace coriandermount::standins
