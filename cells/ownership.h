/// Election of the VM that owns a cell. The order of claims in the record store decides; VMs only detect that an owner has
/// failed.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cells/heartbeat_plan.h"
#include "core/types.h"

namespace coriandermount::cells {

/// Time limits of the election.
struct ownership_settings {
    /// Time without a heartbeat of the owner after which it is suspected to have failed: four heartbeat intervals of an owner.
    std::chrono::milliseconds suspectAfter { 400 };
    /// Age of the owner's last record after which a VM that receives no heartbeats may claim the cell.
    std::chrono::milliseconds recordAgeLimit { 2500 };
    /// Interval at which the owner writes liveness records.
    std::chrono::milliseconds recordInterval { 1000 };
    /// How long an owner that cannot reach most VMs keeps starting tasks after its ownership was last verified.
    std::chrono::milliseconds unverifiedLimit { 2000 };
    /// Delay of a claim for each candidate that ranks higher.
    std::chrono::milliseconds rankDelay { 150 };
    /// Age of a VM's last heartbeat from which the VM counts as unreachable.
    std::chrono::milliseconds heartbeatTimeout { 700 };
    /// Age of a VM's last heartbeat from which the VM no longer counts as a member of the fleet.
    std::chrono::milliseconds memberTimeout { 60000 };
    /// Time after its start before a VM may claim a cell, so that it first receives heartbeats of the other VMs.
    std::chrono::milliseconds firstClaimDelay { 400 };
    /// How long the heartbeats of a VM must arrive without a gap before the owner chooses it as its successor. Before
    /// `firstClaimDelay` such a VM can't claim the cell, and one with less processor time would.
    std::chrono::milliseconds successorDelay { 350 };
    /// How long a VM with more processor time waits for the owner to hand the cell over before it claims the cell. An owner
    /// that is out of processor time does not hand over in time.
    std::chrono::milliseconds preemptDelay { 430 };
};

/// Stored record that names the owner of a cell.
struct owner_record {
    /// Number of the ownership term, which also fences the writes of earlier owners.
    std::uint64_t epoch = 0;
    vm_id owner;
    std::uint64_t incarnation = 0;
    /// Whether the owner has stopped and sends no more orders to workers.
    bool released = false;
    /// Processor time of the owner, in thousandths of a core; 0 in records of earlier builds.
    std::uint32_t processorMillis = 0;
};

/// Action that a VM should take on the ownership of a cell.
enum class ownership_advice {
    none,
    claim,
    /// Claim the cell of an owner that is alive but has less processor time, if the store is fast enough for a handover.
    preempt,
    pause,
    resume,
};

/// VMs that an owner that stops hands its cell over to.
enum class successor_choice {
    /// Those with at least about the owner's processor time.
    comparable,
    any,
};

/// Election state of one VM for one cell. It is updated from records and heartbeats and performs no I/O. Not thread-safe.
class ownership {
public:
    ownership(cell_number cell, vm_incarnation self, ownership_settings settings, time_point now);

    /// Handles an owner record that was read from the store.
    void onOwnerRecord(const owner_record& record, time_point now);
    /// Handles a liveness record of the owner of `epoch`.
    void onLivenessRecord(std::uint64_t epoch, time_point now);
    /// Handles proof that the store was reachable at `now`.
    void onStoreContact(time_point now) { m_storeContactAt = now; }
    /// Handles a heartbeat of another VM. One that names the next epoch ends the ownership of this VM. One that names a later
    /// epoch, which the datagram may hold by an error, makes it pause until the store has refuted or confirmed that epoch, the
    /// sender has named another one, or the sender has been silent for `heartbeatTimeout`.
    void onHeartbeat(const heartbeat& current, time_point now);
    /// Handles the confirmation that a record of this VM as the owner, sent at `sentAt`, was stored.
    void onOwnershipVerified(time_point sentAt) { m_verifiedAt = std::max(m_verifiedAt, sentAt); }
    /// Stops this VM from claiming the cell.
    void drain() { m_draining = true; }
    /// Sets which VMs send heartbeats to this VM; initially the whole fleet.
    void setHeartbeatScope(heartbeat_scope scope) { m_scope = scope; }

