/// Internal state of `cell_owner`, shared by its source files.
#pragma once

#include <functional>
#include <limits>
#include <mutex>
#include <set>
#include <tuple>

#include "cells/admission_policy.h"
#include "cells/call_statistics.h"
#include "cells/cell_job_table.h"
#include "cells/cell_owner.h"
#include "cells/crash_suspicion.h"
#include "cells/evacuation.h"
#include "cells/neighbor_cells.h"
#include "cells/owner_lag.h"
#include "cells/service_capacity.h"
#include "cells/start_pace.h"
#include "cells/start_plan.h"
#include "cells/start_queue.h"
#include "cells/trial_gate.h"
#include "cells/worker_session.h"
#include "core/log.h"
#include "core/pause_monitor.h"
#include "core/tick_gaps.h"
#include "jobs/record_tail.h"

namespace coriandermount::cells {

/// Phase of an ownership term.
enum class owner_phase {
    idle,
    /// The owner record of the term is being written; it fences earlier owners.
    fencing,
    /// The stored records are being read.
    replaying,
    /// The records are replayed; orders are sent unless the term is paused.
    serving,
};

/// Offset of jobs that were submitted for the first time, which no earlier owner has seen.
inline constexpr std::uint64_t newestOffset = std::numeric_limits<std::uint64_t>::max();

struct cell_owner::data : std::enable_shared_from_this<cell_owner::data> {
    jobs::record_store& store;
    worker_link& link;
    const clock_source& clock;
    jobs::record_stream stream;
    cell_settings settings;

    mutable std::mutex mutex;
    /// Calls to make after the mutex is released.
    std::vector<std::function<void()>> deferredCalls;
    std::function<void()> onTermSuperseded;
    neighbor_cells* neighbors = nullptr;
    /// Jobs that were lent in an earlier term and that other cells have reported as running. `jobsLentUnanswered` holds those of
    /// this term.
    lent_jobs jobsLentEarlier;
    /// Lent job that ended here without an answer of the other cell, and the time until which that is remembered.
    struct unanswered_job {
        cell_number cell = 0;
        time_point until;
    };
    /// Jobs that their cells may still run, by id. A resubmission is lent to the same cell, which knows whether it runs the job.
    std::map<std::string, unanswered_job> jobsLentUnanswered;
    /// Highest epoch, by cell, in which another cell has queried its lent jobs that run here.
    std::map<cell_number, std::uint64_t> lenderEpochs;
    /// Whether a query for lent jobs has completed in this term.
    bool lentJobsQueryCompleted = false;
    /// Whether all other cells have reported the jobs that they run for this one.
    bool lentJobsComplete = false;
    time_point nextLentJobsQuery;
    /// Moving average of the CPU need of started tasks, in thousandths of a core.
    double averageTaskCpu = 1000.0;
    call_statistics calls;
    /// Share of the capacity that admitted jobs use which start by their objective, and so come ahead of those that can't.
    arriving_load admittedLoad;
    /// The same of all jobs that arrive, whether they are admitted or not.
    arriving_load offeredLoad;
    time_point countArrivalsFrom;
    return_schedule returns;
    owner_lag lag;
    pause_monitor pauses;
    start_pace pace;
    /// Capacities of the workers, by service, which hold until the given time.
    std::map<service_id, service_capacity> capacities;
    time_point capacitiesValidUntil;
    /// Cores of the workers that can run stored jobs of one size, as of the present forecast.
    std::map<start_queue::task_size, double> coresBySize;
    /// Expected starts of the waiting jobs, by service, as the capacity of the workers allows.
    std::map<service_id, start_plan> plans;
    /// The same as the processor time of this owner allows; empty while starts are not limited.
    std::optional<start_plan> ownerPlan;
    /// Value of `refusedForOverload` when starts were limited last.
    std::uint64_t refusedBeforeLimit = 0;

    owner_phase phase = owner_phase::idle;
    bool paused = false;
    /// Incremented at each end of a term, so that answers to calls of an earlier term are recognized and ignored.
    std::uint64_t termNumber = 0;
    ownership_term term;
    time_point takenOverAt;
    /// Since when this owner has accepted requests without a pause; empty while it does not.
    std::optional<time_point> acceptingSince;
    /// When all reachable VMs of the cell knew of this term; empty before.
    std::optional<time_point> termKnownAt;
    /// Whether the time is over in which runs of earlier owners are kept for jobs that are submitted again.
    bool resubmissionsOver = false;
    /// Position of the owner record: records after it were appended in this term.
    std::uint64_t ownerRecordOffset = 0;
    bool ownerRecordInFlight = false;
    time_point nextOwnerRecord;
    /// All records that were appended before this time have been applied.
    time_point recordsAsOf;
    /// Whether `setWorkers` has been called in this term.
    bool workersKnown = false;
    /// Whether every run that the previous owner started is either listed by its worker or has certainly ended.
    bool previousRunsKnown = false;
    /// Whether a worker was removed in this term before it had listed its runs, which may be those of the previous owner.
    bool unlistedWorkerRemoved = false;

