/// Decides which VM owns a cell: the store's order of claims decides, VMs only suspect.
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

struct ownership_settings {
    /// Silence after which the owner is suspected: four beats of it.
    std::chrono::milliseconds suspectAfter { 400 };
    /// Age of the owner's last record after which a VM without contact to the others may claim.
    std::chrono::milliseconds recordAgeLimit { 2500 };
    /// Time between the owner's records.
    std::chrono::milliseconds recordInterval { 1000 };
    /// How long an owner goes on without having verified its ownership when most VMs are out of reach.
    std::chrono::milliseconds unverifiedLimit { 2000 };
    /// Head start of a better placed candidate.
    std::chrono::milliseconds rankDelay { 150 };
    /// A VM is in reach while its last beat is younger.
    std::chrono::milliseconds reachLimit { 700 };
    /// A VM counts as part of the fleet while its last beat is younger.
    std::chrono::milliseconds memberLimit { 60000 };
    /// Time after its start before a VM claims, so that it hears of the others.
    std::chrono::milliseconds startDelay { 400 };
    /// How long a stronger VM has to be heard without a gap before the owner hands the cell over to it.
    std::chrono::milliseconds strongerHeardFor { 4000 };
};

/// The owner of a cell, as stored.
struct owner_record {
    std::uint64_t epoch = 0;
    vm_id owner;
    std::uint64_t incarnation = 0;
    /// The owner has stopped and gives no more orders.
    bool released = false;
};

/// What a VM should do about the ownership.
enum class ownership_advice { none, claim, pause, resume };

/// Pure state: fed with records and beats, asked for advice. Not safe for use from several threads.
class ownership {
public:
    ownership(cell_number cell, vm_incarnation self, ownership_settings settings, time_point now);

    void onOwner(const owner_record& record, time_point now);
    /// The owner of `epoch` has written a sign of life.
    void onOwnerAlive(std::uint64_t epoch, time_point now);
    void onStoreContact(time_point now) { m_storeContact = now; }
    void onHeartbeat(const heartbeat& current, time_point now);
    /// A record of this VM as the owner was stored; it was sent at `sentAt`.
    void onVerified(time_point sentAt) { m_verifiedAt = std::max(m_verifiedAt, sentAt); }
    void drain() { m_draining = true; }
    /// Whose beats this VM hears; those of the whole fleet at first.
    void setHeartbeatScope(heartbeat_scope scope) { m_scope = scope; }

    /// Another VM of the cell could take over at once.
    bool hasSuccessor(time_point now) const;
    /// A VM with far more processor time could take over, and has been heard for a while.
    bool hasStrongerSuccessor(time_point now) const;

    ownership_advice advise(time_point now);

    bool isOwner() const;
    std::uint64_t epoch() const;
    const std::optional<owner_record>& owner() const { return m_owner; }
    bool storeReachable(time_point now) const;
    cell_view view(time_point now) const;

private:
    struct peer {
        bool draining = false;
        bool storeReachable = false;
        /// What it knows of this cell; nothing when it belongs to another one.
        std::optional<cell_view> view;
        std::uint32_t processorMillis = 0;
        time_point at;
        /// Heard since then without a gap.
        time_point heardSince;
    };

    bool isCandidate(const peer& current, time_point now) const;
    bool ownerSuspected(time_point now) const;
    std::uint64_t knownEpoch() const { return m_owner ? m_owner->epoch : 0; }
    bool mostVmsInReach(time_point now) const;
    /// Every other VM that could claim the cell is heard, and there is one: none has claimed it unnoticed.
    bool allCandidatesInReach(time_point now) const;
    bool mostMissOwner(time_point now) const;
    std::size_t ownRank(time_point now) const;

    cell_number m_cell;
    vm_incarnation m_self;
    ownership_settings m_settings;
    time_point m_startedAt;
    std::optional<owner_record> m_owner;
    time_point m_ownerSeen;
    time_point m_ownerRecordAt;
    std::map<vm_id, peer> m_peers;
    std::uint64_t m_highestEpoch = 0;
    time_point m_storeContact;
    time_point m_verifiedAt;
    std::optional<time_point> m_suspectedSince;
    heartbeat_scope m_scope = heartbeat_scope::fleet;
    bool m_paused = false;
    bool m_draining = false;
};

} // namespace coriandermount::cells
