#include "cells/ownership.h"

#include <algorithm>

#include <xxhash.h>

namespace coriandermount::cells {

namespace {

    /// Age of the last answer of the store from which the store counts as unreachable. A reachable store answers long polls more
    /// often.
    constexpr std::chrono::milliseconds storeContactTimeout { 3000 };

    /// Multiple of the owner's processor time that another VM needs to take over: a handover interrupts the cell.
    constexpr std::uint32_t strongerFactor = 2;

    /// Returns whether a VM has so much more processor time than an owner that the cell should change hands.
    bool isStronger(std::uint32_t processorMillis, std::uint32_t ownerMillis)
    {
        return processorMillis >= strongerFactor * std::max(ownerMillis, 1U);
    }

    std::uint64_t rankHash(const vm_id& vm, std::uint64_t epoch)
    {
        return XXH3_64bits_withSeed(vm.value.data(), vm.value.size(), epoch);
    }

} // namespace

ownership::ownership(cell_number cell, vm_incarnation self, ownership_settings settings, time_point now)
    : m_cell(cell)
    , m_self(std::move(self))
    , m_settings(settings)
    , m_startedAt(now)
    , m_ownerHeartbeatAt(now)
    , m_ownerRecordAt(now)
    , m_storeContactAt(now - 2 * storeContactTimeout)
    , m_verifiedAt(now)
{
}

void ownership::onOwnerRecord(const owner_record& record, time_point now)
{
    if (m_owner && record.epoch < m_owner->epoch)
        return;
    const bool changed = !m_owner || record.epoch > m_owner->epoch;
    if (changed) {
        const bool wasLost = m_owner && !m_owner->released;
        m_previousOwnerSeenAt = wasLost ? std::optional(std::max(m_ownerHeartbeatAt, m_ownerRecordAt)) : std::nullopt;
        m_lostOwner = wasLost ? m_owner->owner : vm_id {};
        m_ownerSince = now;
    }
    m_owner = record;
    m_highestEpoch = std::max(m_highestEpoch, record.epoch);
    if (!changed)
        return;
    m_ownerHeartbeatAt = now;
    m_ownerRecordAt = now;
    m_suspectedSince.reset();
    m_outranksSince.reset();
    m_paused = false;
}

void ownership::onLivenessRecord(std::uint64_t epoch, time_point now)
{
    if (m_owner && epoch == m_owner->epoch)
        m_ownerRecordAt = now;
}

void ownership::onHeartbeat(const heartbeat& current, time_point now)
{
    if (current.sender == m_self.id)
        return;
    const auto known = m_peers.find(current.sender);
    const bool gap = known == m_peers.end() || now - known->second.lastHeartbeatAt >= m_settings.heartbeatTimeout;
    peer_state updated { current.draining, current.storeReachable, std::nullopt, current.processorMillis, now,
        gap ? now : known->second.uninterruptedSince };
    for (const auto& view : current.cells) {
        if (view.cell != m_cell)
            continue;
        updated.view = view;
        // A claim advances the epoch by one, so a higher one is an error of the datagram unless this VM has missed records.
        if (view.epoch > knownEpoch() && view.epoch - knownEpoch() > 1)
            updated.unconfirmedSince = known != m_peers.end() && !gap ? known->second.unconfirmedSince.value_or(now) : now;
        else
            m_highestEpoch = std::max(m_highestEpoch, view.epoch);
        if (m_owner && view.owned && view.epoch == m_owner->epoch)
            m_ownerHeartbeatAt = now;
    }
    m_peers.insert_or_assign(current.sender, updated);
}

bool ownership::isOwner() const
{
    return m_owner && !m_owner->released && m_owner->owner == m_self.id && m_owner->incarnation == m_self.incarnation
        && m_owner->epoch >= m_highestEpoch;
}

bool ownership::isContested(time_point now) const
{
    const time_point refutedAt = std::max(m_verifiedAt, m_storeContactAt);
    return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& entry) {
        const peer_state& peer = entry.second;
        return peer.unconfirmedSince && peer.view && peer.view->epoch > knownEpoch()
            && now - peer.lastHeartbeatAt < m_settings.heartbeatTimeout
            && (*peer.unconfirmedSince > refutedAt || now - refutedAt >= m_settings.unverifiedLimit);
    });
}

