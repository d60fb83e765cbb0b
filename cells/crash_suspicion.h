/// Determines which jobs crash the workers that start their tasks.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cells/worker_link.h"
#include "core/clock.h"
#include "jobs/record_codec.h"

namespace coriandermount::cells {

/// A run that a worker may have been executing when it stopped answering.
struct exposed_run {
    task_key task;
    /// Whether the worker had confirmed the run.
    bool confirmed = false;
    /// Whether the run had gone on for so long that it is an unlikely cause of a crash.
    bool established = false;
};

/// What shows that a worker may have crashed.
enum class crash_observation {
    /// A later boot under the same id.
    restarted,
    /// A later boot of another worker at the same address.
    replaced,
    /// No answer for `crashVerdictLimit`.
    silent,
};

/// Number of values of `crash_observation`.
inline constexpr std::size_t crashObservationCount = static_cast<std::size_t>(crash_observation::silent) + 1;

/// Returns the name of a value, as used in logs and metrics.
std::string_view nameOf(crash_observation value);

/// A crash that was counted under a task.
struct counted_crash {
    task_key task;
    crash_observation observation = crash_observation::restarted;
    worker_id worker;
    /// When the owner gave the run up.
    time_point lostAt;
};

/// Counts, for each task, the crashes of workers that had started it. A worker that stops answering has crashed if a later boot
/// is registered under its id or at its address, and has not if it answers in the same boot; until then its runs are pending.
/// Not thread-safe.
class crash_suspicion {
public:
    /// Records the runs of a worker whose leases have ended in silence.
    void noteSilence(const worker_registration& worker, const std::vector<exposed_run>& runs, time_point now);
    /// Records that a worker has left the boot `bootTime` behind, with the runs that it had then, and counts a crash for its
    /// pending runs as well. Returns the counted crashes.
    std::vector<counted_crash> noteRestart(
        const worker_id& worker, std::int64_t bootTime, std::vector<exposed_run> runs, time_point now);
    /// Counts a crash for the pending runs of workers that `worker` has replaced. Returns the counted crashes.
    std::vector<counted_crash> noteBoot(const worker_registration& worker, time_point now);
    /// Records that a worker has answered, so that it had not crashed in this boot. Returns the number of its pending runs.
    std::size_t noteAnswer(const worker_id& worker, std::int64_t bootTime);
    /// Records that a run of the task has gone on for long enough to be an unlikely cause of crashes.
    void noteEstablished(const task_key& task);
    /// Records that the task is done.
    void noteDone(const task_key& task);

    /// Sets the counts of a task to those that an earlier owner has stored.
    void restore(const task_key& task, const jobs::crash_counts& counts, time_point now);
    /// Returns the counts of a task as they are stored: pending runs count as possible crashes.
    jobs::crash_counts storedCounts(const task_key& task) const;
    /// Returns the number of crashes that are known under a task.
    std::uint32_t crashesUnder(const task_key& task) const;

    /// Returns whether no job is suspected, which saves the caller all other queries.
    bool empty() const { return m_jobs.empty(); }
    /// Returns whether tasks of the job may only be started on a worker that runs no other young runs.
    bool isRestricted(const std::string& jobId) const;
    /// Returns whether no crash under the job is known and each of its tasks was lost once at most, so that its workers may be
    /// cut off.
    bool isUnproven(const std::string& jobId) const;
    /// Returns whether another start of the task should wait until it is known whether its last workers have crashed.
    bool awaitsVerdict(const task_key& task) const;
    /// Returns whether the task has crashed so many workers that it is not started any more.
    bool isToBlame(const task_key& task) const;

    /// Forgets a job.
    void forget(const std::string& jobId);
    /// Counts possible crashes for pending runs whose worker has not returned in time, and forgets jobs without crashes for a
    /// while.
    /// Returns the counted crashes.
    std::vector<counted_crash> expire(time_point now);
    void clear();

private:
    struct suspect {
        jobs::crash_counts counts;
        /// Number of silent workers that may have crashed under the task.
        std::uint32_t pending = 0;
        bool established = false;
    };
    struct suspected_job {
        std::map<task_key, suspect> tasks;
        time_point lastLoss;
    };
    struct silent_worker {
        std::string address;
        std::vector<exposed_run> runs;
        time_point since;
    };
    using boot_key = std::pair<worker_id, std::int64_t>;

    const suspect* find(const task_key& task) const;
    /// Counts a crash for `runs`; each counted crash is a copy of `crash` with its task.
    std::vector<counted_crash> countCrash(std::vector<exposed_run> runs, const counted_crash& crash, time_point now);
    /// Removes the pending runs of a boot and returns them.
    std::vector<exposed_run> takePending(std::map<boot_key, silent_worker>::iterator silent);
    void eraseIfClear(const task_key& task);

    std::map<std::string, suspected_job> m_jobs;
    std::map<boot_key, silent_worker> m_silent;
};

} // namespace coriandermount::cells
