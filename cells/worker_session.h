/// State that the owner of a cell keeps for one worker.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>

#include "cells/cell_settings.h"
#include "cells/evacuation.h"
#include "cells/worker_link.h"

namespace coriandermount::cells {

/// State of a run on a worker, as its owner knows it.
enum class run_state {
    /// The start order is in flight, or its answer was lost.
    starting,
    running,
    /// A stop order was sent.
    stopping,
};

/// Start limit of runs that their worker may start at any time. Margins can be added to it without an overflow.
inline constexpr time_point noStartLimit = time_point::max() - std::chrono::hours(24);

/// One attempt of a task on one worker.
struct worker_run {
    std::uint64_t attempt = 0;
    run_state state = run_state::starting;
    jobs::resources need;
    /// Expected run time; 0 when it is not known.
    std::chrono::milliseconds estimate { 0 };
    time_point sentAt;
    /// Time at which the worker first confirmed the run.
    std::optional<time_point> confirmedAt;
    /// Time from which on a poll shows whether the run has ended: one that is sent later lists the run unless it has ended. Empty
    /// until the last order about the run is answered.
    std::optional<time_point> provableFrom;
    /// Time by which the lease in the start order has certainly ended on the worker's clock, so that the worker refuses the
    /// order from then on.
    time_point startableUntil;
    /// Number of times that the start order was sent.
    int tries = 0;
    /// Whether a try of the start order has neither been answered nor failed yet.
    bool startInFlight = false;
    /// Whether a try of the start order had no answer and the run is not confirmed: the worker may have executed that try, or may
    /// still do so until `startableUntil`.
    bool uncertain = false;
    /// Progress in percent.
    int percent = 0;
    /// Time of the last change of `percent`.
    time_point progressAt;
    std::optional<time_point> stopSentAt;
    /// When a try of the start order first had no answer; empty once it is known what became of the run.
    std::optional<time_point> unansweredSince;
    /// Whether a poll of this boot of the worker has listed the run.
    bool listed = false;
    /// Whether the run continues until its job is cancelled; such a run reports no progress.
    bool longRunning = false;
    /// Whether an earlier owner started the run for a job that is not known to this owner yet.
    bool orphaned = false;
    /// Time by which the worker's lease has to end, because the caller has left and may submit the job elsewhere; empty while a
    /// caller waits.
    std::optional<time_point> leaseLimit;
};

/// State of one boot of a worker: its runs, its lease, and its recent behaviour. Not thread-safe.
class worker_session {
public:
    worker_session(worker_registration registration, time_point now);

    const worker_registration& registration() const { return m_registration; }
    /// Replaces the registration by a newer one of the same boot.
    void update(worker_registration registration, time_point now)
    {
        m_warmup.note(registration.coldLeft, now);
        m_registration = std::move(registration);
    }

    /// Returns when the registration of this boot arrived, or arrived again after the worker had been deregistered.
    time_point appearedAt() const { return m_appearedAt; }
    /// Records that the worker has been registered since the session began.
    void noteRegistered(time_point now)
    {
        deregistered = false;
        m_appearedAt = now;
    }

    /// Records the worker's clock, as read from an answer that arrived at `now`.
    void noteClock(worker_time clock, time_point now);
    bool knowsClock() const { return m_clockAt.has_value(); }

    /// Returns the end, on the worker's clock, of a lease of length `maxLease` that starts at `now` and ends by `limit`, and
    /// records the lease as granted. `limit` shortens the new lease only; a longer one that was granted before holds. Returns 0
    /// while the worker's clock is not known.
    worker_time extendLease(std::chrono::milliseconds maxLease, time_point limit, time_point now);
    /// Returns the earliest `leaseLimit` of all runs; the highest time if no run has one.
    time_point leaseLimit() const;
    /// Limits the lease for the runs of a job, if it is not limited to an earlier time for them.
    void limitLease(const std::string& jobId, time_point limit);
    /// Removes the limits for the runs of a job; returns whether there were any.
    bool liftLeaseLimit(const std::string& jobId);

    /// Records that an earlier owner may have granted a lease of length `maxLease` until the last reading of the worker's clock.
    void noteEarlierLease(std::chrono::milliseconds maxLease) { m_leaseEnd = std::max(m_leaseEnd, m_clock + maxLease); }

    /// Returns whether runs of an earlier owner may have ended on the worker without being listed yet, and these ends still
    /// count: they do until every lease has ended `grace` ago on a worker that does not answer.
    bool mayHoldUnlistedEnds(std::chrono::milliseconds grace, time_point now) const;

    /// Returns the earliest time by which every granted lease has certainly ended on the worker's clock.
    time_point leasesEnded(time_point now) const;

    /// Takes over the runs of the previous boot of which a start order may reach this boot: those that no poll has listed, those
    /// whose order was sent more than once, and those that an earlier owner has started.
    /// Returns the other runs, which ended with the previous boot.
    std::map<task_key, worker_run> inheritUncertainRuns(
        const worker_session& earlier, std::chrono::milliseconds maxLease, time_point now);

    /// Adds a run and reserves its capacity; replaces an earlier run of the task.
    void addRun(const task_key& task, const worker_run& added);
    /// Removes a run, releases its capacity and returns the run; returns nothing when the task has no run here.
    std::optional<worker_run> removeRun(const task_key& task);
    /// Returns the run of a task, or null. The pointer is valid until the run is removed or replaced.
    worker_run* find(const task_key& task);
    std::map<task_key, worker_run>& runs() { return m_runs; }
    const std::map<task_key, worker_run>& runs() const { return m_runs; }

