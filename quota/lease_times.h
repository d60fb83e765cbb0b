/// Durations that the exchange of leases relies on.
#pragma once

#include <algorithm>
#include <chrono>

namespace coriandermount::quota {

struct lease_times {
    /// Lease of a holder in a failure domain of three and more VMs.
    std::chrono::milliseconds lease { 3200 };
    /// Lease in a failure domain of at most two VMs, where no majority is left after a failure.
    std::chrono::milliseconds pairLease { 5000 };
    /// Lease of a holder in another failure domain.
    std::chrono::milliseconds foreignLease { 2000 };
    /// How long a vote for an arbiter binds.
    std::chrono::milliseconds voteDuration { 1800 };
    /// How long the other of two VMs counts as a voter after its last word; longer than every lease.
    std::chrono::milliseconds pairVoterTimeout { 5200 };
    /// How long a suspected VM counts as a voter among three and more. VMs of one domain that are cut off from each other for
    /// longer each take the others for dead.
    std::chrono::milliseconds voterTimeout { 15000 };
    /// How long a VM that has just started does not vote, since it might have voted in its earlier life.
    std::chrono::milliseconds startupVoteDelay { 1900 };
    /// How long a new arbiter withholds units that no holder reports; longer than every lease.
    std::chrono::milliseconds withholdingPeriod { 5200 };
    /// Time between two requests of a holder without changes.
    std::chrono::milliseconds idleSyncInterval { 600 };
    /// Shortest time between two requests of a holder.
    std::chrono::milliseconds minSyncInterval { 40 };
    /// A request without an answer for this long is repeated.
    std::chrono::milliseconds requestTimeout { 300 };
    /// Silence of the arbiter after which another one is voted for.
    std::chrono::milliseconds arbiterTimeout { 900 };
    /// Longest delay of an answer to a holder that is short of units.
    std::chrono::milliseconds maxGrantDelay { 100 };
    /// Clocks of two VMs run apart by at most this fraction, in percent.
    int maxClockDriftPercent = 2;
};

inline std::chrono::milliseconds longestLease(const lease_times& times) { return std::max(times.lease, times.pairLease); }

/// Returns what the holder of a lease may use of it, its clock running slow at worst.
inline std::chrono::nanoseconds shortenForDrift(std::chrono::nanoseconds lease, const lease_times& times)
{
    return lease * (100 - times.maxClockDriftPercent) / 100;
}

/// Returns what the granter of a lease has to wait out, its clock running fast at worst.
inline std::chrono::nanoseconds extendForDrift(std::chrono::nanoseconds lease, const lease_times& times)
{
    return lease * (100 + times.maxClockDriftPercent) / 100;
}

} // namespace coriandermount::quota
