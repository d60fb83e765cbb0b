/// Runs the jobs of one cell on the workers of that cell while this VM owns the cell.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cells/cell_job_table.h"
#include "cells/cell_settings.h"
#include "cells/crash_suspicion.h"
#include "cells/evacuation.h"
#include "cells/keep_alive.h"
#include "cells/worker_link.h"
#include "core/clock.h"
#include "jobs/record_codec.h"
#include "jobs/record_store.h"

namespace coriandermount::cells {

/// An ownership term: a period in which one VM owns the cell.
struct ownership_term {
    /// Fencing number of the term; higher than that of every earlier term of the cell.
    std::uint64_t epoch = 0;
    /// Whether the previous owner has declared that it gives no more orders.
    bool previousOwnerStopped = false;
    /// Last sign of life of the previous owner; empty if it has handed the cell over or there was none.
    std::optional<time_point> previousOwnerSeenAt;
};

/// Load of a cell, used by VMs to decide whether to accept jobs for the cell.
struct cell_load {
    /// Expected time from acceptance to the first start, by priority. The last entry applies to all lower priorities.
    std::vector<std::chrono::milliseconds> waitByPriority;
    /// Whether the owner has read the newest records, so that its counts include every stored job.
    bool recordsCurrent = false;
    /// Free capacity for further tasks of average size, by service, in thousandths of a core.
    std::map<std::string, std::int64_t> idleCpu;
    /// Number of accepted jobs, by queue, of which no task has started; null if only the owner knows it.
    std::shared_ptr<const queue_counts> pendingByQueue;
};

/// What the owner did about a start order that failed.
enum class start_decision {
    /// The order was sent again to the same worker, under the same attempt.
    sent_again,
    /// The task was requeued, to be started on any worker.
    requeued,
    /// The run was kept until a poll, or the end of the lease, shows what became of it.
    kept,
    /// The ownership term ended, because a worker has seen a higher token.
    term_ended,
};

/// Number of values of `start_decision`.
inline constexpr std::size_t startDecisionCount = static_cast<std::size_t>(start_decision::term_ended) + 1;

/// Returns the name of a value, as used in logs and metrics.
std::string_view nameOf(start_decision value);

/// How the owner knows that a run without a reported end does not run any more.
enum class run_end_proof {
    /// A poll that was sent after the last answered order about the run, and after the time that a stop takes, does not list it.
    not_listed,
    /// A poll that was sent after the last start order had expired on the worker's clock does not list it.
    order_expired,
    /// Every lease that the worker was granted has ended.
    leases_ended,
    /// The worker process has restarted, and no start order of the run can reach the new one.
    worker_restarted,
    /// The worker is no longer registered, and every lease that it was granted has ended.
    worker_gone,
};

/// Number of values of `run_end_proof`.
inline constexpr std::size_t runEndProofCount = static_cast<std::size_t>(run_end_proof::worker_gone) + 1;

/// Returns the name of a value, as used in logs and metrics.
std::string_view nameOf(run_end_proof value);

/// Why the owner refused a job whose caller waits.
enum class refusal_reason {
    /// The work ahead of the job, which was promised to earlier callers or has a higher priority, leaves no room for it in time.
    expected_too_late,
    /// The job was admitted and has not started early enough to end before its caller stops waiting.
    waited_too_long,
    /// The owner has too little processor time to start the job early enough.
    owner_overloaded,
    /// No worker of the service answers and takes on tasks while the caller waits.
    no_worker,
    /// No worker of the service is large enough for a task of the job, or has the label that it requires.
    fits_no_worker,
    /// The cell is evacuated, and no other cell takes the job.
    evacuated,
};

/// What became of a job whose callers had all left.
enum class withdrawal_outcome {
    /// It was discarded with tasks that had not started.
    discarded,
    /// The cell that it was lent to was told.
    returned,
    /// It ended within `withdrawnRunLimit`.
    ended,
    /// Its runs were stopped, after `withdrawnRunLimit` if the callers have left without an answer.
    stopped,
    /// A caller submitted it again in time.
    resubmitted,
};

/// Number of values of `withdrawal_outcome`.
inline constexpr std::size_t withdrawalOutcomeCount = static_cast<std::size_t>(withdrawal_outcome::resubmitted) + 1;

/// Returns the name of a value, as used in logs and metrics.
std::string_view nameOf(withdrawal_outcome value);

/// What became of a run of an earlier owner whose job was not known when the run was found.
enum class orphan_outcome {
    /// A VM submitted the job again.
    adopted,
    /// A VM told that the caller had left.
    withdrawn,
    /// It was stopped because no VM submitted the job again in time.
    not_resubmitted,
};

/// Number of values of `orphan_outcome`.
inline constexpr std::size_t orphanOutcomeCount = static_cast<std::size_t>(orphan_outcome::not_resubmitted) + 1;

/// Returns the name of a value, as used in logs and metrics.
std::string_view nameOf(orphan_outcome value);

/// Number of values of `refusal_reason`.
inline constexpr std::size_t refusalReasonCount = static_cast<std::size_t>(refusal_reason::evacuated) + 1;

/// Returns the name of a value, as used in logs and metrics.
std::string_view nameOf(refusal_reason value);

/// What the owner of a cell knows about the jobs that it may be running for another cell.
struct lent_report {
    std::vector<std::string> jobIds;
    /// Whether the list is complete. An owner that has not heard all its workers reports the runs that it knows so far.
    bool complete = false;
};

/// Upper bounds of the times after which it was known what became of a run whose start order had no answer.
inline constexpr std::array<std::chrono::milliseconds, 6> resolutionBounds { std::chrono::milliseconds(30),
    std::chrono::milliseconds(60), std::chrono::milliseconds(120), std::chrono::milliseconds(300), std::chrono::milliseconds(600),
    std::chrono::milliseconds(1200) };

/// Returns the name of an entry of `cell_counters::resolvedStarts`, as used in metrics.
std::string_view nameOfResolution(std::size_t index);

/// Upper bounds, in percent of a caller's time, by which refusals are counted.
inline constexpr std::array<int, 5> timeUsedBounds { 10, 25, 50, 75, 90 };
/// Number of entries for each reason in `cell_counters::refusedByTimeUsed`.
inline constexpr std::size_t timeUsedBoundCount = timeUsedBounds.size() + 1;

/// Returns the name of an entry of `cell_counters::refusedByTimeUsed`, as used in metrics.
std::string_view nameOfTimeUsed(std::size_t index);

/// Counters for metrics, counted since the owner object was created.
struct cell_counters {
    std::uint64_t lentJobs = 0;
    /// Lent jobs that another cell runs because this one is evacuated; they count as lent too.
    std::uint64_t relocatedJobs = 0;
    /// Relocated jobs that another cell has refused.
    std::uint64_t relocationsRefused = 0;
    /// Attempts placed on a worker; a start order that is sent again is not counted again.
    std::uint64_t starts = 0;
    std::uint64_t completedJobs = 0;
    std::uint64_t failedJobs = 0;
    std::uint64_t cancelledJobs = 0;
    /// Jobs that were refused, indexed by `refusal_reason`.
    std::array<std::uint64_t, refusalReasonCount> refusedJobs {};
    /// The same by the share of the caller's time that had passed since the job came to the owner. The bounds are those of
    /// `timeUsedBounds`; the last entry counts the others.
    std::array<std::array<std::uint64_t, timeUsedBoundCount>, refusalReasonCount> refusedByTimeUsed {};
    /// Jobs whose runs were stopped because no VM was heard at which a caller waits.
    std::uint64_t jobsOutOfContact = 0;
    /// Jobs whose callers had all left, indexed by `withdrawal_outcome`.
    std::array<std::uint64_t, withdrawalOutcomeCount> withdrawnJobs {};
    /// Times for which the process did not run, counted from `pause_monitor::shortestPause` on.
    std::uint64_t pauses = 0;
    /// Crashes of workers, counted for each task that may have caused them and indexed by `crash_observation`.
    std::array<std::uint64_t, crashObservationCount> workerCrashes {};
    /// Lost workers with runs that answered again in the same boot.
    std::uint64_t lostWorkersHeardAgain = 0;
    /// Jobs that failed because a task of theirs crashes the workers that start it.
    std::uint64_t jobsGivenUp = 0;
    /// Number of passes over the cell that took long enough to delay the handling of answers.
    std::uint64_t longPasses = 0;
    /// Number of jobs and workers that were looked at to forecast the starts of waiting jobs.
    std::uint64_t forecastVisits = 0;
    /// Start orders of which a try had no answer, by the time until it was known what became of the run. The bounds are those of
    /// `resolutionBounds`; the last entry counts the others.
    std::array<std::uint64_t, resolutionBounds.size() + 1> resolvedStarts {};
    /// Runs that ended without a reported end, indexed by `run_end_proof`.
    std::array<std::uint64_t, runEndProofCount> lostRuns {};
    /// Answers to polls that did not list all ends, because too many were not acknowledged.
    std::uint64_t incompleteEndLists = 0;
    /// Runs of this term that counted as ended and that their worker listed afterwards.
    std::uint64_t runsFoundAgain = 0;
    /// Runs of earlier owners whose jobs were not known when they were found, indexed by `orphan_outcome`.
    std::array<std::uint64_t, orphanOutcomeCount> orphanedRuns {};
    /// Start orders that failed, indexed by `order_failure`.
    std::array<std::uint64_t, orderFailureCount> startFailures {};
    /// Decisions about these orders, indexed by `start_decision`.
    std::array<std::uint64_t, startDecisionCount> startDecisions {};
};

class neighbor_cells;

/// Schedules the jobs of one cell during the ownership terms of this VM.
/// All methods are safe to call from any thread.
class cell_owner {
public:
    /// `store`, `link` and `clock` must outlive the owner.
    cell_owner(jobs::record_store& store, worker_link& link, const clock_source& clock, jobs::record_stream stream,
        const cell_settings& settings);
    ~cell_owner();

