#include "quota/lease_arbiter.h"

#include <algorithm>
#include <utility>

namespace coriandermount::quota {

namespace {

    /// Minimum interval between recall requests to one holder for one resource.
    constexpr std::chrono::milliseconds minRecallInterval { 60 };
    /// Interval at which resources that could not be balanced are tried again.
    constexpr std::chrono::milliseconds rebalanceInterval { 50 };
    /// Interval after which units go to other holders while there are too few for every holder that demands some.
    constexpr std::chrono::seconds rotationInterval { 1 };
    /// Divisors for the part of a worker's slots and of a plan's units that holders in other failure domains may have.
    constexpr std::uint32_t foreignSlotDivisor = 4;
    constexpr std::uint32_t foreignPlanDivisor = 2;
    /// An idle VM keeps its even share of the slots divided by this.
    constexpr std::uint32_t idleSlotDivisor = 4;

    /// Returns the resource under which needs are reported: slots are requested without naming a worker.
    resource_id balancingKey(const resource_id& resource) { return resource.kind == resource_kind::slot ? anySlot : resource; }

    std::uint64_t timestampOf(time_point now)
    {
        return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch()).count());
    }

} // namespace

std::uint32_t reserveFor(std::uint32_t demanded)
{
    constexpr std::uint32_t divisor = 8;
    return demanded / divisor + 1;
}

lease_arbiter::lease_arbiter(vm_id self, failure_domain_id domain, lease_times times)
    : m_self(std::move(self))
    , m_domain(std::move(domain))
    , m_times(times)
{
}

void lease_arbiter::beginTerm(time_point now)
{
    m_holders.clear();
    m_granted.clear();
    m_reportedUnits.clear();
    m_reportingHolders.clear();
    m_slotsGranted = 0;
    m_unbalanced.clear();
    m_termStart = now;
    m_withholding = true;
}

void lease_arbiter::setCapacity(unit_map capacity)
{
    m_capacity = std::move(capacity);
    m_slotCapacity = 0;
    m_slotsGranted = 0;
    for (const auto& [resource, units] : m_capacity) {
        if (resource.kind == resource_kind::slot) {
            m_slotCapacity += units;
            m_slotsGranted += std::min(units, unitsOf(m_granted, resource));
        } else {
            m_unbalanced.insert(resource);
        }
    }
    m_unbalanced.insert(anySlot);
    for (const auto& [resource, units] : m_granted) {
        if (units > unitsOf(m_capacity, resource))
            m_unbalanced.insert(resource);
    }
}

std::vector<message> lease_arbiter::handle(const sync_request& request, std::chrono::milliseconds lease, time_point now)
{
    std::vector<message> out;
    const auto found = m_holders.find(request.from);
    holder_record* holder = found == m_holders.end() ? nullptr : &found->second;
    if (holder
        && (request.session < holder->session || (request.session == holder->session && request.sequence <= holder->sequence)))
        return out;
    if (!holder || holder->session != request.session)
        holder = openSession(request, now);
    if (!holder) {
        sync_reply reply { m_self, request.from, request.session, request.sequence, sync_status::reopen, m_self, {},
            timestampOf(now), std::chrono::milliseconds(0), {}, 0 };
        out.emplace_back(std::move(reply));
        return out;
    }
    applyRequest(request, *holder);
    holder->lease = lease;
    holder->expiry = std::max(holder->expiry, now + extendForDrift(lease, m_times));
    holder->replyDueAt = request.urgent ? now + m_times.maxGrantDelay : now;
    balance(now, out);
    sendDueReplies(now, out);
    return out;
}

lease_arbiter::holder_record* lease_arbiter::openSession(const sync_request& request, time_point now)
{
    if (const auto found = m_holders.find(request.from); found != m_holders.end())
        removeHolder(found);
    if (!request.opensSession)
        return nullptr;
    holder_record& holder = m_holders[request.from];
    holder.session = request.session;
    holder.foreign = request.domain != m_domain;
    // Until the reply arrives, the holder may use these units under a longer lease granted by an earlier arbiter.
    holder.expiry
        = now + (request.holdings.empty() ? std::chrono::nanoseconds(0) : extendForDrift(longestLease(m_times), m_times));
    for (const auto& [resource, units] : request.holdings)
        adjustHoldings(holder, resource, units);
    if (m_withholding && m_reportingHolders.insert(request.from).second) {
        for (const auto& [resource, units] : request.holdings)
            addUnits(m_reportedUnits, resource, units);
    }
    return &holder;
}

