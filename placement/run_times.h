/// Predicts run times from those of finished tasks.
#pragma once

#include <chrono>
#include <memory>

#include "core/job.h"

namespace coriandermount::placement {

/// Parameters of the run time predictions.
struct run_time_options {
    /// Predicted median run time above which a task is long work.
    std::chrono::milliseconds longWork { 8000 };
    /// Run time that is predicted before the first observation.
    std::chrono::milliseconds defaultRunTime { 300 };
};

/// Predicted distribution of a task's run time.
struct run_time_prediction {
    std::chrono::microseconds mean { 0 };
    std::chrono::microseconds p10 { 0 };
    std::chrono::microseconds median { 0 };
    std::chrono::microseconds p90 { 0 };
    std::chrono::microseconds p99 { 0 };
    /// Whether the task is scheduled as long work. The class that the caller declared counts only until there are enough
    /// observations.
    bool isLong = false;
    /// Number of observations behind the prediction, in which old observations count less.
    double observations = 0;
};

/// Index of a group of tasks that share a run time prediction.
enum class run_time_group : std::uint32_t {};

/// Learns the distribution of run times per service, declared class and magnitude of the declared run time. What the caller
/// declares only selects the group and is otherwise not trusted; predictions come from observations.
class run_times {
public:
    explicit run_times(run_time_options options);
    ~run_times();

    run_times(const run_times&) = delete;
    run_times& operator=(const run_times&) = delete;

    /// Returns the group of a task; creates the group on first use.
    run_time_group groupOf(const task_spec& task);

    /// Returns the prediction for a group, which is recomputed after every few observations.
    const run_time_prediction& predict(run_time_group group) const;

    /// Returns the estimated share of the group's tasks that run longer than `elapsed`; always above 0.
    double survivalProbability(run_time_group group, std::chrono::microseconds elapsed) const;

    /// Adds the run time of a finished task.
    void observe(run_time_group group, std::chrono::microseconds ran);

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::placement
