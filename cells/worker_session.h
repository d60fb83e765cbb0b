/// What the owner of a cell knows about one worker.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "cells/cell_settings.h"
#include "cells/worker_link.h"

namespace coriandermount::cells {

enum class run_state {
    /// The order is on its way, or its answer was lost.
    starting,
    running,
    /// Told to stop, or not wanted any more.
    stopping,
};

/// One start of one task on one worker.
struct worker_run {
    std::uint64_t attempt = 0;
    run_state state = run_state::starting;
    jobs::resources need;
    std::chrono::milliseconds estimate { 0 };
    time_point sentAt;
    /// When the worker was first known to run it.
    std::optional<time_point> confirmedAt;
    /// When the last order about this run was answered: looks sent later show the run unless it is over.
    std::optional<time_point> answeredAt;
    /// When the end of the lease that the start carried has passed on the worker's clock for sure.
    time_point startableUntil;
    /// Times that the start was sent.
    int tries = 0;
    /// No answer came: the start may still be executed until the end of its lease.
    bool uncertain = false;
    int percent = 0;
    time_point progressAt;
    std::optional<time_point> stopSentAt;
    /// A look at this life of the worker has shown it.
    bool listed = false;
    /// Runs until its job is cancelled, without progress or end.
    bool longRunning = false;
    /// Started by an earlier owner for a job that is not known here yet.
    bool orphaned = false;
};

/// State of one life of one worker. Not safe for use from several threads.
class worker_session {
public:
    worker_session(worker_registration registration, time_point now);

    const worker_registration& registration() const { return m_registration; }
    /// Takes over changed facts of the same life.
    void update(worker_registration registration) { m_registration = std::move(registration); }

    /// Notes the worker's clock as read from an answer that arrived at `now`.
    void noteClock(worker_time clock, time_point now);
    bool knowsClock() const { return m_clockAt.has_value(); }

    /// Returns the end of a lease of full length that starts now, and remembers that it was handed out.
    worker_time extendLease(std::chrono::milliseconds maxLease, time_point now);

    /// Earliest time at which every lease that was handed out has ended on the worker's clock.
    time_point leasesEnded(time_point now) const;

    /// Takes over the runs whose start may have reached this life instead of the earlier one: `earlier` has not listed them.
    /// Returns the others, which ended with the earlier life.
    std::map<task_key, worker_run> continueFrom(
        const worker_session& earlier, std::chrono::milliseconds maxLease, time_point now);

    void addRun(const task_key& task, const worker_run& added);
    std::optional<worker_run> removeRun(const task_key& task);
    worker_run* find(const task_key& task);
    std::map<task_key, worker_run>& runs() { return m_runs; }
    const std::map<task_key, worker_run>& runs() const { return m_runs; }

    jobs::resources free() const;
    /// Runs of one step on this worker.
    std::uint32_t runsOfStep(const std::string& jobId, std::uint32_t step) const;
    bool hasLabel(const std::string& label) const;
    /// Label of the rack: the last one that the worker names; empty for none.
    std::string rack() const;

    /// May get new tasks at `now`.
    bool takesStarts(time_point now) const;

    /// Learns from an end: failures in a row lead to quarantine, run times to the measured speed.
    void noteEnd(run_end_reason endReason, const worker_run& ended, time_point now);
    /// Pauses starts for a while that doubles with each start in a row that is not answered.
    void noteUnanswered(time_point now);
    void noteAnswered() { m_unanswered = 0; }
    void avoidUntil(time_point until) { m_avoidUntil = std::max(m_avoidUntil, until); }
    /// Run time as a multiple of the estimate, averaged.
    double slowness() const { return m_slowness; }

    /// A look under the owner's token has been answered.
    bool listed = false;
    bool holdInFlight = false;
    time_point nextHold;
    int failedHolds = 0;
    /// Number of the last end that was handled, that is durable, and that the worker was told of.
    std::uint64_t lastEnd = 0;
    std::uint64_t durableEnd = 0;
    std::uint64_t acknowledgedEnd = 0;
    /// Number of the last end that has to be recorded before it is acknowledged.
    std::uint64_t lastRecordedEnd = 0;
    /// Number that the look in flight acknowledges.
    std::uint64_t acknowledging = 0;
    /// Deregistered: no start any more.
    bool gone = false;

private:
    worker_registration m_registration;
    std::map<task_key, worker_run> m_runs;
    jobs::resources m_used;
    worker_time m_clock { 0 };
    std::optional<time_point> m_clockAt;
    /// Runs that were not ordered in this life may hold leases until then.
    time_point m_unknownLeasesUntil;
    worker_time m_leaseEnd { 0 };
    time_point m_avoidUntil;
    int m_failures = 0;
    int m_unanswered = 0;
    double m_slowness = 1.0;
};

} // namespace coriandermount::cells
