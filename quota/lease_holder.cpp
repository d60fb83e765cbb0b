#include "quota/lease_holder.h"

#include <algorithm>
#include <utility>

#include "quota/lease_arbiter.h"

namespace coriandermount::quota {

namespace {

    /// A recall that can't be fulfilled for this long is sent again by the arbiter if it still stands.
    constexpr std::chrono::milliseconds ceilingValidity { 300 };

    /// Requests of a holder that is short come less often the longer nothing is granted.
    constexpr int hopelessFactor = 4;

} // namespace

lease_holder::lease_holder(vm_id self, failure_domain_id domain, std::uint64_t incarnation, lease_times times)
    : m_self(std::move(self))
    , m_domain(std::move(domain))
    , m_times(times)
{
    m_session.incarnation = incarnation;
}

void lease_holder::setArbiter(const std::optional<vm_id>& arbiter, time_point now)
{
    if (m_arbiter == arbiter)
        return;
    lapse(now);
    m_arbiter = arbiter;
    m_echoedStamp = 0;
    m_outstanding = false;
    openSession();
}

void lease_holder::openSession()
{
    ++m_session.number;
    m_opening = true;
    m_openingUnits = m_units;
    m_sequence = 0;
    m_grantsSeen = 0;
    m_lastReturn = 0;
    m_returns.clear();
    m_returnsUnsent = false;
    m_ceilings.clear();
    m_sentNeeds.clear();
    m_acknowledgedNeeds.clear();
    m_outstanding = false;
}

void lease_holder::lapse(time_point now)
{
    if (m_units.empty() || now < m_leaseEnds)
        return;
    m_units.clear();
    m_withdrawn.clear();
    openSession();
}

std::uint32_t lease_holder::usedOf(const resource_id& resource) const { return unitsOf(m_usage.used, resource); }

std::uint32_t lease_holder::slotsHeld() const
{
    std::uint32_t slots = 0;
    for (const auto& [resource, units] : m_units) {
        if (resource.kind != resource_kind::slot)
            continue;
        const auto withdrawn = m_withdrawn.find(resource);
        slots += units - (withdrawn == m_withdrawn.end() ? 0 : withdrawn->second.units);
    }
    return slots;
}

std::uint32_t lease_holder::unitsHeld(const resource_id& resource) const
{
    if (resource == anySlot)
        return slotsHeld();
    const auto withdrawn = m_withdrawn.find(resource);
    return unitsOf(m_units, resource) - (withdrawn == m_withdrawn.end() ? 0 : withdrawn->second.units);
}

void lease_holder::setUsage(const usage_report& usage, time_point now)
{
    lapse(now);
    m_usage = usage;
    if (m_closing)
        m_usage.needs.clear();
    std::erase_if(m_ceilings, [now](const auto& entry) { return now >= entry.second.until; });
    for (const auto& [resource, entry] : m_ceilings) {
        if (resource == anySlot)
            withdrawSlotsAbove(entry.units);
        else
            withdrawAbove(resource, entry.units);
    }
    collectReturns();
}

void lease_holder::withdrawAbove(const resource_id& resource, std::uint32_t limit)
{
    const std::uint32_t held = unitsHeld(resource);
    if (held > limit)
        markWithdrawn(resource, held - limit);
}

void lease_holder::withdrawSlotsAbove(std::uint32_t limit)
{
    std::uint32_t held = slotsHeld();
    // Slots in use are withdrawn last; they are given back when their tasks end.
    for (const bool inUse : { false, true }) {
        bool found = true;
        while (held > limit && found) {
            found = false;
            for (const auto& [resource, units] : m_units) {
                if (held <= limit)
                    return;
                if (resource.kind != resource_kind::slot || unitsHeld(resource) <= (inUse ? 0 : usedOf(resource)))
                    continue;
                markWithdrawn(resource, 1);
                --held;
                found = true;
            }
        }
    }
}

void lease_holder::markWithdrawn(const resource_id& resource, std::uint32_t units)
{
    withdrawal& entry = m_withdrawn[resource];
    entry.units += units;
    entry.snapshot.reset();
}

void lease_holder::markPublished(std::uint64_t snapshot)
{
    for (auto& [resource, entry] : m_withdrawn) {
        if (!entry.snapshot)
            entry.snapshot = snapshot;
    }
}

void lease_holder::collectReturns()
{
    unit_batch batch;
    for (auto& [resource, entry] : m_withdrawn) {
        if (!entry.snapshot || m_usage.snapshot < *entry.snapshot)
            continue;
        const std::uint32_t held = unitsOf(m_units, resource);
        // Rates are spent as they are used, so that nothing has to end first.
        const std::uint32_t used = resource.kind == resource_kind::tasks_per_second ? 0 : std::min(held, usedOf(resource));
        const std::uint32_t returned = removeUnits(m_units, resource, std::min(entry.units, held - used));
        entry.units -= returned;
        addUnits(batch.units, resource, returned);
    }
    std::erase_if(m_withdrawn, [](const auto& entry) { return entry.second.units == 0; });
    if (batch.units.empty())
        return;
    batch.number = ++m_lastReturn;
    m_returns.push_back(std::move(batch));
    m_returnsUnsent = true;
}

unit_map lease_holder::usableUnits(time_point now) const
{
    unit_map usableUnits;
    if (now >= m_leaseEnds)
        return usableUnits;
    for (const auto& [resource, units] : m_units)
        addUnits(usableUnits, resource, unitsHeld(resource));
    return usableUnits;
}

std::uint32_t lease_holder::shortageOf(const resource_id& resource) const
{
    const auto need = m_usage.needs.find(resource);
    if (need == m_usage.needs.end())
        return 0;
    const std::uint32_t held = unitsHeld(resource);
    return need->second.demanded > held ? need->second.demanded - held : 0;
}

bool lease_holder::isUrgent() const
{
    return std::any_of(
        m_usage.needs.begin(), m_usage.needs.end(), [this](const auto& entry) { return shortageOf(entry.first) > 0; });
}

bool lease_holder::isShort() const
{
    return std::any_of(m_usage.needs.begin(), m_usage.needs.end(), [this](const auto& entry) {
        const std::uint32_t demanded = entry.second.demanded;
        return demanded > 0 && unitsHeld(entry.first) < demanded + reserveFor(demanded);
    });
}

bool lease_holder::isMaterial(const resource_id& resource, const resource_need& known, const resource_need& current) const
{
    // Slots move all the time, and their need is one entry.
    if (resource == anySlot)
        return current != known;
    if (current.demanded > known.demanded)
        return shortageOf(resource) > 0 || current.demanded > known.demanded + reserveFor(known.demanded);
    return current.demanded < known.demanded / 2 || (current.demanded == 0 && known.demanded > 0);
}

need_map lease_holder::changedNeeds() const
{
    need_map changed;
    const auto consider = [this, &changed](const resource_id& resource) {
        const auto current = m_usage.needs.find(resource);
        const auto known = m_acknowledgedNeeds.find(resource);
        const resource_need now = current == m_usage.needs.end() ? resource_need {} : current->second;
        const resource_need before = known == m_acknowledgedNeeds.end() ? resource_need {} : known->second;
        // What was sent without an answer may or may not have arrived.
        if (m_sentNeeds.contains(resource) || isMaterial(resource, before, now))
            changed[resource] = now;
    };
    for (const auto& [resource, need] : m_usage.needs)
        consider(resource);
    for (const auto& [resource, need] : m_acknowledgedNeeds)
        consider(resource);
    for (const auto& [resource, need] : m_sentNeeds)
        consider(resource);
    return changed;
}

std::optional<sync_request> lease_holder::poll(bool votes, time_point now)
{
    lapse(now);
    if (!m_arbiter || (m_closing && empty()))
        return std::nullopt;
    const time_point::duration waited = now - m_sentAt;
    if (m_outstanding && waited < m_times.requestTimeout && !m_returnsUnsent)
        return std::nullopt;
    const bool progressing = now - m_lastProgress < hopelessFactor * m_times.minSyncInterval;
    const auto shortInterval = progressing ? m_times.minSyncInterval : m_times.minSyncInterval * hopelessFactor;
    const bool idle = !m_opening && !m_returnsUnsent;
    if (idle && waited < m_times.idleSyncInterval && (!isShort() || waited < shortInterval))
        return std::nullopt;
    if (m_opening && waited < m_times.minSyncInterval && m_sequence > 0)
        return std::nullopt;

    sync_request request;
    request.from = m_self;
    request.to = *m_arbiter;
    request.domain = m_domain;
    request.session = m_session;
    request.sequence = ++m_sequence;
    request.opensSession = m_opening;
    if (m_opening)
        request.holdings = m_openingUnits;
    request.votes = votes && m_echoedStamp != 0;
    request.echoedTimestamp = m_echoedStamp;
    request.returns = m_returns;
    request.lastAppliedGrant = m_grantsSeen;
    request.urgent = !m_opening && isUrgent();
    request.needs = changedNeeds();
    for (const auto& [resource, need] : request.needs)
        m_sentNeeds[resource] = need;
    if (!m_outstanding)
        m_unansweredSince = now;
    m_outstanding = true;
    m_returnsUnsent = false;
    m_sentAt = now;
    return request;
}

bool lease_holder::handle(const sync_reply& reply, time_point now)
{
    lapse(now);
    if (!m_arbiter || reply.from != *m_arbiter || reply.session != m_session || reply.sequence != m_sequence || !m_outstanding)
        return false;
    m_outstanding = false;
    m_echoedStamp = reply.timestamp;
    if (reply.status == sync_status::reopen)
        openSession();
    if (reply.status != sync_status::accepted)
        return true;
    m_opening = false;
    for (const auto& [resource, need] : std::exchange(m_sentNeeds, {})) {
        if (need.demanded > 0)
            m_acknowledgedNeeds[resource] = need;
        else
            m_acknowledgedNeeds.erase(resource);
    }
    std::erase_if(m_returns, [&reply](const unit_batch& batch) { return batch.number <= reply.lastAppliedReturn; });
    const time_point ends = m_sentAt + std::chrono::duration_cast<time_point::duration>(shortenForDrift(reply.lease, m_times));
    m_leaseEnds = ends;
    for (const auto& batch : reply.grants) {
        if (batch.number <= m_grantsSeen)
            continue;
        m_grantsSeen = batch.number;
        m_lastProgress = now;
        for (const auto& [resource, units] : batch.units) {
            addUnits(m_units, resource, units);
            m_ceilings.erase(resource.kind == resource_kind::slot ? anySlot : resource);
        }
    }
    return true;
}

void lease_holder::handle(const recall_request& order, time_point now)
{
    if (!m_arbiter || order.from != *m_arbiter || order.session != m_session)
        return;
    for (const auto& [resource, units] : order.ceilings)
        m_ceilings[resource] = { units, now + ceilingValidity };
    setUsage(usage_report(m_usage), now);
}

bool lease_holder::unansweredFor(std::chrono::milliseconds limit, time_point now) const
{
    return m_outstanding && now - m_unansweredSince >= limit;
}

void lease_holder::close(time_point now)
{
    lapse(now);
    m_closing = true;
    m_usage.needs.clear();
    for (const auto& [resource, units] : m_units)
        withdrawAbove(resource, 0);
}

} // namespace coriandermount::quota