void lease_arbiter::applyRequest(const sync_request& request, holder_record& holder)
{
    holder.sequence = request.sequence;
    std::erase_if(
        holder.unacknowledged, [&request](const unit_batch& batch) { return batch.number <= request.lastAppliedGrant; });
    for (const auto& batch : request.returns) {
        if (batch.number <= holder.lastAppliedReturn)
            continue;
        holder.lastAppliedReturn = batch.number;
        for (const auto& [resource, units] : batch.units)
            adjustHoldings(holder, resource, -static_cast<std::int64_t>(units));
    }
    for (const auto& [resource, need] : request.needs) {
        if (need.demanded > 0)
            holder.needs[resource] = need;
        else
            holder.needs.erase(resource);
        m_unbalanced.insert(resource);
    }
}

void lease_arbiter::adjustHoldings(holder_record& holder, const resource_id& resource, std::int64_t units)
{
    const std::uint32_t capacity = unitsOf(m_capacity, resource);
    const std::uint32_t before = std::min(capacity, unitsOf(m_granted, resource));
    if (units >= 0) {
        addUnits(holder.units, resource, static_cast<std::uint32_t>(units));
        addUnits(m_granted, resource, static_cast<std::uint32_t>(units));
    } else {
        units = -static_cast<std::int64_t>(removeUnits(holder.units, resource, static_cast<std::uint32_t>(-units)));
        removeUnits(m_granted, resource, static_cast<std::uint32_t>(-units));
    }
    m_unbalanced.insert(balancingKey(resource));
    if (resource.kind != resource_kind::slot)
        return;
    holder.slots = static_cast<std::uint32_t>(holder.slots + units);
    m_slotsGranted += std::min(capacity, unitsOf(m_granted, resource)) - before;
}

void lease_arbiter::removeHolder(holder_map::iterator entry)
{
    const unit_map units = entry->second.units;
    for (const auto& [resource, count] : units)
        adjustHoldings(entry->second, resource, -static_cast<std::int64_t>(count));
    m_holders.erase(entry);
}

std::vector<message> lease_arbiter::tick(time_point now)
{
    std::vector<message> out;
    for (auto entry = m_holders.begin(); entry != m_holders.end();) {
        const auto current = entry++;
        if (now >= current->second.expiry)
            removeHolder(current);
    }
    if (m_withholding && now >= m_termStart + m_times.withholdingPeriod) {
        m_withholding = false;
        setCapacity(unit_map(m_capacity));
    }
    if (now >= m_nextRebalance) {
        m_nextRebalance = now + rebalanceInterval;
        balance(now, out);
    }
    sendDueReplies(now, out);
    return out;
}

std::uint32_t lease_arbiter::withheldUnits(const resource_id& resource) const
{
    if (!m_withholding)
        return 0;
    const std::uint32_t capacity = unitsOf(m_capacity, resource);
    const std::uint32_t reportedUnits = unitsOf(m_reportedUnits, resource);
    return capacity > reportedUnits ? capacity - reportedUnits : 0;
}

std::uint32_t lease_arbiter::foreignLimit(const resource_id& resource) const
{
    const std::uint32_t divisor = resource.kind == resource_kind::slot ? foreignSlotDivisor : foreignPlanDivisor;
    return (unitsOf(m_capacity, resource) + divisor - 1) / divisor;
}

std::uint32_t lease_arbiter::freeUnits(const resource_id& resource, const holder_record& holder) const
{
    std::uint32_t bound = unitsOf(m_capacity, resource);
    const std::uint32_t unavailable = unitsOf(m_granted, resource) + withheldUnits(resource);
    std::uint32_t free = bound > unavailable ? bound - unavailable : 0;
    if (!holder.foreign || free == 0)
        return free;
    std::uint32_t foreign = 0;
    for (const auto& [vm, other] : m_holders)
        foreign += other.foreign ? unitsOf(other.units, resource) : 0;
    bound = foreignLimit(resource);
    return std::min(free, bound > foreign ? bound - foreign : 0);
}