    /// Returns whether a poll that is sent at `now` proves more about an uncertain run than the last one.
    bool awaitsProof(time_point now) const;
    /// Returns the capacity that no run has reserved.
    jobs::resources free() const;
    /// Returns the share of the capacity that tasks may use; less than 1 while the worker is slow after its start.
    double usableShare(time_point now) const { return m_warmup.usableShare(now); }
    /// Returns whether another task fits beside the present runs. One task fits on an idle worker however cold it is.
    bool hasRoomFor(const jobs::resources& need, time_point now) const;
    /// Returns the number of runs of one step on this worker.
    std::uint32_t runsOfStep(const std::string& jobId, std::uint32_t step) const;
    /// Returns the number of runs of one job on this worker.
    std::uint32_t runsOfJob(const std::string& jobId) const;
    /// Returns whether the run had gone on for `establishedTime` when the worker last answered.
    bool isEstablished(const worker_run& current) const;
    /// Returns whether all runs of other jobs are established.
    bool onlyEstablishedBeside(const std::string& jobId) const;
    bool hasLabel(const std::string& label) const;
    /// Returns the label of the rack, which is the worker's last label; empty if the worker has no labels.
    std::string rack() const;

    /// Returns whether the worker can be expected to execute start orders at `now`.
    bool isHealthy(time_point now) const;
    /// Returns whether new tasks of any job may be started on the worker at `now`.
    bool acceptsStarts(time_point now) const { return reservedFor.empty() && isHealthy(now) && leaseAllowsStart(now); }
    /// Returns whether a lease that is granted at `now` is long enough for a new task.
    bool leaseAllowsStart(time_point now) const { return leaseLimit() - shortestStartLease >= now; }

    /// Records that the worker has answered a call.
    void noteAnswer(time_point now);
    /// Returns the time from `now` to the expected end of the run that ends first, by the estimates.
    std::chrono::milliseconds timeToNextEnd(time_point now) const;

    /// Records the end of a run: consecutive failures lead to quarantine, and run times update `slowness`.
    void noteEnd(run_end_reason endReason, const worker_run& ended, time_point now);
    /// Pauses starts for a time that doubles with each consecutive start without an answer.
    void noteUnanswered(time_point now);
    void noteAnswered() { m_unanswered = 0; }
    void pauseStartsUntil(time_point until) { m_startsPausedUntil = std::max(m_startsPausedUntil, until); }
    /// Returns the time until which no task is started on the worker.
    time_point startsPausedUntil() const { return m_startsPausedUntil; }
    /// Returns whether a task of the step fits on the worker while nothing else runs there.
    bool isLargeEnough(const jobs::step& step) const
    {
        return step.need.fitsInto(m_registration.capacity) && (step.requiredLabel.empty() || hasLabel(step.requiredLabel));
    }
    /// Returns how many tasks of the step fit on the worker beside the long-running tasks there, at most all of the step.
    std::uint32_t lastingRoomFor(const jobs::step& step) const;
    /// Returns the moving average of run time divided by estimate.
    double slowness() const { return m_slowness; }

    /// Whether the worker has answered a poll that carried the owner's token.
    bool listed = false;
    bool pollInFlight = false;
    /// When the last poll was sent.
    time_point pollSentAt;
    time_point nextPoll;
    /// Number of the poll whose answer is awaited; answers to earlier polls are ignored.
    std::uint64_t pollNumber = 0;
    /// Consecutive polls that failed.
    int failedPolls = 0;
    /// Consecutive calls of any kind without an answer, and how many of them are put down to the network.
    int lostCalls = 0;
    int toleratedLosses = 0;
    /// When the worker last answered a call; when the session began if it has answered none.
    time_point lastAnswerAt;
    /// When the worker's address first refused a connection since the last answer.
    std::optional<time_point> refusedAt;
    /// Number of the last end that the owner has applied.
    std::uint64_t lastEnd = 0;
    /// Number of the last end that is durable or needs no record, and so may be acknowledged.
    std::uint64_t durableEnd = 0;
    /// Number of the last end whose acknowledgement has reached the worker.
    std::uint64_t acknowledgedEnd = 0;
    /// Number of the last end that must be recorded in the store before it is acknowledged.
    std::uint64_t lastEndToRecord = 0;
    /// Number of the last end that the poll in flight acknowledges.
    std::uint64_t acknowledging = 0;
    /// Whether the last answer to a poll listed all ends that were not acknowledged.
    bool endsComplete = true;
    /// Whether any answer to a poll did, so that no end of an earlier owner's runs is unknown.
    bool earlierEndsKnown = false;
    /// Whether the worker is no longer registered. Such a worker gets no new starts, and its lease is not extended.
    bool deregistered = false;
    /// Job that is suspected of crashing workers and alone may start tasks here; empty if there is none.
    std::string reservedFor;

private:
    worker_registration m_registration;
    worker_warmup m_warmup;
    time_point m_appearedAt;
    std::map<task_key, worker_run> m_runs;
    jobs::resources m_used;
    worker_time m_clock { 0 };
    std::optional<time_point> m_clockAt;
    /// Time until which runs that were ordered for the previous boot may hold leases.
    time_point m_unknownLeasesUntil;
    worker_time m_leaseEnd { 0 };
    /// Number of runs with a `leaseLimit`; there is none most of the time.
    std::size_t m_limitedRuns = 0;
    time_point m_startsPausedUntil;
    int m_failures = 0;
    int m_unanswered = 0;
    double m_slowness = 1.0;
};

} // namespace coriandermount::cells
