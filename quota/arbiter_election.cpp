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
    , m_voteExpiry(startedAt)
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
        // Incarnation 0: the platform lists the member, but no message of it has arrived.
        entry.state = other.incarnation == 0 && other.id != m_self ? member_state::suspected : other.state;
    }
    for (auto& [id, entry] : m_voters) {
        const bool absent = entry.state == member_state::dead || entry.state == member_state::suspected;
        if (!absent)
            entry.absentSince.reset();
        else if (!entry.absentSince)
            entry.absentSince = now;
    }
    std::erase_if(m_voters, [this, now](const auto& entry) { return !entry.second.listed && !isVoter(entry.second, now); });
}

void arbiter_election::recordContact(const vm_id& vm, time_point now)
{
    if (const auto found = m_voters.find(vm); found != m_voters.end())
        found->second.lastContactAt = now;
}

bool arbiter_election::isVoter(const voter& entry, time_point now) const
{
    if (!entry.absentSince)
        return true;
    if (m_voters.size() <= pairSize)
        return now < entry.lastContactAt.value_or(*entry.absentSince) + m_times.pairVoterTimeout;
    return now < *entry.absentSince + m_times.voterTimeout;
}

std::size_t arbiter_election::voterCount(time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_voters.begin(), m_voters.end(), [this, now](const auto& entry) { return isVoter(entry.second, now); }));
}

std::optional<vm_id> arbiter_election::bestRankedCandidate(time_point now) const
{
    std::optional<vm_id> best;
    for (const auto& [id, entry] : m_voters) {
        const bool eligible = entry.listed && entry.state == member_state::alive
            && (!entry.unresponsiveUntil || now >= *entry.unresponsiveUntil) && (id != m_self || mayVote(now));
        if (eligible && (!best || rankOf(id) < rankOf(*best)))
            best = id;
    }
    if (!best && mayVote(now))
        best = m_self;
    return best;
}

std::optional<vm_id> arbiter_election::chooseCandidate(time_point now)
{
    const auto isEligible = [this, now](const vm_id& vm) {
        const auto found = m_voters.find(vm);
        return found != m_voters.end() && found->second.listed
            && (!found->second.unresponsiveUntil || now >= *found->second.unresponsiveUntil);
    };
    if (m_confirmedArbiter && isEligible(*m_confirmedArbiter) && now < m_confirmedAt + m_times.voteDuration)
        return m_confirmedArbiter;
    m_confirmedArbiter.reset();
    if (m_suggestedArbiter && isEligible(*m_suggestedArbiter))
        return m_suggestedArbiter;
    // This VM keeps voting for itself only with a majority; otherwise two VMs could renew conflicting votes for ever.
    if (m_votedFor == m_self && now < m_voteExpiry && majorityConfirmedAt(now))
        return m_self;
    return bestRankedCandidate(now);
}

std::optional<vm_id> arbiter_election::nextPeerToQuery(time_point now)
{
    const auto eligible = [this, now](const auto& entry) {
        return entry.first != m_self && entry.second.listed
            && (!entry.second.unresponsiveUntil || now >= *entry.second.unresponsiveUntil);
    };
    auto found = std::find_if(m_voters.upper_bound(m_lastQueriedPeer), m_voters.end(), eligible);
    if (found == m_voters.end())
        found = std::find_if(m_voters.begin(), m_voters.end(), eligible);
    if (found == m_voters.end())
        return std::nullopt;
    m_lastQueriedPeer = found->first;
    return m_lastQueriedPeer;
}

bool arbiter_election::mayVote(time_point now) const { return now >= m_startedAt + m_times.startupVoteDelay; }

bool arbiter_election::castVote(const vm_id& candidate, time_point now)
{
    if (!mayVote(now) || (m_votedFor && *m_votedFor != candidate && now < m_voteExpiry))
        return false;
    m_votedFor = candidate;
    m_voteExpiry = now + extendForDrift(m_times.voteDuration, m_times);
    return true;
}

void arbiter_election::confirmArbiter(const vm_id& arbiter, time_point now)
{
    m_confirmedArbiter = arbiter;
    m_confirmedAt = now;
    m_suggestedArbiter.reset();
    if (const auto found = m_voters.find(arbiter); found != m_voters.end())
        found->second.unresponsiveUntil.reset();
}

void arbiter_election::reportUnresponsive(const vm_id& vm, time_point now)
{
    if (const auto found = m_voters.find(vm); found != m_voters.end() && vm != m_self)
        found->second.unresponsiveUntil = now + m_times.voteDuration;
    forgetArbiter(vm);
}

void arbiter_election::forgetArbiter(const vm_id& vm)
{
    if (m_confirmedArbiter == vm)
        m_confirmedArbiter.reset();
    if (m_suggestedArbiter == vm)
        m_suggestedArbiter.reset();
}

void arbiter_election::suggestArbiter(const vm_id& vm, time_point now)
{
    const auto found = m_voters.find(vm);
    if (found == m_voters.end() || !found->second.listed
        || (found->second.unresponsiveUntil && now < *found->second.unresponsiveUntil))
        return;
    m_suggestedArbiter = vm;
}

void arbiter_election::recordVote(const vm_id& voter, time_point countedFrom)
{
    const auto found = m_voters.find(voter);
    if (found == m_voters.end())
        return;
    found->second.lastVoteAt = found->second.lastVoteAt ? std::max(*found->second.lastVoteAt, countedFrom) : countedFrom;
}

std::optional<time_point> arbiter_election::majorityConfirmedAt(time_point now) const
{
    std::vector<time_point> voteTimes;
    for (const auto& [id, entry] : m_voters) {
        if (!isVoter(entry, now))
            continue;
        if (id == m_self && m_votedFor == m_self && now < m_voteExpiry)
            voteTimes.push_back(now);
        else if (id != m_self && entry.lastVoteAt && now < *entry.lastVoteAt + m_times.voteDuration)
            voteTimes.push_back(*entry.lastVoteAt);
    }
    const std::size_t majority = voterCount(now) / 2 + 1;
    if (voteTimes.size() < majority)
        return std::nullopt;
    std::sort(voteTimes.begin(), voteTimes.end(), std::greater<> {});
    return voteTimes[majority - 1];
}

bool arbiter_election::isArbiter(time_point now)
{
    if (chooseCandidate(now) == m_self)
        castVote(m_self, now);
    return m_votedFor == m_self && now < m_voteExpiry && majorityConfirmedAt(now).has_value();
}

} // namespace coriandermount::quota
