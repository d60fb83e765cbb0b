#include "dispatch/job_events.h"

#include <algorithm>
#include <array>

#include <fmt/format.h>

#include "event_log/rules.h"

namespace coriandermount::dispatch {

namespace {

    event_log::event eventOf(event_log::event_kind kind, const job_key& key)
    {
        event_log::event entry;
        entry.kind = kind;
        entry.job = key;
        return entry;
    }

    /// Rule name and limit of a plan for the error that reports a violation.
    struct plan_rule {
        error_kind kind;
        std::string_view rule;
        std::int64_t (*limit)(const configuration::plan_limits& plan);
    };

    using configuration::plan_limits;

    constexpr std::array planRules = std::to_array<plan_rule>({
        { error_kind::plan_concurrency_exceeded, event_log::rules::planConcurrentTasks,
            [](const plan_limits& plan) { return std::int64_t { plan.concurrentTasks }; } },
        { error_kind::plan_rate_exceeded, event_log::rules::planTasksPerSecond,
            [](const plan_limits& plan) { return std::int64_t { plan.tasksPerSecond }; } },
        { error_kind::plan_accelerators_exceeded, event_log::rules::planAccelerators,
            [](const plan_limits& plan) { return std::int64_t { plan.accelerators }; } },
        { error_kind::plan_memory_exceeded, event_log::rules::planMemory,
            [](const plan_limits& plan) { return std::int64_t { plan.memoryMegabytes }; } },
        { error_kind::run_time_above_plan, event_log::rules::planTaskRunTime,
            [](const plan_limits& plan) { return std::int64_t { plan.taskRunTime.count() }; } },
        { error_kind::too_many_tasks, event_log::rules::planTasksPerJob,
            [](const plan_limits& plan) { return std::int64_t { plan.tasksPerJob }; } },
    });

} // namespace

void addPlanLimit(event_log::event& refusal, const configuration::snapshot& activeConfiguration)
{
    if (!refusal.job || !refusal.problem)
        return;
    const auto plan = activeConfiguration.planOf(refusal.job->customer);
    if (!plan)
        return;
    if (refusal.problem == error_kind::service_not_in_plan) {
        refusal.subject = plan->value;
        refusal.rule = event_log::rules::planServices;
        return;
    }
    for (const auto& row : planRules) {
        if (row.kind != refusal.problem)
            continue;
        refusal.subject = plan->value;
        refusal.rule = row.rule;
        refusal.limit = fmt::format("{}", row.limit(activeConfiguration.plans.at(*plan)));
    }
}

void addRunTime(event_log::event& answered, const task_ended& ended, time_point now)
{
    answered.elapsed = std::chrono::duration_cast<std::chrono::microseconds>(now - ended.startedAt);
    // The clock of a worker may run fast, so its reported time is capped at the time measured here.
    answered.elapsedPart = std::min(ended.runTime, answered.elapsed);
    if (!ended.output)
        answered.value = ended.output.error().detail;
}

event_log::event receivedEvent(const job_request& job)
{
    auto entry = eventOf(event_log::event_kind::job_received, job.key);
    entry.limit = fmt::format("{}", job.timeLimit.count());
    entry.value = fmt::format("{}", job.tasks.size());
    return entry;
}

event_log::event claimedEvent(const job_key& key, std::chrono::microseconds elapsed, std::string detail)
{
    auto entry = eventOf(event_log::event_kind::job_claimed, key);
    entry.elapsed = elapsed;
    entry.value = std::move(detail);
    return entry;
}

event_log::event dispatchedEvent(const job_key& key, std::chrono::microseconds elapsed)
{
    auto entry = eventOf(event_log::event_kind::job_dispatched, key);
    entry.elapsed = elapsed;
    return entry;
}

event_log::event answeredEvent(
    const job_answer& answer, std::chrono::microseconds elapsed, std::chrono::microseconds afterLastTask)
{
    auto entry = eventOf(event_log::event_kind::job_answered, answer.key);
    entry.elapsed = elapsed;
    entry.elapsedPart = afterLastTask;
    if (answer.problem) {
        entry.problem = answer.problem->kind;
        entry.value = answer.problem->detail;
        if (answer.result != rowOf(answer.problem->kind).result)
            entry.limit = nameOf(answer.result);
    }
    return entry;
}

} // namespace coriandermount::dispatch