bool ownership::isKnownToPeers(time_point now) const
{
    if (!isOwner() || now - m_startedAt < m_settings.firstClaimDelay)
        return false;
    return std::none_of(m_peers.begin(), m_peers.end(), [&](const auto& entry) {
        const peer_state& peer = entry.second;
        // A lost owner can't answer; one that was preempted sent heartbeats until then.
        if (entry.first == m_lostOwner && m_ownerSince - peer.lastHeartbeatAt >= m_settings.suspectAfter)
            return false;
        return peer.view && peer.view->epoch != m_owner->epoch && now - peer.lastHeartbeatAt < m_settings.heartbeatTimeout;
    });
}

std::uint64_t ownership::epoch() const { return m_owner ? m_owner->epoch : 0; }

bool ownership::storeReachable(time_point now) const { return now - m_storeContactAt < storeContactTimeout; }

bool ownership::majorityReachable(time_point now) const
{
    std::size_t members = 1;
    std::size_t reachable = 1;
    for (const auto& [id, current] : m_peers) {
        if (m_scope != heartbeat_scope::fleet && !current.view)
            continue;
        members += now - current.lastHeartbeatAt < m_settings.memberTimeout ? 1 : 0;
        reachable += now - current.lastHeartbeatAt < m_settings.heartbeatTimeout ? 1 : 0;
    }
    return 2 * reachable > members;
}

bool ownership::allCandidatesReachable(time_point now) const
{
    bool any = false;
    for (const auto& [id, current] : m_peers) {
        if (!current.view || now - current.lastHeartbeatAt >= m_settings.memberTimeout)
            continue;
        if (now - current.lastHeartbeatAt >= m_settings.heartbeatTimeout)
            return false;
        any = true;
    }
    return any;
}

bool ownership::majorityMissesOwner(time_point now) const
{
    std::size_t missing = 1;
    std::size_t receiving = 0;
    for (const auto& [id, current] : m_peers) {
        if (now - current.lastHeartbeatAt >= m_settings.heartbeatTimeout || !current.view
            || current.view->epoch != m_owner->epoch)
            continue;
        const bool receivesHeartbeats = current.view->ownerSilence
            && *current.view->ownerSilence + (now - current.lastHeartbeatAt) < m_settings.suspectAfter;
        (receivesHeartbeats ? receiving : missing) += 1;
    }
    return missing > receiving;
}

bool ownership::ownerSuspected(time_point now) const
{
    if (!m_owner || m_owner->released)
        return true;
    if (m_owner->owner == m_self.id && m_owner->incarnation != m_self.incarnation)
        return true;
    const bool contactSinceRecord = m_storeContactAt > m_ownerRecordAt + m_settings.recordAgeLimit;
    if (contactSinceRecord && now - m_ownerRecordAt > m_settings.recordAgeLimit)
        return true;
    // A VM that receives heartbeats of the owner only at the longer interval cannot detect its failure from them.
    if (m_scope == heartbeat_scope::owner)
        return false;
    return now - m_ownerHeartbeatAt > m_settings.suspectAfter && now - m_ownerRecordAt > m_settings.suspectAfter
        && majorityReachable(now) && majorityMissesOwner(now);
}

bool ownership::isCandidate(const peer_state& current, time_point now) const
{
    return now - current.lastHeartbeatAt < m_settings.heartbeatTimeout && !current.draining && current.storeReachable
        && current.view;
}

bool ownership::isStableCandidate(const peer_state& current, time_point now) const
{
    return isCandidate(current, now) && now - current.uninterruptedSince >= m_settings.successorDelay;
}

