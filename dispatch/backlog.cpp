#include "dispatch/backlog.h"

namespace coriandermount::dispatch {

using admission::backlog_profile;

namespace {

    constexpr double millisecondsPerSecond = 1000;

    std::size_t indexOf(admission::plan_index plan) { return static_cast<std::size_t>(plan); }

} // namespace

std::size_t backlog::laneIndex(queue_lane lane) { return static_cast<std::size_t>(lane.need) * 2 + (lane.isLong ? 1 : 0); }

void backlog::add(const planned_work& planned)
{
    if (indexOf(planned.plan) >= m_plans.size())
        m_plans.resize(indexOf(planned.plan) + 1);
    if (laneIndex(planned.lane) >= m_lanes.size())
        m_lanes.resize(laneIndex(planned.lane) + 1);
    if (!planned.lane.isLong)
        m_plans[indexOf(planned.plan)].add(planned.latestStart, planned.work);
    lane_backlog& laneBacklog = m_lanes[laneIndex(planned.lane)];
    const auto [entry, added] = laneBacklog.plans.try_emplace(planned.plan);
    if (added) {
        entry->second.weight = planned.weight;
        laneBacklog.weights += planned.weight;
    }
    entry->second.profile.add(planned.latestStart, planned.work);
}

void backlog::remove(const planned_work& planned)
{
    if (!planned.lane.isLong)
        m_plans[indexOf(planned.plan)].remove(planned.latestStart, planned.work);
    lane_backlog& laneBacklog = m_lanes[laneIndex(planned.lane)];
    const auto found = laneBacklog.plans.find(planned.plan);
    if (found == laneBacklog.plans.end())
        return;
    found->second.profile.remove(planned.latestStart, planned.work);
    if (!found->second.profile.empty())
        return;
    laneBacklog.weights -= found->second.weight;
    laneBacklog.plans.erase(found);
}

void backlog::divide(double slots, std::vector<admission::slot_demand> demands)
{
    m_slotShares.divide(slots, std::move(demands));
}

admission::slot_seconds backlog::queuedWork(admission::plan_index plan) const
{
    return indexOf(plan) < m_plans.size() ? m_plans[indexOf(plan)].total() : 0;
}

std::chrono::duration<double> backlog::waitOf(admission::plan_index plan, time_point latestStart, double slots) const
{
    const double work = indexOf(plan) < m_plans.size() ? m_plans[indexOf(plan)].workDueBy(latestStart) : 0;
    return std::chrono::duration<double>(work / slots);
}

std::optional<predicted_delay> backlog::delay(
    const backlog_profile* profile, const planned_work& extra, double slots, time_point now)
{
    const backlog_profile emptyProfile;
    const backlog_profile& queued = profile ? *profile : emptyProfile;
    const double needed = queued.slotsNeeded(extra.latestStart, extra.work, now);
    if (needed <= slots)
        return std::nullopt;
    const double seconds = (queued.workDueBy(extra.latestStart) + extra.work) / slots;
    return predicted_delay { needed, slots,
        std::chrono::milliseconds(static_cast<std::int64_t>(seconds * millisecondsPerSecond)) };
}

std::optional<predicted_delay> backlog::delayInPlan(const planned_work& extra, double slots, time_point now) const
{
    const backlog_profile* profile = indexOf(extra.plan) < m_plans.size() ? &m_plans[indexOf(extra.plan)] : nullptr;
    return delay(profile, extra, slots, now);
}

std::optional<predicted_delay> backlog::delayInLane(const planned_work& extra, double laneSlots, time_point now) const
{
    if (laneIndex(extra.lane) >= m_lanes.size())
        return delay(nullptr, extra, laneSlots, now);
    const lane_backlog& laneBacklog = m_lanes[laneIndex(extra.lane)];
    const auto found = laneBacklog.plans.find(extra.plan);
    if (found == laneBacklog.plans.end())
        return delay(nullptr, extra, laneSlots * extra.weight / (laneBacklog.weights + extra.weight), now);
    return delay(&found->second.profile, extra, laneSlots * found->second.weight / laneBacklog.weights, now);
}

} // namespace coriandermount::dispatch
