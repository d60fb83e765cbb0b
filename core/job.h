/// Jobs, tasks and their answers.
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

/// Class that the caller declares for a task; learned run times may correct it.
enum class task_class { short_work, long_work };

/// What one task needs and carries.
struct task_spec {
    service_id service;
    std::string payload;
    /// Declared by the caller; a hint that may be far off.
    std::chrono::milliseconds declaredRunTime { 0 };
    std::uint32_t memoryMegabytes = 0;
    std::uint32_t accelerators = 0;
    task_class declaredClass = task_class::short_work;
};

/// A submission as the caller sent it.
struct job_request {
    job_key key;
    /// Longest time from arrival to answer.
    std::chrono::milliseconds timeLimit { 0 };
    /// True for a single request that may be executed more than once.
    bool idempotent = false;
    std::vector<task_spec> tasks;
    /// Hash of everything but the key; tells a resubmission from a conflict.
    std::uint64_t contentDigest = 0;
};

enum class task_state { waiting, running, done, failed, not_started };

std::string_view nameOf(task_state state);

/// Evidence of what happened to one task.
struct task_report {
    task_state state = task_state::waiting;
    std::string output;
    std::optional<error> problem;
    worker_id worker;
    std::chrono::microseconds queued { 0 };
    std::chrono::microseconds runTime { 0 };
};

/// The whole answer to a job; never holds results of a part of the tasks.
struct job_answer {
    job_key key;
    outcome result = outcome::may_have_run;
    /// Set unless `result` is `done`.
    std::optional<error> problem;
    std::vector<task_report> tasks;
};

/// Returns the digest of everything in `job` but its key.
std::uint64_t contentDigestOf(const job_request& job);

/// Builds the answer to a job of which no task was started.
job_answer refusedAnswer(const job_key& key, error problem);

} // namespace coriandermount
