/// Limits that the owner of a cell works by.
#pragma once

#include <chrono>

namespace coriandermount::cells {

struct cell_settings {
    /// Longest lease that workers grant; from the platform's bounds.
    std::chrono::milliseconds maxLease { 1000 };
    /// Time until a stopped task is gone; from the platform's bounds.
    std::chrono::milliseconds stopGrace { 50 };
    /// How long finished jobs are remembered; from the platform's bounds, and a margin of a minute.
    std::chrono::milliseconds finishedRetention { 180000 };
};

/// Share by which the clock of a worker may be slow; from the workers' interface.
inline constexpr double maxClockDrift = 0.02;

/// A task of an earlier owner may run on an unreachable worker for as long as that owner may go on without having verified
/// its ownership; see `ownership_settings::unverifiedLimit`, with one beat and one call on top.
inline constexpr std::chrono::milliseconds previousOwnerLimit { 2600 };

/// Longest wait of one look at a worker; a third of the shortest lease, so that two looks may fail.
inline constexpr std::chrono::milliseconds maxPollWait { 300 };
/// Added to the wait of a look until it counts as failed; about ten calm round trips to a slowed VM.
inline constexpr std::chrono::milliseconds pollTimeoutMargin { 300 };
/// Pause after a look that brought nothing new at once.
inline constexpr std::chrono::milliseconds pollPause { 25 };
/// Pause before the next look at a worker that did not answer.
inline constexpr std::chrono::milliseconds pollRetryDelay { 60 };
/// Time within which ends are acknowledged on an idle worker.
inline constexpr std::chrono::milliseconds idleAcknowledgement { 400 };
/// Pause before starting on a worker that refused for want of room.
inline constexpr std::chrono::milliseconds noCapacityPause { 30 };
/// Pause before starting on a worker that refused or did not answer.
inline constexpr std::chrono::milliseconds refusalPause { 400 };
/// Pause before starting again on a worker whose tasks fail or stand still.
inline constexpr std::chrono::milliseconds quarantine { 4000 };
/// Failed ends in a row after which a worker is left out.
inline constexpr int failuresUntilQuarantine = 2;
/// Time between writes of ended tasks; bounds what an outage of all VMs can undo.
inline constexpr std::chrono::milliseconds flushInterval { 40 };
/// Pause after a failed write.
inline constexpr std::chrono::milliseconds flushRetry { 100 };
/// Records after which a write is full; well under the platform's bound for one call.
inline constexpr std::size_t maxFlushedRecords = 2000;
/// Time in which the VMs that hold the callers of an earlier owner's jobs hand them in again; two beats and a call.
inline constexpr std::chrono::milliseconds resubmissionLimit { 800 };
/// Time for the other cells to tell which jobs they run for a cell whose owner is new; some round trips.
inline constexpr std::chrono::milliseconds lentJobsAnswerLimit { 300 };
/// Time between questions to cells that do not know all their runs yet.
inline constexpr std::chrono::milliseconds lentJobsQueryInterval { 60 };
/// Time after a takeover in which cells that have not told yet are asked often; some of their takeovers.
inline constexpr std::chrono::milliseconds frequentQueryLimit { 1500 };
/// Time between questions after that, while a cell is out of reach.
inline constexpr std::chrono::milliseconds slowLentJobsQueryInterval { 500 };
/// Share of the objective that a job may wait for its first start; refusals after half of it are priced in full.
inline constexpr double maxWaitShare = 0.45;
/// How long the end of a job that is not stored is remembered, for repeated requests.
inline constexpr std::chrono::milliseconds unstoredRetention { 5000 };
/// Added to the time in which a start without an answer may still be carried out; covers the reading of clocks.
inline constexpr std::chrono::milliseconds lateStartMargin { 500 };
/// Age of the newest contact to the records up to which a job that is not among them does not exist; above the wait of a
/// read of the tail, and below the platform's bound for accepted jobs to be visible.
inline constexpr std::chrono::milliseconds recordsAgeLimit { 2800 };
/// How long a question for the state of a job waits for its end, once all its tasks are placed; a third of the time that other
/// VMs wait for the answer.
inline constexpr std::chrono::milliseconds maxStateWait { 130 };
/// Times that one start is sent to the same worker; a worker that lost two answers may be in trouble.
inline constexpr int maxStartTries = 3;
/// Time after which a stop is repeated; several times `stopGrace` of the platform.
inline constexpr std::chrono::milliseconds stopRetryDelay { 200 };
/// A task without progress for this long, and beyond this multiple of its estimate, stands still.
inline constexpr std::chrono::milliseconds stallTime { 500 };
inline constexpr int stallEstimates = 3;

} // namespace coriandermount::cells
