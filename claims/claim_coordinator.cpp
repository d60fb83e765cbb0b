#include "claims/claim_coordinator.h"

namespace coriandermount::claims {

namespace {

    /// Interval at which vote and lookup calls are sent again, vote calls to all members without a vote.
    constexpr std::chrono::milliseconds resendInterval { 50 };
    /// Time after which a claim fails as indeterminate when too few members of a closed view have replied.
    constexpr std::chrono::milliseconds readTimeout { 400 };
    constexpr std::chrono::seconds sweepInterval { 5 };
    /// Number of votes after which votes are requested from the other voters: the vote of the key's owner and that of this VM.
    constexpr std::size_t firstVotes = 2;

    bool contains(const std::vector<attempt_ref>& attempts, const attempt_ref& attempt)
    {
        return std::any_of(
            attempts.begin(), attempts.end(), [&attempt](const attempt_ref& other) { return other.sameAttempt(attempt); });
    }

} // namespace

claim_coordinator::claim_coordinator(const claim_core_options& options, const view_tracker& views)
    : m_options(options)
    , m_views(views)
    , m_domains { options.domain }
{
}

bool claim_coordinator::accepts(const job_key& key, wall_time wall) const
{
    return key.issuedAt <= wall + m_options.maxClockSkew && wall <= key.issuedAt + m_options.resubmissionWindow
        && homeDomainOf(key, m_domains) == m_options.domain;
}

void claim_coordinator::reply(const claim_call& call, claim_status status, std::uint64_t epoch,
    const std::optional<claim_record>& holder, outputs& out) const
{
    out.messages.push_back(
        { call.record.holder.runner.address, claim_reply { call.key, call.record.holder, status, epoch, holder } });
}

void claim_coordinator::handle(const claim_call& call, const input_time& at, outputs& out)
{
    const auto issued = parseIssuedId(call.key.name);
    if (issued && issued->isIssuerOnly() && issued->vm != m_options.self.id) {
        forward(call, at, out);
        return;
    }
    if (!accepts(call.key, at.wall))
        return;
    if (issued && issued->isIssuerOnly()) {
        handleIssuerOnly(call, *issued, out);
        return;
    }
    if (m_views.serving(at))
        coordinate(call, at, out);
    else
        forward(call, at, out);
}

void claim_coordinator::forward(const claim_call& call, const input_time& at, outputs& out) const
{
    if (call.forwarded)
        return;
    claim_call copy = call;
    copy.forwarded = true;
    const auto issued = parseIssuedId(call.key.name);
    if (issued && issued->isIssuerOnly()) {
        if (const std::string address = m_views.addressOf(issued->vm); !address.empty())
            out.messages.push_back({ address, std::move(copy) });
        return;
    }
    const view_member* owner = m_views.newest() ? ownerOf(call.key, at) : nullptr;
    if (owner && !owner->vm.sameIncarnation(m_options.self))
        out.messages.push_back({ owner->vm.address, std::move(copy) });
}

/// Returns the live member with the highest rank for a key; null if there is none. Its vote is requested first, so that
/// concurrent claims on a key conflict at one VM.
const view_member* claim_coordinator::ownerOf(const job_key& key, const input_time& at) const
{
    for (const auto& member : rankMembers(*m_views.newest(), key)) {
        if (m_views.alive(member.vm, at.now))
            return m_views.newest()->find(member.vm);
    }
    return nullptr;
}

void claim_coordinator::handleIssuerOnly(const claim_call& call, const issued_id& id, outputs& out)
{
    if (id.incarnation != m_options.self.incarnation) {
        reply(call, claim_status::indeterminate, 0, std::nullopt, out);
        return;
    }
    const auto held = m_records.find(call.key);
    if (held && !held->holder.sameAttempt(call.record.holder) && !contains(call.givenUp, held->holder)) {
        reply(call, claim_status::held, 0, held, out);
        return;
    }
    m_records.put(call.key, call.record);
    reply(call, claim_status::granted, m_views.activatedView(), std::nullopt, out);
}

void claim_coordinator::coordinate(const claim_call& call, const input_time& at, outputs& out)
{
    const auto held = m_records.find(call.key);
    if (held && !held->holder.sameAttempt(call.record.holder) && !contains(call.givenUp, held->holder)) {
        reply(call, claim_status::held, 0, held, out);
        return;
    }
    const auto activeRound = m_rounds.find(call.key);
    if (activeRound != m_rounds.end() && activeRound->second.call.record.holder.sameAttempt(call.record.holder))
        return;
    round current { call, m_views.activatedView(), {}, {}, at.now, at.now + resendInterval };
    if (!addClosedViewReaders(current)) {
        reply(call, claim_status::indeterminate, 0, std::nullopt, out);
        return;
    }
    const view_member* owner = ownerOf(call.key, at);
    if (!owner || owner->vm.sameIncarnation(m_options.self)) {
        castOwnVote(current);
        sendVotes(current, false, at, out);
    } else {
        out.messages.push_back({ owner->vm.address, voteCallOf(current) });
    }
    sendLookups(current, out);
    m_rounds.insert_or_assign(call.key, std::move(current));
    grantIfComplete(call.key, out);
}

/// Records the vote of this VM. Returns false if another attempt holds the key.
bool claim_coordinator::castOwnVote(round& current)
{
    if (current.votes.contains(m_options.self.id))
        return true;
    const auto& call = current.call;
    const auto held = m_records.find(call.key);
    if (held && !held->holder.sameAttempt(call.record.holder) && !contains(call.givenUp, held->holder))
        return false;
    m_records.put(call.key, call.record);
    current.votes.insert(m_options.self.id);
    return true;
}

vote_call claim_coordinator::voteCallOf(const round& current) const
{
    return { m_options.self, current.view, current.call.key, current.call.record, current.call.givenUp };
}

void claim_coordinator::sendVotes(const round& current, bool toAll, const input_time& at, outputs& out) const
{
    const std::size_t needed = claimQuorum(m_views.newest()->members.size());
    std::size_t missing = needed - std::min(needed, current.votes.size());
    for (const auto& member : rankMembers(*m_views.newest(), current.call.key)) {
        if (current.votes.contains(member.vm.id))
            continue;
        if (!toAll && (missing == 0 || !m_views.alive(member.vm, at.now)))
            continue;
        if (missing > 0)
            --missing;
        out.messages.push_back({ member.vm.address, voteCallOf(current) });
    }
}

bool claim_coordinator::addClosedViewReaders(round& current) const
{
    const auto views = m_views.closedViewsThatMayHold(current.call.key);
    if (!views)
        return false;
    for (const claim_view* view : *views) {
        auto& readers = current.readers[view->number];
        if (view->find(m_options.self))
            readers.insert(m_options.self.id);
    }
    return true;
}

void claim_coordinator::sendLookups(const round& current, outputs& out) const
{
    const auto views = m_views.closedViewsThatMayHold(current.call.key);
    if (!views)
        return;
    for (const claim_view* view : *views) {
        const auto readers = current.readers.find(view->number);
        if (readers == current.readers.end() || readers->second.size() >= closeQuorum(view->members.size()))
            continue;
        for (const auto& member : view->members) {
            if (readers->second.contains(member.vm.id) || m_views.isSuperseded(member.vm))
                continue;
            out.messages.push_back({ member.vm.address,
                lookup_call { m_options.self, view->number, current.call.key, current.call.record.holder } });
        }
    }
}

bool claim_coordinator::canReadClosedViews(const round& current, const input_time& at) const
{
    const auto views = m_views.closedViewsThatMayHold(current.call.key);
    if (!views)
        return false;
    for (const claim_view* view : *views) {
        const auto readers = current.readers.find(view->number);
        const std::size_t replied = readers == current.readers.end() ? 0 : readers->second.size();
        const auto remaining = std::count_if(view->members.begin(), view->members.end(),
            [this](const view_member& member) { return !m_views.isSuperseded(member.vm); });
        const std::size_t needed = closeQuorum(view->members.size());
        if (static_cast<std::size_t>(remaining) < needed || (replied < needed && at.now >= current.startedAt + readTimeout))
            return false;
    }
    return true;
}

void claim_coordinator::grantIfComplete(const job_key& key, outputs& out)
{
    const auto found = m_rounds.find(key);
    if (found == m_rounds.end())
        return;
    const round& current = found->second;
    const std::size_t needed = m_options.guards.requireClaimQuorum ? claimQuorum(m_views.newest()->members.size()) : 1;
    if (current.view != m_views.activatedView() || current.votes.size() < needed)
        return;
    const auto views = m_views.closedViewsThatMayHold(key);
    if (!views)
        return;
    for (const claim_view* view : *views) {
        const auto readers = current.readers.find(view->number);
        if (readers == current.readers.end() || readers->second.size() < closeQuorum(view->members.size()))
            return;
    }
    reply(current.call, claim_status::granted, current.view, std::nullopt, out);
    m_rounds.erase(found);
}

void claim_coordinator::endRound(const job_key& key, claim_status status, const std::optional<claim_record>& holder, outputs& out)
{
    const auto found = m_rounds.find(key);
    reply(found->second.call, status, 0, holder, out);
    m_rounds.erase(found);
}

void claim_coordinator::handle(const vote_call& call, const input_time& at, outputs& out)
{
    vote_reply voteReply { m_options.self, call.view, call.key, call.record.holder, vote_status::recorded, std::nullopt };
    const auto held = m_records.find(call.key);
    if (!m_views.votesIn(call.view, at) || !accepts(call.key, at.wall)) {
        voteReply.status = vote_status::stale;
    } else if (held && !held->holder.sameAttempt(call.record.holder) && !contains(call.givenUp, held->holder)) {
        voteReply.status = vote_status::held;
        voteReply.holder = held;
    } else {
        m_records.put(call.key, call.record);
    }
    out.messages.push_back({ call.coordinator.address, std::move(voteReply) });
}

void claim_coordinator::handle(const vote_reply& reply, const input_time& at, outputs& out)
{
    const auto found = m_rounds.find(reply.key);
    if (found == m_rounds.end() || found->second.view != reply.view
        || !found->second.call.record.holder.sameAttempt(reply.attempt))
        return;
    const auto* member = m_views.newest()->find(reply.from);
    if (!member || reply.status == vote_status::stale)
        return;
    if (reply.status == vote_status::held) {
        endRound(reply.key, claim_status::held, reply.holder, out);
        return;
    }
    round& current = found->second;
    current.votes.insert(reply.from.id);
    if (!m_views.votesIn(current.view, at))
        return;
    if (!castOwnVote(current)) {
        endRound(reply.key, claim_status::held, m_records.find(reply.key), out);
        return;
    }
    if (current.votes.size() == firstVotes)
        sendVotes(current, false, at, out);
    grantIfComplete(reply.key, out);
}

void claim_coordinator::handle(const lookup_call& call, const input_time&, outputs& out)
{
    if (!m_views.hasStoppedVotingIn(call.view))
        return;
    out.messages.push_back({ call.coordinator.address,
        lookup_reply { m_options.self, call.view, call.key, call.attempt, m_records.find(call.key) } });
}

void claim_coordinator::handle(const lookup_reply& reply, const input_time&, outputs& out)
{
    const auto found = m_rounds.find(reply.key);
    if (found == m_rounds.end() || !found->second.call.record.holder.sameAttempt(reply.attempt))
        return;
    const bool heldByOther = reply.holder && !reply.holder->holder.sameAttempt(reply.attempt)
        && !contains(found->second.call.givenUp, reply.holder->holder);
    if (heldByOther) {
        endRound(reply.key, claim_status::held, reply.holder, out);
        return;
    }
    if (const auto readers = found->second.readers.find(reply.view); readers != found->second.readers.end())
        readers->second.insert(reply.from.id);
    grantIfComplete(reply.key, out);
}

void claim_coordinator::handle(const release_call& call) { m_records.erase(call.key, call.attempt); }

void claim_coordinator::tick(const input_time& at, outputs& out)
{
    std::vector<job_key> indeterminateKeys;
    for (auto entry = m_rounds.begin(); entry != m_rounds.end();) {
        round& current = entry->second;
        const bool expired = at.now >= current.startedAt + m_options.claimTimeout;
        if (expired || current.view != m_views.activatedView()) {
            entry = m_rounds.erase(entry);
            continue;
        }
        if (!canReadClosedViews(current, at)) {
            indeterminateKeys.push_back(entry->first);
        } else if (at.now >= current.nextSend && m_views.votesIn(current.view, at) && castOwnVote(current)) {
            current.nextSend = at.now + resendInterval;
            sendVotes(current, true, at, out);
            sendLookups(current, out);
        }
        ++entry;
    }
    for (const auto& key : indeterminateKeys)
        endRound(key, claim_status::indeterminate, std::nullopt, out);
    if (at.now < m_nextSweep)
        return;
    m_nextSweep = at.now + sweepInterval;
    m_records.eraseIssuedBefore(at.wall - m_options.resubmissionWindow - 2 * m_options.maxVmClockError);
}

} // namespace coriandermount::claims