    cell_job_table jobTable;
    std::map<worker_id, worker_session> sessions;
    /// Jobs with tasks that wait for a start.
    start_queue waiting;
    /// Where the next pass over each part of the queue goes on behind its front.
    std::array<queue_rank, queuePartCount> resumeAt;
    time_point nextSuspectedPass;
    time_point nextPlan;
    /// Passes the records that are read in one term to the owner.
    struct term_records;
    std::shared_ptr<term_records> termRecords;
    std::shared_ptr<jobs::record_tail> tail;

    // Batched writing of job ends and progress.
    std::uint64_t sequence = 0;
    std::uint64_t flushNumber = 0;
    std::optional<jobs::append_request> flush;
    bool flushInFlight = false;
    time_point nextFlush;
    std::vector<std::string> flushedJobs;
    /// Jobs of which the write in flight stores the progress.
    std::vector<std::string> storedProgress;
    /// Stored jobs of which a change or the end is not in a write yet.
    std::set<std::string> changedJobs;
    /// Number of the last run end that the write in flight makes durable, by worker and boot time.
    std::map<std::pair<worker_id, std::int64_t>, std::uint64_t> flushedEnds;
    /// Keys of records to delete because their job is finished, unknown or cannot be read.
    std::vector<std::string> obsoleteKeys;
    /// Keys of stored lists of finished jobs, by the time after which they are deleted.
    std::multimap<time_point, std::string> finishedKeys;

    /// A caller of `awaitState` and the time at which it is answered at the latest.
    struct state_watch {
        job_completion done;
        time_point until;
    };
    std::multimap<std::string, state_watch> stateWatches;

    /// Open jobs of the requests that keep-alives list. Entries of ended jobs are removed once in a while.
    std::map<jobs::request_id, std::string> jobsKeptAlive;
    tick_gaps contactChecks;
    time_point nextContactCheck;
    time_point nextContactCleanup;
    /// Requests that were withdrawn before they arrived, and the time until which they are remembered.
    std::map<jobs::request_id, time_point> withdrawnEarly;
    /// Ids of unstored jobs that have ended and are not yet removed from the table of open jobs.
    std::vector<std::string> endedUnstoredJobs;
    /// Tasks that completed before their unstored job was resubmitted to the new owner, by job.
    std::map<std::string, std::vector<task_key>> orphanedEnds;

    /// A run that has ended without a report of its worker, as a proof shows that covers the orders of this owner only.
    struct lost_run {
        task_key task;
        worker_id worker;
        std::uint64_t attempt = 0;
        time_point provedAt;
    };
    /// Lost runs whose tasks may not start again yet, because another owner may have taken over before the proof.
    std::vector<lost_run> unverifiedLosses;
    /// No other owner has given orders in the cell before this time: its owner record would have been read.
    time_point ownershipVerifiedAt;
    bool verificationInFlight = false;
    /// Whether a task waits that would fit on a worker which may not get tasks before the ownership is verified.
    bool workersAwaitVerification = false;
    time_point nextVerification;
    /// Offset after the last record that was read.
    std::uint64_t nextRecord = 0;
    /// Offset before which the verification has found no owner record of a successor.
    std::uint64_t verificationOffset = 0;
    /// Whether the verification reads the newest record of each key, because the next ones are not kept any more.
    bool verificationReadsNewest = false;

    /// Which cells are evacuated; empty until it has been read for the first time.
    std::optional<evacuation_state> evacuations;
    /// Evacuation of this cell.
    cell_evacuation evacuation;
    /// What has been logged about the evacuation in this term.
    struct evacuation_log {
        bool lastStart = false;
        bool empty = false;
    };
    evacuation_log evacuationLog;
    /// Processors that may be used by new starts while the cell returns to service.
    struct return_room {
        double cpuMillis = 0;
        /// Whether nothing runs in the cell.
        bool isIdle = false;
    };
    /// Empty while all the capacity may be used.
    std::optional<return_room> returnRoom;
    /// When the last task was started in this term.
    std::optional<time_point> lastStartAt;

