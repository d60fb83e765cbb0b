#include "cells/ownership.h"

#include <algorithm>

#include <xxhash.h>

namespace coriandermount::cells {

namespace {

    /// A store that answers long polls is heard of at least this often.
    constexpr std::chrono::milliseconds storeContactLimit { 3000 };

    /// Multiple of its own processor time from which an owner counts another VM as stronger: a handover costs a pause.
    constexpr std::uint32_t strongerFactor = 2;

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
    , m_ownerSeen(now)
    , m_ownerRecordAt(now)
    , m_storeContact(now - 2 * storeContactLimit)
    , m_verifiedAt(now)
{
}

void ownership::onOwner(const owner_record& record, time_point now)
{
    if (m_owner && record.epoch < m_owner->epoch)
        return;
    const bool changed = !m_owner || record.epoch > m_owner->epoch;
    m_owner = record;
    m_highestEpoch = std::max(m_highestEpoch, record.epoch);
    if (!changed)
        return;
    m_ownerSeen = now;
    m_ownerRecordAt = now;
    m_suspectedSince.reset();
    m_paused = false;
}

void ownership::onOwnerAlive(std::uint64_t epoch, time_point now)
{
    if (m_owner && epoch == m_owner->epoch)
        m_ownerRecordAt = now;
}

void ownership::onHeartbeat(const heartbeat& current, time_point now)
{
    if (current.sender == m_self.id)
        return;
    const auto known = m_peers.find(current.sender);
    const bool gap = known == m_peers.end() || now - known->second.at >= m_settings.reachLimit;
    peer heard { current.draining, current.storeReachable, std::nullopt, current.processorMillis, now,
        gap ? now : known->second.heardSince };
    for (const auto& view : current.cells) {
        if (view.cell != m_cell)
            continue;
        heard.view = view;
        m_highestEpoch = std::max(m_highestEpoch, view.epoch);
        if (m_owner && view.owned && view.epoch == m_owner->epoch)
            m_ownerSeen = now;
    }
    m_peers.insert_or_assign(current.sender, heard);
}

bool ownership::isOwner() const
{
    return m_owner && !m_owner->released && m_owner->owner == m_self.id && m_owner->incarnation == m_self.incarnation
        && m_owner->epoch >= m_highestEpoch;
}

std::uint64_t ownership::epoch() const { return m_owner ? m_owner->epoch : 0; }

bool ownership::storeReachable(time_point now) const { return now - m_storeContact < storeContactLimit; }

bool ownership::mostVmsInReach(time_point now) const
{
    std::size_t members = 1;
    std::size_t inReach = 1;
    for (const auto& [id, current] : m_peers) {
        if (m_scope != heartbeat_scope::fleet && !current.view)
            continue;
        members += now - current.at < m_settings.memberLimit ? 1 : 0;
        inReach += now - current.at < m_settings.reachLimit ? 1 : 0;
    }
    return 2 * inReach > members;
}

bool ownership::allCandidatesInReach(time_point now) const
{
    bool any = false;
    for (const auto& [id, current] : m_peers) {
        if (!current.view || now - current.at >= m_settings.memberLimit)
            continue;
        if (now - current.at >= m_settings.reachLimit)
            return false;
        any = true;
    }
    return any;
}

bool ownership::mostMissOwner(time_point now) const
{
    std::size_t missing = 1;
    std::size_t hearing = 0;
    for (const auto& [id, current] : m_peers) {
        if (now - current.at >= m_settings.reachLimit || !current.view || current.view->epoch != m_owner->epoch)
            continue;
        const bool hearsOwner
            = current.view->ownerSilence && *current.view->ownerSilence + (now - current.at) < m_settings.suspectAfter;
        (hearsOwner ? hearing : missing) += 1;
    }
    return missing > hearing;
}

bool ownership::ownerSuspected(time_point now) const
{
    if (!m_owner || m_owner->released)
        return true;
    if (m_owner->owner == m_self.id && m_owner->incarnation != m_self.incarnation)
        return true;
    const bool contactSinceRecord = m_storeContact > m_ownerRecordAt + m_settings.recordAgeLimit;
    if (contactSinceRecord && now - m_ownerRecordAt > m_settings.recordAgeLimit)
        return true;
    // Who hears the owner seldom can't tell its silence.
    if (m_scope == heartbeat_scope::owner)
        return false;
    return now - m_ownerSeen > m_settings.suspectAfter && now - m_ownerRecordAt > m_settings.suspectAfter && mostVmsInReach(now)
        && mostMissOwner(now);
}

bool ownership::isCandidate(const peer& current, time_point now) const
{
    return now - current.at < m_settings.reachLimit && !current.draining && current.storeReachable && current.view;
}

bool ownership::hasSuccessor(time_point now) const
{
    return std::any_of(m_peers.begin(), m_peers.end(), [this, now](const auto& entry) { return isCandidate(entry.second, now); });
}

bool ownership::hasStrongerSuccessor(time_point now) const
{
    return std::any_of(m_peers.begin(), m_peers.end(), [this, now](const auto& entry) {
        const peer& current = entry.second;
        return isCandidate(current, now) && now - current.heardSince >= m_settings.strongerHeardFor
            && current.processorMillis >= strongerFactor * std::max(m_self.processorMillis, 1U);
    });
}

std::size_t ownership::ownRank(time_point now) const
{
    const std::uint64_t own = rankHash(m_self.id, epoch());
    // Those who do not watch the owner come after those who do.
    std::size_t rank = m_scope == heartbeat_scope::owner ? witnessCount : 0;
    for (const auto& [id, current] : m_peers) {
        const bool before = current.processorMillis != m_self.processorMillis ? current.processorMillis > m_self.processorMillis
                                                                              : rankHash(id, epoch()) < own;
        rank += isCandidate(current, now) && before ? 1 : 0;
    }
    return rank;
}

ownership_advice ownership::advise(time_point now)
{
    if (isOwner()) {
        const bool verified = now - m_verifiedAt < m_settings.unverifiedLimit || mostVmsInReach(now) || allCandidatesInReach(now);
        if (verified != m_paused)
            return ownership_advice::none;
        m_paused = !verified;
        return m_paused ? ownership_advice::pause : ownership_advice::resume;
    }
    if (m_draining || !storeReachable(now) || now - m_startedAt < m_settings.startDelay || !ownerSuspected(now)) {
        m_suspectedSince.reset();
        return ownership_advice::none;
    }
    if (!m_suspectedSince)
        m_suspectedSince = now;
    const bool due = now - *m_suspectedSince >= m_settings.rankDelay * static_cast<int>(ownRank(now));
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
    else if (m_owner && m_ownerSeen > m_startedAt)
        current.ownerSilence = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_ownerSeen);
    return current;
}

} // namespace coriandermount::cells
