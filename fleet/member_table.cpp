#include "fleet/member_table.h"

#include <algorithm>
#include <array>
#include <bit>

#include <xxhash.h>

namespace coriandermount::fleet {

namespace {

    /// Number of messages that carry a change, as a multiple of the binary logarithm of the number of members.
    constexpr unsigned transmissionMultiplier = 3;
    /// Multiple of the suspicion timeout while at least half of the members are suspected at once, since then this VM itself may
    /// be the one that is partitioned.
    constexpr int manySuspectedTimeoutFactor = 5;

    bool isListOnly(const member_record& record) { return record.incarnation == 0; }

} // namespace

member_table::member_table(member_record self, failure_timeouts timeouts)
    : m_self(self.id)
    , m_timeouts(timeouts)
{
    entry own;
    own.record = std::move(self);
    m_entries.emplace(m_self, std::move(own));
    m_entries[m_self].transmissionsLeft = transmissionLimit();
}

const member_record& member_table::self() const { return m_entries.at(m_self).record; }

const member_record* member_table::find(const vm_id& id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second.record;
}

std::vector<member_record> member_table::gossipRecords() const
{
    std::vector<member_record> all;
    for (const auto& [id, known] : m_entries) {
        if (!isListOnly(known.record))
            all.push_back(known.record);
    }
    return all;
}

std::vector<member_record> member_table::nonDeadPeers() const
{
    std::vector<member_record> all;
    for (const auto& [id, known] : m_entries) {
        if (id != m_self && known.record.health != liveness::dead)
            all.push_back(known.record);
    }
    return all;
}

std::vector<member_record> member_table::deadMembers() const
{
    std::vector<member_record> all;
    for (const auto& [id, known] : m_entries) {
        if (known.record.health == liveness::dead)
            all.push_back(known.record);
    }
    return all;
}

std::uint32_t member_table::digest() const
{
    std::uint64_t sum = 0;
    for (const auto& [id, known] : m_entries) {
        const member_record& record = known.record;
        if (isListOnly(record) || record.health == liveness::dead)
            continue;
        const std::array<std::uint64_t, 4> state { record.incarnation, record.sequence, static_cast<std::uint64_t>(record.health),
            record.leaving ? 1U : 0U };
        const std::uint64_t seed = XXH3_64bits(state.data(), sizeof state);
        sum += XXH3_64bits_withSeed(id.value.data(), id.value.size(), seed);
    }
    return static_cast<std::uint32_t>(sum);
}

unsigned member_table::transmissionLimit() const
{
    return transmissionMultiplier * static_cast<unsigned>(std::bit_width(m_entries.size() + 1));
}

void member_table::recordChange(entry& changed, member_state before, time_point now)
{
    changed.transmissionsLeft = transmissionLimit();
    const liveness health = changed.record.health;
    if (health == liveness::alive)
        changed.suspectedAt.reset();
    else if (!changed.suspectedAt)
        changed.suspectedAt = now;
    if (health == liveness::dead)
        changed.diedAt = now;
    const member_state after = stateOf(changed.record);
    if (before != after)
        m_changes.push_back({ changed.record.id, before, after });
}

bool member_table::acceptsDeathReport(const entry& known, time_point now) const
{
    return known.suspectedAt && now - *known.suspectedAt >= m_timeouts.deadAfterUnlisted;
}

void member_table::apply(const member_record& received, time_point now)
{
    if (isListOnly(received))
        return;
    if (received.id == m_self) {
        applyToSelf(received);
        return;
    }
    const auto found = m_entries.find(received.id);
    if (found == m_entries.end()) {
        entry& added = m_entries[received.id];
        added.record = received;
        recordChange(added, member_state::dead, now);
        return;
    }
    entry& known = found->second;
    member_record accepted = received;
    const bool wasLive = known.record.health != liveness::dead && known.record.incarnation == received.incarnation;
    if (received.health == liveness::dead && wasLive && !acceptsDeathReport(known, now))
        accepted.health = liveness::suspected;
    const member_state before = stateOf(known.record);
    if (!merge(known.record, accepted))
        return;
    recordChange(known, before, now);
}

void member_table::applyToSelf(const member_record& received)
{
    entry& own = m_entries[m_self];
    if (received.incarnation > own.record.incarnation) {
        // The clock was ahead when this VM ran before, so its earlier incarnation has a higher number than this one.
        own.record.incarnation = received.incarnation + 1;
        own.record.sequence = 0;
        own.transmissionsLeft = transmissionLimit();
        return;
    }
    if (received.incarnation < own.record.incarnation)
        return;
    if (received.health != liveness::alive && received.sequence >= own.record.sequence) {
        own.record.sequence = received.sequence + 1;
        own.transmissionsLeft = transmissionLimit();
    }
    if (received.leaving)
        markLeaving(m_self);
}

void member_table::noteAlive(const vm_id& id, time_point now)
{
    const auto found = m_entries.find(id);
    if (found != m_entries.end())
        found->second.lastHeardAt = now;
}

void member_table::suspect(const vm_id& id, time_point probeStartedAt, time_point now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || found->second.record.health != liveness::alive)
        return;
    entry& known = found->second;
    if (known.lastHeardAt && *known.lastHeardAt >= probeStartedAt)
        return;
    const member_state before = stateOf(known.record);
    known.record.health = liveness::suspected;
    recordChange(known, before, now);
}