    crash_suspicion suspicion;
    trial_gate trials;
    /// Tasks whose jobs are to be given up, and when.
    std::map<task_key, time_point> toGiveUp;
    /// When a pass that took long may be logged again.
    time_point nextPassReport;
    /// When a worker with runs was last found lost.
    time_point lastFallAt;
    cell_counters counters;

    data(jobs::record_store& target, worker_link& orders, const clock_source& time, jobs::record_stream source,
        const cell_settings& limits)
        : store(target)
        , link(orders)
        , clock(time)
        , stream(std::move(source))
        , settings(limits)
        , evacuation(limits.evacuationBound)
    {
    }

    /// Runs `work` under the mutex, then makes the calls in `deferredCalls` without it.
    template <class Work> void locked(const Work& work)
    {
        std::vector<std::function<void()>> calls;
        {
            const std::scoped_lock lock(mutex);
            work();
            calls.swap(deferredCalls);
        }
        for (const auto& call : calls)
            call();
    }
    /// Returns whether the request addresses this term and, if another cell lent the job, comes from that cell's newest known
    /// term.
    bool acceptsRequest(const jobs::run_request& request) const;
    /// Returns whether orders may be sent: the records are replayed and orders are not paused.
    bool givesOrders() const { return phase == owner_phase::serving && !paused; }
    /// Returns whether the process has just run on after a pause, so that the withdrawals of waiting jobs may be still unread.
    bool isSettling();

    // Term: cell_owner.cpp.
    void beginTerm(const ownership_term& next);
    void endTerm();
    void writeOwnerRecord(time_point now);
    void onOwnerRecordWritten(const result<std::uint64_t>& answer);
    void endSupersededTerm(std::string_view reason);
    class pass_report;
    void tick(time_point now);

    // Records: cell_owner_records.cpp.
    void onSnapshot(const std::vector<jobs::record>& records);
    void onRecord(const jobs::record& current);
    void onCaughtUp(time_point requestedAt);
    void replay(const jobs::record& current, time_point now);
    void apply(const jobs::record& current, time_point now);
    void applyAccepted(const jobs::record& current, time_point now);
    void applyCancelled(const std::string& jobId);
    void applyProgress(const std::string& jobId, const std::string& value);
    void applyFinished(const jobs::record& current, time_point now);
    void applyOwner(const std::string& value);
    /// Notes that the progress of a job has to be stored.
    void noteChange(open_job& job);
    void prepareFlush(time_point now);
    /// Adds changed jobs to the request; returns false when `maxFlushedRecords` leaves some out.
    bool writeJobs(jobs::append_request& request, time_point now);
    void writeFinishedJob(const std::string& id, const open_job& job, jobs::append_request& request);
    void dropOldRecords(jobs::append_request& request, time_point now);
    /// Stores the ends of unstored jobs for the next owner, without waiting for the answer of the store.
    void storeUnstoredEnds(time_point now);
    void markEndsDurable();
    void sendFlush(time_point now);
    void onFlush(const result<std::uint64_t>& answer);

    // Verification of the ownership: cell_owner_verification.cpp.
    /// Requeues the task of a lost run once no other owner can have taken over before the proof.
    void requeueWhenVerified(lost_run lost);
    /// Returns whether a lost run of the task has not been verified yet.
    bool hasUnverifiedLoss(const task_key& key) const;
    /// Returns whether a successor of this owner would know the boot of the worker, because none had taken over when it appeared.
    /// Any other boot may execute an order of a superseded owner, as it may not have seen the token of the successor.
    bool isVerified(const worker_session& session) const { return session.appearedAt() <= ownershipVerifiedAt; }
    /// Reads whether another owner has taken over, if a lost run or a worker has to be verified: the records after the last one
    /// that was read, or the newest record of each key when these are not kept any more.
    void verifyOwnership(time_point now);
    void onVerificationAnswer(time_point requestedAt, const result<jobs::record_batch>& answer);
    /// Notes that no other owner had taken over at `time`, and requeues the tasks whose runs were lost before.
    void noteOwnershipVerified(time_point time);

