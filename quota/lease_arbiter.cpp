#include "quota/lease_arbiter.h"

#include <algorithm>
#include <utility>

namespace coriandermount::quota {

namespace {

    constexpr std::chrono::milliseconds recallInterval { 60 };
    /// Time between two looks at resources that could not be settled.
    constexpr std::chrono::milliseconds retryInterval { 50 };
    constexpr std::chrono::seconds turnDuration { 1 };
    /// Part of a worker's slots and of a plan's units that holders in other domains may have.
    constexpr std::uint32_t foreignSlotDivisor = 4;
    constexpr std::uint32_t foreignPlanDivisor = 2;
    /// A VM without work keeps its even part of the slots over this.
    constexpr std::uint32_t idleSlotDivisor = 4;

    /// Total that the needs of a resource are stated for: slots are asked for without naming workers.
    resource_id balancedAs(const resource_id& resource) { return resource.kind == resource_kind::slot ? anySlot : resource; }

    std::uint64_t stampOf(time_point now)
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
    m_accounted.clear();
    m_reporters.clear();
    m_slotsGranted = 0;
    m_unsettled.clear();
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
            m_unsettled.insert(resource);
        }
    }
    m_unsettled.insert(anySlot);
    for (const auto& [resource, units] : m_granted) {
        if (units > unitsOf(m_capacity, resource))
            m_unsettled.insert(resource);
    }
}

std::vector<message> lease_arbiter::handle(const sync_request& request, std::chrono::milliseconds lease, time_point now)
{
    std::vector<message> out;
    const auto found = m_holders.find(request.from);
    record* holder = found == m_holders.end() ? nullptr : &found->second;
    if (holder
        && (request.session < holder->session || (request.session == holder->session && request.sequence <= holder->sequence)))
        return out;
    if (!holder || holder->session != request.session)
        holder = open(request, now);
    if (!holder) {
        sync_reply reply { m_self, request.from, request.session, request.sequence, sync_status::reopen, m_self, {}, stampOf(now),
            std::chrono::milliseconds(0), {}, 0 };
        out.emplace_back(std::move(reply));
        return out;
    }
    update(request, *holder);
    holder->lease = lease;
    holder->expiry = std::max(holder->expiry, now + extendForDrift(lease, m_times));
    holder->replyDue = request.urgent ? now + m_times.maxGrantDelay : now;
    balance(now, out);
    answer(now, out);
    return out;
}

lease_arbiter::record* lease_arbiter::open(const sync_request& request, time_point now)
{
    if (const auto found = m_holders.find(request.from); found != m_holders.end())
        drop(found);
    if (!request.opensSession)
        return nullptr;
    record& holder = m_holders[request.from];
    holder.session = request.session;
    holder.foreign = request.domain != m_domain;
    // The holder may hold these under a longer lease of an earlier arbiter until the reply reaches it.
    holder.expiry
        = now + (request.holdings.empty() ? std::chrono::nanoseconds(0) : extendForDrift(longestLease(m_times), m_times));
    for (const auto& [resource, units] : request.holdings)
        adjust(holder, resource, units);
    if (m_withholding && m_reporters.insert(request.from).second) {
        for (const auto& [resource, units] : request.holdings)
            addUnits(m_accounted, resource, units);
    }
    return &holder;
}

void lease_arbiter::update(const sync_request& request, record& holder)
{
    holder.sequence = request.sequence;
    std::erase_if(
        holder.unacknowledged, [&request](const unit_batch& batch) { return batch.number <= request.lastAppliedGrant; });
    for (const auto& batch : request.returns) {
        if (batch.number <= holder.lastAppliedReturn)
            continue;
        holder.lastAppliedReturn = batch.number;
        for (const auto& [resource, units] : batch.units)
            adjust(holder, resource, -static_cast<std::int64_t>(units));
    }
    for (const auto& [resource, need] : request.needs) {
        if (need.demanded > 0)
            holder.needs[resource] = need;
        else
            holder.needs.erase(resource);
        m_unsettled.insert(resource);
    }
}

void lease_arbiter::adjust(record& holder, const resource_id& resource, std::int64_t units)
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
    m_unsettled.insert(balancedAs(resource));
    if (resource.kind != resource_kind::slot)
        return;
    holder.slots = static_cast<std::uint32_t>(holder.slots + units);
    m_slotsGranted += std::min(capacity, unitsOf(m_granted, resource)) - before;
}

void lease_arbiter::drop(record_map::iterator entry)
{
    const unit_map units = entry->second.units;
    for (const auto& [resource, count] : units)
        adjust(entry->second, resource, -static_cast<std::int64_t>(count));
    m_holders.erase(entry);
}

