/// Jobs, their tasks, and the answers to them.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/error.h"
#include "core/types.h"

namespace coriandermount {

/// Largest number of tasks in one job.
inline constexpr std::size_t maxTasksPerJob = 260;

/// Class that the caller declares for a task; measured run times may override it.
enum class task_class { short_work, long_work };

/// The resources and the payload of one task.
struct task_spec {
    service_id service;
    std::string payload;
    /// Run time declared by the caller: a hint that may be far from the real run time.
    std::chrono::milliseconds declaredRunTime { 0 };
    std::uint32_t memoryMegabytes = 0;
    std::uint32_t accelerators = 0;
    task_class declaredClass = task_class::short_work;
};

/// A submission as the caller sent it.
struct job_request {
    job_key key;
    /// Maximum time from the arrival of the job to its answer.
    std::chrono::milliseconds timeLimit { 0 };
    /// Whether the job is a single request that may be executed more than once.
    bool idempotent = false;
    std::vector<task_spec> tasks;
    /// Hash of everything but the key and the time limit; distinguishes a resubmission from another job under the same key.
    std::uint64_t contentDigest = 0;
};

/// State of one task of a job.
enum class task_state { waiting, running, done, failed, not_started };

/// Returns the name that is used on the wire.
std::string_view nameOf(task_state state);

/// What happened to one task of a job.
struct task_report {
    task_state state = task_state::waiting;
    std::string output;
    std::optional<error> problem;
    worker_id worker;
    /// Time from the arrival of the job to the placement of the task.
    std::chrono::microseconds queued { 0 };
    /// Time for which the task ran on its worker.
    std::chrono::microseconds runTime { 0 };
};

/// The answer to a job. It never holds the results of only some of the tasks.
struct job_answer {
    job_key key;
    outcome result = outcome::may_have_run;
    /// Set unless `result` is `done`.
    std::optional<error> problem;
    std::vector<task_report> tasks;
};

/// Returns a 64-bit digest of everything in `job` but its key and its time limit.
std::uint64_t contentDigestOf(const job_request& job);

/// Builds the answer to a job of which no task was started; `problem` is the reason.
job_answer refusedAnswer(const job_key& key, error problem);

} // namespace coriandermount