    // Unstored jobs and lent jobs: cell_owner_runs.cpp.
    void run(jobs::run_request request, job_completion done);
    void addRun(jobs::run_request request, job_completion done, time_point now);
    /// Returns the highest epoch of the owners of another cell that this owner has heard of.
    std::uint64_t knownEpoch(cell_number cell) const;
    /// Notes that the home cell of a lent job waits for it.
    void noteClaim(open_job& job, const std::optional<jobs::lender>& lender, time_point now);
    /// Ends lent jobs that a later owner of their home cell has not submitted again: their callers may have left unnoticed.
    void endUnclaimedLentJobs(time_point now);
    /// Handles a request that tells that an earlier owner may have started a job that seemed to be new.
    void noteEarlierOwner(open_job& job);
    void adoptOrphans(open_job& job);
    /// Lends a job to a cell that has free capacity when this one has too little; returns whether the job was lent.
    bool lend(open_job& job, time_point now);
    /// Returns whether any worker of this cell may still run a task of the job.
    bool hasRunsOf(const std::string& jobId) const;
    /// Returns the cell that may run the job because it was lent before; empty if no such cell is known.
    std::optional<cell_number> earlierBorrower(const std::string& id) const;
    void lendTo(cell_number cell, open_job& job, bool mayHaveStarted, time_point now);
    /// Completes and removes a waiting request of a job; returns false if the job has no such request.
    bool removeWaiter(open_job& job, const jobs::request_id& request);
    /// Removes the caller of a withdrawn request.
    void withdraw(const std::string& id, const jobs::request_id& request, withdrawal_reason reason, time_point now);
    // Contact with callers: cell_owner_contacts.cpp.
    void noteKeepAlive(const keep_alive& current, time_point now);
    void addWaiter(open_job& job, const jobs::run_request& request, job_completion done, time_point now);
    /// Returns when a VM was last heard at which a caller of the job waits; empty if no caller is known or if some caller's VM
    /// sends no keep-alives.
    static std::optional<time_point> lastContact(const open_job& job);
    /// Returns whether a VM of the job's callers was heard within `limit` before `now`, or longer ago by the lag of this owner.
    bool hasContact(const open_job& job, std::chrono::milliseconds limit, time_point now) const;
    /// Returns the time by which a lease of the worker that is granted now has to end: a run may go on only while its caller is
    /// known to wait.
    time_point leaseLimit(const worker_session& session) const;
    /// Stops the runs of jobs whose callers are not heard, and lets jobs go on whose callers are heard again.
    void checkContacts(time_point now);
    void stopWithoutContact(const open_job& job, time_point now);
    void resumeContact(const open_job& job, time_point now);

    /// Stops the runs of an unknown job that the earlier owner has started.
    void stopOrphans(const std::string& id, time_point now);
    /// Ends, or lets end, a job that no caller waits for any more; `heardAt` is when the last one was known to wait.
    void withdrawJob(open_job& job, withdrawal_reason reason, time_point heardAt, time_point now);
    /// Ends the jobs whose callers have left, because the next owner can't tell their runs from those of callers that wait.
    void endWithdrawnJobs(time_point now);
    /// Ends and removes a job. `job` is not valid afterwards.
    void discardWithdrawnJob(open_job& job, withdrawal_outcome outcome);
    void noteWithdrawal(const std::string& id, withdrawal_outcome outcome);
    /// Counts and logs what became of a run of an earlier owner.
    void noteOrphan(const task_key& key, const worker_id& worker, orphan_outcome outcome, time_point now);
    /// Returns whether VMs may still submit again jobs of which an earlier owner has started runs.
    bool awaitsResubmissions(time_point now) const;
    /// Limits the leases of all workers with runs of a job whose callers have left.
    void limitLeases(const std::string& jobId, time_point limit);
    /// Lifts these limits, and renews the leases at once.
    void liftLeaseLimits(const std::string& jobId, time_point now);
    /// Stops the known runs of a job that stays open.
    void stopRunsOf(const open_job& job, time_point now);
    /// Stops the runs of earlier owners whose jobs no VM has submitted again in time.
    void stopUnclaimedRuns(time_point now);
    void onLentAnswer(const std::string& id, const result<jobs::job_state>& result);
    void queryLentJobs();
    void onLentJobs(const lent_jobs& lent, bool complete, time_point now);
    std::int64_t idleCpu(const service_id& service, time_point now) const;
    void answer(open_job& job, const result<jobs::job_state>& result);
    void watchState(const std::string& id, job_completion done, time_point now);
    void answerWatches(const std::string& id, jobs::job_state state);
    void expireWatches(time_point now);
    result<jobs::job_state> stateOf(const std::string& id) const;
    void checkUnstoredJobs(time_point now);
    void failWaiters(std::string_view reason);

