// Reports: journal entries, counters and the demand of this VM.
#include <utility>

#include <fmt/format.h>

#include "dispatch/engine_state.h"

namespace coriandermount::dispatch {

namespace {

    using metrics::decision_counter;

    constexpr std::chrono::milliseconds demandInterval { 100 };
    constexpr std::chrono::milliseconds arrivalWindow { 500 };
    constexpr std::uint32_t windowsPerSecond = 2;

    decision_counter ejectionCounter(placement::sickness reason)
    {
        switch (reason) {
        case placement::sickness::dead:
            return decision_counter::worker_ejected_dead;
        case placement::sickness::hung:
            return decision_counter::worker_ejected_hung;
        case placement::sickness::straggling:
            return decision_counter::worker_ejected_straggling;
        case placement::sickness::failing:
        case placement::sickness::refusing:
        case placement::sickness::none:
            break;
        }
        return decision_counter::worker_ejected_failing;
    }

} // namespace

event_log::event& engine::data::note(event_log::event_kind kind, const job_request* job)
{
    record_event& added = std::get<record_event>(out.emplace_back(record_event {}));
    added.entry.kind = kind;
    added.entry.configurationVersion = limits.configurationVersion();
    if (job)
        added.entry.job = job->key;
    return added.entry;
}

void engine::data::noteTask(event_log::event_kind kind, const job_request& job, std::uint32_t index, std::string subject,
    std::chrono::microseconds elapsed, std::optional<error_kind> problem)
{
    if (!options.recordTasks)
        return;
    event_log::event& entry = note(kind, &job);
    entry.task = index;
    entry.subject = std::move(subject);
    entry.elapsed = elapsed;
    entry.problem = problem;
}

void engine::data::noteHealth(const placement::condition_change& change, placement::worker_condition before)
{
    using placement::worker_condition;
    const bool wasOut = before == worker_condition::ejected || before == worker_condition::probing;
    const bool ejected = change.condition == worker_condition::ejected;
    const bool readmitted
        = wasOut && (change.condition == worker_condition::sound || change.condition == worker_condition::avoided);
    if (change.condition == worker_condition::probing)
        count(decision_counter::worker_probed);
    // A worker that refuses is not sick; it only gets a short rest.
    if (change.reason == placement::sickness::refusing
        || (readmitted && change.lasted.count() == 0 && before == worker_condition::ejected
            && change.condition == worker_condition::sound))
        return;
    if (!ejected && !readmitted)
        return;
    count(ejected ? ejectionCounter(change.reason) : decision_counter::worker_readmitted);
    event_log::event& entry
        = note(ejected ? event_log::event_kind::worker_ejected : event_log::event_kind::worker_readmitted, nullptr);
    entry.subject = pool.infoOf(change.worker)->id.value;
    entry.rule = placement::nameOf(change.reason);
    entry.value = fmt::format("{:.4g}", change.value);
    entry.limit = fmt::format("{:.4g}", change.limit);
    entry.elapsed = change.lasted;
}

void engine::data::carryOutHealth(time_point)
{
    for (const auto& change : health.takeChanges()) {
        if (!pool.infoOf(change.worker))
            continue;
        const auto before = pool.conditionOf(change.worker);
        pool.setCondition(change.worker, change.condition);
        noteHealth(change, before);
    }
}

bool engine::data::demandIsUrgent() const
{
    // New shares are confirmed at once, since units that were withdrawn wait for it; so is told that tasks began to wait.
    return shareNumber != reportedShares || (!reportedWaiting && queues.queued() > 0);
}

void engine::data::reportDemand(time_point now)
{
    if (demandReported && now - lastDemand < demandInterval && !demandIsUrgent())
        return;
    demandReported = true;
    reportedShares = shareNumber;
    reportedWaiting = queues.queued() > 0;
    lastDemand = now;
    if (now - arrivalsSince >= arrivalWindow) {
        arrivalsSince = now;
        for (auto& activity : activities)
            activity.previousArrivals = std::exchange(activity.arrivals, 0);
    }
    out.emplace_back(report_demand { currentDemand() });
}

quota::demand engine::data::currentDemand() const
{
    quota::demand demand;
    demand.queuedTasks = static_cast<std::uint32_t>(queues.queued());
    demand.runningTasks = static_cast<std::uint32_t>(leases.size());
    demand.usedSlots = pool.usedSlotsByWorker();
    demand.shareNumber = shareNumber;
    for (std::uint32_t number = 0; number < limits.plans(); ++number) {
        const admission::plan_index plan { number };
        quota::plan_demand ofPlan;
        limits.describe(plan, ofPlan);
        ofPlan.queuedTasks = queues.queued(plan);
        if (number < activities.size())
            ofPlan.tasksPerSecond = std::max(activities[number].previousArrivals, activities[number].arrivals) * windowsPerSecond;
        const bool any = ofPlan.runningTasks > 0 || ofPlan.queuedTasks > 0 || ofPlan.tasksPerSecond > 0;
        if (any)
            demand.plans.emplace(limits.idOf(plan), ofPlan);
    }
    return demand;
}

} // namespace coriandermount::dispatch
