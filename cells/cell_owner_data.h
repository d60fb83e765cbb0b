/// State of a cell's owner, shared by the files that implement it.
#pragma once

#include <functional>
#include <mutex>
#include <set>
#include <tuple>

#include "cells/cell_owner.h"
#include "cells/job_book.h"
#include "cells/neighbor_cells.h"
#include "cells/worker_session.h"
#include "core/log.h"
#include "jobs/record_tail.h"

namespace coriandermount::cells {

enum class owner_phase {
    idle,
    /// The mark of the term is being written.
    fencing,
    /// The records are being read.
    replaying,
    serving,
};

/// Order in which jobs get room: by priority, then by objective.
using queue_rank = std::tuple<std::uint32_t, time_point, std::string>;

/// Tasks that run until their job is cancelled go before all others: they are owed room at any time.
inline queue_rank rankOf(const open_job& job)
{
    return { job.isLongRunning() ? 0 : job.accepted.priority + 1, job.objective, job.accepted.work.id };
}

struct cell_owner::data : jobs::record_listener, std::enable_shared_from_this<cell_owner::data> {
    jobs::record_store& store;
    worker_link& link;
    const clock_source& clock;
    jobs::record_stream stream;
    cell_settings settings;

    mutable std::mutex mutex;
    /// Calls that are made once the mutex is released.
    std::vector<std::function<void()>> outbox;
    std::function<void()> superseded;
    neighbor_cells* neighbors = nullptr;
    /// Jobs that other cells run for this one since an earlier term.
    lent_jobs lentBefore;
    /// Highest epoch of each cell that has asked what this one runs for it.
    std::map<cell_number, std::uint64_t> lenderEpochs;
    bool lentKnown = false;
    /// Every other cell that has an owner has told what it runs.
    bool lentComplete = false;
    time_point nextLentQuestion;
    /// Average need of the tasks that were started.
    double usualCpu = 1000.0;

    owner_phase phase = owner_phase::idle;
    bool paused = false;
    /// Tells answers to orders of an earlier term apart.
    std::uint64_t termNumber = 0;
    ownership_term term;
    time_point takenOverAt;
    std::uint64_t markOffset = 0;
    bool markInFlight = false;
    time_point nextMark;
    /// Every record that was appended before this time has been applied.
    time_point recordsAsOf;
    bool workersKnown = false;
    /// Every run of the previous owner is accounted for.
    bool settled = false;

    job_book book;
    std::map<worker_id, worker_session> sessions;
    std::set<queue_rank> ready;
    std::unique_ptr<jobs::record_tail> tail;

    // Writing of ends.
    std::uint64_t sequence = 0;
    std::uint64_t flushNumber = 0;
    std::optional<jobs::append_request> flush;
    bool flushInFlight = false;
    time_point nextFlush;
    std::vector<std::string> flushedJobs;
    /// Last end of each life of a worker that the write covers.
    std::map<std::pair<worker_id, std::int64_t>, std::uint64_t> flushedEnds;
    /// Records that are of no use any more.
    std::vector<std::string> strayKeys;
    /// Stored lists of finished jobs with the time after which they are dropped.
    std::multimap<time_point, std::string> finishedKeys;

    /// Callers that wait a moment for the end of a stored job, and until when.
    struct state_watch {
        job_completion done;
        time_point until;
    };
    std::multimap<std::string, state_watch> stateWatches;

    /// Jobs that are not stored and have ended.
    std::vector<std::string> endedRuns;
    /// Tasks that ended before their job was handed in again.
    std::map<std::string, std::vector<task_key>> orphanEnds;

    cell_figures figures;

    data(jobs::record_store& target, worker_link& orders, const clock_source& time, jobs::record_stream source,
        const cell_settings& limits)
        : store(target)
        , link(orders)
        , clock(time)
        , stream(std::move(source))
        , settings(limits)
    {
    }

    /// Runs `work` under the mutex, then the calls that it has put into the outbox.
    template <class Work> void locked(const Work& work)
    {
        std::vector<std::function<void()>> calls;
        {
            const std::scoped_lock lock(mutex);
            work();
            calls.swap(outbox);
        }
        for (const auto& call : calls)
            call();
    }
    /// The request is meant for this term, and not from a term of another cell that is over.
    bool takes(const jobs::run_request& request) const;
    bool givesOrders() const { return phase == owner_phase::serving && !paused; }

    // Term: cell_owner.cpp.
    void begin(const ownership_term& next);
    void end();
    void writeMark(time_point now);
    void onMark(const result<std::uint64_t>& answer);
    void loseTerm(std::string_view reason);
    void tick(time_point now);