    // Evacuation of the cell: cell_owner_evacuation.cpp.
    void setEvacuations(const evacuation_state& state, time_point now);
    /// Logs a change of the evacuation, with the age of what is known and the runs that are left.
    void reportEvacuation(std::string_view message, time_point now) const;
    /// Moves the waiting jobs of an evacuated cell, and logs its last start and when it is empty.
    void trackEvacuation(time_point now);
    /// Returns whether the job may start now, as far as evacuations are concerned.
    bool evacuationAllows(const open_job& job, time_point now) const;
    /// Answers the callers of unstored jobs whose remaining tasks can't start here any more and of which no task runs.
    void answerUnfinishedJobs();
    /// Computes what the ramp after an evacuation leaves for new starts.
    void updateReturnRoom(time_point now);
    void useReturnRoom(double cpuMillis);
    /// Returns the cells that can't take the job: evacuated ones, and those that have refused it.
    std::set<cell_number> cellsWithout(const open_job& job) const;
    /// Returns whether a cell may take the job that has no owner at the moment.
    bool awaitsOwner(const open_job& job, time_point now) const;
    /// Decides about a job of an evacuated cell: lends it, refuses it if no cell takes it, or queues it if too little is known.
    /// `job` may not be valid afterwards.
    void admitElsewhere(open_job& job, time_point now);
    /// Lends a job of an evacuated cell; returns false if no cell takes it.
    bool relocate(open_job& job, time_point now);
    /// Notes that another cell has refused a job of an evacuated cell.
    void noteRelocationRefused(open_job& job, cell_number by, const error& refusal);
    std::size_t runsLeft() const;
    /// Returns the processors of all workers, and the part of them that runs use, in thousandths of a core.
    std::pair<double, double> cellCpu(time_point now) const;

    // Too little processor time: cell_owner_overload.cpp.
    /// Adapts the limit on starts to the lag of this owner.
    void limitStarts(time_point now);
    /// Returns the time that is added to limits because answers are handled late.
    std::chrono::milliseconds lagAllowance(time_point now) const;
    /// Returns the time by which jobs end later because this owner lags: the request was read, orders are given and the end is
    /// handled that much later.
    std::chrono::milliseconds lagTime(time_point now) const { return 3 * lagAllowance(now); }
    /// Returns whether a call may have failed for the lag of this owner, so that it says nothing about its worker.
    bool mayBeOwnLag(order_failure failure, time_point now) const;
    std::uint64_t refusedForOverload() const
    {
        return counters.refusedJobs[static_cast<std::size_t>(refusal_reason::owner_overloaded)];
    }

    // Admission of jobs whose callers wait: cell_owner_admission.cpp.
    static waiting_job waitingJob(const open_job& job);
    /// Returns whether the job may still be refused: its caller waits, and nothing of it has started in this term.
    static bool isRefusable(const open_job& job) { return job.accepted.work.answeredAtEnd && !job.started && !job.ended; }
    /// Decides about a job that is not lent: queues it, and starts it if there is free capacity, or refuses it because it can't
    /// start in time. Queues it without a decision if too little is known. `job` may not be valid afterwards.
    void admit(open_job& job, time_point now);
    /// Admits a job: queues it at a place at which it starts in time and delays no other job of its priority beyond the start
    /// that that job was promised. Returns the reason for a refusal if there is no such place.
    std::optional<refusal_reason> enqueueInTime(open_job& job, time_point now);
    /// Place in the order of starts, and the waits behind the work ahead of it for the workers and for this owner.
    struct expected_place {
        time_point order;
        std::chrono::microseconds workerWait { 0 };
        std::chrono::microseconds ownerWait { 0 };