    cell_owner(const cell_owner&) = delete;
    cell_owner& operator=(const cell_owner&) = delete;

    /// Begins a term: fences earlier owners at the store, replays the records, and takes over the workers.
    void takeOver(const ownership_term& term);
    /// Ends the term. Afterwards the owner sends no orders and writes no records.
    void stepDown();
    /// Ends the term like `stepDown`. Before, stores the ends of the jobs that are not stored and that have just ended, so that
    /// the next owner can answer callers that submit these jobs again.
    void handOver();
    /// Suspends orders and lease renewals until `resume`, because another VM may own the cell by now.
    void pause();
    /// Allows orders and lease renewals again.
    void resume();

    /// Notes that all reachable VMs of the cell know the term of `epoch`, so that they submit again the jobs whose callers wait.
    void noteTermKnown(std::uint64_t epoch);

    /// Sets which cells are evacuated, as the store says. No job starts on the workers of an evacuated cell; its jobs are lent.
    void setEvacuations(const evacuation_state& state);
    /// Returns the phase of the own cell, and the number of runs that are left on its workers.
    std::pair<evacuation_phase, std::size_t> evacuation() const;

    /// Sets the cells that may run jobs for this one; none by default. `neighbors` is not used after the owner is destroyed.
    void setNeighbors(neighbor_cells& neighbors);

