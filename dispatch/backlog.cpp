#include "dispatch/backlog.h"

namespace coriandermount::dispatch {

using admission::backlog_profile;

namespace {

    constexpr double millisecondsPerSecond = 1000;

    std::size_t at(admission::plan_index plan) { return static_cast<std::size_t>(plan); }

} // namespace

std::size_t backlog::numberOf(lane where) { return static_cast<std::size_t>(where.need) * 2 + (where.isLong ? 1 : 0); }

void backlog::add(const planned_work& planned)
{
    if (at(planned.plan) >= m_plans.size())
        m_plans.resize(at(planned.plan) + 1);
    if (numberOf(planned.where) >= m_lanes.size())
        m_lanes.resize(numberOf(planned.where) + 1);
    if (!planned.where.isLong)
        m_plans[at(planned.plan)].add(planned.latestStart, planned.work);
    lane_backlog& in = m_lanes[numberOf(planned.where)];
    const auto [entry, added] = in.plans.try_emplace(planned.plan);
    if (added) {
        entry->second.weight = planned.weight;
        in.weights += planned.weight;
    }
    entry->second.profile.add(planned.latestStart, planned.work);
}

void backlog::remove(const planned_work& planned)
{
    if (!planned.where.isLong)
        m_plans[at(planned.plan)].remove(planned.latestStart, planned.work);
    lane_backlog& in = m_lanes[numberOf(planned.where)];
    const auto found = in.plans.find(planned.plan);
    if (found == in.plans.end())
        return;
    found->second.profile.remove(planned.latestStart, planned.work);
    if (!found->second.profile.empty())
        return;
    in.weights -= found->second.weight;
    in.plans.erase(found);
}

void backlog::divide(double slots, std::vector<admission::slot_demand> demands) { m_rates.divide(slots, std::move(demands)); }

admission::slot_seconds backlog::queuedWork(admission::plan_index plan) const
{
    return at(plan) < m_plans.size() ? m_plans[at(plan)].total() : 0;
}

std::chrono::duration<double> backlog::waitOf(admission::plan_index plan, time_point latestStart, double slots) const
{
    const double work = at(plan) < m_plans.size() ? m_plans[at(plan)].workDueBy(latestStart) : 0;
    return std::chrono::duration<double>(work / slots);
}

std::optional<predicted_delay> backlog::delay(
    const backlog_profile* profile, const planned_work& extra, double slots, time_point now)
{
    const backlog_profile nothing;
    const backlog_profile& queued = profile ? *profile : nothing;
    const double needed = queued.slotsNeeded(extra.latestStart, extra.work, now);
    if (needed <= slots)
        return std::nullopt;
    const double seconds = (queued.workDueBy(extra.latestStart) + extra.work) / slots;
    return predicted_delay { needed, slots,
        std::chrono::milliseconds(static_cast<std::int64_t>(seconds * millisecondsPerSecond)) };
}

std::optional<predicted_delay> backlog::delayInPlan(const planned_work& extra, double slots, time_point now) const
{
    const backlog_profile* profile = at(extra.plan) < m_plans.size() ? &m_plans[at(extra.plan)] : nullptr;
    return delay(profile, extra, slots, now);
}

std::optional<predicted_delay> backlog::delayInLane(const planned_work& extra, double laneSlots, time_point now) const
{
    if (numberOf(extra.where) >= m_lanes.size())
        return delay(nullptr, extra, laneSlots, now);
    const lane_backlog& in = m_lanes[numberOf(extra.where)];
    const auto found = in.plans.find(extra.plan);
    if (found == in.plans.end())
        return delay(nullptr, extra, laneSlots * extra.weight / (in.weights + extra.weight), now);
    return delay(&found->second.profile, extra, laneSlots * found->second.weight / in.weights, now);
}

} // namespace coriandermount::dispatch
