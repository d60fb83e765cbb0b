/// Book of an arbiter: who may hold which units of a failure domain.
#pragma once

#include <optional>
#include <set>
#include <vector>

#include "quota/lease_times.h"
#include "quota/max_min_allocation.h"
#include "quota/messages.h"

namespace coriandermount::quota {

/// Units that a holder keeps at hand beyond `demanded`.
std::uint32_t reserveFor(std::uint32_t demanded);

/// Grants units under leases so that those granted and not provably returned never exceed the capacity.
class lease_arbiter {
public:
    lease_arbiter(vm_id self, failure_domain_id domain, lease_times times);

    /// Forgets everything. Units that no holder reports may have been granted by an earlier arbiter and are withheld until the
    /// longest lease has passed; those that holders report and return are free at once.
    void beginTerm(time_point now);

    /// Units that may be granted.
    void setCapacity(unit_map capacity);

    /// Takes a request; returns the messages to send. `lease` is the duration to grant.
    std::vector<message> handle(const sync_request& request, std::chrono::milliseconds lease, time_point now);

    /// Lets leases lapse, answers requests that have waited for units long enough.
    std::vector<message> tick(time_point now);

    /// Units on the book, over all holders.
    unit_map granted() const;
    std::size_t holderCount() const;
    const unit_map& capacity() const;

private:
    struct record {
        session_id session;
        bool foreign = false;
        unit_map units;
        std::uint32_t slots = 0;
        need_map needs;
        std::uint64_t sequence = 0;
        std::uint64_t lastGrant = 0;
        std::vector<unit_batch> unacknowledged;
        std::uint64_t lastAppliedReturn = 0;
        time_point expiry;
        std::chrono::milliseconds lease { 0 };
        std::optional<time_point> replyDue;
        std::map<resource_id, time_point> recalledAt;
    };

    /// Standing of one holder while a resource is balanced.
    struct standing {
        vm_id vm;
        record* holder = nullptr;
        std::uint32_t held = 0;
        std::uint32_t part = 0;
        /// Units that it lacks for its work and a small reserve.
        std::uint32_t shortage = 0;
    };

    using record_map = std::map<vm_id, record>;
    using batch_map = std::map<vm_id, unit_batch>;

    record* open(const sync_request& request, time_point now);
    void update(const sync_request& request, record& holder);
    void adjust(record& holder, const resource_id& resource, std::int64_t units);
    void drop(record_map::iterator entry);
    std::uint32_t withheldUnits(const resource_id& resource) const;
    std::uint32_t foreignLimit(const resource_id& resource) const;
    std::uint32_t freeUnits(const resource_id& resource, const record& holder) const;
    allocation_request claimOf(const vm_id& vm, const record& holder, const resource_id& resource) const;
    std::vector<standing> standings(const resource_id& resource, time_point now);
    void balance(time_point now, std::vector<message>& out);
    bool balanceResource(const resource_id& resource, time_point now, batch_map& grants, std::vector<message>& out);
    std::uint32_t grant(standing& entry, const resource_id& resource, std::uint32_t units, unit_batch& batch);
    std::uint32_t grantSlots(record& holder, std::uint32_t units, unit_batch& batch);
    void withdraw(std::vector<standing>& entries, const resource_id& resource, std::uint32_t units, time_point now,
        std::vector<message>& out);
    void withdrawExcess(const resource_id& resource, time_point now, std::vector<message>& out);
    void sendRecall(const vm_id& vm, record& holder, const resource_id& resource, std::uint32_t ceiling, time_point now,
        std::vector<message>& out);
    void answer(time_point now, std::vector<message>& out);

    vm_id m_self;
    failure_domain_id m_domain;
    lease_times m_times;
    unit_map m_capacity;
    unit_map m_granted;
    std::uint32_t m_slotCapacity = 0;
    /// Granted slots, per worker at most its capacity.
    std::uint32_t m_slotsGranted = 0;
    record_map m_holders;
    time_point m_termStart;
    time_point m_nextRetry;
    /// Units that holders reported in this term, which an earlier arbiter had granted.
    unit_map m_accounted;
    std::set<vm_id> m_reporters;
    bool m_withholding = false;
    /// Worker that the next slot is looked for after.
    resource_id m_lastSlot;
    /// Resources to balance.
    std::set<resource_id> m_unsettled;
};

} // namespace coriandermount::quota
