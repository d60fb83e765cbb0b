#include "quota/share_controller.h"

#include <algorithm>
#include <deque>

#include "quota/arbiter_election.h"
#include "quota/lease_arbiter.h"
#include "quota/lease_holder.h"

namespace coriandermount::quota {

namespace {

    constexpr std::size_t pairSize = 2;
    /// Interval at which a candidate without a majority queries other VMs for the arbiter that they know.
    constexpr std::chrono::milliseconds arbiterQueryInterval { 100 };

    std::uint64_t timestampOf(time_point now)
    {
        return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch()).count());
    }

    time_point timeOf(std::uint64_t timestamp) { return time_point(std::chrono::microseconds(timestamp)); }

} // namespace

struct share_controller::data {
    lease_times times;
    std::uint64_t incarnation = 0;
    time_point startedAt;

    fleet_view view;
    worker_table workers;
    configuration::snapshot configuration;
    demand engineDemand;
    std::map<vm_id, std::string> addresses;

    std::optional<arbiter_election> election;
    std::optional<lease_arbiter> leaseArbiter;
    std::optional<lease_holder> leaseHolder;
    bool inTerm = false;
    time_point nextArbiterQuery;

    bool isOnlyVm() const { return view.self.id.value.empty(); }
    std::vector<failure_domain_id> domains() const;
    unit_map capacity() const;
    void refreshCapacity();
    void updateTerm(time_point now);
    std::chrono::milliseconds leaseFor(const sync_request& request, time_point now) const;
    std::vector<message> handleMessage(const sync_request& request, time_point now);
    std::vector<message> handleMessage(const sync_reply& reply, time_point now);
    std::vector<message> handleMessage(const recall_request& request, time_point now);
    sync_reply notArbiterReply(const sync_request& request, time_point now);
    std::vector<message> pollHolder(time_point now);
    std::vector<message> deliverLocally(std::vector<message> pending, time_point now);
};

std::vector<failure_domain_id> share_controller::data::domains() const
{
    std::vector<failure_domain_id> list { view.self.domain };
    for (const auto& [domain, summary] : view.otherDomains)
        list.push_back(domain);
    return list;
}

unit_map share_controller::data::capacity() const
{
    if (!isOnlyVm())
        return capacityOf(workers, configuration, view.self.domain, domains());
    const failure_domain_id domain = workers.workers.empty() ? failure_domain_id {} : workers.workers.front().domain;
    return capacityOf(workers, configuration, domain, { domain });
}

void share_controller::data::refreshCapacity()
{
    if (leaseArbiter)
        leaseArbiter->setCapacity(capacity());
}

void share_controller::data::updateTerm(time_point now)
{
    const bool arbiter = election->isArbiter(now);
    if (arbiter && !inTerm) {
        leaseArbiter->beginTerm(now);
        refreshCapacity();
    }
    inTerm = arbiter;
}

std::chrono::milliseconds share_controller::data::leaseFor(const sync_request& request, time_point now) const
{
    if (request.domain != view.self.domain)
        return times.foreignLease;
    const auto lease = election->voterCount(now) <= pairSize ? times.pairLease : times.lease;
    if (request.from != view.self.id)
        return lease;
    // No other VM waits for the expiry of a lease that the arbiter grants to itself. Such a lease therefore counts from the time
    // at which a majority last confirmed the arbiter.
    const auto confirmed = election->majorityConfirmedAt(now);
    if (!confirmed)
        return std::chrono::milliseconds(0);
    return lease - std::chrono::ceil<std::chrono::milliseconds>(now - *confirmed);
}

sync_reply share_controller::data::notArbiterReply(const sync_request& request, time_point now)
{
    sync_reply reply;
    reply.from = view.self.id;
    reply.to = request.from;
    reply.session = request.session;
    reply.sequence = request.sequence;
    reply.status = sync_status::not_arbiter;
    reply.timestamp = timestampOf(now);
    const auto& arbiter = election->confirmedArbiter();
    if (arbiter && *arbiter != view.self.id && *arbiter != request.from) {
        reply.arbiter = *arbiter;
        const auto address = addresses.find(*arbiter);
        reply.arbiterAddress = address == addresses.end() ? std::string() : address->second;
    }
    return reply;
}

std::vector<message> share_controller::data::handleMessage(const sync_request& request, time_point now)
{
    const bool fromOwnDomain = request.domain == view.self.domain;
    if (fromOwnDomain && request.from != view.self.id) {
        election->recordContact(request.from, now);
        if (request.isVote)
            election->recordVote(request.from, timeOf(request.echoedTimestamp));
    }
    updateTerm(now);
    if (!inTerm)
        return { notArbiterReply(request, now) };
    return leaseArbiter->handle(request, leaseFor(request, now), now);
}

std::vector<message> share_controller::data::handleMessage(const sync_reply& reply, time_point now)
{
    if (!leaseHolder->handle(reply, now))
        return {};
    election->recordContact(reply.from, now);
    if (reply.status == sync_status::accepted)
        election->confirmArbiter(reply.from, now);
    if (reply.status == sync_status::not_arbiter) {
        election->forgetArbiter(reply.from);
        if (!reply.arbiter.value.empty() && reply.arbiter != view.self.id)
            election->suggestArbiter(reply.arbiter, now);
    }
    return {};
}

