/// Holder's side of the lease protocol.
#pragma once

#include <optional>

#include "quota/lease_times.h"
#include "quota/messages.h"

namespace coriandermount::quota {

/// Units that the engine of this VM uses and needs, with the share snapshot that it had applied when it reported them.
struct usage_report {
    unit_map used;
    need_map needs;
    /// Number of the last share snapshot that the engine has applied.
    std::uint64_t snapshot = 0;
};

/// Holds the units leased from the arbiter of one failure domain. Recalled units are returned once the engine has applied a
/// snapshot without them and no task uses them.
class lease_holder {
public:
    lease_holder(vm_id self, failure_domain_id domain, std::uint64_t incarnation, lease_times times);

    /// Sets the VM that receives the next requests. A change opens a new session, which lists the units that are held.
    void setArbiter(const std::optional<vm_id>& arbiter, time_point now);
    const std::optional<vm_id>& arbiter() const { return m_arbiter; }

    /// Sets the usage that the engine reports and collects the units that can be returned.
    void setUsage(const usage_report& usage, time_point now);

    /// Returns the units that may be used; none after the lease has expired.
    unit_map usableUnits(time_point now) const;

    /// Records that the present `usableUnits` are part of the share snapshot with that number.
    void markPublished(std::uint64_t snapshot);

    /// Expires the lease if it is over, and returns the request that is due, if any. `castsVote` is whether the request may vote
    /// for the arbiter.
    std::optional<sync_request> nextRequest(bool castsVote, time_point now);

    /// Applies a reply. Returns false if the reply doesn't belong to the outstanding request.
    bool handle(const sync_reply& reply, time_point now);
    /// Applies the ceilings of a recall request and schedules the return of the units above them.
    void handle(const recall_request& request, time_point now);

    /// Returns whether a request is outstanding and no reply has arrived for at least `limit`.
    bool unansweredFor(std::chrono::milliseconds limit, time_point now) const;

    /// Schedules the return of all units and requests none until `reopen`.
    void close(time_point now);
    void reopen() { m_closing = false; }
    bool isClosing() const { return m_closing; }

    /// Returns whether no units are held and all returned units are acknowledged.
    bool empty() const { return m_units.empty() && m_unacknowledgedReturns.empty(); }

    /// Returns whether the arbiter has replied in this session, so that a vote can echo its timestamp.
    bool canVote() const { return m_echoedTimestamp != 0; }
    time_point leaseExpiry() const { return m_leaseExpiry; }
    const unit_map& units() const { return m_units; }

    /// Returns the units of `resource` that are held and not scheduled to be returned.
    std::uint32_t unitsHeld(const resource_id& resource) const;

    /// Returns the units of `resource` that waiting tasks lack.
    std::uint32_t shortageOf(const resource_id& resource) const;

private:
    struct ceiling {
        std::uint32_t units = 0;
        time_point until;
    };

    struct pending_return {
        std::uint32_t units = 0;
        /// Number of the first share snapshot without the units; nothing until it is published.
        std::optional<std::uint64_t> snapshot;
    };

    void openSession();
    void expireLease(time_point now);
    void scheduleReturnAbove(const resource_id& resource, std::uint32_t limit);
    void scheduleSlotReturnsAbove(std::uint32_t limit);
    void scheduleReturn(const resource_id& resource, std::uint32_t units);
    void collectReturns();
    std::uint32_t usedOf(const resource_id& resource) const;
    std::uint32_t slotsHeld() const;
    need_map changedNeeds() const;
    bool isMaterialChange(const resource_id& resource, const resource_need& knownNeed, const resource_need& currentNeed) const;
    bool lacksUnitsOrReserve() const;
    bool hasShortage() const;

    vm_id m_self;
    failure_domain_id m_domain;
    lease_times m_times;

    std::optional<vm_id> m_arbiter;
    session_id m_session;
    bool m_openingSession = true;
    unit_map m_openingUnits;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_echoedTimestamp = 0;
    std::uint64_t m_lastAppliedGrant = 0;
    std::uint64_t m_lastReturnNumber = 0;
    std::vector<unit_batch> m_unacknowledgedReturns;

    unit_map m_units;
    time_point m_leaseExpiry;
    std::map<resource_id, ceiling> m_ceilings;
    std::map<resource_id, pending_return> m_pendingReturns;
    usage_report m_usage;
    /// Needs that the arbiter has acknowledged.
    need_map m_acknowledgedNeeds;
    /// Needs sent since the arbiter's last reply.
    need_map m_sentNeeds;

    bool m_requestOutstanding = false;
    bool m_returnsUnsent = false;
    time_point m_requestSentAt;
    /// Time at which the first request since the last reply was sent.
    time_point m_unansweredSince;
    time_point m_lastGrantAt;
    bool m_closing = false;
};

} // namespace coriandermount::quota