    /// Returns whether another VM of the cell, of those that `choice` names, could take over.
    bool hasSuccessor(successor_choice choice, time_point now) const;
    /// Returns whether a VM with at least twice the processor time could take over and has sent heartbeats without a gap for
    /// `successorDelay`.
    bool hasStrongerSuccessor(time_point now) const;

    /// Returns whether this VM owns the cell and a heartbeat names an epoch that neither a record nor the store's answer to a
    /// record of this owner has confirmed or refuted.
    bool needsVerification(time_point now) const { return isOwner() && isContested(now); }
    /// Returns the action that is due at `now`.
    ownership_advice advise(time_point now);

    /// Returns whether this incarnation of the VM owns the cell and no higher epoch is known.
    bool isOwner() const;
    /// Returns the epoch of the newest owner record; 0 if there is none.
    std::uint64_t epoch() const;
    /// Returns the newest owner record; empty if there is none.
    const std::optional<owner_record>& owner() const { return m_owner; }
    /// Returns the last sign of life of the owner before the newest one; empty if it has released the cell or there was none.
    const std::optional<time_point>& previousOwnerSeenAt() const { return m_previousOwnerSeenAt; }
    /// Returns whether this VM owns the cell and every other VM of the cell whose heartbeats arrive knows of that. Returns false
    /// for `firstClaimDelay` after the start, while this VM may not know the other VMs yet.
    bool isKnownToPeers(time_point now) const;
    /// Returns whether the record store has answered recently.
    bool storeReachable(time_point now) const;
    /// Returns the state of the cell as this VM sees it, without the load.
    cell_view view(time_point now) const;

private:
    struct peer_state {
        bool draining = false;
        bool storeReachable = false;
        /// State of this cell as the VM sees it; empty if the VM belongs to another cell.
        std::optional<cell_view> view;
        std::uint32_t processorMillis = 0;
        time_point lastHeartbeatAt;
        /// Time since which heartbeats of the VM have arrived without a gap.
        time_point uninterruptedSince;
        /// Time since which the VM has named epochs that are higher than the next one; empty if it does not.
        std::optional<time_point> unconfirmedSince;
    };

    bool isCandidate(const peer_state& current, time_point now) const;
    /// Returns whether the heartbeats of a candidate have arrived for `successorDelay` without a gap.
    bool isStableCandidate(const peer_state& current, time_point now) const;
    bool ownerSuspected(time_point now) const;
    /// Returns whether this VM has at least twice the processor time of the owner, which is not stopped.
    bool outranksOwner() const;
    /// Returns whether the owner had `preemptDelay` to hand the cell over to this VM, and VMs that rank higher had their turn.
    bool shouldPreempt(time_point now);
    /// Returns whether a recent heartbeat names an epoch that is higher than the next one and that the store has not refuted.
    bool isContested(time_point now) const;
    std::uint64_t knownEpoch() const { return m_owner ? m_owner->epoch : 0; }
    bool majorityReachable(time_point now) const;
    /// Returns whether there are other VMs that could claim the cell and all are reachable, so that none can have claimed it
    /// unnoticed.
    bool allCandidatesReachable(time_point now) const;
    bool majorityMissesOwner(time_point now) const;
    std::size_t claimRank(time_point now) const;

    cell_number m_cell;
    vm_incarnation m_self;
    ownership_settings m_settings;
    time_point m_startedAt;
    std::optional<owner_record> m_owner;
    time_point m_ownerHeartbeatAt;
    time_point m_ownerRecordAt;
    std::optional<time_point> m_previousOwnerSeenAt;
    /// Owner before the present one if it was lost; empty if it handed the cell over.
    vm_id m_lostOwner;
    /// When the record of the present owner was read.
    time_point m_ownerSince;
    std::map<vm_id, peer_state> m_peers;
    std::uint64_t m_highestEpoch = 0;
    time_point m_storeContactAt;
    time_point m_verifiedAt;
    std::optional<time_point> m_suspectedSince;
    /// Since when this VM could take the cell over from an owner with less processor time.
    std::optional<time_point> m_outranksSince;
    heartbeat_scope m_scope = heartbeat_scope::fleet;
    bool m_paused = false;
    bool m_draining = false;
};

} // namespace coriandermount::cells
