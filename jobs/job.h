/// Jobs as callers hand them in, and the queues that take them.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "core/types.h"

namespace coriandermount::jobs {

/// Room that a task needs or that a worker has.
struct resources {
    /// Thousandths of a core.
    std::int64_t cpuMillis = 0;
    std::int64_t memoryMegabytes = 0;
    std::int64_t accelerators = 0;

    friend bool operator==(const resources&, const resources&) = default;

    resources& operator+=(const resources& other)
    {
        cpuMillis += other.cpuMillis;
        memoryMegabytes += other.memoryMegabytes;
        accelerators += other.accelerators;
        return *this;
    }

    resources& operator-=(const resources& other)
    {
        cpuMillis -= other.cpuMillis;
        memoryMegabytes -= other.memoryMegabytes;
        accelerators -= other.accelerators;
        return *this;
    }

    bool fitsInto(const resources& room) const
    {
        return cpuMillis <= room.cpuMillis && memoryMegabytes <= room.memoryMegabytes && accelerators <= room.accelerators;
    }
};

/// Equal tasks that may run at the same time.
struct step {
    std::uint32_t taskCount = 1;
    resources need;
    /// Rough run time of one task, as the caller declared it.
    std::chrono::milliseconds estimate { 0 };
    /// Numbers of the steps that have to be done first.
    std::vector<std::uint32_t> dependsOn;
    /// Label that a worker must carry; empty for any worker.
    std::string requiredLabel;
    /// Rack that holds the data; empty for none.
    std::string dataRack;
    /// Most tasks of this step that one worker may run; 0 for no limit.
    std::uint32_t maxPerWorker = 0;
    /// The tasks work only together: all of them start under one attempt, and one that ends ends them all.
    bool gang = false;
    /// The tasks of a gang are slow when they run on more than one rack.
    bool tightlyCoupled = false;
    /// The tasks run until the job is cancelled, and are started again however they end.
    bool longRunning = false;
};

/// One submission.
struct job {
    /// Chosen by the caller; a resubmission carries the same id.
    std::string id;
    /// Name of the queue that took the job.
    std::string queue;
    /// Handed to the workers as it is.
    std::string payload;
    std::vector<step> steps;
    /// The job is not stored; its caller waits for the end.
    bool answeredAtEnd = false;
};

/// States that a caller can be told.
enum class job_state { queued, running, completed, failed, cancelled };

inline bool isFinal(job_state state) { return state != job_state::queued && state != job_state::running; }

/// Rules of one queue, as the operators configured them.
struct queue_rules {
    std::string name;
    std::string host;
    std::string pathPrefix;
    service_id service;
    /// 0 goes first.
    std::uint32_t priority = 0;
    /// Failed runs after which a task has failed for good.
    std::uint32_t maxAttempts = 1;
    /// Allowed time as a multiple of the longest chain of work, and the constant part of it.
    double slackFactor = 1.0;
    std::chrono::milliseconds targetLatency { 0 };
    /// Only workers that a policy service allows may run the tasks.
    bool needsPolicyApproval = false;
};

/// One version of the operators' configuration.
struct queue_table {
    std::uint64_t version = 0;
    std::vector<queue_rules> queues;

    /// Returns the queue with the longest prefix of `path` on that host, or nothing.
    const queue_rules* route(const std::string& host, const std::string& path) const;
    const queue_rules* findByName(const std::string& name) const;
};

/// Sum of the estimates along the longest chain of steps.
std::chrono::milliseconds criticalPathLength(const job& work);

/// Time from its arrival within which a job should be completed.
std::chrono::milliseconds objectiveOf(const job& work, const queue_rules& rules);

} // namespace coriandermount::jobs