bool member_table::markLeaving(const vm_id& id)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return false;
    entry& known = found->second;
    if (known.record.leaving)
        return true;
    const member_state before = stateOf(known.record);
    known.record.leaving = true;
    known.transmissionsLeft = transmissionLimit();
    m_changes.push_back({ id, before, stateOf(known.record) });
    return true;
}

std::size_t member_table::leavingCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_entries.begin(), m_entries.end(), [](const auto& item) { return item.second.record.leaving; }));
}

void member_table::applyListing(const std::vector<entry_vm_info>& listing, time_point now, wall_time wallNow)
{
    for (auto& [id, known] : m_entries)
        known.listed = false;
    for (const auto& vm : listing)
        applyListed(vm, now, wallNow);
    m_listShowsAliveMember = std::any_of(m_entries.begin(), m_entries.end(),
        [](const auto& item) { return item.second.listed && item.second.record.health == liveness::alive; });
}

void member_table::applyListed(const entry_vm_info& vm, time_point now, wall_time wallNow)
{
    const auto [position, added] = m_entries.try_emplace(vm.id);
    entry& known = position->second;
    known.listed = true;
    if (added) {
        known.record.id = vm.id;
        known.record.rack = vm.rack;
        // No member has received a message of this VM yet, so the VM does not count as alive.
        known.record.health = liveness::suspected;
        recordChange(known, member_state::dead, now);
    }
    if (isListOnly(known.record))
        known.record.peerAddress = vm.peerAddress;
    // The list lags, so "leaving" may refer to an earlier incarnation of a VM that has just been restarted.
    const auto age = wallNow.time_since_epoch().count() - static_cast<std::int64_t>(known.record.incarnation);
    if (vm.state == vm_state::leaving && age > m_timeouts.listLag.count())
        markLeaving(vm.id);
}

bool member_table::manySuspected() const
{
    std::size_t suspected = 0;
    std::size_t nonDead = 0;
    for (const auto& [id, known] : m_entries) {
        if (id == m_self || known.record.health == liveness::dead || isListOnly(known.record))
            continue;
        ++nonDead;
        suspected += known.record.health == liveness::suspected ? 1 : 0;
    }
    return nonDead > 1 && suspected * 2 >= nonDead;
}

std::chrono::milliseconds member_table::suspicionTimeoutFor(const entry& suspected, bool manyMembersSuspected) const
{
    if (suspected.record.leaving)
        return m_timeouts.deadAfterUnlisted;
    const bool listOmitsMember = m_listShowsAliveMember && !suspected.listed;
    if (listOmitsMember)
        return manyMembersSuspected ? m_timeouts.deadAfter : m_timeouts.deadAfterUnlisted;
    return manyMembersSuspected ? m_timeouts.deadAfter * manySuspectedTimeoutFactor : m_timeouts.deadAfter;
}

void member_table::expire(time_point now)
{
    const bool manyMembersSuspected = manySuspected();
    for (auto current = m_entries.begin(); current != m_entries.end();) {
        entry& known = current->second;
        if (known.record.health == liveness::dead && !known.listed && known.diedAt
            && now - *known.diedAt >= m_timeouts.removeDeadAfter) {
            current = m_entries.erase(current);
            continue;
        }
        ++current;
        if (known.record.health != liveness::suspected || !known.suspectedAt)
            continue;
        const time_point silentSince = known.lastHeardAt ? std::max(*known.lastHeardAt, *known.suspectedAt) : *known.suspectedAt;
        if (now - silentSince < suspicionTimeoutFor(known, manyMembersSuspected))
            continue;
        const member_state before = stateOf(known.record);
        known.record.health = liveness::dead;
        recordChange(known, before, now);
    }
}

void member_table::restartSuspicionTimeouts(time_point now)
{
    for (auto& [id, known] : m_entries) {
        if (known.suspectedAt)
            known.suspectedAt = now;
    }
}

std::vector<member_record> member_table::takeUpdates(std::size_t limit)
{
    std::vector<entry*> pending;
    for (auto& [id, known] : m_entries) {
        if (known.transmissionsLeft > 0 && !isListOnly(known.record))
            pending.push_back(&known);
    }
    std::stable_sort(pending.begin(), pending.end(),
        [](const entry* a, const entry* b) { return a->transmissionsLeft > b->transmissionsLeft; });
    if (pending.size() > limit)
        pending.resize(limit);
    std::vector<member_record> updates;
    for (entry* sent : pending) {
        --sent->transmissionsLeft;
        updates.push_back(sent->record);
    }
    return updates;
}

void member_table::queueUpdatesMissingFrom(const std::vector<member_record>& table)
{
    for (auto& [id, known] : m_entries) {
        const auto peerRecord
            = std::find_if(table.begin(), table.end(), [&id = id](const member_record& record) { return record.id == id; });
        if (peerRecord == table.end() || *peerRecord != known.record)
            known.transmissionsLeft = std::max(known.transmissionsLeft, 1U);
    }
}

std::vector<state_change> member_table::takeStateChanges()
{
    std::vector<state_change> changes;
    changes.swap(m_changes);
    return changes;
}

} // namespace coriandermount::fleet
