#include "fleet/membership.h"

#include <algorithm>
#include <random>

#include "fleet/domain_directory.h"
#include "fleet/leaving_workers.h"
#include "fleet/member_table.h"

namespace coriandermount::fleet {

namespace {

    /// Number of members that receive a relay request after a direct probe failed.
    constexpr std::size_t relayCount = 3;
    constexpr std::size_t updatesPerMessage = 8;
    constexpr std::size_t domainsPerMessage = 4;
    constexpr std::size_t contactsPerDomain = 3;
    /// Number of messages within this domain that carry a changed domain record.
    constexpr unsigned domainTransmissionLimit = 6;
    /// Time between two join requests before this VM has joined.
    constexpr std::chrono::milliseconds joinRetryInterval { 200 };
    /// Time between two join requests after this VM has joined.
    constexpr std::chrono::milliseconds rejoinInterval { 5000 };
    constexpr std::chrono::milliseconds pushRetryInterval { 250 };
    /// Time after which a push is given up that the member does not acknowledge.
    constexpr std::chrono::milliseconds pushTimeout { 2000 };
    /// Shortest time between two changes of this domain's contacts.
    constexpr std::chrono::milliseconds minContactChangeInterval { 500 };

    enum class call_kind {
        probe,
        /// Requests that another member probes on behalf of this VM.
        relay,
        /// Probes on behalf of another member.
        relayed_probe,
        /// Sends the full table after an urgent change.
        push,
        domain_exchange,
        join,
    };

    struct pending_call {
        call_kind kind = call_kind::probe;
        vm_id target;
        std::string address;
        time_point startedAt;
        /// Request that is replied to when the relayed probe ends.
        request_id relayedFor {};
    };

    /// Relayed probes of one member that have not ended.
    struct relay_round {
        time_point startedAt;
        std::size_t outstanding = 0;
    };

    /// Push that one member has not acknowledged.
    struct push_state {
        time_point until;
        time_point nextAt;
        bool inFlight = false;
        /// True if there was another urgent change after the call in flight was sent.
        bool repeatAfterReply = false;
    };

    member_record ownRecord(const membership_options& options)
    {
        member_record record;
        record.id = options.id;
        record.rack = options.rack;
        record.peerAddress = options.peerAddress;
        record.incarnation = static_cast<std::uint64_t>(options.startedAt.time_since_epoch().count());
        return record;
    }

} // namespace

struct membership::data {
    membership_options options;
    member_table table;
    domain_directory domains;
    leaving_workers workers;
    std::mt19937_64 random;
    time_point startedAt;
    time_point lastTick;
    time_point now;
    wall_time wallNow;
    membership_actions pendingActions;

    std::uint64_t nextCall = 1;
    std::map<call_id, pending_call> calls;
    std::map<vm_id, relay_round> relayRounds;
    std::map<vm_id, push_state> pushes;
    std::map<failure_domain_id, unsigned> domainTransmissionsLeft;
    std::vector<vm_id> probeOrder;
    time_point nextProbe;
    time_point nextDomainExchange;
    time_point nextJoin;
    time_point nextSummary;
    /// Stamp of the last record of its own domain that this VM wrote.
    std::uint64_t lastWrittenStamp = 0;
    bool joined = false;
    bool listRead = false;
    bool anyMessageReceived = false;
    bool markedLeavingReported = false;

    load_reported load;
    std::map<vm_id, std::uint32_t> usedSlots;
    configuration_revision configuration;

    data(membership_options givenOptions, time_point start);

    void handle(const ticked&);
    void handle(const request_received& event);
    void handle(const call_ended& event);
    void handle(const listing_read& event);
    void handle(const leave_requested&);
    void handle(const member_drain_requested& event);
    void handle(const leaving_workers_listed& event);
    void handle(const load_reported& event) { load = event; }
    void handle(const configuration_updated& event) { configuration = event.revision; }

    gossip_message messageHeader() const;
    gossip_message memberMessage(const vm_id& to);
    void addFullTable(gossip_message& message) const;
    gossip_message interDomainMessage() const;
    void call(
        call_kind kind, const vm_id& target, const std::string& address, gossip_message message, request_id relayedFor = {});
    void applyMessage(const gossip_message& message, const std::string& address);
    void applyDomainRecords(const gossip_message& message);
    gossip_message replyTo(const gossip_message& request);
    void handleCallFailure(const pending_call& ended);
    void handleReply(const pending_call& ended, const gossip_message& reply);
    void handleRelayEnd(const vm_id& target);

