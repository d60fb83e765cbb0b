#include "explain/activity_history.h"

namespace coriandermount::explain {

void activity_history::sample(wall_time now, const metrics::counter_totals& totals, std::uint64_t queued)
{
    const wall_time second = std::chrono::floor<std::chrono::seconds>(now);
    if (!m_started) {
        m_started = true;
        m_current = second;
        m_atStart = totals;
        return;
    }
    if (second <= m_current)
        return;
    m_seconds.push_back({ m_current, totals.arrivals - m_atStart.arrivals, totals.starts - m_atStart.starts,
        totals.refusals - m_atStart.refusals, totals.failures - m_atStart.failures, queued });
    if (m_seconds.size() > keptSeconds)
        m_seconds.pop_front();
    m_current = second;
    m_atStart = totals;
}

std::vector<activity_second> activity_history::seconds() const { return { m_seconds.begin(), m_seconds.end() }; }

} // namespace coriandermount::explain