        std::chrono::microseconds wait() const { return std::max(workerWait, ownerWait); }
    };
    /// Returns the first place from `order` on at which the job breaks no promise.
    expected_place findPlace(const open_job& job, time_point order, time_point now);
    /// Returns whether a larger share of a class is admitted than of all jobs of its priority, while there are too many of them.
    /// Jobs of one priority are equals, but those that may wait for longer find room more easily.
    bool isFavored(arrival_class jobClass, time_point now) const;
    /// Returns why no worker can run the job while its caller waits; empty if one can, or if that is not known yet.
    std::optional<refusal_reason> findMissingCapacity(const open_job& job);
    /// Returns the time before which a worker that fails polls must last have answered to count as silent.
    time_point silentFrom(time_point now) const;
    /// Returns whether a worker of `service` can be expected to take tasks of a step by `until`. One that fails polls must have
    /// answered after `heardSince`.
    static bool isUsable(const worker_session& session, const service_id& service, const jobs::step& step, time_point heardSince,
        time_point until);
    /// Returns the cores that tasks may use on a worker.
    static double coresOf(const worker_session& session, time_point now);
    /// Returns the capacity of the workers of a service, as it was at most `planInterval` ago.
    const service_capacity& capacityOf(const service_id& service, time_point now);
    /// Returns the cores of the workers that can be expected to run tasks of a step until `until`.
    double usableCores(const service_id& service, const jobs::step& step, time_point until);
    /// Returns the cores for the step of the job that fewest workers can run.
    double usableCores(const open_job& job);
    /// Returns the time for which the waiting tasks of a job use all workers that can run them.
    std::chrono::microseconds serviceTime(const open_job& job);
    /// Returns the job as a plan sees it that has a capacity which the job uses for `serviceTime`.
    static planned_job plannedJob(const open_job& job, std::chrono::microseconds serviceTime);
    /// Adds a waiting job to the plans and returns its expected start.
    time_point addToPlans(const open_job& job);
    /// Moves stored jobs that have missed their objective behind the others of their priority: their callers were answered, and
    /// those of the others wait or can still get their result in time.
    void moveOverdueJobs(time_point now);
    /// Adds the stored work from `next` on, up to the position `until` or all of it, to the plans.
    void planStoredWork(start_queue::backlog::const_iterator& next, const std::optional<start_position>& until, time_point now);
    /// Forecasts the starts of all waiting jobs, and refuses those that can't start in time any more.
    void planStarts(time_point now);
    /// Returns when the caller of a refused job should return.
    std::chrono::milliseconds returnAfter(const open_job& job, refusal_reason reason, time_point now);
    /// Lends jobs that wait to cells that have free capacity by now.
    void lendWaitingJobs(time_point now);
    /// Answers the callers of a job that has not started in this term: it has not run, unless an earlier owner started it.
    /// Forgets the job; `job` is not valid afterwards.
    void refuseJob(open_job& job, refusal_reason reason, time_point now);
    /// Counts and logs a refusal of a job whose caller had `timeLimit` when the job came to this owner.
    void noteRefusal(const std::string& id, refusal_reason reason, std::chrono::milliseconds waited,
        std::chrono::milliseconds timeLimit, std::chrono::milliseconds returnAfter);

    // Jobs: cell_owner_jobs.cpp.
    void enqueue(const open_job& job);
    void dequeue(const open_job& job);
    std::size_t waitingJobs() const { return waiting.size(); }
    /// Returns where a job waits.
    queue_part queuePartOf(const open_job& job) const;
    /// Updates what the queue knows of a job if it waits.
    void updateQueue(const open_job& job);
    /// Lets the jobs start that have waited for the runs of earlier owners.
    void releaseHeldJobs(time_point now);
    /// Largest free CPU of a worker that accepts starts, by service. Not updated when capacity is used; an upper bound.
    using largest_free_cpu = std::map<service_id, std::int64_t>;
    largest_free_cpu largestFreeCpu(time_point now) const;
    /// Starts tasks of the jobs at the front of a part of the queue. Of the jobs behind those that can't be placed, a part is
    /// looked at in each pass, from `resumeAt` on, so that every job has its turn.
    void scheduleQueue(queue_part part, largest_free_cpu& largestFree, time_point now);
    /// Starts tasks of the jobs from `entry` on until `maxBlocked` jobs could not be placed; returns the first job that was not
    /// looked at.
    std::set<queue_rank>::const_iterator scheduleFrom(queue_part part, std::set<queue_rank>::const_iterator entry, int maxBlocked,
        largest_free_cpu& largestFree, time_point now);
    /// Returns whether the tasks of the job that wait may fit on a worker.
    bool mayFit(const open_job& job, const largest_free_cpu& largestFree) const;
    void requeue(const task_key& key, const worker_id& from, std::uint64_t attempt);
    void completeTask(open_job& job, const task_key& key, const worker_id& by);
    void failTask(open_job& job, const task_key& key, const worker_id& by, std::uint64_t attempt);
    void endJob(open_job& job, jobs::job_state state);
    void schedule(time_point now);
    /// Returns whether any worker may still run an attempt of the task.
    bool runsOnAnyWorker(const task_key& key) const;
    /// Starts the waiting tasks of all steps that are ready; returns whether all of them were placed.
    bool scheduleJob(open_job& job, time_point now);
    /// Starts the waiting tasks of one step; returns whether all of them were placed.
    bool scheduleStep(open_job& job, std::uint32_t step, time_point now);
    /// Starts all tasks of a gang or none; returns whether they were started. Stops members that still run when others have
    /// ended.
    bool scheduleGang(open_job& job, std::uint32_t step, time_point now);
    /// Returns whether the usable workers of one rack have room for all members of a gang once the tasks there that end by
    /// themselves have ended.
    bool fitsIntoOneRack(const open_job& job, std::uint32_t step, time_point now) const;
    std::set<std::string> racks() const;
    /// Returns the best worker with enough free capacity, or null. `rack` limits the choice to one rack; empty for any.
    worker_session* chooseWorker(
        const open_job& job, std::uint32_t step, const task_state& task, const std::string& rack, time_point now);
    void noteCheckpoint(open_job& job, const task_key& key, const std::string& checkpoint);
    bool mayStart(const open_job& job, time_point now);
    bool knowsPreviousRuns(time_point now);
    bool recordsAreCurrent(time_point now) const;
    cell_load currentLoad();