    /// Returns the jobs that this cell may be running for the cell of `home`, and those that it has completed in the last
    /// seconds. Afterwards requests of earlier terms of that cell are refused.
    lent_report jobsLentBy(jobs::lender home);

    /// Sets the function that is called when the store or a worker has seen a higher epoch.
    void onSuperseded(std::function<void()> callback);

    /// Replaces the list of workers of the cell; workers that are missing in it are removed.
    void setWorkers(std::vector<worker_registration> workers);
    /// Adds a worker or replaces its registration; registrations of earlier boots are ignored.
    void updateWorker(worker_registration worker);
    /// Marks a worker as deregistered. Its runs are requeued after its last lease has ended.
    void removeWorker(const worker_id& id);

    /// Carries out all actions that are due. Must be called every few tens of milliseconds.
    void tick();

    /// Runs a job that is not stored. Completes with the final state of the job, or fails with `claim_unavailable` when this
    /// VM does not own the cell, `owner_unknown` when the term ends before the job, `overloaded` or `no_worker` as soon as it is
    /// known that no task can start in time, or `deadline_passed_while_running` when the time limit of the caller passes or when
    /// a resubmitted job, which an earlier owner may have started, cannot start in time. A job that was lent may also fail with
    /// an error of the other cell.
    void run(jobs::run_request request, job_completion done);

    /// Withdraws a request; does nothing if this owner has answered it or does not know it. Once all requests for a job are
    /// withdrawn, the job ends: at once if tasks of it wait for a start or the caller has its answer, after `withdrawnRunLimit`
    /// at the latest otherwise, so that a caller that submits it again in this cell gets the result of runs that were about to
    /// end.
    void withdraw(
        const std::string& jobId, const jobs::request_id& request, withdrawal_reason reason = withdrawal_reason::caller_left);

    /// Handles a keep-alive of a router. The runs of a job whose callers are in no keep-alive for `contactLimit` are stopped, and
    /// its tasks wait until one is heard again.
    void noteKeepAlive(const keep_alive& current);

    /// Returns whether the owner knows the job, and a VM at which a caller waits was heard a moment ago.
    bool hearsCallers(const std::string& jobId) const;

    /// Like `state`, but waits up to `maxStateWait` for the end of a job whose tasks are all placed on workers.
    void awaitState(const std::string& jobId, job_completion done);
    /// Returns the state of a job, or fails with `job_unknown`, or with `owner_unknown` while the records are not replayed or
    /// the newest ones cannot be read.
    result<jobs::job_state> state(const std::string& jobId) const;
    /// Returns whether the records of the term are replayed; true also while orders are paused.
    bool isServing() const;

    /// Returns the number of accepted jobs of a queue of which no task has started, or fails with `owner_unknown` while the
    /// newest records are not read.
    result<std::uint32_t> pending(const std::string& queue) const;

    /// Returns the current load of the cell.
    cell_load load() const;
    /// Returns the counters so far.
    cell_counters counterValues() const;
    /// Returns how far this owner is behind with its work; 0 if it has enough processor time.
    std::chrono::milliseconds lag() const;

private:
    struct data;
    std::shared_ptr<data> m_data;
};

} // namespace coriandermount::cells
