/// Limits and intervals of the owner of a cell.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace coriandermount::cells {

/// Limits of the platform that the owner of a cell has to respect.
struct cell_settings {
    /// Longest lease that workers grant, as the platform sets it.
    std::chrono::milliseconds maxLease { 1000 };
    /// Longest time from a stop order to the end of the run, as the platform sets it.
    std::chrono::milliseconds stopGrace { 50 };
    /// How long finished jobs are remembered: the time that the platform requires, plus a margin of one minute.
    std::chrono::milliseconds finishedRetention { 180000 };
    /// Factor by which a task takes longer on another rack than that of its data, as the platform sets it.
    double remoteFactor = 3.0;
    /// Time after which no task may start in an evacuated cell, counted from the request of the operators.
    std::chrono::milliseconds evacuationBound { 5000 };
    /// Whether operators evacuate cells, so that an owner gives no start before it has read which ones are evacuated.
    bool hasEvacuations = false;
};

/// Number of attempts reserved for each epoch, so that every attempt of an epoch is higher than all of earlier epochs.
inline constexpr std::uint64_t attemptsPerEpoch = 100000;
/// Fraction by which the clock of a worker may run slow, as the worker interface specifies it.
inline constexpr double maxClockDrift = 0.02;

/// How long an earlier owner may keep renewing leases after a takeover, and so keep its tasks running on workers that the new
/// owner cannot reach: `ownership_settings::unverifiedLimit` plus one heartbeat interval and one call.
inline constexpr std::chrono::milliseconds previousOwnerLimit { 2600 };