    // Jobs that crash workers: cell_owner_crashes.cpp.
    /// Returns what is known of a run of a worker that was lost.
    exposed_run exposedRun(const worker_session& session, const task_key& key, const worker_run& current, time_point now) const;
    /// Returns whether the task belongs to a job that has not ended, and is not done.
    bool isOpen(const task_key& key);
    /// Records that a worker was first found not to answer, with the runs that it may have been executing. `sentAt` is the time
    /// of the call that was refused.
    void noteFall(const worker_session& session, time_point sentAt, time_point now);
    /// Records that a worker has stopped answering while it may have executed the given runs.
    void noteSilence(const worker_session& session, const std::vector<exposed_run>& dropped, time_point now);
    /// Records the same of a worker of which it is not known whether it has crashed.
    void noteSilentLoss(const worker_registration& worker, const std::vector<exposed_run>& dropped, time_point now);
    /// Records that a worker has not crashed in its present boot.
    void noteAlive(const worker_registration& worker);
    /// Returns whether the task runs until its job is cancelled, so that it is never given up.
    static bool isLongRunning(const open_job& job, const task_key& key);
    /// Logs the loss of a worker with runs, and how many others were lost at that time.
    void reportLoss(const worker_session& session, const std::vector<exposed_run>& dropped, time_point now) const;
    /// Logs and counts losses of workers under their tasks.
    void reportLosses(const std::vector<judged_loss>& losses, time_point now);
    /// Logs what losses say about their tasks, once that is settled.
    void reportSettledLosses();
    /// Gives up the job of a task that is to blame, unless other workers turn out to have been lost together with its own.
    void giveUpLater(const task_key& key, time_point now);
    /// Returns whether a call to the worker would show whether it was lost together with another one.
    bool isWitness(const worker_session& session, time_point now) const;
    void giveUpBlamed(time_point now);
    void giveUp(open_job& job, const task_key& key);
    /// Returns whether tasks of the job start only on a worker that is reserved for it. Long-running ones may start elsewhere.
    bool isRestricted(const open_job& job) const;
    /// Starts waiting tasks of a suspected job on the worker that is reserved for it. Long-running tasks that have no place of
    /// their own there start like those of other jobs, unless they are held back. Returns whether all tasks were started.
    bool scheduleRestricted(open_job& job, std::uint32_t step, time_point now);
    /// Plans trials of the given tasks of a step where they are needed. Returns whether all of them are stored and may start now.
    bool prepareTrial(const open_job& job, std::uint32_t step, const std::vector<std::uint32_t>& tasks, time_point now);
    /// Notes which trials have shown what they can.
    void checkTrials(time_point now);
    /// Removes the reservation of workers on which nothing of the job runs.
    void releaseIdleReservations(const std::string& jobId);
    /// Reserves the best worker for a step of a suspected job; returns null if there is none.
    worker_session* reserveWorker(const open_job& job, std::uint32_t step, time_point now);
    /// Returns whether a worker on which the step fits is reserved for the job.
    bool hasReservedWorker(const open_job& job, std::uint32_t step) const;
    /// Ends reservations that are not needed any more, and forgets suspicions that have expired.
    void checkSuspicions(time_point now);