allocation_request lease_arbiter::allocationRequestOf(
    const vm_id& vm, const holder_record& holder, const resource_id& resource) const
{
    const auto need = holder.needs.find(resource);
    allocation_request request { vm.value, need == holder.needs.end() ? 0 : need->second.demanded, 0, holder.foreign };
    if (holder.foreign)
        return request;
    if (request.demanded > 0)
        request.reserve = reserveFor(request.demanded);
    // An idle VM keeps some slots, so that its first task starts at once.
    if (resource == anySlot)
        request.reserve
            = std::max(request.reserve, m_slotCapacity / (idleSlotDivisor * static_cast<std::uint32_t>(m_holders.size())));
    return request;
}

std::vector<lease_arbiter::holder_allocation> lease_arbiter::computeAllocations(const resource_id& resource, time_point now)
{
    std::vector<holder_allocation> entries;
    std::vector<allocation_request> requests;
    for (auto& [vm, holder] : m_holders) {
        entries.push_back({ vm, &holder, resource == anySlot ? holder.slots : unitsOf(holder.units, resource), 0, 0 });
        requests.push_back(allocationRequestOf(vm, holder, resource));
    }
    const std::uint32_t units = resource == anySlot ? m_slotCapacity : unitsOf(m_capacity, resource);
    auto allocations = allocateMaxMin(units, requests, 0);
    bool starving = false;
    for (std::size_t index = 0; index < entries.size(); ++index)
        starving = starving || (allocations[index] == 0 && requests[index].demanded > 0 && !requests[index].foreign);
    if (starving)
        allocations = allocateMaxMin(units, requests, static_cast<std::uint64_t>(now.time_since_epoch() / rotationInterval));
    for (std::size_t index = 0; index < entries.size(); ++index) {
        holder_allocation& entry = entries[index];
        entry.allocation = allocations[index];
        const std::uint32_t target = std::min(entry.allocation, requests[index].demanded + requests[index].reserve);
        entry.shortage = target > entry.held ? target - entry.held : 0;
    }
    return entries;
}

void lease_arbiter::balance(time_point now, std::vector<message>& out)
{
    if (m_unbalanced.empty())
        return;
    batch_map grants;
    const std::set<resource_id> pending = std::exchange(m_unbalanced, {});
    for (const auto& resource : pending) {
        if (resource != anySlot)
            recallOverCapacity(resource, now, out);
        if (balancingKey(resource) == resource && !balanceResource(resource, now, grants, out))
            m_unbalanced.insert(resource);
    }
    for (auto& [vm, batch] : grants) {
        if (batch.units.empty())
            continue;
        holder_record& holder = m_holders.at(vm);
        batch.number = ++holder.lastGrant;
        holder.unacknowledged.push_back(std::move(batch));
    }
}

bool lease_arbiter::balanceResource(const resource_id& resource, time_point now, batch_map& grants, std::vector<message>& out)
{
    auto entries = computeAllocations(resource, now);
    std::sort(entries.begin(), entries.end(),
        [](const holder_allocation& a, const holder_allocation& b) { return a.shortage > b.shortage; });
    std::uint32_t missing = 0;
    for (auto& entry : entries) {
        entry.shortage -= grant(entry, resource, entry.shortage, grants[entry.vm]);
        missing += entry.shortage;
    }
    for (auto& entry : entries) {
        if (entry.allocation > entry.held)
            grant(entry, resource, entry.allocation - entry.held, grants[entry.vm]);
    }
    if (missing > 0)
        recallSurplus(entries, resource, missing, now, out);
    return missing == 0 && unitsOf(m_granted, resource) <= unitsOf(m_capacity, resource);
}

