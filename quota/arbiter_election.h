/// Election of the VM that leases out the units of its failure domain, by votes that expire.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "core/fleet_view.h"
#include "quota/lease_times.h"

namespace coriandermount::quota {

/// Tracks this VM's vote and, while this VM is a candidate, the votes of the others. A VM votes for one candidate at a time, and
/// an arbiter needs a majority, so there is at most one arbiter.
class arbiter_election {
public:
    arbiter_election(vm_id self, lease_times times, time_point startedAt);

    /// Sets the members of the own failure domain. Suspected or removed members remain voters until the voter timeout.
    void setMembers(const std::vector<member>& members, time_point now);

    /// Records that a request or reply of the VM has arrived.
    void recordContact(const vm_id& vm, time_point now);

    /// Returns the number of VMs whose majority elects an arbiter.
    std::size_t voterCount(time_point now) const;

    /// Returns the VM that this VM should send its requests to and vote for, or nothing while there is no other VM and this VM
    /// must not vote yet.
    std::optional<vm_id> chooseCandidate(time_point now);

    /// Returns the other members round-robin, or nothing if none is eligible. A candidate without a majority queries them for
    /// the arbiter that they know.
    std::optional<vm_id> nextPeerToQuery(time_point now);

    /// Returns whether this VM may vote. A VM that has just started may not, since a vote of its previous incarnation may still
    /// be valid.
    bool mayVote(time_point now) const;

    /// Casts or renews this VM's vote for `candidate`. Returns false if this VM may not vote, or while its vote for another
    /// candidate is valid.
    bool castVote(const vm_id& candidate, time_point now);

    /// Records that the VM has accepted a request as arbiter.
    void confirmArbiter(const vm_id& arbiter, time_point now);

    /// Records that the VM has not replied within the arbiter timeout. The VM is no candidate for the duration of a vote.
    void reportUnresponsive(const vm_id& vm, time_point now);

    /// Returns the arbiter that last accepted a request, or nothing if it has been discarded since.
    const std::optional<vm_id>& confirmedArbiter() const { return m_confirmedArbiter; }

    /// Records that the VM has replied that it is not the arbiter.
    void forgetArbiter(const vm_id& vm);

    /// Records the arbiter that another VM named. The suggested VM is the candidate until it replies or times out; this
    /// VM does not report it to others as the arbiter before it has accepted a request.
    void suggestArbiter(const vm_id& vm, time_point now);

    /// Records a vote for this VM, which is valid from `countedFrom` on.
    void recordVote(const vm_id& voter, time_point countedFrom);

    /// Returns the latest time from which on a majority of votes for this VM is valid, or nothing without a majority.
    std::optional<time_point> majorityConfirmedAt(time_point now) const;

    /// Returns whether this VM is the arbiter. Renews its own vote if it is its own candidate.
    bool isArbiter(time_point now);

private:
    struct voter {
        bool listed = true;
        member_state state = member_state::alive;
        /// Time since which the member has been suspected, unlisted, or listed without having sent a message.
        std::optional<time_point> absentSince;
        std::optional<time_point> lastContactAt;
        std::optional<time_point> unresponsiveUntil;
        std::optional<time_point> lastVoteAt;
    };

    bool isVoter(const voter& entry, time_point now) const;
    std::optional<vm_id> bestRankedCandidate(time_point now) const;

    vm_id m_self;
    lease_times m_times;
    time_point m_startedAt;
    std::map<vm_id, voter> m_voters;
    std::optional<vm_id> m_votedFor;
    time_point m_voteExpiry;
    std::optional<vm_id> m_confirmedArbiter;
    time_point m_confirmedAt;
    std::optional<vm_id> m_suggestedArbiter;
    vm_id m_lastQueriedPeer;
};

} // namespace coriandermount::quota
