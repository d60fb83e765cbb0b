/// Jobs as submitted by callers, and the queues that accept them.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "core/error.h"
#include "core/types.h"

namespace coriandermount::jobs {

/// Resources that a task needs or that a worker provides.
struct resources {
    /// Processor time in thousandths of a core.
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

    /// Returns whether no component exceeds that of `available`.
    bool fitsInto(const resources& available) const
    {
        return cpuMillis <= available.cpuMillis && memoryMegabytes <= available.memoryMegabytes
            && accelerators <= available.accelerators;
    }
};

/// Group of identical tasks that may run at the same time.
struct step {
    std::uint32_t taskCount = 1;
    /// Resources that each task needs.
    resources need;
    /// Approximate run time of one task, as declared by the caller.
    std::chrono::milliseconds estimate { 0 };
    /// Indexes of the steps that have to be completed first; each is below the index of this step.
    std::vector<std::uint32_t> dependsOn;
    /// Label that a worker must have to run the tasks; empty for any worker.
    std::string requiredLabel;
    /// Rack that holds the input data; empty for no preference.
    std::string dataRack;
    /// Limit on the tasks of this step that one worker runs at the same time; 0 for no limit.
    std::uint32_t maxPerWorker = 0;
    /// Whether the tasks form a gang: all of them start under one attempt, and the end of one ends all.
    bool gang = false;
    /// Whether the tasks communicate a lot, so that a gang that spans more than one rack is slow.
    bool tightlyCoupled = false;
    /// Whether the tasks run until the job is cancelled; they are restarted whenever they end.
    bool longRunning = false;
};

/// Job as submitted by a caller: steps of tasks that depend on each other.
struct job {
    /// Id that the caller chose; a resubmission has the same id.
    std::string id;
    /// Name of the queue that accepted the job.
    std::string queue;
    /// Input of the tasks, which is passed to the workers unchanged.
    std::string payload;
    std::vector<step> steps;
    /// Whether the job is synchronous: it is not stored, and the caller waits for its final state.
    bool answeredAtEnd = false;
};

/// State of a job as reported to callers. Finished jobs are stored with the numeric value.
enum class job_state { queued, running, completed, failed, cancelled };

/// Returns whether a job in this state has ended for good.
inline bool isFinal(job_state state) { return state != job_state::queued && state != job_state::running; }

/// Configuration of one queue.
struct queue_rules {
    std::string name;
    /// Host name and path prefix of the requests that are routed to the queue.
    std::string host;
    std::string pathPrefix;
    service_id service;
    /// Priority of the jobs of the queue; 0 is the highest.
    std::uint32_t priority = 0;
    /// Number of failed attempts after which a task is not retried.
    std::uint32_t maxAttempts = 1;
    /// Multiplier of the job's critical path in the completion objective; values below 1 count as 1.
    double slackFactor = 1.0;
    /// Constant part of the completion objective.
    std::chrono::milliseconds targetLatency { 0 };
    /// Whether the tasks may run only on workers that a policy service allows.
    bool needsPolicyApproval = false;
};

/// One version of the configuration of all queues.
struct queue_table {
    std::uint64_t version = 0;
    std::vector<queue_rules> queues;

    /// Returns the queue of `host` whose `pathPrefix` is the longest prefix of `path`, or null. The pointer is valid as long as
    /// the table is unchanged.
    const queue_rules* route(const std::string& host, const std::string& path) const;
    /// Returns the queue with that name, or null.
    const queue_rules* findByName(const std::string& name) const;
};

/// Checks that a job has steps, and that each has a number of tasks, a need and an estimate that can be handled, and depends on
/// earlier steps only. Fails with `too_many_tasks` or `malformed_request`.
result<void> checkSteps(const std::vector<step>& steps);

/// Returns the largest sum of estimates along a chain of dependent steps.
std::chrono::milliseconds criticalPathLength(const job& work);

/// Returns the completion objective of a job: the time from its arrival within which it should be completed.
std::chrono::milliseconds objectiveOf(const job& work, const queue_rules& rules);

} // namespace coriandermount::jobs
