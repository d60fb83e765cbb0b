#include "quota/share_controller.h"

#include <algorithm>
#include <deque>

#include "quota/arbiter_election.h"
#include "quota/lease_arbiter.h"
#include "quota/lease_holder.h"

namespace coriandermount::quota {

namespace {

    constexpr std::size_t pairSize = 2;
    /// Time between two questions of a candidate without a majority.
    constexpr std::chrono::milliseconds probeInterval { 100 };

    std::uint64_t stampOf(time_point now)
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
    demand engine;
    std::map<vm_id, std::string> addresses;

    std::optional<arbiter_election> votes;
    std::optional<lease_arbiter> book;
    std::optional<lease_holder> home;
    bool inTerm = false;
    time_point nextProbe;

    bool alone() const { return view.self.id.value.empty(); }
    std::vector<failure_domain_id> domains() const;
    unit_map capacity() const;
    void refreshCapacity();
    void updateTerm(time_point now);
    std::chrono::milliseconds leaseFor(const sync_request& request, time_point now) const;
    std::vector<message> on(const sync_request& request, time_point now);
    std::vector<message> on(const sync_reply& reply, time_point now);
    std::vector<message> on(const recall_request& order, time_point now);
    sync_reply referral(const sync_request& request, time_point now);
    std::vector<message> poll(time_point now);
    std::vector<message> deliverOwn(std::vector<message> pending, time_point now);
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
    if (!alone())
        return capacityOf(workers, configuration, view.self.domain, domains());
    const failure_domain_id domain = workers.workers.empty() ? failure_domain_id {} : workers.workers.front().domain;
    return capacityOf(workers, configuration, domain, { domain });
}

void share_controller::data::refreshCapacity()
{
    if (book)
        book->setCapacity(capacity());
}

void share_controller::data::updateTerm(time_point now)
{
    const bool arbiter = votes->isArbiter(now);
    if (arbiter && !inTerm) {
        book->beginTerm(now);
        refreshCapacity();
    }
    inTerm = arbiter;
}

std::chrono::milliseconds share_controller::data::leaseFor(const sync_request& request, time_point now) const
{
    if (request.domain != view.self.domain)
        return times.foreignLease;
    const auto lease = votes->voterCount(now) <= pairSize ? times.pairLease : times.lease;
    if (request.from != view.self.id)
        return lease;
    // Nobody waits out a lease that an arbiter gives itself after the last word of the majority.
    const auto confirmed = votes->majorityConfirmedAt(now);
    if (!confirmed)
        return std::chrono::milliseconds(0);
    return lease - std::chrono::ceil<std::chrono::milliseconds>(now - *confirmed);
}

sync_reply share_controller::data::referral(const sync_request& request, time_point now)
{
    sync_reply reply;
    reply.from = view.self.id;
    reply.to = request.from;
    reply.session = request.session;
    reply.sequence = request.sequence;
    reply.status = sync_status::not_arbiter;
    reply.timestamp = stampOf(now);
    const auto& arbiter = votes->confirmedArbiter();
    if (arbiter && *arbiter != view.self.id && *arbiter != request.from) {
        reply.arbiter = *arbiter;
        const auto address = addresses.find(*arbiter);
        reply.arbiterAddress = address == addresses.end() ? std::string() : address->second;
    }
    return reply;
}

std::vector<message> share_controller::data::on(const sync_request& request, time_point now)
{
    const bool fromHome = request.domain == view.self.domain;
    if (fromHome && request.from != view.self.id) {
        votes->recordContact(request.from, now);
        if (request.votes)
            votes->recordVote(request.from, timeOf(request.echoedTimestamp));
    }
    updateTerm(now);
    if (!inTerm)
        return { referral(request, now) };
    return book->handle(request, leaseFor(request, now), now);
}

std::vector<message> share_controller::data::on(const sync_reply& reply, time_point now)
{
    if (!home->handle(reply, now))
        return {};
    votes->recordContact(reply.from, now);
    if (reply.status == sync_status::accepted)
        votes->confirmArbiter(reply.from, now);
    if (reply.status == sync_status::not_arbiter) {
        votes->forgetArbiter(reply.from);
        if (!reply.arbiter.value.empty() && reply.arbiter != view.self.id)
            votes->suggestArbiter(reply.arbiter, now);
    }
    return {};
}

std::vector<message> share_controller::data::on(const recall_request& order, time_point now)
{
    home->handle(order, now);
    return {};
}

std::vector<message> share_controller::data::poll(time_point now)
{
    std::vector<message> out;
    const std::optional<vm_id> current = home->arbiter();
    if (current && *current != view.self.id && home->unansweredFor(times.arbiterTimeout, now))
        votes->reportUnresponsive(*current, now);
    auto candidate = votes->candidate(now);
    const bool standing = candidate == view.self.id && !inTerm;
    if (standing && now >= nextProbe) {
        candidate = votes->nextPeerToQuery(now);
        nextProbe = now + probeInterval;
    } else if (standing) {
        candidate = current;
    }
    home->setArbiter(candidate, now);
    if (!candidate)
        return out;
    const bool willVote = !standing && *candidate != view.self.id && home->canVote() && votes->mayVote(now);
    auto request = home->poll(willVote, now);
    if (!request)
        return out;
    request->votes = request->votes && votes->castVote(*candidate, now);
    out.emplace_back(std::move(*request));
    return out;
}

std::vector<message> share_controller::data::deliverOwn(std::vector<message> pending, time_point now)
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
        for (auto& answer : std::visit([this, now](const auto& value) { return on(value, now); }, next))
            queue.push_back(std::move(answer));
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
    if (m_data->alone())
        return;
    if (!m_data->votes) {
        m_data->votes.emplace(view.self.id, m_data->times, m_data->startedAt);
        m_data->book.emplace(view.self.id, view.self.domain, m_data->times);
        m_data->home.emplace(view.self.id, view.self.domain, m_data->incarnation, m_data->times);
        setDemand(m_data->engine, now);
    }
    m_data->votes->setMembers(view.members, now);
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
    m_data->engine = demand;
    if (m_data->home)
        m_data->home->setUsage({ usedUnits(demand), needsOf(demand, m_data->configuration), demand.shareNumber }, now);
}

