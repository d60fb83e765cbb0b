// Reports of the engine: journal entries, counters and the demand of this VM.
#include <utility>

#include <fmt/format.h>

#include "dispatch/engine_state.h"

namespace coriandermount::dispatch {

namespace {

    using metrics::decision_counter;

    constexpr std::chrono::milliseconds demandInterval { 100 };
    constexpr std::chrono::milliseconds arrivalWindow { 500 };
    constexpr std::uint32_t windowsPerSecond = 2;

    decision_counter ejectionCounter(placement::condition_reason reason)
    {
        switch (reason) {
        case placement::condition_reason::dead:
            return decision_counter::worker_ejected_dead;
        case placement::condition_reason::hung:
            return decision_counter::worker_ejected_hung;
        case placement::condition_reason::straggling:
            return decision_counter::worker_ejected_straggling;
        case placement::condition_reason::failing:
        case placement::condition_reason::refusing:
        case placement::condition_reason::none:
            break;
        }
        return decision_counter::worker_ejected_failing;
    }

} // namespace

event_log::event& engine::data::addJournalEntry(event_log::event_kind kind, const job_request* job)
{
    record_event& added = std::get<record_event>(pendingActions.emplace_back(record_event {}));
    added.entry.kind = kind;
    added.entry.configurationVersion = limits.configurationVersion();
    if (job)
        added.entry.job = job->key;
    return added.entry;
}

void engine::data::recordTaskEvent(event_log::event_kind kind, const job_request& job, std::uint32_t index, std::string subject,
    std::chrono::microseconds elapsed, std::optional<error_kind> problem)
{
    if (!options.recordTaskEvents)
        return;
    event_log::event& entry = addJournalEntry(kind, &job);
    entry.task = index;
    entry.subject = std::move(subject);
    entry.elapsed = elapsed;
    entry.problem = problem;
}

void engine::data::recordHealthChange(const placement::condition_change& change, placement::worker_condition before)
{
    using placement::worker_condition;
    const bool wasEjected = before == worker_condition::ejected || before == worker_condition::probing;
    const bool ejected = change.condition == worker_condition::ejected;
    const bool readmitted
        = wasEjected && (change.condition == worker_condition::healthy || change.condition == worker_condition::avoided);
    if (change.condition == worker_condition::probing)
        count(decision_counter::worker_probed);
    // A worker that refuses starts is not unhealthy; it only gets no work for a short time.
    if (change.reason == placement::condition_reason::refusing
        || (readmitted && change.ejectedFor.count() == 0 && before == worker_condition::ejected
            && change.condition == worker_condition::healthy))
        return;
    if (!ejected && !readmitted)
        return;
    count(ejected ? ejectionCounter(change.reason) : decision_counter::worker_readmitted);
    event_log::event& entry
        = addJournalEntry(ejected ? event_log::event_kind::worker_ejected : event_log::event_kind::worker_readmitted, nullptr);
    entry.subject = pool.infoOf(change.worker)->id.value;
    entry.rule = placement::nameOf(change.reason);
    entry.value = fmt::format("{:.4g}", change.value);
    entry.limit = fmt::format("{:.4g}", change.limit);
    entry.elapsed = change.ejectedFor;
}

void engine::data::applyHealthChanges(time_point)
{
    for (const auto& change : health.takeChanges()) {
        if (!pool.infoOf(change.worker))
            continue;
        const auto before = pool.conditionOf(change.worker);
        pool.setCondition(change.worker, change.condition);
        recordHealthChange(change, before);
    }
}

bool engine::data::demandIsUrgent() const
{
    // New shares are confirmed at once, because withdrawn units are reassigned only after the confirmation. The first queued
    // tasks are reported at once as well.
    return shareNumber != reportedShares || (!reportedQueuedTasks && queues.queued() > 0);
}

void engine::data::reportDemand(time_point now)
{
    if (demandReported && now - lastDemand < demandInterval && !demandIsUrgent())
        return;
    demandReported = true;
    reportedShares = shareNumber;
    reportedQueuedTasks = queues.queued() > 0;
    lastDemand = now;
    if (now - arrivalWindowStart >= arrivalWindow) {
        arrivalWindowStart = now;
        for (auto& activity : activities)
            activity.previousArrivals = std::exchange(activity.arrivals, 0);
    }
    pendingActions.emplace_back(report_demand { currentDemand() });
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
        limits.addUsageTo(plan, ofPlan);
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
