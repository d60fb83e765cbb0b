/// Starts tasks on workers and brings back their reports.
#pragma once

#include <chrono>
#include <functional>
#include <string>

#include "core/job.h"
#include "core/worker.h"

namespace coriandermount::workers {

/// Permission to run one task on one worker, as sent to the worker.
struct task_start {
    /// Unique over all VMs and times: names the task of the job, not the attempt.
    std::string taskId;
    /// Names this grant; the worker repeats it in its answer.
    std::string leaseId;
    /// Fences off earlier holders of the task; a worker refuses a lower epoch.
    std::uint64_t epoch = 0;
    std::chrono::milliseconds leaseDuration { 0 };
    worker_info worker;
    task_spec task;
};

/// What came back of one start.
struct task_answer {
    /// Set when the task ended well.
    std::string output;
    std::chrono::microseconds runTime { 0 };
};

class worker_link {
public:
    virtual ~worker_link() = default;

    using completion = std::function<void(result<task_answer>)>;

    /// Starts a task; `done` is called once, with an error of the worker's kinds when it did not end well.
    virtual void start(task_start start, completion done) = 0;

    /// Asks the worker to stop a task; no answer is awaited.
    virtual void stop(const worker_info& worker, const std::string& taskId) = 0;
};

} // namespace coriandermount::workers