std::vector<message> share_controller::handle(const message& input, time_point now)
{
    if (m_data->alone())
        return {};
    std::vector<message> out = std::visit([this, now](const auto& value) { return m_data->on(value, now); }, input);
    return m_data->deliverOwn(std::move(out), now);
}

std::vector<message> share_controller::tick(time_point now)
{
    if (m_data->alone())
        return {};
    m_data->updateTerm(now);
    std::vector<message> out = m_data->poll(now);
    if (m_data->inTerm) {
        for (auto& next : m_data->book->tick(now))
            out.push_back(std::move(next));
    }
    return m_data->deliverOwn(std::move(out), now);
}

share_snapshot share_controller::snapshot(time_point now) const
{
    share_snapshot snapshot;
    snapshot.configurationVersion = m_data->configuration.version;
    for (const auto& [plan, limits] : m_data->configuration.plans)
        snapshot.plans[plan];
    if (m_data->alone()) {
        addToSnapshot(m_data->capacity(), snapshot);
        return snapshot;
    }
    addToSnapshot(m_data->home->usableUnits(now), snapshot);
    snapshot.validUntil = m_data->home->leaseExpiry();
    return snapshot;
}

void share_controller::markPublished(std::uint64_t number)
{
    if (m_data->home)
        m_data->home->markPublished(number);
}

std::string share_controller::addressOf(const vm_id& vm) const
{
    const auto found = m_data->addresses.find(vm);
    return found == m_data->addresses.end() ? std::string() : found->second;
}

bool share_controller::isArbiter() const { return m_data->inTerm; }

const vm_id& share_controller::self() const { return m_data->view.self.id; }

} // namespace coriandermount::quota
