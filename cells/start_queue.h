/// Jobs of a cell that wait for a start, and sums of their work.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "cells/cell_job_table.h"
#include "cells/start_plan.h"

namespace coriandermount::cells {

/// Order in which jobs are placed on workers: by priority, then by the time until which they should start to meet their
/// objective or, if that can't be met, before their caller stops waiting.
using queue_rank = std::tuple<std::uint32_t, time_point, std::string>;

/// Returns the priority of a job among all jobs of the cell. Long-running jobs come before all others because they are entitled
/// to capacity at any time.
inline std::uint32_t priorityOf(const open_job& job) { return job.isLongRunning() ? 0 : job.accepted.priority + 1; }

/// Returns the rank of a job.
inline queue_rank rankOf(const open_job& job) { return { priorityOf(job), job.startOrder, job.accepted.work.id }; }

/// Where a waiting job stands.
enum class queue_part {
    /// It starts as soon as there is room.
    ready,
    /// It is suspected of crashing workers and starts only in trials or on a worker that is reserved for it.
    suspected,
    /// It starts once the runs of earlier owners are known.
    held,
};

/// Number of values of `queue_part`.
inline constexpr std::size_t queuePartCount = static_cast<std::size_t>(queue_part::held) + 1;

/// Number of priority levels that the reported load of a cell distinguishes.
inline constexpr std::uint32_t reportedPriorities = 4;

/// Waiting jobs in the order of placement. Sums of their work are updated with each change, so that no reader has to look at
/// all jobs. Not thread-safe.
class start_queue {
public:
    /// What decides which workers can run the tasks of a job, roughly: the step that needs most of a worker.
    struct task_size {
        service_id service;
        std::string requiredLabel;
        /// Need of that step, rounded down to a power of two.
        std::int64_t cpuMillis = 0;
        std::int64_t memoryMegabytes = 0;
        std::int64_t accelerators = 0;

        friend auto operator<=>(const task_size&, const task_size&) = default;
    };
    /// Waiting work of stored jobs of one size whose places are close to each other.
    struct backlog_group {
        /// Estimated work in core microseconds.
        std::int64_t work = 0;
        std::size_t tasks = 0;
        std::size_t jobs = 0;
    };
    using backlog = std::map<std::pair<start_position, task_size>, backlog_group>;

    /// Adds a job, or updates its work and its part if it waits already. Its rank must not have changed since it was added.
    void put(const open_job& job, queue_part part);
    void remove(const queue_rank& rank);
    void clear() { *this = {}; }

    bool isEmpty() const { return size() == 0; }
    std::size_t size() const;
    /// Returns the part in which a job waits; empty if it does not wait.
    std::optional<queue_part> partOf(const queue_rank& rank) const;

    /// Returns the ranks of all jobs of one part. Changes of the queue invalidate no iterators but those of removed jobs.
    const std::set<queue_rank>& jobs(queue_part part) const { return m_jobs[static_cast<std::size_t>(part)]; }
    /// Returns the ranks of the ready and suspected jobs that are not stored. Their number has a bound, because they are refused
    /// when they can't start in time.
    const std::set<queue_rank>& unstored() const { return m_unstored; }
    /// Returns the work of the ready and suspected jobs that are stored and not long-running.
    const backlog& storedWork() const { return m_backlog; }
    /// Returns the estimated work of all jobs by reported priority, in core microseconds.
    const std::array<std::int64_t, reportedPriorities>& workByPriority() const { return m_work; }

    /// Returns up to `most` stored jobs whose objective has passed and that are not marked as overdue, and forgets their
    /// objectives.
    std::vector<std::string> takeOverdue(time_point now, std::size_t most);

private:
    /// What a job has added to the sums.
    struct entry {
        queue_part part = queue_part::ready;
        std::uint32_t reportedPriority = 0;
        std::int64_t work = 0;
        std::size_t tasks = 0;
        std::optional<backlog::key_type> group;
        std::optional<time_point> objective;
    };

    static entry entryOf(const open_job& job, queue_part part);
    void remove(std::map<queue_rank, entry>::iterator found);

    std::map<queue_rank, entry> m_entries;
    std::array<std::set<queue_rank>, queuePartCount> m_jobs;
    std::set<queue_rank> m_unstored;
    backlog m_backlog;
    std::array<std::int64_t, reportedPriorities> m_work {};
    std::set<std::pair<time_point, std::string>> m_objectives;
};

} // namespace coriandermount::cells
