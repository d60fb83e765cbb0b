/// The decisions of one VM as a deterministic state machine.
#pragma once

#include <memory>

#include "admission/retry_budget.h"
#include "dispatch/events.h"
#include "placement/run_times.h"
#include "placement/task_quarantine.h"
#include "placement/worker_health.h"

namespace coriandermount::dispatch {

struct engine_options {
    std::size_t maxQueuedTasks = 100000;
    /// Starts per task, counting those that provably did not run.
    unsigned maxAttempts = 3;
    /// Seed of all random choices.
    std::uint64_t seed = 1;
    /// Refuses all jobs while no configuration has been learned.
    bool requireConfiguration = false;
    /// Records each step of each task, not only those of jobs.
    bool recordTaskEvents = true;
    /// Share of slots that long work may not take while there is short work.
    double shortWorkReserve = 0.25;
    /// Share of a plan's slots that admission counts on when it predicts waits.
    double plannedUtilization = 0.9;
    /// A plan's queue stands when its wait was above `standingQueueTarget` for `standingQueueInterval`. Jobs then are admitted
    /// only up to that wait, or up to `standingQueueLimitShare` of their time limit.
    std::chrono::milliseconds standingQueueTarget { 250 };
    std::chrono::milliseconds standingQueueInterval { 500 };
    double standingQueueLimitShare = 0.06;
    placement::run_time_options runTimes;
    placement::worker_health_options health;
    placement::task_quarantine_options quarantine;
    admission::retry_budget_options retries;
};

/// Takes events one at a time and returns the actions to carry out. Holds no clock, thread or socket: the same events at
/// the same times give the same actions.
class engine {
public:
    explicit engine(engine_options options);
    ~engine();

    engine(const engine&) = delete;
    engine& operator=(const engine&) = delete;

    actions handle(const event& input, time_point now);

    std::size_t queuedTasks() const;
    std::size_t runningTasks() const;
    std::size_t openJobs() const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::dispatch
