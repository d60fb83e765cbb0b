#include "jobs/configuration_gate.h"

#include <algorithm>
#include <iterator>

namespace coriandermount::jobs {

bool configuration_gate::hold(std::size_t bytes, std::function<void()> resume)
{
    const std::scoped_lock lock(m_mutex);
    if (m_requests.size() >= mostRequests || m_bytes + bytes > mostBytes)
        return false;
    m_bytes += bytes;
    m_requests.push_back({ bytes, m_clock.now(), std::move(resume) });
    return true;
}

void configuration_gate::tick(bool configured)
{
    std::vector<held_request> due;
    {
        const auto now = m_clock.now();
        const std::scoped_lock lock(m_mutex);
        const auto first = std::find_if(m_requests.begin(), m_requests.end(),
            [&](const held_request& request) { return !configured && now < request.since + longestWait; });
        std::move(m_requests.begin(), first, std::back_inserter(due));
        m_requests.erase(m_requests.begin(), first);
        for (const auto& request : due)
            m_bytes -= request.bytes;
    }
    for (const auto& request : due)
        request.resume();
}

} // namespace coriandermount::jobs
