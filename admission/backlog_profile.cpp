#include "admission/backlog_profile.h"

#include <algorithm>

namespace coriandermount::admission {

namespace {

    constexpr std::chrono::milliseconds tickLength { 100 };
    /// Smaller amounts of work are rounding errors.
    constexpr slot_seconds negligible = 1e-6;
    /// Lower bound of the time left, which also applies to overdue work.
    constexpr std::chrono::duration<double> minTimeLeft { 0.01 };

} // namespace

backlog_profile::tick backlog_profile::tickOf(time_point at) { return at.time_since_epoch() / tickLength; }

void backlog_profile::add(time_point latestStart, slot_seconds work)
{
    m_work[tickOf(latestStart)] += work;
    m_total += work;
}

void backlog_profile::remove(time_point latestStart, slot_seconds work)
{
    m_total -= work;
    const auto found = m_work.find(tickOf(latestStart));
    if (found == m_work.end())
        return;
    found->second -= work;
    if (found->second <= negligible)
        m_work.erase(found);
    if (m_work.empty())
        m_total = 0;
}

double backlog_profile::slotsNeeded(time_point latestStart, slot_seconds extra, time_point now) const
{
    const auto slotsFor = [now](slot_seconds work, time_point due) {
        const std::chrono::duration<double> left = std::max<std::chrono::duration<double>>(due - now, minTimeLeft);
        return work / left.count();
    };
    const tick own = tickOf(latestStart);
    slot_seconds work = extra;
    auto entry = m_work.begin();
    for (; entry != m_work.end() && entry->first <= own; ++entry)
        work += entry->second;
    double needed = slotsFor(work, latestStart);
    for (; entry != m_work.end(); ++entry) {
        work += entry->second;
        needed = std::max(needed, slotsFor(work, time_point(entry->first * tickLength)));
    }
    return needed;
}

slot_seconds backlog_profile::workDueBy(time_point latestStart) const
{
    const tick own = tickOf(latestStart);
    slot_seconds work = 0;
    for (auto entry = m_work.begin(); entry != m_work.end() && entry->first <= own; ++entry)
        work += entry->second;
    return work;
}

} // namespace coriandermount::admission