std::uint32_t lease_arbiter::grant(holder_allocation& entry, const resource_id& resource, std::uint32_t units, unit_batch& batch)
{
    std::uint32_t granted = 0;
    if (units == 0)
        return granted;
    if (resource == anySlot) {
        granted = grantSlots(*entry.holder, units, batch);
    } else {
        granted = std::min(units, freeUnits(resource, *entry.holder));
        adjustHoldings(*entry.holder, resource, granted);
        addUnits(batch.units, resource, granted);
    }
    entry.held += granted;
    return granted;
}

std::uint32_t lease_arbiter::grantSlots(holder_record& holder, std::uint32_t units, unit_batch& batch)
{
    std::uint32_t granted = 0;
    bool found = true;
    while (found && granted < units && m_slotsGranted < m_slotCapacity) {
        found = false;
        // Slots are granted round-robin over the workers, so that every holder can choose among many workers.
        for (std::size_t visited = 0; visited < m_capacity.size() && granted < units; ++visited) {
            auto next = m_capacity.upper_bound(m_lastVisitedSlot);
            if (next == m_capacity.end() || next->first.kind != resource_kind::slot)
                next = m_capacity.begin();
            m_lastVisitedSlot = next->first;
            if (next->first.kind != resource_kind::slot || freeUnits(next->first, holder) == 0)
                continue;
            adjustHoldings(holder, next->first, 1);
            addUnits(batch.units, next->first, 1);
            ++granted;
            found = true;
        }
    }
    return granted;
}

void lease_arbiter::recallSurplus(std::vector<holder_allocation>& entries, const resource_id& resource, std::uint32_t units,
    time_point now, std::vector<message>& out)
{
    std::sort(entries.begin(), entries.end(), [](const holder_allocation& a, const holder_allocation& b) {
        return static_cast<std::int64_t>(a.held) - a.allocation > static_cast<std::int64_t>(b.held) - b.allocation;
    });
    for (auto& entry : entries) {
        if (entry.held <= entry.allocation || units == 0)
            return;
        const std::uint32_t recalled = std::min(units, entry.held - entry.allocation);
        units -= recalled;
        sendRecall(entry.vm, *entry.holder, resource, entry.held - recalled, now, out);
    }
}

void lease_arbiter::recallOverCapacity(const resource_id& resource, time_point now, std::vector<message>& out)
{
    const std::uint64_t capacity = unitsOf(m_capacity, resource);
    const std::uint64_t granted = unitsOf(m_granted, resource);
    if (granted <= capacity)
        return;
    m_unbalanced.insert(resource);
    for (auto& [vm, holder] : m_holders) {
        const std::uint64_t held = unitsOf(holder.units, resource);
        if (held > 0)
            sendRecall(vm, holder, resource, static_cast<std::uint32_t>(held * capacity / granted), now, out);
    }
}

void lease_arbiter::sendRecall(const vm_id& vm, holder_record& holder, const resource_id& resource, std::uint32_t ceiling,
    time_point now, std::vector<message>& out)
{
    const auto last = holder.recalledAt.find(resource);
    if (last != holder.recalledAt.end() && now < last->second + minRecallInterval)
        return;
    holder.recalledAt[resource] = now;
    if (!out.empty()) {
        auto* previous = std::get_if<recall_request>(&out.back());
        if (previous && previous->to == vm) {
            previous->ceilings[resource] = ceiling;
            return;
        }
    }
    out.emplace_back(recall_request { m_self, vm, holder.session, { { resource, ceiling } } });
}

void lease_arbiter::sendDueReplies(time_point now, std::vector<message>& out)
{
    for (auto& [vm, holder] : m_holders) {
        if (!holder.replyDueAt || (now < *holder.replyDueAt && holder.unacknowledged.empty()))
            continue;
        holder.replyDueAt.reset();
        out.emplace_back(sync_reply { m_self, vm, holder.session, holder.sequence, sync_status::accepted, m_self, {},
            timestampOf(now), holder.lease, holder.unacknowledged, holder.lastAppliedReturn });
    }
}

unit_map lease_arbiter::granted() const { return m_granted; }

std::size_t lease_arbiter::holderCount() const { return m_holders.size(); }

const unit_map& lease_arbiter::capacity() const { return m_capacity; }

} // namespace coriandermount::quota
