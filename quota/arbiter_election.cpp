#include "quota/arbiter_election.h"

#include <algorithm>

#include <xxhash.h>

namespace coriandermount::quota {

namespace {

    constexpr std::size_t pairSize = 2;

    std::uint64_t rankOf(const vm_id& vm) { return XXH3_64bits(vm.value.data(), vm.value.size()); }

} // namespace

arbiter_election::arbiter_election(vm_id self, lease_times times, time_point startedAt)
    : m_self(std::move(self))
    , m_times(times)
    , m_startedAt(startedAt)
    , m_voteEnds(startedAt)
    , m_confirmedAt(startedAt)
{
    m_voters[m_self];
}

void arbiter_election::setMembers(const std::vector<member>& members, time_point now)
{
    for (auto& [id, entry] : m_voters) {
        if (id == m_self)
            continue;
        entry.listed = false;
        entry.state = member_state::dead;
    }
    for (const auto& other : members) {
        if (other.state == member_state::dead)
            continue;
        voter& entry = m_voters[other.id];
        entry.listed = true;
        // A member that only the platform's list names has not been heard of.
        entry.state = other.incarnation == 0 && other.id != m_self ? member_state::suspected : other.state;
    }
    for (auto& [id, entry] : m_voters) {
        const bool absent = entry.state == member_state::dead || entry.state == member_state::suspected;
        if (!absent)
            entry.absentSince.reset();
        else if (!entry.absentSince)
            entry.absentSince = now;
    }
    std::erase_if(m_voters, [this, now](const auto& entry) { return !entry.second.listed && !counts(entry.second, now); });
}

void arbiter_election::recordContact(const vm_id& vm, time_point now)
{
    if (const auto found = m_voters.find(vm); found != m_voters.end())
        found->second.heardAt = now;
}

bool arbiter_election::counts(const voter& entry, time_point now) const
{
    if (!entry.absentSince)
        return true;
    if (m_voters.size() <= pairSize)
        return now < entry.heardAt.value_or(*entry.absentSince) + m_times.pairVoterTimeout;
    return now < *entry.absentSince + m_times.voterTimeout;
}

std::size_t arbiter_election::voterCount(time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_voters.begin(), m_voters.end(), [this, now](const auto& entry) { return counts(entry.second, now); }));
}

std::optional<vm_id> arbiter_election::bestRanked(time_point now) const
{
    std::optional<vm_id> best;
    for (const auto& [id, entry] : m_voters) {
        const bool usable = entry.listed && entry.state == member_state::alive
            && (!entry.silentUntil || now >= *entry.silentUntil) && (id != m_self || mayVote(now));
        if (usable && (!best || rankOf(id) < rankOf(*best)))
            best = id;
    }
    if (!best && mayVote(now))
        best = m_self;
    return best;
}

std::optional<vm_id> arbiter_election::candidate(time_point now)
{
    const auto isUsable = [this, now](const vm_id& vm) {
        const auto found = m_voters.find(vm);
        return found != m_voters.end() && found->second.listed
            && (!found->second.silentUntil || now >= *found->second.silentUntil);
    };
    if (m_confirmed && isUsable(*m_confirmed) && now < m_confirmedAt + m_times.voteDuration)
        return m_confirmed;
    m_confirmed.reset();
    if (m_suggested && isUsable(*m_suggested))
        return m_suggested;
    // A vote for a VM that is not arbiter is not renewed for its own sake, or two VMs might vote for each other for ever.
    if (m_votedFor == m_self && now < m_voteEnds && majorityConfirmedAt(now))
        return m_self;
    return bestRanked(now);
}

std::optional<vm_id> arbiter_election::nextPeerToQuery(time_point now)
{
    const auto usable = [this, now](const auto& entry) {
        return entry.first != m_self && entry.second.listed && (!entry.second.silentUntil || now >= *entry.second.silentUntil);
    };
    auto found = std::find_if(m_voters.upper_bound(m_lastOther), m_voters.end(), usable);
    if (found == m_voters.end())
        found = std::find_if(m_voters.begin(), m_voters.end(), usable);
    if (found == m_voters.end())
        return std::nullopt;
    m_lastOther = found->first;
    return m_lastOther;
}

bool arbiter_election::mayVote(time_point now) const { return now >= m_startedAt + m_times.startupVoteDelay; }

bool arbiter_election::castVote(const vm_id& candidate, time_point now)
{
    if (!mayVote(now) || (m_votedFor && *m_votedFor != candidate && now < m_voteEnds))
        return false;
    m_votedFor = candidate;
    m_voteEnds = now + extendForDrift(m_times.voteDuration, m_times);
    return true;
}

void arbiter_election::confirmArbiter(const vm_id& arbiter, time_point now)
{
    m_confirmed = arbiter;
    m_confirmedAt = now;
    m_suggested.reset();
    if (const auto found = m_voters.find(arbiter); found != m_voters.end())
        found->second.silentUntil.reset();
}

void arbiter_election::reportUnresponsive(const vm_id& vm, time_point now)
{
    if (const auto found = m_voters.find(vm); found != m_voters.end() && vm != m_self)
        found->second.silentUntil = now + m_times.voteDuration;
    forgetArbiter(vm);
}

void arbiter_election::forgetArbiter(const vm_id& vm)
{
    if (m_confirmed == vm)
        m_confirmed.reset();
    if (m_suggested == vm)
        m_suggested.reset();
}

void arbiter_election::suggestArbiter(const vm_id& vm, time_point now)
{
    const auto found = m_voters.find(vm);
    if (found == m_voters.end() || !found->second.listed || (found->second.silentUntil && now < *found->second.silentUntil))
        return;
    m_suggested = vm;
}

void arbiter_election::recordVote(const vm_id& voter, time_point stampedAt)
{
    const auto found = m_voters.find(voter);
    if (found == m_voters.end())
        return;
    found->second.votedAt = found->second.votedAt ? std::max(*found->second.votedAt, stampedAt) : stampedAt;
}

std::optional<time_point> arbiter_election::majorityConfirmedAt(time_point now) const
{
    std::vector<time_point> votes;
    for (const auto& [id, entry] : m_voters) {
        if (!counts(entry, now))
            continue;
        if (id == m_self && m_votedFor == m_self && now < m_voteEnds)
            votes.push_back(now);
        else if (id != m_self && entry.votedAt && now < *entry.votedAt + m_times.voteDuration)
            votes.push_back(*entry.votedAt);
    }
    const std::size_t needed = voterCount(now) / 2 + 1;
    if (votes.size() < needed)
        return std::nullopt;
    std::sort(votes.begin(), votes.end(), std::greater<> {});
    return votes[needed - 1];
}

bool arbiter_election::isArbiter(time_point now)
{
    if (candidate(now) == m_self)
        castVote(m_self, now);
    return m_votedFor == m_self && now < m_voteEnds && majorityConfirmedAt(now).has_value();
}

} // namespace coriandermount::quota
