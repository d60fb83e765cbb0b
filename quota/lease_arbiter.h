/// Arbiter's side of the lease protocol: records which VM holds which units of a failure domain and grants free ones.
#pragma once

#include <optional>
#include <set>
#include <vector>

#include "quota/lease_times.h"
#include "quota/max_min_allocation.h"
#include "quota/messages.h"

namespace coriandermount::quota {

/// Returns the number of units that a holder keeps in reserve in addition to `demanded`.
std::uint32_t reserveFor(std::uint32_t demanded);

/// Grants units under leases. Granted units that have neither been returned nor expired never exceed the capacity, unless the
/// capacity shrinks.
class lease_arbiter {
public:
    lease_arbiter(vm_id self, failure_domain_id domain, lease_times times);

    /// Starts a term of office without any records. Units that no holder reports may have been granted by an earlier arbiter and
    /// are withheld until the longest lease has expired; reported units that are returned can be granted at once.
    void beginTerm(time_point now);

    /// Sets the units that may be granted.
    void setCapacity(unit_map capacity);

    /// Applies a request and returns the messages to send. `lease` is the duration to grant.
    std::vector<message> handle(const sync_request& request, std::chrono::milliseconds lease, time_point now);

    /// Expires leases, balances resources again, and returns the messages to send, among them delayed replies that are due.
    std::vector<message> tick(time_point now);

    /// Returns the granted units of all holders together.
    unit_map granted() const;
    std::size_t holderCount() const;
    const unit_map& capacity() const;

private:
    struct holder_record {
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
        std::optional<time_point> replyDueAt;
        std::map<resource_id, time_point> recalledAt;
    };

    /// Holdings and allocation of one holder while a resource is balanced.
    struct holder_allocation {
        vm_id vm;
        holder_record* holder = nullptr;
        std::uint32_t held = 0;
        std::uint32_t allocation = 0;
        /// Units that the holder lacks for its demand and its reserve, within its allocation.
        std::uint32_t shortage = 0;
    };

    using holder_map = std::map<vm_id, holder_record>;
    using batch_map = std::map<vm_id, unit_batch>;

    holder_record* openSession(const sync_request& request, time_point now);
    void applyRequest(const sync_request& request, holder_record& holder);
    void adjustHoldings(holder_record& holder, const resource_id& resource, std::int64_t units);
    void removeHolder(holder_map::iterator entry);
    std::uint32_t withheldUnits(const resource_id& resource) const;
    std::uint32_t foreignLimit(const resource_id& resource) const;
    std::uint32_t freeUnits(const resource_id& resource, const holder_record& holder) const;
    allocation_request allocationRequestOf(const vm_id& vm, const holder_record& holder, const resource_id& resource) const;
    std::vector<holder_allocation> computeAllocations(const resource_id& resource, time_point now);
    void balance(time_point now, std::vector<message>& out);
    bool balanceResource(const resource_id& resource, time_point now, batch_map& grants, std::vector<message>& out);
    std::uint32_t grant(holder_allocation& entry, const resource_id& resource, std::uint32_t units, unit_batch& batch);
    std::uint32_t grantSlots(holder_record& holder, std::uint32_t units, unit_batch& batch);
    void recallSurplus(std::vector<holder_allocation>& entries, const resource_id& resource, std::uint32_t units, time_point now,
        std::vector<message>& out);
    void recallOverCapacity(const resource_id& resource, time_point now, std::vector<message>& out);
    void sendRecall(const vm_id& vm, holder_record& holder, const resource_id& resource, std::uint32_t ceiling, time_point now,
        std::vector<message>& out);
    void sendDueReplies(time_point now, std::vector<message>& out);

    vm_id m_self;
    failure_domain_id m_domain;
    lease_times m_times;
    unit_map m_capacity;
    unit_map m_granted;
    std::uint32_t m_slotCapacity = 0;
    /// Granted slots, counting at most the capacity of each worker.
    std::uint32_t m_slotsGranted = 0;
    holder_map m_holders;
    time_point m_termStart;
    time_point m_nextRebalance;
    /// Units granted by an earlier arbiter that holders have reported in this term.
    unit_map m_reportedUnits;
    std::set<vm_id> m_reportingHolders;
    bool m_withholding = false;
    /// Worker whose slot was considered last; the search for a free slot continues after it.
    resource_id m_lastVisitedSlot;
    /// Resources that have to be balanced.
    std::set<resource_id> m_unbalanced;
};

} // namespace coriandermount::quota