/// Longest time that a worker may delay its answer to a poll: a third of the shortest lease, so that a lease survives two
/// failed polls.
inline constexpr std::chrono::milliseconds maxPollWait { 300 };
/// Longest time added to the wait of a poll before the poll counts as failed: about ten usual round trips to a slow VM.
inline constexpr std::chrono::milliseconds pollTimeoutMargin { 300 };
/// Longest time that the answers to start and stop orders may take.
inline constexpr std::chrono::milliseconds longestStartAnswer { 120 };
inline constexpr std::chrono::milliseconds longestStopAnswer { 400 };
/// Shortest wait of a poll while calls are lost, so that a lost answer delays the report of an end by little.
inline constexpr std::chrono::milliseconds minLossyPollWait { 30 };
inline constexpr std::chrono::milliseconds maxLossyPollWait { 120 };
/// Wait of a poll of a worker on which a trial runs.
inline constexpr std::chrono::milliseconds trialPollWait { 110 };
/// Added to the expected end of a run for the wait of a poll that should report it.
inline constexpr std::chrono::milliseconds lossyPollMargin { 15 };
/// Share of lost calls from which polls wait for shorter times.
inline constexpr double lossyShare = 0.01;
/// Number of consecutive failed polls from which on a worker counts as lost.
inline constexpr int failedPollsOfLoss = 2;
/// Number of failed polls up to which the pause before the next one grows.
inline constexpr int maxPollBackoff = 5;
/// Silence of a worker after which its lease is not extended any more, so that its runs can be requeued after the lease ends.
inline constexpr std::chrono::milliseconds leaseSilenceLimit { 650 };
/// Pause after a poll that returned no new ends.
inline constexpr std::chrono::milliseconds pollPause { 25 };
/// Pause before polling a worker again whose last poll failed.
inline constexpr std::chrono::milliseconds pollRetryDelay { 60 };
/// Pause between polls of a worker without runs; bounds the delay until its ends are acknowledged.
inline constexpr std::chrono::milliseconds idlePollPause { 400 };
/// Pause of starts on a worker that refused one because it had no free capacity.
inline constexpr std::chrono::milliseconds noCapacityPause { 30 };
/// Pause of starts on a worker that refused one for another reason or could not be reached.
inline constexpr std::chrono::milliseconds refusalPause { 400 };
/// Pause of starts on a worker whose runs fail repeatedly or stall.
inline constexpr std::chrono::milliseconds quarantineTime { 4000 };
/// Consecutive failed runs after which a worker is quarantined.
inline constexpr int failuresUntilQuarantine = 2;
/// Time between writes of ended tasks; bounds the progress that an outage of all VMs can lose.
inline constexpr std::chrono::milliseconds flushInterval { 40 };
/// Largest number of jobs in one stored list of finished jobs; keeps the record below the platform's limit of 256 KB.
inline constexpr std::ptrdiff_t maxFinishedPerRecord = 4000;
/// Pause before a failed write to the store is repeated.
inline constexpr std::chrono::milliseconds flushRetry { 100 };
/// Pause between two reads that verify the ownership of the cell, and after one that failed.
inline constexpr std::chrono::milliseconds verificationPause { 50 };
inline constexpr std::chrono::milliseconds verificationRetryPause { 500 };
/// Number of records after which no more jobs are added to a write; well below the platform's limit for one call.
inline constexpr std::size_t maxFlushedRecords = 2000;
/// Longest time after a takeover within which other VMs resubmit the unstored jobs whose callers they serve.
inline constexpr std::chrono::milliseconds resubmissionLimit { 800 };
/// Time within which VMs that know the owner resubmit these jobs: one heartbeat interval of the owner, one pause between the
/// tries of a router and one call.
inline constexpr std::chrono::milliseconds resubmissionMargin { 200 };
/// Time after the last sign of life of a lost owner from which no run is kept whose caller is not known: the platform's delay of
/// resubmissions, 1.3 s, less the time that a stop takes. The caller may have been lost together with the owner.
inline constexpr std::chrono::milliseconds lostCallersLimit { 1000 };
/// Time limit for the other cells to report which jobs they run for a cell with a new owner; several round trips.
inline constexpr std::chrono::milliseconds lentJobsAnswerLimit { 300 };
/// Time between queries for lent jobs while some cells have not reported all their runs.
inline constexpr std::chrono::milliseconds lentJobsQueryInterval { 60 };
/// Time after a takeover during which `lentJobsQueryInterval` applies; as long as several takeovers in the other cells.
inline constexpr std::chrono::milliseconds frequentQueryLimit { 1500 };
/// Time between queries for lent jobs after `frequentQueryLimit`, while a cell cannot be reached.
inline constexpr std::chrono::milliseconds slowLentJobsQueryInterval { 500 };
/// Share of the workers' CPU that waiting work is expected to fill: tasks of different sizes leave parts of it unused, and a
/// worker idles between the end of a run and the next start.
inline constexpr double usableShare = 0.8;
/// Time for which a job waits in its own cell before another cell is asked to run it; workers usually become free sooner.
inline constexpr std::chrono::milliseconds lendAgainDelay { 20 };
/// Time between two forecasts of the starts of waiting jobs: short against the time of callers, so that they learn at once that
/// capacity was lost.
inline constexpr std::chrono::milliseconds planInterval { 20 };
/// Number of waiting jobs whose places in the queue change in one pass; the rest has its turn in the next ones.
inline constexpr std::size_t maxMovedPerPass = 1000;
/// Number of waiting jobs for which another cell is sought in each tick.
inline constexpr int maxLendTries = 16;
/// How long the end of an unstored job is remembered, to answer resubmissions.
inline constexpr std::chrono::milliseconds unstoredRetention { 5000 };
/// How long the runs of a job go on after its last caller has left. Together with the detection of the loss and a stop order it
/// stays well below the platform's delay of resubmissions, 1.3 s, which may arrive in another cell.
inline constexpr std::chrono::milliseconds withdrawnRunLimit { 500 };
/// Time after the caller of a job was last known to wait by which new leases of the workers that run it end: the platform's delay
/// of resubmissions, 1.3 s, less 0.1 s in which the VM of the caller may not have noticed that it left, 0.05 s in which a worker
/// ends its runs, and 0.1 s for messages.
inline constexpr std::chrono::milliseconds withdrawnLeaseLimit { 1050 };
/// Time between two messages by which a VM tells an owner which requests callers wait for.
inline constexpr std::chrono::milliseconds keepAliveInterval { 100 };
/// Age from which on requests are listed; most jobs end earlier.
inline constexpr std::chrono::milliseconds keptAliveAge { 200 };
/// Time without a keep-alive of the callers of a job from which on no task of it starts: a few keep-alives may be lost or late.
inline constexpr std::chrono::milliseconds startContactLimit { 400 };
/// The same from which on its runs are stopped. The rest of `withdrawnLeaseLimit` is time for a few tries of the stop, so that
/// other runs on the worker go on.
inline constexpr std::chrono::milliseconds contactLimit { 800 };
/// The same up to which a cell that has lent a job keeps it alive in the other cell: one keep-alive and its delay.
inline constexpr std::chrono::milliseconds relayedContactLimit { 150 };
/// Time after the home cell of a lent job has got another owner within which that owner submits the job again if a caller waits
/// for it. With a takeover of up to 0.8 s and a stop it stays below the platform's delay of resubmissions, 1.3 s.
inline constexpr std::chrono::milliseconds lentClaimLimit { 400 };
/// Remaining time of the lease of a worker on which a run is stopped at once: as long as a few tries of the stop, so that the
/// worker's other runs go on.
inline constexpr std::chrono::milliseconds stoppedRunLease { 200 };
/// Shortest remaining time of a limited lease with which a worker gets new tasks.
inline constexpr std::chrono::milliseconds shortestStartLease { 200 };
/// Margin on the time during which an unanswered start may still be carried out; covers errors of clock readings.
inline constexpr std::chrono::milliseconds lateStartMargin { 500 };
/// Age of the last successful read of the records up to which a job that they don't contain counts as unknown. Longer than
/// the wait of one read of the tail, and shorter than the time within which the platform requires accepted jobs to be visible.
inline constexpr std::chrono::milliseconds recordsAgeLimit { 2800 };
/// How long a query for the state of a job waits for the job's end once all its tasks are placed: a third of the time that
/// other VMs wait for the answer.
inline constexpr std::chrono::milliseconds maxStateWait { 130 };
/// Number of times that one start order is sent to the same worker. A worker that has lost two answers may be faulty.
inline constexpr int maxStartTries = 3;
/// Time after which a stop order is repeated; several times `cell_settings::stopGrace`.
inline constexpr std::chrono::milliseconds stopRetryDelay { 200 };
/// Time for which a run has to go on to be an unlikely cause of a later crash of its worker.
inline constexpr std::chrono::milliseconds establishedTime { 1000 };
/// How long a worker that has stopped answering may take to return and so to show whether it has crashed.
inline constexpr std::chrono::milliseconds crashVerdictLimit { 10000 };
/// Time within which the workers that were lost at the same moment as another one are found: a few polls without an answer.
inline constexpr std::chrono::milliseconds commonLossReportLimit { 1000 };
/// How long the crashes under the tasks of a job are remembered after the last one.
inline constexpr std::chrono::milliseconds suspicionRetention { 180000 };
/// A run is stalled when it has made no progress for `stallTime` and has run for longer than `stallEstimates` times its
/// estimate, scaled by the measured slowness of its worker.
inline constexpr std::chrono::milliseconds stallTime { 500 };
inline constexpr int stallEstimates = 3;

} // namespace coriandermount::cells
