#include "cells/start_plan.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace coriandermount::cells {

namespace {

    /// Time constant of `arriving_load`: longer than the gaps between jobs, and no longer than the seconds in which demand
    /// swings.
    constexpr std::chrono::milliseconds arrivalWindow { 1000 };

} // namespace

std::vector<start_plan::entry>::const_iterator start_plan::firstAfter(const start_position& position) const
{
    return std::upper_bound(m_entries.begin(), m_entries.end(), position,
        [](const start_position& left, const entry& right) { return left < right.job.position; });
}

time_point start_plan::add(const planned_job& job)
{
    const auto place = m_entries.begin() + (firstAfter(job.position) - m_entries.cbegin());
    const std::chrono::microseconds ahead = place == m_entries.begin() ? std::chrono::microseconds(0) : std::prev(place)->end;
    for (auto later = place; later != m_entries.end(); ++later)
        later->end += job.serviceTime;
    m_entries.insert(place, { job, ahead + job.serviceTime });
    return m_begin + ahead;
}

start_position start_plan::positionFor(const planned_job& job) const
{
    const auto first = firstAfter(job.position);
    for (auto last = m_entries.cend(); last != first;) {
        --last;
        const planned_job& delayed = last->job;
        const bool lowerPriority = delayed.position.priority > job.position.priority;
        const time_point start = m_begin + last->end - delayed.serviceTime;
        if (!lowerPriority && start + job.serviceTime > delayed.latestStart)
            return { job.position.priority, delayed.position.order + time_point::duration(1) };
    }
    return job.position;
}

std::chrono::microseconds start_plan::waitAt(const start_position& position, time_point now) const
{
    const auto place = firstAfter(position);
    if (place == m_entries.begin())
        return std::chrono::microseconds(0);
    const auto start = m_begin + std::prev(place)->end;
    return std::max(std::chrono::duration_cast<std::chrono::microseconds>(start - now), std::chrono::microseconds(0));
}

std::chrono::milliseconds start_plan::drainTime(time_point now) const
{
    if (m_entries.empty())
        return std::chrono::milliseconds(0);
    const auto end = m_begin + m_entries.back().end;
    return std::max(std::chrono::ceil<std::chrono::milliseconds>(end - now), std::chrono::milliseconds(0));
}

arrival_class::arrival_class(std::uint32_t jobPriority, std::chrono::milliseconds slackTime)
    : priority(jobPriority)
    , slack(static_cast<int>(std::bit_width(static_cast<std::uint64_t>(std::max<std::int64_t>(slackTime.count(), 0)))))
{
}

void arriving_load::add(arrival_class job, std::chrono::microseconds serviceTime, time_point now)
{
    rate& current = m_rates[job];
    current.share = current.shareAt(now) + std::chrono::duration<double>(serviceTime) / arrivalWindow;
    current.at = now;
}

double arriving_load::rate::shareAt(time_point now) const
{
    return share * std::exp(-std::chrono::duration<double>(now - at) / arrivalWindow);
}

double arriving_load::ofClass(arrival_class jobs, time_point now) const
{
    const auto found = m_rates.find(jobs);
    return found == m_rates.end() ? 0 : found->second.shareAt(now);
}

double arriving_load::ofPriority(std::uint32_t priority, time_point now) const
{
    double share = 0;
    for (const auto& [arriving, current] : m_rates)
        share += arriving.priority == priority ? current.shareAt(now) : 0;
    return share;
}

double arriving_load::abovePriority(std::uint32_t priority, time_point now) const
{
    double share = 0;
    for (const auto& [arriving, current] : m_rates)
        share += arriving.priority < priority ? current.shareAt(now) : 0;
    return share;
}

} // namespace coriandermount::cells
