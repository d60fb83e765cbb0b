/// Election of the VM that arbitrates the units of its failure domain, by votes that expire.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "core/fleet_view.h"
#include "quota/lease_times.h"

namespace coriandermount::quota {

/// One VM's vote and, while it is a candidate, the votes of others. A VM votes for one candidate at a time; two arbiters at a
/// time would need two majorities.
class arbiter_election {
public:
    arbiter_election(vm_id self, lease_times times, time_point startedAt);

    /// Takes over the members of the own domain; those suspected or left out count as voters for the time of absence.
    void setMembers(const std::vector<member>& members, time_point now);

    /// The VM answered or asked this VM.
    void recordContact(const vm_id& vm, time_point now);

    /// Number of VMs of which an arbiter needs the majority.
    std::size_t voterCount(time_point now) const;

    /// Candidate that this VM turns to; nothing while it is alone and must not vote yet.
    std::optional<vm_id> candidate(time_point now);

    /// Returns the other members in turn; a candidate without a majority asks them for the arbiter that they know.
    std::optional<vm_id> nextPeerToQuery(time_point now);

    /// Whether this VM may vote for the candidate now. A VM that has just started might have voted in its earlier life.
    bool mayVote(time_point now) const;

    /// Binds this VM's vote to `candidate` from now on; returns false while it is bound to another one.
    bool castVote(const vm_id& candidate, time_point now);

    /// The candidate answered as arbiter.
    void confirmArbiter(const vm_id& arbiter, time_point now);

    /// A request to the candidate has had no answer for long.
    void reportUnresponsive(const vm_id& vm, time_point now);

    /// Arbiter that answered as such lately.
    const std::optional<vm_id>& confirmedArbiter() const { return m_confirmed; }

    /// The VM answered that it is not arbiter.
    void forgetArbiter(const vm_id& vm);

    /// Another VM names the arbiter that answered it; asked once, and never passed on.
    void suggestArbiter(const vm_id& vm, time_point now);

    /// Counts a vote for this VM that was bound after `stampedAt`.
    void recordVote(const vm_id& voter, time_point stampedAt);

    /// Time up to which a majority had voted for this VM at the last look; nothing when it is not arbiter.
    std::optional<time_point> majorityConfirmedAt(time_point now) const;

    /// Whether this VM is arbiter; renews its own vote when it is its own candidate.
    bool isArbiter(time_point now);

private:
    struct voter {
        bool listed = true;
        member_state state = member_state::alive;
        /// Since when the member is suspected, left out or was never heard of by others.
        std::optional<time_point> absentSince;
        std::optional<time_point> heardAt;
        std::optional<time_point> silentUntil;
        std::optional<time_point> votedAt;
    };

    bool counts(const voter& entry, time_point now) const;
    std::optional<vm_id> bestRanked(time_point now) const;

    vm_id m_self;
    lease_times m_times;
    time_point m_startedAt;
    std::map<vm_id, voter> m_voters;
    std::optional<vm_id> m_votedFor;
    time_point m_voteEnds;
    std::optional<vm_id> m_confirmed;
    time_point m_confirmedAt;
    std::optional<vm_id> m_suggested;
    vm_id m_lastOther;
};

} // namespace coriandermount::quota