    // Records: cell_owner_records.cpp.
    void onSnapshot(const std::vector<jobs::record>& records) override;
    void onRecord(const jobs::record& current) override;
    void onContact(time_point asked) override;
    void replay(const jobs::record& current, time_point now);
    void apply(const jobs::record& current, time_point now);
    void applyAccepted(const jobs::record& current, time_point now);
    void applyCancelled(const std::string& jobId);
    void applyProgress(const std::string& jobId, const std::string& value);
    void applyFinished(const jobs::record& current, time_point now);
    void applyOwner(const std::string& value);
    void prepareFlush(time_point now);
    /// Adds what changed; returns false when not all of it fits.
    bool writeJobs(jobs::append_request& request, time_point now);
    void writeFinishedJob(const std::string& id, const open_job& job, jobs::append_request& request);
    void dropOldRecords(jobs::append_request& request, time_point now);
    void markEndsDurable();
    void sendFlush(time_point now);
    void onFlush(const result<std::uint64_t>& answer);

    // Jobs that are not stored: cell_owner_runs.cpp.
    void run(jobs::run_request request, job_completion done);
    void addRun(jobs::run_request request, job_completion done, time_point now);
    void attachOrphans(open_job& job);
    /// Hands a job to another cell when that one has idle workers and this one has none; returns whether it did.
    bool lend(open_job& job, time_point now);
    void lendTo(cell_number cell, open_job& job, time_point now);
    void onLentAnswer(const std::string& id, const result<jobs::job_state>& result);
    void queryLentJobs();
    void onLentJobs(const lent_jobs& lent, bool complete, time_point now);
    std::int64_t idleCpu(const service_id& service, time_point now) const;
    void answer(open_job& job, const result<jobs::job_state>& result);
    void watchState(const std::string& id, job_completion done, time_point now);
    void answerWatches(const std::string& id, jobs::job_state state);
    void expireWatches(time_point now);
    result<jobs::job_state> stateOf(const std::string& id) const;
    void checkRuns(time_point now);
    void failWaiters(std::string_view reason);

    // Jobs: cell_owner_jobs.cpp.
    void enqueue(const open_job& job);
    void requeue(const task_key& key, const worker_id& from, std::uint64_t attempt);
    void completeTask(open_job& job, const task_key& key, const worker_id& by);
    void failTask(open_job& job, const task_key& key, const worker_id& by, std::uint64_t attempt);
    void endJob(open_job& job, jobs::job_state state);
    void schedule(time_point now);
    /// An earlier run of the task has not ended yet.
    bool runsSomewhere(const task_key& key) const;
    bool scheduleJob(open_job& job, time_point now);
    /// Starts the waiting tasks of one step; returns whether all of them found room.
    bool scheduleStep(open_job& job, std::uint32_t step, time_point now);
    /// Starts all tasks of a gang or none. Stops members that are left when others have ended.
    bool scheduleGang(open_job& job, std::uint32_t step, time_point now);
    std::set<std::string> racks() const;
    /// `rack` limits the choice to one rack; empty for any.
    worker_session* chooseWorker(
        const open_job& job, std::uint32_t step, const task_state& task, const std::string& rack, time_point now);
    void noteCheckpoint(open_job& job, const task_key& key, const std::string& checkpoint);
    bool mayStart(const open_job& job, time_point now);
    bool isSettled(time_point now);
    bool recordsAreCurrent(time_point now) const;
    cell_load currentLoad() const;

    // Workers: cell_owner_workers.cpp.
    void updateWorker(worker_registration registration, time_point now);
    void removeWorker(const worker_id& id);
    void dropRuns(worker_session& session);
    /// Places a task again whose run has ended with its worker.
    void loseRun(const worker_session& session, const task_key& key, const worker_run& lost);
    void start(open_job& job, const task_key& key, worker_session& session, time_point now);
    void sendStart(open_job& job, const task_key& key, worker_session& session, time_point now);
    bool repeatStart(worker_session& session, const task_key& key, const worker_run& current, time_point now);
    void onStart(
        const worker_id& id, const task_key& key, std::uint64_t attempt, const tl::expected<order_answer, order_failure>& answer);
    void onStartRefused(worker_session& session, const task_key& key, worker_run& current, order_failure failure, time_point now);
    void stopRun(worker_session& session, const task_key& key, time_point now);
    void onStop(
        const worker_id& id, const task_key& key, std::uint64_t attempt, const tl::expected<order_answer, order_failure>& answer);
    void holdWorkers(time_point now);
    void hold(worker_session& session, time_point now);
    void onHold(
        const worker_id& id, std::int64_t bornAt, time_point sentAt, const tl::expected<hold_answer, order_failure>& answer);
    void onHoldFailed(worker_session& session, order_failure failure, time_point now);
    void applyHold(worker_session& session, time_point sentAt, const hold_answer& answer, time_point now);
    void applyEnd(worker_session& session, const ended_task& ended, time_point now);
    void countEnd(open_job& job, const ended_task& ended, const worker_id& by);
    void applyRunning(worker_session& session, const running_task& listed, time_point now);
    void adopt(worker_session& session, const running_task& listed, time_point now);
    void dropUnlisted(worker_session& session, time_point sentAt, const hold_answer& answer, time_point now);
    void checkProgress(worker_session& session, const task_key& key, worker_run& current, time_point now);
};

} // namespace coriandermount::cells