    // Start and stop orders: cell_owner_orders.cpp.
    /// Returns whether the attempt was numbered in this ownership term.
    bool isOfThisTerm(std::uint64_t attempt) const;
    /// Starts a task on a worker, where it is expected to take `slowdown` times as long as estimated.
    void start(open_job& job, const task_key& key, worker_session& session, time_point now, double slowdown = 1);
    void sendStart(open_job& job, const task_key& key, worker_session& session, time_point now);
    bool retryStart(worker_session& session, const task_key& key, const worker_run& current, time_point now);
    /// Returns the session of the boot that an order was sent to, or null if the worker has restarted since or is gone. Answers
    /// to orders of an earlier boot prove nothing about the present one.
    worker_session* sessionOf(const worker_registration& addressee);
    void onStart(const worker_registration& addressee, const task_key& key, std::uint64_t attempt, time_point sentAt,
        const tl::expected<order_answer, order_failure>& answer);
    /// Records whether a call was answered, and how fast.
    void noteCall(worker_session* session, time_point sentAt, std::optional<order_failure> failure, time_point now);
    /// Records how long it was not known what became of a run.
    void noteResolved(worker_run& current, time_point now);
    /// Requeues the task only if no try of the start order can have been executed. Otherwise the run is kept until a poll, or the
    /// end of the lease, shows what became of it.
    start_decision onStartFailed(
        worker_session& session, const task_key& key, worker_run& current, order_failure failure, time_point now);
    /// Pauses starts on a worker according to the failure of its last start order.
    static void pauseStarts(worker_session& session, order_failure failure, time_point now);
    /// Logs and counts a failed try of a start order.
    void reportFailedStart(
        const worker_id& id, const task_key& key, const worker_run& failed, order_failure failure, start_decision decision);
    void stopRun(worker_session& session, const task_key& key, time_point now);
    void onStop(const worker_registration& addressee, const task_key& key, std::uint64_t attempt, time_point sentAt,
        const tl::expected<order_answer, order_failure>& answer);

    // Workers: cell_owner_workers.cpp.
    void updateWorker(worker_registration registration, time_point now);
    void removeWorker(const worker_id& id);
    /// Requeues the runs that the worker can no longer start after `startableAtMost`. The leases of the worker must have ended.
    void dropRuns(worker_session& session, time_point startableAtMost, run_end_proof proof, time_point now);
    /// Handles a run that has ended, as `proof` shows, although its worker has not reported the end.
    void handleLostRun(
        const worker_session& session, const task_key& key, const worker_run& lost, run_end_proof proof, time_point now);
    void pollWorkers(time_point now);
    /// Polls a worker if its next poll is due, or if a poll can show what became of a run.
    void pollIfDue(worker_session& session, time_point now);
    void poll(worker_session& session, time_point now);
    /// Polls a worker without waiting for the answer to a poll in flight, which is ignored.
    void pollAtOnce(worker_session& session, time_point now);
    std::chrono::milliseconds pollWait(const worker_session& session, time_point now) const;
    void onPollAnswer(const worker_registration& addressee, std::uint64_t pollNumber, time_point sentAt, bool immediate,
        const tl::expected<poll_answer, order_failure>& answer);
    void onPollFailed(worker_session& session, order_failure failure, time_point now);
    void applyPollAnswer(worker_session& session, time_point sentAt, const poll_answer& answer, time_point now);
    /// Notes whether a worker has listed all ends that are not acknowledged.
    void noteEndList(worker_session& session, bool complete);
    void applyEnd(worker_session& session, const ended_task& ended, time_point now);
    void applyEndToJob(open_job& job, const ended_task& ended, const worker_id& by);
    void applyRunning(worker_session& session, const running_task& listed, time_point now);
    void adoptRun(worker_session& session, const running_task& listed, time_point now);
    void dropUnlistedRuns(worker_session& session, time_point sentAt, const poll_answer& answer, time_point now);
    void checkProgress(worker_session& session, const task_key& key, worker_run& current, time_point now);
};

/// A read of an ended term may still be delivering records when the next term begins; these are ignored.
struct cell_owner::data::term_records final : jobs::record_listener {
    term_records(std::weak_ptr<data> target, std::uint64_t number)
        : owner(std::move(target))
        , termNumber(number)
    {
    }

    /// Runs `work` under the mutex of the owner if its term has not ended.
    template <class Work> void locked(const Work& work)
    {
        if (const auto current = owner.lock()) {
            current->locked([&] {
                if (current->termNumber == termNumber)
                    work(*current);
            });
        }
    }
    void onSnapshot(const std::vector<jobs::record>& records) override
    {
        locked([&](data& current) { current.onSnapshot(records); });
    }
    void onRecord(const jobs::record& record) override
    {
        locked([&](data& current) { current.onRecord(record); });
    }
    void onCaughtUp(time_point requestedAt) override
    {
        locked([&](data& current) { current.onCaughtUp(requestedAt); });
    }

    std::weak_ptr<data> owner;
    std::uint64_t termNumber;
};

} // namespace coriandermount::cells