std::vector<message> lease_arbiter::tick(time_point now)
{
    std::vector<message> out;
    for (auto entry = m_holders.begin(); entry != m_holders.end();) {
        const auto current = entry++;
        if (now >= current->second.expiry)
            drop(current);
    }
    if (m_withholding && now >= m_termStart + m_times.withholdingPeriod) {
        m_withholding = false;
        setCapacity(unit_map(m_capacity));
    }
    if (now >= m_nextRetry) {
        m_nextRetry = now + retryInterval;
        balance(now, out);
    }
    answer(now, out);
    return out;
}

std::uint32_t lease_arbiter::withheldUnits(const resource_id& resource) const
{
    if (!m_withholding)
        return 0;
    const std::uint32_t capacity = unitsOf(m_capacity, resource);
    const std::uint32_t accounted = unitsOf(m_accounted, resource);
    return capacity > accounted ? capacity - accounted : 0;
}

std::uint32_t lease_arbiter::foreignLimit(const resource_id& resource) const
{
    const std::uint32_t divisor = resource.kind == resource_kind::slot ? foreignSlotDivisor : foreignPlanDivisor;
    return (unitsOf(m_capacity, resource) + divisor - 1) / divisor;
}

std::uint32_t lease_arbiter::freeUnits(const resource_id& resource, const record& holder) const
{
    std::uint32_t bound = unitsOf(m_capacity, resource);
    const std::uint32_t taken = unitsOf(m_granted, resource) + withheldUnits(resource);
    std::uint32_t free = bound > taken ? bound - taken : 0;
    if (!holder.foreign || free == 0)
        return free;
    std::uint32_t foreign = 0;
    for (const auto& [vm, other] : m_holders)
        foreign += other.foreign ? unitsOf(other.units, resource) : 0;
    bound = foreignLimit(resource);
    return std::min(free, bound > foreign ? bound - foreign : 0);
}

allocation_request lease_arbiter::claimOf(const vm_id& vm, const record& holder, const resource_id& resource) const
{
    const auto need = holder.needs.find(resource);
    allocation_request claim { vm.value, need == holder.needs.end() ? 0 : need->second.demanded, 0, holder.foreign };
    if (holder.foreign)
        return claim;
    if (claim.demanded > 0)
        claim.reserve = reserveFor(claim.demanded);
    // A VM without work keeps some slots, so that its first task starts at once.
    if (resource == anySlot)
        claim.reserve
            = std::max(claim.reserve, m_slotCapacity / (idleSlotDivisor * static_cast<std::uint32_t>(m_holders.size())));
    return claim;
}

std::vector<lease_arbiter::standing> lease_arbiter::standings(const resource_id& resource, time_point now)
{
    std::vector<standing> entries;
    std::vector<allocation_request> claimants;
    for (auto& [vm, holder] : m_holders) {
        entries.push_back({ vm, &holder, resource == anySlot ? holder.slots : unitsOf(holder.units, resource), 0, 0 });
        claimants.push_back(claimOf(vm, holder, resource));
    }
    const std::uint32_t units = resource == anySlot ? m_slotCapacity : unitsOf(m_capacity, resource);
    auto parts = allocateMaxMin(units, claimants, 0);
    bool starving = false;
    for (std::size_t index = 0; index < entries.size(); ++index)
        starving = starving || (parts[index] == 0 && claimants[index].demanded > 0 && !claimants[index].foreign);
    if (starving)
        parts = allocateMaxMin(units, claimants, static_cast<std::uint64_t>(now.time_since_epoch() / turnDuration));
    for (std::size_t index = 0; index < entries.size(); ++index) {
        standing& entry = entries[index];
        entry.part = parts[index];
        const std::uint32_t due = std::min(entry.part, claimants[index].demanded + claimants[index].reserve);
        entry.shortage = due > entry.held ? due - entry.held : 0;
    }
    return entries;
}

void lease_arbiter::balance(time_point now, std::vector<message>& out)
{
    if (m_unsettled.empty())
        return;
    batch_map grants;
    const std::set<resource_id> pending = std::exchange(m_unsettled, {});
    for (const auto& resource : pending) {
        if (resource != anySlot)
            withdrawExcess(resource, now, out);
        if (balancedAs(resource) == resource && !balanceResource(resource, now, grants, out))
            m_unsettled.insert(resource);
    }
    for (auto& [vm, batch] : grants) {
        if (batch.units.empty())
            continue;
        record& holder = m_holders.at(vm);
        batch.number = ++holder.lastGrant;
        holder.unacknowledged.push_back(std::move(batch));
    }
}

