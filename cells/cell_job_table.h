/// Table of all jobs of a cell: open jobs with the state of their tasks, finished jobs with their result.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cells/worker_link.h"
#include "core/types.h"
#include "jobs/record_codec.h"

namespace coriandermount::cells {

/// Called once with the final state of the job, or with the error for which its final state is not known.
using job_completion = std::function<void(result<jobs::job_state>)>;

/// Why a request is withdrawn.
enum class withdrawal_reason {
    /// The caller has left. It may submit the job again and take over runs that are about to end.
    caller_left,
    /// The caller has its answer, so that nobody takes the result of the runs.
    answered,
};

/// Caller that waits for the end of a job.
struct job_waiter {
    jobs::request_id request;
    job_completion done;
    /// Whether the home cell of the job waits on behalf of its callers.
    bool lent = false;
    /// When a VM at which the caller waits was last heard; empty if the sender of the request sends no keep-alives.
    std::optional<time_point> heardAt;
};

/// Phase of a task: it waits for a start, is placed on a worker, or is done.
enum class task_phase { waiting, placed, done };

/// State of one task of an open job.
struct task_state {
    task_phase phase = task_phase::waiting;
    std::vector<std::uint64_t> failedAttempts;
    /// Worker of the last run that failed or whose start was not answered; the next run avoids that worker.
    worker_id failedOn;
    /// Worker on which the task is placed; empty while the task waits.
    worker_id runsOn;
    /// Number of the last start of the task.
    std::uint64_t attempt = 0;
    /// Newest saved state of the task; empty for none.
    std::string checkpoint;
};

/// State of one step of an open job.
struct step_state {
    std::vector<task_state> tasks;
    /// Indices of the waiting tasks; the last one is started first.
    std::vector<std::uint32_t> waiting;
    /// Number of tasks that are done.
    std::uint32_t done = 0;
    /// Newest checkpoint of any member of a gang; all members resume from the same one.
    std::string checkpoint;
};

/// A job that has not finished, or whose end is not durable yet, with the state of its tasks.
struct open_job {
    jobs::accepted_job accepted;
    time_point arrivedAt;
    /// Time by which the job should be completed.
    time_point objective;
    /// Position of the accepted record in the stream; tells jobs of an earlier owner from those accepted in this term.
    std::uint64_t offset = 0;
    std::vector<step_state> steps;
    std::uint32_t stepsDone = 0;
    /// Whether a task of the job was started or the job was lent.
    bool started = false;
    std::optional<time_point> firstStart;
    /// Final state, set when the job ends; the record of the end may not be durable yet.
    std::optional<jobs::job_state> ended;

    /// Whether the store holds a record of the job's progress.
    bool hasProgress = false;
    /// Whether the store holds a record of the job's cancellation.
    bool cancelRecorded = false;

    /// Estimated run time from the first start to the end, and estimated work in core milliseconds.
    std::chrono::milliseconds runTime { 0 };
    double work = 0;
    /// Place of the job in the order of starts; earlier ones of the same priority start first.
    time_point startOrder;
    /// Whether the job is stored and has missed its objective, so that it comes after the others of its priority.
    bool isOverdue = false;

    // Members for unstored jobs, whose callers are answered at the end of the job.
    std::vector<job_waiter> waiters;
    /// Whether the runs were stopped because no VM was heard at which a caller waits.
    bool outOfContact = false;
    /// Time at which the last caller left; empty while a caller waits.
    std::optional<time_point> withdrawnAt;
    /// Latest useful time of the first start; a job that can't start by then is refused.
    time_point startBy;
    /// Whether the job was admitted. One that was not waits in the queue until enough is known to decide.
    bool isAdmitted = false;
    /// Latest start that the job was promised when it was admitted: by its objective, or by `startBy` if that can't be met.
    time_point promisedStart;
    /// Home cell of the job if that cell has lent the job to this one; empty otherwise.
    std::optional<cell_number> lentBy;
    /// Epoch of the owner of the home cell that has last submitted the lent job.
    std::uint64_t lenderEpoch = 0;
    /// Since when the home cell has had a later owner that has not submitted the lent job again; empty if it has none.
    std::optional<time_point> unclaimedSince;
    /// Cell that the job is lent to and that runs it; empty if the job is not lent.
    std::optional<cell_number> lentTo;
    /// Time at which the last caller stops waiting and the job is given up.
    time_point giveUpAt;
    /// Cells that have refused the job since this one was evacuated, and the shortest time after which one of them asks the
    /// caller to return.
    std::set<cell_number> refusedBy;
    std::optional<std::chrono::milliseconds> returnAfter;