std::vector<message> share_controller::data::handleMessage(const recall_request& request, time_point now)
{
    leaseHolder->handle(request, now);
    return {};
}

std::vector<message> share_controller::data::pollHolder(time_point now)
{
    std::vector<message> out;
    const std::optional<vm_id> current = leaseHolder->arbiter();
    if (current && *current != view.self.id && leaseHolder->unansweredFor(times.arbiterTimeout, now))
        election->reportUnresponsive(*current, now);
    auto candidate = election->chooseCandidate(now);
    // A candidate without a majority sends its requests to the other VMs in turn, since one of them may know the arbiter.
    const bool isUnelectedCandidate = candidate == view.self.id && !inTerm;
    if (isUnelectedCandidate && now >= nextArbiterQuery) {
        candidate = election->nextPeerToQuery(now);
        nextArbiterQuery = now + arbiterQueryInterval;
    } else if (isUnelectedCandidate) {
        candidate = current;
    }
    leaseHolder->setArbiter(candidate, now);
    if (!candidate)
        return out;
    const bool willVote = !isUnelectedCandidate && *candidate != view.self.id && leaseHolder->canVote() && election->mayVote(now);
    auto request = leaseHolder->nextRequest(willVote, now);
    if (!request)
        return out;
    request->isVote = request->isVote && election->castVote(*candidate, now);
    out.emplace_back(std::move(*request));
    return out;
}

std::vector<message> share_controller::data::deliverLocally(std::vector<message> pending, time_point now)
{
    std::vector<message> out;
    std::deque<message> queue(std::make_move_iterator(pending.begin()), std::make_move_iterator(pending.end()));
    while (!queue.empty()) {
        const message next = std::move(queue.front());
        queue.pop_front();
        const bool own = std::visit([this](const auto& value) { return value.to == view.self.id; }, next);
        if (!own) {
            out.push_back(next);
            continue;
        }
        for (auto& outgoing : std::visit([this, now](const auto& value) { return handleMessage(value, now); }, next))
            queue.push_back(std::move(outgoing));
    }
    return out;
}

share_controller::share_controller(lease_times times, std::uint64_t incarnation, time_point startedAt)
    : m_data(std::make_unique<data>())
{
    m_data->times = times;
    m_data->incarnation = incarnation;
    m_data->startedAt = startedAt;
}

share_controller::~share_controller() = default;

void share_controller::setView(const fleet_view& view, time_point now)
{
    m_data->view = view;
    if (m_data->isOnlyVm())
        return;
    if (!m_data->election) {
        m_data->election.emplace(view.self.id, m_data->times, m_data->startedAt);
        m_data->leaseArbiter.emplace(view.self.id, view.self.domain, m_data->times);
        m_data->leaseHolder.emplace(view.self.id, view.self.domain, m_data->incarnation, m_data->times);
        setDemand(m_data->engineDemand, now);
    }
    m_data->election->setMembers(view.members, now);
    for (const auto& other : view.members)
        m_data->addresses[other.id] = other.peerAddress;
    m_data->refreshCapacity();
}

void share_controller::setWorkers(const worker_table& workers, time_point)
{
    m_data->workers = workers;
    m_data->refreshCapacity();
}

void share_controller::setConfiguration(const configuration::snapshot& configuration, time_point)
{
    m_data->configuration = configuration;
    m_data->refreshCapacity();
}

void share_controller::setDemand(const demand& demand, time_point now)
{
    m_data->engineDemand = demand;
    if (m_data->leaseHolder)
        m_data->leaseHolder->setUsage({ usedUnits(demand), needsOf(demand, m_data->configuration), demand.shareNumber }, now);
}

std::vector<message> share_controller::handle(const message& input, time_point now)
{
    if (m_data->isOnlyVm())
        return {};
    std::vector<message> out = std::visit([this, now](const auto& value) { return m_data->handleMessage(value, now); }, input);
    return m_data->deliverLocally(std::move(out), now);
}

std::vector<message> share_controller::tick(time_point now)
{
    if (m_data->isOnlyVm())
        return {};
    m_data->updateTerm(now);
    std::vector<message> out = m_data->pollHolder(now);
    if (m_data->inTerm) {
        for (auto& next : m_data->leaseArbiter->tick(now))
            out.push_back(std::move(next));
    }
    return m_data->deliverLocally(std::move(out), now);
}

share_snapshot share_controller::snapshot(time_point now) const
{
    share_snapshot snapshot;
    snapshot.configurationVersion = m_data->configuration.version;
    for (const auto& [plan, limits] : m_data->configuration.plans)
        snapshot.plans[plan];
    if (m_data->isOnlyVm()) {
        addToSnapshot(m_data->capacity(), snapshot);
        return snapshot;
    }
    addToSnapshot(m_data->leaseHolder->usableUnits(now), snapshot);
    snapshot.validUntil = m_data->leaseHolder->leaseExpiry();
    return snapshot;
}

void share_controller::markPublished(std::uint64_t number)
{
    if (m_data->leaseHolder)
        m_data->leaseHolder->markPublished(number);
}

std::string share_controller::addressOf(const vm_id& vm) const
{
    const auto found = m_data->addresses.find(vm);
    return found == m_data->addresses.end() ? std::string() : found->second;
}

bool share_controller::isArbiter() const { return m_data->inTerm; }

const vm_id& share_controller::self() const { return m_data->view.self.id; }

} // namespace coriandermount::quota
