/// The side of the lease exchange that uses units.
#pragma once

#include <optional>

#include "quota/lease_times.h"
#include "quota/messages.h"

namespace coriandermount::quota {

/// What the engine of this VM uses, and the ceilings that it knew when it said so.
struct usage_report {
    unit_map used;
    need_map needs;
    /// Number of the last snapshot that the engine keeps to.
    std::uint64_t snapshot = 0;
};

/// Holds units leased from the arbiter of one failure domain and gives back what is recalled, once the engine keeps clear of it.
class lease_holder {
public:
    lease_holder(vm_id self, failure_domain_id domain, std::uint64_t incarnation, lease_times times);

    /// Sends the next requests to that VM; a change opens a new session with what is held.
    void setArbiter(const std::optional<vm_id>& arbiter, time_point now);
    const std::optional<vm_id>& arbiter() const { return m_arbiter; }

    /// Takes over what the engine reports.
    void setUsage(const usage_report& usage, time_point now);

    /// Units that may be used now; empty once the lease has lapsed.
    unit_map usableUnits(time_point now) const;

    /// Tells that `usableUnits` as it is now goes into the snapshot of that number.
    void markPublished(std::uint64_t snapshot);

    /// Lets the lease lapse and returns the request to send now, if any.
    std::optional<sync_request> poll(bool votes, time_point now);

    /// Returns whether the reply belongs to the open request.
    bool handle(const sync_reply& reply, time_point now);
    void handle(const recall_request& order, time_point now);

    /// Whether the last request has had no answer for that long.
    bool unansweredFor(std::chrono::milliseconds limit, time_point now) const;

    /// Gives back everything that is not in use; nothing is asked for until `reopen`.
    void close(time_point now);
    void reopen() { m_closing = false; }
    bool closing() const { return m_closing; }
    bool empty() const { return m_units.empty() && m_returns.empty(); }

    /// Whether a reply with a stamp has come, so that a vote can be sent.
    bool canVote() const { return m_echoedStamp != 0; }
    time_point leaseExpiry() const { return m_leaseEnds; }
    const unit_map& units() const { return m_units; }
    /// Units of `resource` that are held and not being given back.
    std::uint32_t unitsHeld(const resource_id& resource) const;

    /// Units that waiting work lacks at present.
    std::uint32_t shortageOf(const resource_id& resource) const;

private:
    struct ceiling {
        std::uint32_t units = 0;
        time_point until;
    };

    struct withdrawal {
        std::uint32_t units = 0;
        /// Snapshot that no longer has the units; nothing until it is published.
        std::optional<std::uint64_t> snapshot;
    };

    void openSession();
    void lapse(time_point now);
    void withdrawAbove(const resource_id& resource, std::uint32_t limit);
    void withdrawSlotsAbove(std::uint32_t limit);
    void markWithdrawn(const resource_id& resource, std::uint32_t units);
    void collectReturns();
    std::uint32_t usedOf(const resource_id& resource) const;
    std::uint32_t slotsHeld() const;
    need_map changedNeeds() const;
    bool isMaterial(const resource_id& resource, const resource_need& known, const resource_need& current) const;
    bool isShort() const;
    bool isUrgent() const;

    vm_id m_self;
    failure_domain_id m_domain;
    lease_times m_times;

    std::optional<vm_id> m_arbiter;
    session_id m_session;
    bool m_opening = true;
    unit_map m_openingUnits;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_echoedStamp = 0;
    std::uint64_t m_grantsSeen = 0;
    std::uint64_t m_lastReturn = 0;
    std::vector<unit_batch> m_returns;

    unit_map m_units;
    time_point m_leaseEnds;
    std::map<resource_id, ceiling> m_ceilings;
    std::map<resource_id, withdrawal> m_withdrawn;
    usage_report m_usage;
    /// Needs as the arbiter knows them, and those sent since its last answer.
    need_map m_acknowledgedNeeds;
    need_map m_sentNeeds;

    bool m_outstanding = false;
    bool m_returnsUnsent = false;
    time_point m_sentAt;
    /// Sending time of the first request since the last answer.
    time_point m_unansweredSince;
    time_point m_lastProgress;
    bool m_closing = false;
};

} // namespace coriandermount::quota
