#include "claims/view_tracker.h"

#include "claims/issued_id.h"

namespace coriandermount::claims {

namespace {

    constexpr std::chrono::milliseconds reviewInterval { 50 };
    constexpr std::chrono::milliseconds appendRetryInterval { 1000 };
    constexpr std::chrono::milliseconds logRetryInterval { 100 };

} // namespace

view_tracker::view_tracker(const claim_core_options& options)
    : m_options(options)
{
}

const claim_view* view_tracker::newest() const { return m_views.empty() ? nullptr : &m_views.rbegin()->second; }

bool view_tracker::addView(const claim_view& view)
{
    const claim_view* last = newest();
    if (last && view.number <= last->number)
        return false;
    m_views.emplace(view.number, view);
    m_promisedView = std::max(m_promisedView, view.number);
    return true;
}

void view_tracker::applyLogRecords(const std::vector<claim_view>& views, bool complete, time_point sentAt, const input_time& at)
{
    // The first record read is the domain's first view only if the log has retained all of its records.
    if (m_views.empty() && complete)
        m_historyComplete = true;
    for (const auto& view : views)
        addView(view);
    if (!m_logReadAt || !views.empty())
        m_recordSeenAt = at.now;
    m_logReadAt = sentAt;
    m_nextLogRead = at.now + m_options.logReadInterval;
    activateIfClosed(at);
}

view_heartbeat view_tracker::buildHeartbeat(bool wantsReply, std::uint64_t peerPromisedView) const
{
    view_heartbeat own { m_options.self, m_options.rack, m_options.domain, m_promisedView, m_activatedView, {}, wantsReply };
    for (const auto& [number, view] : m_views) {
        if (peerPromisedView < m_promisedView)
            own.views.push_back(view);
    }
    return own;
}

void view_tracker::handle(const view_heartbeat& received, const input_time& at, outputs& out)
{
    if (received.domain != m_options.domain || received.from.id == m_options.self.id)
        return;
    peer_state& state = m_states[received.from.id];
    if (received.from.incarnation < state.vm.incarnation)
        return;
    const bool sameIncarnation = received.from.sameIncarnation(state.vm);
    state.promisedView = sameIncarnation ? std::max(state.promisedView, received.promisedView) : received.promisedView;
    state.activatedView = sameIncarnation ? std::max(state.activatedView, received.activatedView) : received.activatedView;
    state.vm = received.from;
    state.rack = received.rack;
    state.lastHeartbeatAt = at.now;
    bool added = false;
    for (const auto& view : received.views)
        added = addView(view) || added;
    activateIfClosed(at);
    if (received.wantsReply || received.promisedView < m_promisedView)
        out.messages.push_back({ received.from.address, buildHeartbeat(false, received.promisedView) });
    if (added)
        m_nextHeartbeat = at.now;
}

bool view_tracker::isSuperseded(const vm_ref& vm) const
{
    if (vm.id == m_options.self.id)
        return vm.incarnation < m_options.self.incarnation;
    const auto found = m_states.find(vm.id);
    return found != m_states.end() && found->second.vm.incarnation > vm.incarnation;
}

bool view_tracker::alive(const vm_ref& vm, time_point now) const
{
    if (vm.sameIncarnation(m_options.self))
        return true;
    const auto found = m_states.find(vm.id);
    return found != m_states.end() && found->second.vm.sameIncarnation(vm)
        && now < found->second.lastHeartbeatAt + m_options.memberTimeout;
}

std::string view_tracker::addressOf(const vm_id& vm) const
{
    if (vm == m_options.self.id)
        return m_options.self.address;
    for (const auto& peer : m_peers) {
        if (peer.id == vm)
            return peer.address;
    }
    const auto found = m_states.find(vm);
    return found == m_states.end() ? std::string {} : found->second.vm.address;
}

bool view_tracker::isClosed(const claim_view& view, const claim_view* successor, const input_time& at) const
{
    // Once this time has passed, every voter that can't read the log has stopped voting, since its log lease has expired on its
    // own clock.
    if (successor && successor->createdAt + m_options.viewLease + m_options.maxVmClockError < at.wall)
        return true;
    std::size_t stopped = 0;
    for (const auto& member : view.members) {
        const auto state = m_states.find(member.vm.id);
        const bool votesInNewer
            = state != m_states.end() && state->second.vm.sameIncarnation(member.vm) && state->second.promisedView > view.number;
        if (member.vm.sameIncarnation(m_options.self) || votesInNewer || isSuperseded(member.vm))
            ++stopped;
    }
    return stopped >= closeQuorum(view.members.size());
}

void view_tracker::activateIfClosed(const input_time& at)
{
    const claim_view* last = newest();
    if (!last || last->number == m_activatedView || !last->find(m_options.self))
        return;
    // All predecessors of a view that a peer has activated are closed.
    std::uint64_t closedBelow = m_activatedView;
    for (const auto& [id, state] : m_states)
        closedBelow = std::max(closedBelow, state.activatedView);
    const auto oldest = m_views.begin();
    const bool historyKnown = m_historyComplete || oldest->first == 1 || closedBelow >= oldest->first
        || oldest->second.createdAt + m_options.viewLease + m_options.maxVmClockError < at.wall;
    if (m_options.guards.waitForClosedPredecessors) {
        if (!historyKnown)
            return;
        for (auto entry = m_views.lower_bound(closedBelow); entry->first < last->number; ++entry) {
            if (!isClosed(entry->second, &std::next(entry)->second, at))
                return;
        }
    }
    for (const auto& [number, view] : m_views) {
        if (number < last->number)
            m_closedBy.emplace(number, at.wall);
    }
    m_activatedView = last->number;
}

bool view_tracker::votesIn(std::uint64_t number, const input_time& at) const
{
    if (!m_options.guards.fencing)
        return true;
    return number == m_activatedView && number == m_promisedView && logLeaseHeld(at.now);
}

bool view_tracker::serving(const input_time& at) const
{
    return m_activatedView > 0 && votesIn(m_activatedView, at) && newest()->find(m_options.self);
}

std::optional<std::vector<const claim_view*>> view_tracker::closedViewsThatMayHold(const job_key& key) const
{
    std::vector<const claim_view*> views;
    if (!m_options.guards.readClosedViews)
        return views;
    const auto issued = parseIssuedId(key.name);
    const auto range = m_options.maxClockSkew + m_options.maxVmClockError + m_options.maxVmClockError;
    for (const auto& [number, view] : m_views) {
        if (number >= m_activatedView || (issued && number < issued->view))
            continue;
        const auto closed = m_closedBy.find(number);
        if (closed == m_closedBy.end() || key.issuedAt <= closed->second + range)
            views.push_back(&view);
    }
    const auto oldest = m_views.begin();
    const bool olderViewMayHold = oldest->first > 1 && !(issued && issued->view >= oldest->first)
        && key.issuedAt <= oldest->second.createdAt + m_options.viewLease + range;
    if (olderViewMayHold && !m_historyComplete)
        return std::nullopt;
    return views;
}

std::vector<view_member> view_tracker::aliveMembers(time_point now) const
{
    std::vector<view_member> members { { m_options.self, m_options.rack } };
    for (const auto& entry : m_states) {
        const vm_id& id = entry.first;
        const peer_state& state = entry.second;
        const bool staying = std::any_of(
            m_peers.begin(), m_peers.end(), [&id](const peer_address& peer) { return peer.id == id && !peer.leaving; });
        if (staying && alive(state.vm, now))
            members.push_back({ state.vm, state.rack });
    }
    std::sort(members.begin(), members.end(), [](const auto& left, const auto& right) { return left.vm.id < right.vm.id; });
    return members;
}

bool view_tracker::canBeClosedBy(const claim_view& view, const std::vector<view_member>& members) const
{
    const auto closers = std::count_if(view.members.begin(), view.members.end(), [&](const view_member& member) {
        const bool contained = std::any_of(
            members.begin(), members.end(), [&member](const view_member& other) { return other.vm.sameIncarnation(member.vm); });
        return contained || isSuperseded(member.vm);
    });
    return static_cast<std::size_t>(closers) >= closeQuorum(view.members.size());
}

void view_tracker::propose(const input_time& at, outputs& out)
{
    const std::vector<view_member> members = aliveMembers(at.now);
    std::vector<vm_id> liveMembers;
    liveMembers.reserve(members.size());
    for (const auto& member : members)
        liveMembers.push_back(member.vm.id);
    if (liveMembers != m_liveMembers) {
        m_liveMembers = liveMembers;
        m_liveMembersSince = at.now;
    }
    const claim_view* last = newest();
    const bool unchanged
        = last && std::is_permutation(members.begin(), members.end(), last->members.begin(), last->members.end());
    if (!m_logReadAt || !members.front().vm.sameIncarnation(m_options.self) || at.now < m_nextAppend)
        return;
    if (unchanged) {
        if (at.now >= m_nextRepublish && m_activatedView == last->number) {
            m_nextRepublish = at.now + m_options.republishInterval;
            out.appends.push_back(*last);
        }
        return;
    }
    const bool onlyJoins = !last
        || std::all_of(last->members.begin(), last->members.end(),
            [&members](const view_member& member) { return std::find(members.begin(), members.end(), member) != members.end(); });
    if (at.now < m_liveMembersSince + (onlyJoins ? m_options.joinSettleTime : m_options.removalSettleTime))
        return;
    const bool lost = logLeaseHeld(at.now) && at.now >= m_recordSeenAt + m_options.viewLossTimeout;
    if (last && m_options.guards.waitForClosedPredecessors && !canBeClosedBy(*last, members) && !lost)
        return;
    m_nextAppend = at.now + appendRetryInterval;
    m_nextRepublish = at.now + m_options.republishInterval;
    out.appends.push_back({ last ? last->number + 1 : 1, members, at.wall });
}

void view_tracker::eraseOldViews(const input_time& at)
{
    const auto retention
        = m_options.resubmissionWindow + m_options.viewLease + m_options.maxClockSkew + 2 * m_options.maxVmClockError;
    while (m_views.size() > 1) {
        const auto closed = m_closedBy.find(m_views.begin()->first);
        if (closed == m_closedBy.end() || at.wall < closed->second + retention)
            return;
        m_closedBy.erase(closed);
        m_views.erase(m_views.begin());
    }
}

void view_tracker::tick(const input_time& at, outputs& out)
{
    if (at.now >= m_nextLogRead) {
        m_nextLogRead = at.now + logRetryInterval;
        out.readLog = true;
    }
    if (at.now >= m_nextHeartbeat) {
        m_nextHeartbeat = at.now + m_options.heartbeatInterval;
        for (const auto& peer : m_peers) {
            if (peer.id == m_options.self.id)
                continue;
            const auto state = m_states.find(peer.id);
            out.messages.push_back(
                { peer.address, buildHeartbeat(true, state == m_states.end() ? 0 : state->second.promisedView) });
        }
    }
    activateIfClosed(at);
    if (at.now < m_nextReview)
        return;
    m_nextReview = at.now + reviewInterval;
    propose(at, out);
    eraseOldViews(at);
}

} // namespace coriandermount::claims