    /// Returns whether all steps that the step depends on are done.
    bool stepIsReady(std::uint32_t step) const;
    /// Returns the number of waiting tasks whose step is ready.
    std::size_t readyTasks() const;
    /// Returns whether the tasks run until the job is cancelled.
    bool isLongRunning() const { return accepted.work.steps.front().longRunning; }
    /// Returns the estimated work of the waiting tasks, in core milliseconds.
    double waitingWork() const;
    /// Returns whether no task of the job waits for a start.
    bool isPlaced() const;
    /// Returns whether a task of the job is placed on a worker.
    bool hasPlacedTasks() const;
    /// Returns the processors that the waiting tasks of ready steps need, in thousandths of a core.
    double readyCpu() const;
    /// Returns the task that `key` names; the job must contain it.
    task_state& task(const task_key& key) { return steps[key.step].tasks[key.index]; }
    /// Returns whether the occurrence, step and index of `key` name a task of this job. The job id is not compared.
    bool contains(const task_key& key) const;
};

/// Time for which a count of the pending jobs is used: it looks at every open job, and heartbeats are sent more often.
inline constexpr std::chrono::milliseconds pendingCountAge { 200 };

/// Number of jobs by queue.
using queue_counts = std::map<std::string, std::uint32_t>;

/// Holds the open and finished jobs of one cell. Not thread-safe.
class cell_job_table {
public:
    /// Adds a job and returns it, or returns null when a job with this id is known. The pointer is valid until the job is
    /// finished or erased.
    open_job* accept(jobs::accepted_job accepted, std::uint64_t offset, time_point arrivedAt);

    /// Returns an open job, or null when no job with this id is open.
    open_job* find(const std::string& id);
    const open_job* find(const std::string& id) const;
    std::map<std::string, open_job>& open() { return m_open; }
    /// Returns the open jobs whose callers are answered at their end. Unlike stored ones, their number has a bound.
    const std::map<std::string, open_job*>& unstored() const { return m_unstored; }

    /// Returns the state of a job as callers see it, or nothing when the job is not known.
    std::optional<jobs::job_state> state(const std::string& id) const;

    /// Moves a job from the open to the finished jobs; `now` is the time of its end.
    void finish(const std::string& id, jobs::job_state state, time_point now);
    /// Adds a job that an earlier owner has listed as finished.
    void finishReplayed(const jobs::finished_job& job, time_point endedAt);
    bool isFinished(const std::string& id) const { return m_finished.contains(id); }
    /// Returns the ids of the finished jobs that the cell `home` had lent to this one.
    std::vector<std::string> finishedFor(cell_number home) const;

    /// Returns the finished jobs that are not stored and that are remembered still.
    std::vector<jobs::finished_job> finishedUnstored() const;

    /// Removes jobs that finished before `oldest`.
    void expire(time_point oldest);

    /// Returns the number of open jobs, by queue, of which no task has started, as it was at most `pendingCountAge` before `now`.
    std::shared_ptr<const queue_counts> pendingByQueue(time_point now);

    /// Removes an open job without remembering its end, so that its id can be accepted again.
    void erase(const std::string& id);

    void clear();

private:
    struct finished_entry {
        jobs::job_state state;
        time_point at;
        /// Home cell of the job if that cell had lent it.
        std::optional<cell_number> lentBy;
        /// Whether the end needs no list for the next owner; true for replayed ends of unstored jobs as well.
        bool stored = true;
    };

    void addFinished(const std::string& id, const finished_entry& finished);
    void removeFinished(std::unordered_map<std::string, finished_entry>::iterator finished);

    std::map<std::string, open_job> m_open;
    std::map<std::string, open_job*> m_unstored;
    std::unordered_map<std::string, finished_entry> m_finished;
    /// Ids of the finished jobs by the time of their end. Earlier entries of jobs that have ended again are left in.
    std::multimap<time_point, std::string> m_finishedAt;
    /// Ids of the finished jobs that another cell had lent, by that cell.
    std::map<cell_number, std::set<std::string>> m_finishedFor;
    /// Counts at `m_pendingCountedAt`; null if there are none.
    std::shared_ptr<const queue_counts> m_pending;
    time_point m_pendingCountedAt;
};

} // namespace coriandermount::cells
