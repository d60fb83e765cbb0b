#include "explain/activity.h"

namespace coriandermount::explain {

void activity::sample(wall_time now, const metrics::counter_totals& sums, std::uint64_t queued)
{
    const wall_time second = std::chrono::floor<std::chrono::seconds>(now);
    if (!m_started) {
        m_started = true;
        m_current = second;
        m_atStart = sums;
        return;
    }
    if (second <= m_current)
        return;
    m_seconds.push_back({ m_current, sums.arrivals - m_atStart.arrivals, sums.starts - m_atStart.starts,
        sums.refusals - m_atStart.refusals, sums.failures - m_atStart.failures, queued });
    if (m_seconds.size() > keptSeconds)
        m_seconds.pop_front();
    m_current = second;
    m_atStart = sums;
}

std::vector<activity_second> activity::seconds() const { return { m_seconds.begin(), m_seconds.end() }; }

} // namespace coriandermount::explain
