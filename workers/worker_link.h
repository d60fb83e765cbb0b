/// Interface for starting and stopping tasks on workers.
#pragma once

#include <chrono>
#include <functional>
#include <string>

#include "core/job.h"
#include "core/worker.h"

namespace coriandermount::workers {

/// Lease of one task to one worker, as sent to the worker.
struct task_start {
    /// Id of the job's task, unique over all VMs and times; all attempts at the task share it.
    std::string taskId;
    /// Id of this lease; the worker repeats it in its answer.
    std::string leaseId;
    /// Fencing number: a worker refuses a start with a lower epoch than it has seen for the task.
    std::uint64_t epoch = 0;
    std::chrono::milliseconds leaseDuration { 0 };
    worker_info worker;
    task_spec task;
};

/// Result of a task that succeeded.
struct task_answer {
    /// Output of the task.
    std::string output;
    /// Run time of the task, as measured by the worker.
    std::chrono::microseconds runTime { 0 };
};

/// Sends orders to workers.
class worker_link {
public:
    virtual ~worker_link() = default;

    /// Called exactly once with the result of the task or an error.
    using completion = std::function<void(result<task_answer>)>;

    /// Starts a task and calls `done` once when it has ended. Fails with `task_failed`, `worker_refused`, `worker_unreachable`,
    /// `worker_lost`, `worker_answer_invalid` or `lease_expired`.
    virtual void start(task_start start, completion done) = 0;

    /// Asks the worker to stop a task; the answer is ignored.
    virtual void stop(const worker_info& worker, const std::string& taskId) = 0;
};

} // namespace coriandermount::workers
