#include "quota/lease_holder.h"

#include <algorithm>
#include <utility>

#include "quota/lease_arbiter.h"

namespace coriandermount::quota {

namespace {

    /// Validity of a ceiling. The arbiter sends a recall request again while it still needs the units.
    constexpr std::chrono::milliseconds ceilingValidity { 300 };

    /// Factor by which the request interval of a holder that lacks units grows while nothing is granted.
    constexpr int backoffFactor = 4;

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
    expireLease(now);
    m_arbiter = arbiter;
    m_echoedTimestamp = 0;
    m_requestOutstanding = false;
    openSession();
}

void lease_holder::openSession()
{
    ++m_session.number;
    m_openingSession = true;
    m_openingUnits = m_units;
    m_sequence = 0;
    m_lastAppliedGrant = 0;
    m_lastReturnNumber = 0;
    m_unacknowledgedReturns.clear();
    m_returnsUnsent = false;
    m_ceilings.clear();
    m_sentNeeds.clear();
    m_acknowledgedNeeds.clear();
    m_requestOutstanding = false;
}

void lease_holder::expireLease(time_point now)
{
    if (m_units.empty() || now < m_leaseExpiry)
        return;
    m_units.clear();
    m_pendingReturns.clear();
    openSession();
}

std::uint32_t lease_holder::usedOf(const resource_id& resource) const { return unitsOf(m_usage.used, resource); }

std::uint32_t lease_holder::slotsHeld() const
{
    std::uint32_t slots = 0;
    for (const auto& [resource, units] : m_units) {
        if (resource.kind != resource_kind::slot)
            continue;
        const auto pendingReturn = m_pendingReturns.find(resource);
        slots += units - (pendingReturn == m_pendingReturns.end() ? 0 : pendingReturn->second.units);
    }
    return slots;
}

std::uint32_t lease_holder::unitsHeld(const resource_id& resource) const
{
    if (resource == anySlot)
        return slotsHeld();
    const auto pendingReturn = m_pendingReturns.find(resource);
    return unitsOf(m_units, resource) - (pendingReturn == m_pendingReturns.end() ? 0 : pendingReturn->second.units);
}

void lease_holder::setUsage(const usage_report& usage, time_point now)
{
    expireLease(now);
    m_usage = usage;
    if (m_closing)
        m_usage.needs.clear();
    std::erase_if(m_ceilings, [now](const auto& entry) { return now >= entry.second.until; });
    for (const auto& [resource, entry] : m_ceilings) {
        if (resource == anySlot)
            scheduleSlotReturnsAbove(entry.units);
        else
            scheduleReturnAbove(resource, entry.units);
    }
    collectReturns();
}

void lease_holder::scheduleReturnAbove(const resource_id& resource, std::uint32_t limit)
{
    const std::uint32_t held = unitsHeld(resource);
    if (held > limit)
        scheduleReturn(resource, held - limit);
}

void lease_holder::scheduleSlotReturnsAbove(std::uint32_t limit)
{
    std::uint32_t held = slotsHeld();
    // Unused slots are returned first; slots in use are returned when their tasks end.
    for (const bool inUse : { false, true }) {
        bool found = true;
        while (held > limit && found) {
            found = false;
            for (const auto& [resource, units] : m_units) {
                if (held <= limit)
                    return;
                if (resource.kind != resource_kind::slot || unitsHeld(resource) <= (inUse ? 0 : usedOf(resource)))
                    continue;
                scheduleReturn(resource, 1);
                --held;
                found = true;
            }
        }
    }
}

void lease_holder::scheduleReturn(const resource_id& resource, std::uint32_t units)
{
    pending_return& entry = m_pendingReturns[resource];
    entry.units += units;
    entry.snapshot.reset();
}

void lease_holder::markPublished(std::uint64_t snapshot)
{
    for (auto& [resource, entry] : m_pendingReturns) {
        if (!entry.snapshot)
            entry.snapshot = snapshot;
    }
}

void lease_holder::collectReturns()
{
    unit_batch batch;
    for (auto& [resource, entry] : m_pendingReturns) {
        if (!entry.snapshot || m_usage.snapshot < *entry.snapshot)
            continue;
        const std::uint32_t held = unitsOf(m_units, resource);
        // A rate is not occupied by running tasks, so it can be returned at once.
        const std::uint32_t used = resource.kind == resource_kind::tasks_per_second ? 0 : std::min(held, usedOf(resource));
        const std::uint32_t returned = removeUnits(m_units, resource, std::min(entry.units, held - used));
        entry.units -= returned;
        addUnits(batch.units, resource, returned);
    }
    std::erase_if(m_pendingReturns, [](const auto& entry) { return entry.second.units == 0; });
    if (batch.units.empty())
        return;
    batch.number = ++m_lastReturnNumber;
    m_unacknowledgedReturns.push_back(std::move(batch));
    m_returnsUnsent = true;
}

unit_map lease_holder::usableUnits(time_point now) const
{
    unit_map usableUnits;
    if (now >= m_leaseExpiry)
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

bool lease_holder::hasShortage() const
{
    return std::any_of(
        m_usage.needs.begin(), m_usage.needs.end(), [this](const auto& entry) { return shortageOf(entry.first) > 0; });
}

bool lease_holder::lacksUnitsOrReserve() const
{
    return std::any_of(m_usage.needs.begin(), m_usage.needs.end(), [this](const auto& entry) {
        const std::uint32_t demanded = entry.second.demanded;
        return demanded > 0 && unitsHeld(entry.first) < demanded + reserveFor(demanded);
    });
}

bool lease_holder::isMaterialChange(
    const resource_id& resource, const resource_need& knownNeed, const resource_need& currentNeed) const
{
    // The need for slots changes all the time, but it is a single entry, so every change is sent.
    if (resource == anySlot)
        return currentNeed != knownNeed;
    if (currentNeed.demanded > knownNeed.demanded)
        return shortageOf(resource) > 0 || currentNeed.demanded > knownNeed.demanded + reserveFor(knownNeed.demanded);
    return currentNeed.demanded < knownNeed.demanded / 2 || (currentNeed.demanded == 0 && knownNeed.demanded > 0);
}

need_map lease_holder::changedNeeds() const
{
    need_map changed;
    const auto addIfChanged = [this, &changed](const resource_id& resource) {
        const auto currentNeed = m_usage.needs.find(resource);
        const auto knownNeed = m_acknowledgedNeeds.find(resource);
        const resource_need needNow = currentNeed == m_usage.needs.end() ? resource_need {} : currentNeed->second;
        const resource_need needBefore = knownNeed == m_acknowledgedNeeds.end() ? resource_need {} : knownNeed->second;
        // Sent needs that are not acknowledged may or may not have arrived, so they are sent again.
        if (m_sentNeeds.contains(resource) || isMaterialChange(resource, needBefore, needNow))
            changed[resource] = needNow;
    };
    for (const auto& [resource, need] : m_usage.needs)
        addIfChanged(resource);
    for (const auto& [resource, need] : m_acknowledgedNeeds)
        addIfChanged(resource);
    for (const auto& [resource, need] : m_sentNeeds)
        addIfChanged(resource);
    return changed;
}

std::optional<sync_request> lease_holder::nextRequest(bool castsVote, time_point now)
{
    expireLease(now);
    if (!m_arbiter || (m_closing && empty()))
        return std::nullopt;
    const time_point::duration sinceLastRequest = now - m_requestSentAt;
    if (m_requestOutstanding && sinceLastRequest < m_times.requestTimeout && !m_returnsUnsent)
        return std::nullopt;
    const bool grantedRecently = now - m_lastGrantAt < backoffFactor * m_times.minSyncInterval;
    const auto retryInterval = grantedRecently ? m_times.minSyncInterval : m_times.minSyncInterval * backoffFactor;
    const bool nothingPending = !m_openingSession && !m_returnsUnsent;
    if (nothingPending && sinceLastRequest < m_times.idleSyncInterval
        && (!lacksUnitsOrReserve() || sinceLastRequest < retryInterval))
        return std::nullopt;
    if (m_openingSession && sinceLastRequest < m_times.minSyncInterval && m_sequence > 0)
        return std::nullopt;

    sync_request request;
    request.from = m_self;
    request.to = *m_arbiter;
    request.domain = m_domain;
    request.session = m_session;
    request.sequence = ++m_sequence;
    request.opensSession = m_openingSession;
    if (m_openingSession)
        request.holdings = m_openingUnits;
    request.isVote = castsVote && m_echoedTimestamp != 0;
    request.echoedTimestamp = m_echoedTimestamp;
    request.returns = m_unacknowledgedReturns;
    request.lastAppliedGrant = m_lastAppliedGrant;
    request.urgent = !m_openingSession && hasShortage();
    request.needs = changedNeeds();
    for (const auto& [resource, need] : request.needs)
        m_sentNeeds[resource] = need;
    if (!m_requestOutstanding)
        m_unansweredSince = now;
    m_requestOutstanding = true;
    m_returnsUnsent = false;
    m_requestSentAt = now;
    return request;
}

bool lease_holder::handle(const sync_reply& reply, time_point now)
{
    expireLease(now);
    if (!m_arbiter || reply.from != *m_arbiter || reply.session != m_session || reply.sequence != m_sequence
        || !m_requestOutstanding)
        return false;
    m_requestOutstanding = false;
    m_echoedTimestamp = reply.timestamp;
    if (reply.status == sync_status::reopen)
        openSession();
    if (reply.status != sync_status::accepted)
        return true;
    m_openingSession = false;
    for (const auto& [resource, need] : std::exchange(m_sentNeeds, {})) {
        if (need.demanded > 0)
            m_acknowledgedNeeds[resource] = need;
        else
            m_acknowledgedNeeds.erase(resource);
    }
    std::erase_if(m_unacknowledgedReturns, [&reply](const unit_batch& batch) { return batch.number <= reply.lastAppliedReturn; });
    const time_point expiry
        = m_requestSentAt + std::chrono::duration_cast<time_point::duration>(shortenForDrift(reply.lease, m_times));
    m_leaseExpiry = expiry;
    for (const auto& batch : reply.grants) {
        if (batch.number <= m_lastAppliedGrant)
            continue;
        m_lastAppliedGrant = batch.number;
        m_lastGrantAt = now;
        for (const auto& [resource, units] : batch.units) {
            addUnits(m_units, resource, units);
            m_ceilings.erase(resource.kind == resource_kind::slot ? anySlot : resource);
        }
    }
    return true;
}

void lease_holder::handle(const recall_request& request, time_point now)
{
    if (!m_arbiter || request.from != *m_arbiter || request.session != m_session)
        return;
    for (const auto& [resource, units] : request.ceilings)
        m_ceilings[resource] = { units, now + ceilingValidity };
    setUsage(usage_report(m_usage), now);
}

bool lease_holder::unansweredFor(std::chrono::milliseconds limit, time_point now) const
{
    return m_requestOutstanding && now - m_unansweredSince >= limit;
}

void lease_holder::close(time_point now)
{
    expireLease(now);
    m_closing = true;
    m_usage.needs.clear();
    for (const auto& [resource, units] : m_units)
        scheduleReturnAbove(resource, 0);
}

} // namespace coriandermount::quota
