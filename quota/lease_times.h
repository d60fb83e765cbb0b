/// Durations of the lease protocol.
#pragma once

#include <algorithm>
#include <chrono>

namespace coriandermount::quota {

/// Durations of leases and votes, and the intervals and timeouts of the messages about them.
struct lease_times {
    /// Lease duration in a failure domain of at least three VMs.
    std::chrono::milliseconds lease { 3200 };
    /// Lease duration in a failure domain of at most two VMs, where no majority is left after a failure.
    std::chrono::milliseconds pairLease { 5000 };
    /// Lease duration of a holder in another failure domain.
    std::chrono::milliseconds foreignLease { 2000 };
    /// Time for which a vote for an arbiter binds the voter.
    std::chrono::milliseconds voteDuration { 1800 };
    /// In a failure domain of two VMs, the time for which an unreachable VM still counts as a voter after its last message. It is
    /// longer than every lease.
    std::chrono::milliseconds pairVoterTimeout { 5200 };
    /// In a failure domain of at least three VMs, the time for which a suspected VM still counts as a voter. In a partition that
    /// lasts longer, the VMs on each side regard the others as dead.
    std::chrono::milliseconds voterTimeout { 15000 };
    /// Time after its start for which a VM doesn't vote, since a vote of its previous incarnation may still be valid.
    std::chrono::milliseconds startupVoteDelay { 1900 };
    /// Time for which a new arbiter doesn't grant units that no holder reports; longer than every lease.
    std::chrono::milliseconds withholdingPeriod { 5200 };
    /// Interval between requests of a holder that has nothing to report and lacks nothing.
    std::chrono::milliseconds idleSyncInterval { 600 };
    /// Minimum interval between requests of a holder.
    std::chrono::milliseconds minSyncInterval { 40 };
    /// Time after which an unanswered request is sent again.
    std::chrono::milliseconds requestTimeout { 300 };
    /// Time without a reply of the arbiter after which a VM votes for another one.
    std::chrono::milliseconds arbiterTimeout { 900 };
    /// Maximum delay of a reply to a holder that lacks units.
    std::chrono::milliseconds maxGrantDelay { 100 };
    /// Maximum relative drift between the clocks of two VMs, in percent.
    int maxClockDriftPercent = 2;
};

/// Returns the longest lease that the arbiter grants within its failure domain.
inline std::chrono::milliseconds longestLease(const lease_times& times) { return std::max(times.lease, times.pairLease); }

/// Returns the part of a lease that its holder may use, assuming that the holder's clock runs slow by the maximum drift.
inline std::chrono::nanoseconds shortenForDrift(std::chrono::nanoseconds lease, const lease_times& times)
{
    return lease * (100 - times.maxClockDriftPercent) / 100;
}

/// Returns the time after which a lease has certainly expired, assuming that the grantor's clock runs fast by the maximum drift.
inline std::chrono::nanoseconds extendForDrift(std::chrono::nanoseconds lease, const lease_times& times)
{
    return lease * (100 + times.maxClockDriftPercent) / 100;
}

} // namespace coriandermount::quota