bool ownership::hasSuccessor(successor_choice choice, time_point now) const
{
    return std::any_of(m_peers.begin(), m_peers.end(), [this, choice, now](const auto& entry) {
        const peer_state& current = entry.second;
        if (choice == successor_choice::any)
            return isCandidate(current, now);
        return isStableCandidate(current, now) && !isStronger(m_self.processorMillis, current.processorMillis);
    });
}

bool ownership::hasStrongerSuccessor(time_point now) const
{
    return std::any_of(m_peers.begin(), m_peers.end(), [this, now](const auto& entry) {
        const peer_state& current = entry.second;
        return isStableCandidate(current, now) && isStronger(current.processorMillis, m_self.processorMillis);
    });
}

std::size_t ownership::claimRank(time_point now) const
{
    const std::uint64_t ownHash = rankHash(m_self.id, epoch());
    // VMs that do not watch the owner rank below its witnesses.
    std::size_t rank = m_scope == heartbeat_scope::owner ? witnessCount : 0;
    for (const auto& [id, current] : m_peers) {
        const bool ranksHigher = current.processorMillis != m_self.processorMillis
            ? current.processorMillis > m_self.processorMillis
            : rankHash(id, epoch()) < ownHash;
        rank += isCandidate(current, now) && ranksHigher ? 1 : 0;
    }
    return rank;
}

bool ownership::outranksOwner() const
{
    return m_owner && !m_owner->released && m_owner->owner != m_self.id && m_owner->processorMillis > 0
        && isStronger(m_self.processorMillis, m_owner->processorMillis);
}

bool ownership::shouldPreempt(time_point now)
{
    // A VM that receives heartbeats of the owner only does not know which other VMs rank higher.
    if (m_draining || !storeReachable(now) || m_scope == heartbeat_scope::owner || !outranksOwner()) {
        m_outranksSince.reset();
        return false;
    }
    if (!m_outranksSince)
        m_outranksSince = now;
    return now - *m_outranksSince >= m_settings.preemptDelay + m_settings.rankDelay * static_cast<int>(claimRank(now));
}

ownership_advice ownership::advise(time_point now)
{
    if (isOwner()) {
        const bool verified = !isContested(now)
            && (now - m_verifiedAt < m_settings.unverifiedLimit || majorityReachable(now) || allCandidatesReachable(now));
        if (verified != m_paused)
            return ownership_advice::none;
        m_paused = !verified;
        return m_paused ? ownership_advice::pause : ownership_advice::resume;
    }
    // The record of an earlier incarnation of this VM proves that its owner has ended; others claim only after a silence.
    const bool ownerHasEnded
        = m_owner && !m_owner->released && m_owner->owner == m_self.id && m_owner->epoch >= m_highestEpoch && !isContested(now);
    if (!m_draining && storeReachable(now) && ownerHasEnded)
        return ownership_advice::claim;
    if (shouldPreempt(now))
        return ownership_advice::preempt;
    if (m_draining || !storeReachable(now) || now - m_startedAt < m_settings.firstClaimDelay || !ownerSuspected(now)) {
        m_suspectedSince.reset();
        return ownership_advice::none;
    }
    if (!m_suspectedSince)
        m_suspectedSince = now;
    const bool due = now - *m_suspectedSince >= m_settings.rankDelay * static_cast<int>(claimRank(now));
    return due ? ownership_advice::claim : ownership_advice::none;
}

cell_view ownership::view(time_point now) const
{
    cell_view current;
    current.cell = m_cell;
    current.epoch = m_highestEpoch;
    current.owned = isOwner();
    if (current.owned)
        current.ownerSilence = std::chrono::milliseconds(0);
    else if (m_owner && m_ownerHeartbeatAt > m_startedAt)
        current.ownerSilence = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_ownerHeartbeatAt);
    return current;
}

} // namespace coriandermount::cells
