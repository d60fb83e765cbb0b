/// Detects unhealthy workers by comparing their answers and run times with those of the other workers.
#pragma once

#include <chrono>
#include <memory>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "core/types.h"
#include "placement/worker_pool.h"

namespace coriandermount::placement {

struct worker_health_options {
    /// Number of consecutive connect failures after which a worker is considered dead.
    unsigned deadAfter = 2;
    /// Number of consecutive failed tasks after which a worker is considered failing.
    unsigned failingAfter = 4;
    /// Share of failed tasks from which a worker is considered failing although some tasks succeed.
    double failingShare = 0.5;
    /// Minimum ratio of a failing worker's share of failed tasks to the share among all workers.
    double failingRatio = 4;
    /// Minimum time without any answer after which a worker is considered hung.
    std::chrono::milliseconds hungAfter { 1500 };
    /// A worker is considered hung if the probability that a healthy worker takes as long to answer is below this value.
    double hungLikelihood = 1e-3;
    /// Ratio of a worker's slowness to the average of all workers from which the worker is ejected as straggling.
    double stragglingRatio = 3;
    /// Limit on the share of listed workers that are ejected at the same time.
    double maxEjectedShare = 0.5;
    /// Delay before the first probe of an ejected worker; doubles with each failed probe up to `maxProbeInterval`.
    std::chrono::milliseconds initialProbeDelay { 500 };
    std::chrono::milliseconds maxProbeInterval { 30000 };
    /// Backoff after a refusal; doubles with each consecutive refusal up to `maxBackoff`.
    std::chrono::milliseconds initialBackoff { 20 };
    std::chrono::milliseconds maxBackoff { 2000 };
    /// Seed of the jitter that is added to delays.
    std::uint64_t seed = 1;
};

/// Reason for which a worker gets fewer tasks or none.
enum class condition_reason { none, dead, failing, hung, straggling, refusing };

/// Returns the name of the reason as written to logs and events.
std::string_view nameOf(condition_reason value);

/// Change of a worker's condition, to be applied to the `worker_pool` and recorded by the caller.
struct condition_change {
    worker_index worker {};
    worker_condition condition = worker_condition::healthy;
    condition_reason reason = condition_reason::none;
    /// Measured value behind the change, such as a number of failures or a ratio; 0 if there is none.
    double value = 0;
    /// Limit that `value` reached; 0 if there is none.
    double limit = 0;
    /// Time since the worker was ejected; set when the worker is readmitted, else 0.
    std::chrono::microseconds ejectedFor { 0 };
};

/// Decides on the condition of each worker. Ejected workers get single tasks as probes; a refusal only causes a backoff.
class worker_health {
public:
    explicit worker_health(worker_health_options options);
    ~worker_health();

    worker_health(const worker_health&) = delete;
    worker_health& operator=(const worker_health&) = delete;

    /// Sets the number of listed workers, to which `maxEjectedShare` refers.
    void setListedWorkers(std::size_t listed);

    /// Clears the state of an index that is reused for another worker.
    void resetWorker(worker_index worker);

    /// Records that a task succeeded. `slowness` is the ratio of its run time to the predicted run time.
    void onSuccess(worker_index worker, double slowness, time_point now);

    /// Records that a task failed or could not be started, or that the worker refused it.
    void onFailure(worker_index worker, error_kind kind, time_point now);

    /// Takes back one recorded failure that is blamed on the task. Readmits the worker if that removes the reason for its
    /// condition.
    void retractFailure(worker_index worker, time_point now);

    /// Records that a worker has not answered for `unanswered`. `likelihood` is the probability that a healthy worker takes
    /// that long.
    void onUnresponsive(worker_index worker, std::chrono::milliseconds unanswered, double likelihood, time_point now);

    /// Ends the backoffs and starts the probes that are due.
    void tick(time_point now);

    /// Returns the time of the worker's last answer; a default-constructed `time_point` if the worker never answered.
    time_point lastAnswer(worker_index worker) const;

    /// Returns the number of workers that are ejected or probing, without those in backoff after refusals.
    std::size_t ejected() const;

    /// Returns the changes of condition since the last call, oldest first.
    std::vector<condition_change> takeChanges();

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::placement
