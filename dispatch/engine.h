/// Deterministic state machine that makes the scheduling decisions of one VM.
#pragma once

#include <memory>

#include "admission/retry_budget.h"
#include "dispatch/events.h"
#include "placement/run_times.h"
#include "placement/task_quarantine.h"
#include "placement/worker_health.h"

namespace coriandermount::dispatch {

/// Limits and tuning parameters of an `engine`.
struct engine_options {
    /// Largest number of tasks that may wait, over all plans.
    std::size_t maxQueuedTasks = 100000;
    /// Largest number of starts per task. Starts after which the task provably did not run count as well.
    unsigned maxAttempts = 3;
    /// Seed of all random choices, such as the worker for a task and the jitter of retry hints.
    std::uint64_t seed = 1;
    /// Refuses all jobs until the first configuration has been received.
    bool requireConfiguration = false;
    /// Records journal events for each task, not only for jobs.
    bool recordTaskEvents = true;
    /// Share of all slots that long tasks may not use while short tasks arrive.
    double shortWorkReserve = 0.25;
    /// Share of a plan's slots that admission assumes to be available when it predicts waits.
    double plannedUtilization = 0.9;
    /// A plan has a standing queue when its queueing delay has been above `standingQueueTarget` for `standingQueueInterval`. Jobs
    /// of the plan are then admitted only while the delay is at most the target or `standingQueueLimitShare` of their time limit,
    /// whichever is larger.
    std::chrono::milliseconds standingQueueTarget { 250 };
    std::chrono::milliseconds standingQueueInterval { 500 };
    double standingQueueLimitShare = 0.06;
    placement::run_time_options runTimes;
    placement::worker_health_options health;
    placement::task_quarantine_options quarantine;
    admission::retry_budget_options retries;
};

/// Processes events one at a time and returns the actions to execute. The engine uses no clock, thread or socket: the same
/// events at the same times give the same actions. Not thread-safe.
class engine {
public:
    explicit engine(engine_options options);
    ~engine();

    engine(const engine&) = delete;
    engine& operator=(const engine&) = delete;

    /// Processes an event that happened at `now` and returns the resulting actions in the order of the decisions.
    /// `now` must not decrease from call to call.
    actions handle(const event& input, time_point now);

    /// Returns the number of tasks that wait to be started.
    std::size_t queuedTasks() const;
    /// Returns the number of starts whose end has not been reported.
    std::size_t runningTasks() const;
    /// Returns the number of jobs that are not answered yet or have running tasks.
    std::size_t openJobs() const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::dispatch