bool lease_arbiter::balanceResource(const resource_id& resource, time_point now, batch_map& grants, std::vector<message>& out)
{
    auto entries = standings(resource, now);
    std::sort(entries.begin(), entries.end(), [](const standing& a, const standing& b) { return a.shortage > b.shortage; });
    std::uint32_t missing = 0;
    for (auto& entry : entries) {
        entry.shortage -= grant(entry, resource, entry.shortage, grants[entry.vm]);
        missing += entry.shortage;
    }
    for (auto& entry : entries) {
        if (entry.part > entry.held)
            grant(entry, resource, entry.part - entry.held, grants[entry.vm]);
    }
    if (missing > 0)
        withdraw(entries, resource, missing, now, out);
    return missing == 0 && unitsOf(m_granted, resource) <= unitsOf(m_capacity, resource);
}

std::uint32_t lease_arbiter::grant(standing& entry, const resource_id& resource, std::uint32_t units, unit_batch& batch)
{
    std::uint32_t granted = 0;
    if (units == 0)
        return granted;
    if (resource == anySlot) {
        granted = grantSlots(*entry.holder, units, batch);
    } else {
        granted = std::min(units, freeUnits(resource, *entry.holder));
        adjust(*entry.holder, resource, granted);
        addUnits(batch.units, resource, granted);
    }
    entry.held += granted;
    return granted;
}

std::uint32_t lease_arbiter::grantSlots(record& holder, std::uint32_t units, unit_batch& batch)
{
    std::uint32_t granted = 0;
    bool found = true;
    while (found && granted < units && m_slotsGranted < m_slotCapacity) {
        found = false;
        // One slot of each worker in turn, so that every holder can choose among many workers.
        for (std::size_t seen = 0; seen < m_capacity.size() && granted < units; ++seen) {
            auto next = m_capacity.upper_bound(m_lastSlot);
            if (next == m_capacity.end() || next->first.kind != resource_kind::slot)
                next = m_capacity.begin();
            m_lastSlot = next->first;
            if (next->first.kind != resource_kind::slot || freeUnits(next->first, holder) == 0)
                continue;
            adjust(holder, next->first, 1);
            addUnits(batch.units, next->first, 1);
            ++granted;
            found = true;
        }
    }
    return granted;
}

void lease_arbiter::withdraw(
    std::vector<standing>& entries, const resource_id& resource, std::uint32_t units, time_point now, std::vector<message>& out)
{
    std::sort(entries.begin(), entries.end(), [](const standing& a, const standing& b) {
        return static_cast<std::int64_t>(a.held) - a.part > static_cast<std::int64_t>(b.held) - b.part;
    });
    for (auto& entry : entries) {
        if (entry.held <= entry.part || units == 0)
            return;
        const std::uint32_t taken = std::min(units, entry.held - entry.part);
        units -= taken;
        sendRecall(entry.vm, *entry.holder, resource, entry.held - taken, now, out);
    }
}

void lease_arbiter::withdrawExcess(const resource_id& resource, time_point now, std::vector<message>& out)
{
    const std::uint64_t capacity = unitsOf(m_capacity, resource);
    const std::uint64_t granted = unitsOf(m_granted, resource);
    if (granted <= capacity)
        return;
    m_unsettled.insert(resource);
    for (auto& [vm, holder] : m_holders) {
        const std::uint64_t held = unitsOf(holder.units, resource);
        if (held > 0)
            sendRecall(vm, holder, resource, static_cast<std::uint32_t>(held * capacity / granted), now, out);
    }
}

void lease_arbiter::sendRecall(const vm_id& vm, record& holder, const resource_id& resource, std::uint32_t ceiling,
    time_point now, std::vector<message>& out)
{
    const auto last = holder.recalledAt.find(resource);
    if (last != holder.recalledAt.end() && now < last->second + recallInterval)
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

void lease_arbiter::answer(time_point now, std::vector<message>& out)
{
    for (auto& [vm, holder] : m_holders) {
        if (!holder.replyDue || (now < *holder.replyDue && holder.unacknowledged.empty()))
            continue;
        holder.replyDue.reset();
        out.emplace_back(sync_reply { m_self, vm, holder.session, holder.sequence, sync_status::accepted, m_self, {},
            stampOf(now), holder.lease, holder.unacknowledged, holder.lastAppliedReturn });
    }
}

unit_map lease_arbiter::granted() const { return m_granted; }

std::size_t lease_arbiter::holderCount() const { return m_holders.size(); }

const unit_map& lease_arbiter::capacity() const { return m_capacity; }

} // namespace coriandermount::quota