    void probeNext();
    void exchangeWithRemoteDomain();
    void sendJoinRequest();
    gossip_message joinRequest();
    void schedulePush(const vm_id& member);
    void pushToAllMembers();
    void completePush(const vm_id& member);
    void sendDuePushes();
    void writeSummary();
    std::vector<domain_contact> ownContacts() const;
    bool isSummaryWriter() const;
    void updateJoined();
    void emitStateChanges();
    std::size_t randomBelow(std::size_t bound) { return static_cast<std::size_t>(random() % bound); }
};

membership::data::data(membership_options givenOptions, time_point start)
    : options(std::move(givenOptions))
    , table(ownRecord(options), { options.deadAfterUnlisted, options.deadAfter, options.removeDeadAfter, options.listLag })
    , domains(options.domain, options.reachableTimeout)
    , workers(options.listLag)
    , random(options.randomSeed)
    , startedAt(start)
    , lastTick(start)
    , now(start)
    , nextProbe(start)
    , nextDomainExchange(start)
    , nextJoin(start)
    , nextSummary(start)
{
    for (const auto& domain : options.domains)
        domains.addConfigured(domain);
}

gossip_message membership::data::messageHeader() const
{
    gossip_message message;
    message.from = options.id;
    message.domain = options.domain;
    message.incarnation = table.self().incarnation;
    message.sequence = table.self().sequence;
    message.usedSlots = load.usedSlots;
    message.configuration = configuration;
    return message;
}

gossip_message membership::data::memberMessage(const vm_id& to)
{
    gossip_message message = messageHeader();
    message.membersDigest = table.digest();
    message.members = table.takeUpdates(updatesPerMessage);
    const member_record* receiver = table.find(to);
    const bool included = std::any_of(
        message.members.begin(), message.members.end(), [&to](const member_record& record) { return record.id == to; });
    // A receiver that is suspected or dead in this table is sent its own record, so that it can refute the suspicion.
    if (receiver && receiver->health != liveness::alive && receiver->incarnation > 0 && !included)
        message.members.push_back(*receiver);
    message.leavingWorkers = workers.takeUpdates();
    for (auto update = domainTransmissionsLeft.begin();
         update != domainTransmissionsLeft.end() && message.domains.size() < domainsPerMessage;) {
        if (const domain_record* record = domains.find(update->first))
            message.domains.push_back(*record);
        update = --update->second == 0 ? domainTransmissionsLeft.erase(update) : std::next(update);
    }
    return message;
}

void membership::data::addFullTable(gossip_message& message) const
{
    message.fullTable = true;
    message.members = table.gossipRecords();
    message.leavingWorkers = workers.all();
}

gossip_message membership::data::interDomainMessage() const
{
    gossip_message message = messageHeader();
    message.knownDomains = domains.stamps();
    if (const domain_record* own = domains.find(options.domain))
        message.domains.push_back(*own);
    return message;
}

void membership::data::call(
    call_kind kind, const vm_id& target, const std::string& address, gossip_message message, request_id relayedFor)
{
    const call_id id { nextCall++ };
    calls[id] = { kind, target, address, now, relayedFor };
    const auto timeout = kind == call_kind::relay ? options.relayTimeout : options.probeTimeout;
    pendingActions.emplace_back(send_call { id, address, timeout, std::move(message) });
}

void membership::data::applyMessage(const gossip_message& message, const std::string& address)
{
    anyMessageReceived = true;
    if (message.domain == options.domain) {
        for (const auto& record : message.members)
            table.apply(record, now);
        table.noteAlive(message.from, now);
        usedSlots[message.from] = message.usedSlots;
        if (const auto newlyLeaving = workers.apply(message.leavingWorkers, wallNow); !newlyLeaving.empty())
            pendingActions.emplace_back(leaving_workers_received { newlyLeaving });
    } else {
        domains.noteMessageFrom(message.domain, now);
    }
    applyDomainRecords(message);
    const member_record* sender = table.find(message.from);
    const std::string& from = sender && address.empty() ? sender->peerAddress : address;
    if (message.configuration != configuration && message.configuration.version >= configuration.version && !from.empty())
        pendingActions.emplace_back(configuration_mismatch { message.configuration, from });
}

void membership::data::applyDomainRecords(const gossip_message& message)
{
    bool urgent = false;
    for (const auto& record : message.domains) {
        const bool isOwn = record.domain == options.domain;
        if (domains.apply(record, now) && !isOwn) {
            domainTransmissionsLeft[record.domain] = domainTransmissionLimit;
            urgent = true;
        }
    }
    if (urgent && message.domain != options.domain)
        pushToAllMembers();
}

gossip_message membership::data::replyTo(const gossip_message& request)
{
    if (request.domain != options.domain) {
        gossip_message reply = messageHeader();
        reply.domains = domains.recordsNewerThan(request.knownDomains);
        return reply;
    }
    gossip_message reply = memberMessage(request.from);
    if (reply.membersDigest != request.membersDigest)
        addFullTable(reply);
    if (!request.knownDomains.empty())
        reply.domains = domains.recordsNewerThan(request.knownDomains);
    return reply;
}

void membership::data::handle(const request_received& event)
{
    const member_record* sender = table.find(event.message.from);
    const bool isNew = event.message.domain == options.domain
        && (!sender || sender->health == liveness::dead || sender->incarnation < event.message.incarnation);
    applyMessage(event.message, {});
    // The first member that a new VM calls pushes the new VM to all others. Probes alone would take several rounds.
    if (isNew && event.message.fullTable)
        pushToAllMembers();
    if (event.message.fullTable && event.message.domain == options.domain)
        table.queueUpdatesMissingFrom(event.message.members);
    if (!event.message.relayTo.empty()) {
        call(call_kind::relayed_probe, {}, event.message.relayTo, memberMessage({}), event.request);
        return;
    }
    pendingActions.emplace_back(send_reply { event.request, replyTo(event.message) });
}

void membership::data::handle(const call_ended& event)
{
    const auto found = calls.find(event.call);
    if (found == calls.end())
        return;
    const pending_call ended = found->second;
    calls.erase(found);
    if (event.reply)
        handleReply(ended, *event.reply);
    else
        handleCallFailure(ended);
}

void membership::data::handleReply(const pending_call& ended, const gossip_message& reply)
{
    if (ended.kind == call_kind::relay) {
        // A reply of the target to the relay shows that the target is alive, like a reply to this VM.
        if (reply.relayTo == ended.address)
            table.noteAlive(ended.target, now);
        applyMessage(reply, {});
        handleRelayEnd(ended.target);
        return;
    }
    applyMessage(reply, ended.address);
    // Another VM may have the address by now.
    if (ended.kind == call_kind::probe && reply.from != ended.target)
        table.suspect(ended.target, ended.startedAt, now);
    if (ended.kind == call_kind::relayed_probe) {
        gossip_message relayReply = messageHeader();
        relayReply.relayTo = ended.address;
        pendingActions.emplace_back(send_reply { ended.relayedFor, std::move(relayReply) });
        return;
    }
    if (ended.kind == call_kind::push)
        completePush(ended.target);
    if (!reply.fullTable || reply.domain != options.domain)
        return;
    table.queueUpdatesMissingFrom(reply.members);
    if (ended.kind != call_kind::push && table.digest() != reply.membersDigest) {
        gossip_message fullMessage = memberMessage(reply.from);
        addFullTable(fullMessage);
        call(call_kind::push, reply.from, ended.address, std::move(fullMessage));
    }
}

void membership::data::handleCallFailure(const pending_call& ended)
{
    if (ended.kind == call_kind::relayed_probe) {
        pendingActions.emplace_back(send_reply { ended.relayedFor, messageHeader() });
        return;
    }
    if (ended.kind == call_kind::push) {
        if (const auto push = pushes.find(ended.target); push != pushes.end())
            push->second.inFlight = false;
        return;
    }
    if (ended.kind == call_kind::relay) {
        handleRelayEnd(ended.target);
        return;
    }
    if (ended.kind != call_kind::probe)
        return;
    std::vector<member_record> relayMembers = table.nonDeadPeers();
    std::erase_if(relayMembers,
        [&ended](const member_record& record) { return record.id == ended.target || record.health != liveness::alive; });
    std::shuffle(relayMembers.begin(), relayMembers.end(), random);
    relayMembers.resize(std::min(relayMembers.size(), relayCount));
    if (relayMembers.empty()) {
        table.suspect(ended.target, ended.startedAt, now);
        return;
    }
    relayRounds[ended.target] = { ended.startedAt, relayMembers.size() };
    for (const auto& relayMember : relayMembers) {
        gossip_message message = memberMessage(relayMember.id);
        message.relayTo = ended.address;
        const call_id id { nextCall++ };
        calls[id] = { call_kind::relay, ended.target, ended.address, now, {} };
        pendingActions.emplace_back(send_call { id, relayMember.peerAddress, options.relayTimeout, std::move(message) });
    }
}

void membership::data::handleRelayEnd(const vm_id& target)
{
    const auto round = relayRounds.find(target);
    if (round == relayRounds.end() || --round->second.outstanding > 0)
        return;
    table.suspect(target, round->second.startedAt, now);
    relayRounds.erase(round);
}

void membership::data::handle(const listing_read& event)
{
    listRead = true;
    std::vector<entry_vm_info> local;
    std::map<failure_domain_id, std::vector<domain_contact>> remote;
    for (const auto& vm : event.entryVms) {
        if (vm.domain == options.domain)
            local.push_back(vm);
        else if (vm.state == vm_state::live)
            remote[vm.domain].push_back({ vm.id, vm.peerAddress });
    }
    const std::size_t leavingBefore = table.leavingCount();
    std::vector<entry_vm_info> added;
    std::copy_if(
        local.begin(), local.end(), std::back_inserter(added), [this](const entry_vm_info& vm) { return !table.find(vm.id); });
    table.applyListing(local, now, wallNow);
    for (const auto& vm : added)
        call(call_kind::join, vm.id, vm.peerAddress, joinRequest());
    if (table.leavingCount() > leavingBefore)
        pushToAllMembers();
    for (auto& [domain, contacts] : remote)
        domains.setListedContacts(domain, std::move(contacts));
}

void membership::data::handle(const leave_requested&)
{
    table.markLeaving(options.id);
    pushToAllMembers();
}

void membership::data::handle(const member_drain_requested& event)
{
    if (table.markLeaving(event.vm))
        pushToAllMembers();
}

void membership::data::handle(const leaving_workers_listed& event)
{
    if (!workers.apply(event.workers, wallNow).empty())
        pushToAllMembers();
}

void membership::data::handle(const ticked&)
{
    if (now - lastTick > options.maxTickGap) {
        // While this VM was paused it handled no replies, so a call that is still open does not show that its target is
        // unresponsive.
        calls.clear();
        relayRounds.clear();
        table.restartSuspicionTimeouts(now);
        for (auto& [id, push] : pushes)
            push.inFlight = false;
    }
    lastTick = now;
    table.expire(now);
    workers.expire(wallNow);
    if (now >= nextProbe)
        probeNext();
    if (now >= nextDomainExchange)
        exchangeWithRemoteDomain();
    if (now >= nextJoin)
        sendJoinRequest();
    sendDuePushes();
    writeSummary();
    updateJoined();
}

void membership::data::probeNext()
{
    nextProbe = now + options.probeInterval;
    while (!probeOrder.empty()) {
        const member_record* target = table.find(probeOrder.back());
        probeOrder.pop_back();
        if (!target || target->health == liveness::dead)
            continue;
        call(call_kind::probe, target->id, target->peerAddress, memberMessage(target->id));
        return;
    }
    for (const auto& record : table.nonDeadPeers())
        probeOrder.push_back(record.id);
    std::shuffle(probeOrder.begin(), probeOrder.end(), random);
    if (!probeOrder.empty())
        probeNext();
}

void membership::data::exchangeWithRemoteDomain()
{
    nextDomainExchange = now + options.domainInterval;
    const auto remoteDomains = domains.remoteDomains();
    if (remoteDomains.empty())
        return;
    const auto contacts = domains.contactsOf(remoteDomains[randomBelow(remoteDomains.size())]);
    if (contacts.empty())
        return;
    const domain_contact& contact = contacts[randomBelow(contacts.size())];
    call(call_kind::domain_exchange, contact.id, contact.peerAddress, interDomainMessage());
}

/// Sends a join request to a random address: a seed or a known member while this VM has not joined or knows no alive member, an
/// unknown contact of its own domain, or a dead member. Requests to dead members let the sides of a partition find each other
/// after it has healed.
void membership::data::sendJoinRequest()
{
    nextJoin = now + (joined ? rejoinInterval : joinRetryInterval);
    std::vector<std::string> addresses;
    const auto known = table.nonDeadPeers();
    const bool isolated
        = std::none_of(known.begin(), known.end(), [](const member_record& record) { return record.health == liveness::alive; });
    if (!joined || isolated) {
        addresses = options.seeds;
        for (const auto& record : known)
            addresses.push_back(record.peerAddress);
    }
    for (const auto& contact : domains.contactsOf(options.domain)) {
        if (!joined || isolated || !table.find(contact.id))
            addresses.push_back(contact.peerAddress);
    }
    for (const auto& record : table.deadMembers())
        addresses.push_back(record.peerAddress);
    std::erase(addresses, options.peerAddress);
    if (addresses.empty())
        return;
    const std::string& address = addresses[randomBelow(addresses.size())];
    call(call_kind::join, {}, address, joinRequest());
}

gossip_message membership::data::joinRequest()
{
    gossip_message message = memberMessage({});
    addFullTable(message);
    message.knownDomains = domains.stamps();
    if (message.knownDomains.empty())
        message.knownDomains.push_back({ options.domain, 0 });
    return message;
}

void membership::data::schedulePush(const vm_id& member)
{
    push_state& push = pushes[member];
    push.until = now + pushTimeout;
    push.repeatAfterReply = push.inFlight;
}

void membership::data::pushToAllMembers()
{
    for (const auto& record : table.nonDeadPeers())
        schedulePush(record.id);
    sendDuePushes();
}

void membership::data::completePush(const vm_id& member)
{
    const auto push = pushes.find(member);
    if (push == pushes.end())
        return;
    if (!push->second.repeatAfterReply) {
        pushes.erase(push);
        return;
    }
    push->second.inFlight = false;
    push->second.repeatAfterReply = false;
    push->second.nextAt = now;
}

void membership::data::sendDuePushes()
{
    std::erase_if(pushes, [this](const auto& item) { return now > item.second.until; });
    for (auto& [id, push] : pushes) {
        const member_record* target = table.find(id);
        if (!target || push.inFlight || now < push.nextAt)
            continue;
        push.inFlight = true;
        push.nextAt = now + pushRetryInterval;
        gossip_message message = memberMessage(id);
        addFullTable(message);
        for (const auto& [domain, rounds] : domainTransmissionsLeft) {
            const domain_record* record = domains.find(domain);
            if (record && std::find(message.domains.begin(), message.domains.end(), *record) == message.domains.end())
                message.domains.push_back(*record);
        }
        call(call_kind::push, id, target->peerAddress, std::move(message));
    }
}

std::vector<domain_contact> membership::data::ownContacts() const
{
    std::vector<member_record> members = table.nonDeadPeers();
    members.push_back(table.self());
    std::sort(members.begin(), members.end(), [](const auto& a, const auto& b) { return a.id < b.id; });
    std::vector<domain_contact> contacts;
    for (const auto& record : members) {
        if (stateOf(record) == member_state::alive && contacts.size() < contactsPerDomain)
            contacts.push_back({ record.id, record.peerAddress });
    }
    return contacts;
}

bool membership::data::isSummaryWriter() const
{
    if (!joined || stateOf(table.self()) != member_state::alive)
        return false;
    const auto peers = table.nonDeadPeers();
    return std::none_of(peers.begin(), peers.end(),
        [this](const member_record& record) { return stateOf(record) == member_state::alive && record.id < options.id; });
}

/// Writes the record of this domain if this VM is the alive member with the lowest id.
void membership::data::writeSummary()
{
    if (!isSummaryWriter() || now < nextSummary)
        return;
    const domain_record* known = domains.find(options.domain);
    domain_record record = known ? *known : domain_record {};
    const auto contacts = ownContacts();
    const bool contactsChanged = !known || known->contacts != contacts;
    const bool due = !known || now >= nextSummary + (options.summaryInterval - minContactChangeInterval);
    // While a domain is partitioned, the sides overwrite each other's records. A contested record is therefore written only once
    // per `summaryInterval`, also if its contacts changed.
    const bool contested = known && lastWrittenStamp > 0 && known->stamp != lastWrittenStamp;
    if (!due && (!contactsChanged || contested))
        return;
    nextSummary = now + minContactChangeInterval;
    record.domain = options.domain;
    record.stamp = std::max(record.stamp + 1, static_cast<std::uint64_t>(wallNow.time_since_epoch().count()));
    if (contactsChanged)
        record.contactStamp = record.stamp;
    lastWrittenStamp = record.stamp;
    record.hasContacts = true;
    record.contacts = contacts;
    std::uint32_t used = load.usedSlots;
    record.liveVms = 1;
    for (const auto& other : table.nonDeadPeers()) {
        record.liveVms += stateOf(other) == member_state::alive ? 1 : 0;
        const auto slots = usedSlots.find(other.id);
        used += slots == usedSlots.end() ? 0 : slots->second;
    }
    record.liveWorkers = load.liveWorkers;
    record.freeSlots = load.totalSlots - std::min(load.totalSlots, used);
    domains.apply(record, now);
    domainTransmissionsLeft[options.domain] = domainTransmissionLimit;
    if (!contactsChanged)
        return;
    for (const auto& domain : domains.remoteDomains()) {
        if (const auto remoteContacts = domains.contactsOf(domain); !remoteContacts.empty()) {
            const domain_contact& contact = remoteContacts[randomBelow(remoteContacts.size())];
            call(call_kind::domain_exchange, contact.id, contact.peerAddress, interDomainMessage());
        }
    }
}

void membership::data::updateJoined()
{
    if (joined)
        return;
    const auto peers = table.nonDeadPeers();
    const bool anyMemberAlive
        = std::any_of(peers.begin(), peers.end(), [](const member_record& record) { return record.health == liveness::alive; });
    const bool discoveryCompleted = anyMessageReceived || (listRead && options.seeds.empty());
    const bool isOnlyMember = peers.empty() && discoveryCompleted && domains.contactsOf(options.domain).empty();
    joined = anyMemberAlive || isOnlyMember || now - startedAt >= options.joinTimeout;
}

void membership::data::emitStateChanges()
{
    for (const auto& change : table.takeStateChanges())
        pendingActions.emplace_back(member_changed { change.vm, change.from, change.to });
    if (table.self().leaving && !markedLeavingReported) {
        markedLeavingReported = true;
        pendingActions.emplace_back(marked_leaving {});
    }
}

membership::membership(membership_options options, time_point now)
    : m_data(std::make_unique<data>(std::move(options), now))
{
}

membership::~membership() = default;

membership_actions membership::handle(const membership_event& event, time_point now, wall_time wallNow)
{
    m_data->now = now;
    m_data->wallNow = wallNow;
    std::visit([this](const auto& value) { m_data->handle(value); }, event);
    m_data->emitStateChanges();
    membership_actions actions;
    actions.swap(m_data->pendingActions);
    return actions;
}

fleet_view membership::view(time_point now) const
{
    fleet_view view;
    std::vector<member_record> records = m_data->table.nonDeadPeers();
    records.push_back(m_data->table.self());
    std::sort(records.begin(), records.end(), [](const auto& a, const auto& b) { return a.id < b.id; });
    for (const auto& record : records) {
        member& vm = view.members.emplace_back();
        vm.id = record.id;
        vm.domain = m_data->options.domain;
        vm.rack = record.rack;
        vm.peerAddress = record.peerAddress;
        vm.incarnation = record.incarnation;
        vm.state = stateOf(record);
        if (record.id == m_data->options.id)
            view.self = vm;
    }
    view.otherDomains = m_data->domains.summaries(now);
    return view;
}

bool membership::joined() const { return m_data->joined; }

bool membership::hasPendingPushes() const { return !m_data->pushes.empty(); }

} // namespace coriandermount::fleet
