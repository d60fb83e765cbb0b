#include "cells/service_capacity.h"

#include <algorithm>

namespace coriandermount::cells {

service_capacity::service_capacity(std::vector<usable_worker> workers)
{
    std::sort(
        workers.begin(), workers.end(), [](const auto& left, const auto& right) { return left.pausedUntil < right.pausedUntil; });
    m_coresBefore.push_back(0);
    for (const auto& worker : workers) {
        const bool first = m_pausedUntil.empty();
        const auto smaller = [first](std::int64_t known, std::int64_t added) { return first ? added : std::min(known, added); };
        m_smallest = { smaller(m_smallest.cpuMillis, worker.size.cpuMillis),
            smaller(m_smallest.memoryMegabytes, worker.size.memoryMegabytes),
            smaller(m_smallest.accelerators, worker.size.accelerators) };
        m_pausedUntil.push_back(worker.pausedUntil);
        m_coresBefore.push_back(m_coresBefore.back() + worker.cores);
    }
}

std::optional<double> service_capacity::coresFor(const jobs::resources& need, time_point until) const
{
    if (!m_pausedUntil.empty() && !need.fitsInto(m_smallest))
        return std::nullopt;
    const auto count = std::upper_bound(m_pausedUntil.begin(), m_pausedUntil.end(), until) - m_pausedUntil.begin();
    return m_coresBefore.empty() ? 0 : m_coresBefore[static_cast<std::size_t>(count)];
}

} // namespace coriandermount::cells
