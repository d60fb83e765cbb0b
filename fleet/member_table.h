/// Members of one failure domain with this VM's own evidence about them; no threads, no clock.
#pragma once

#include <map>
#include <optional>
#include <set>

#include "core/worker.h"
#include "fleet/member_record.h"

namespace coriandermount::fleet {

/// Times after which a silent member is given up.
struct failure_timeouts {
    std::chrono::milliseconds deadAfterUnlisted { 5000 };
    std::chrono::milliseconds deadAfter { 60000 };
    std::chrono::milliseconds removeDeadAfter { 600000 };
    std::chrono::milliseconds listLag { 10000 };
};

/// A change of state that was made to one member.
struct state_change {
    vm_id vm;
    member_state from = member_state::dead;
    member_state to = member_state::alive;
};

class member_table {
public:
    member_table(member_record self, failure_timeouts limits);

    const member_record& self() const;
    const member_record* find(const vm_id& id) const;

    /// Returns the records to tell: all but those known from the list only, dead ones included.
    std::vector<member_record> gossipRecords() const;

    /// Returns members that are not dead, this VM left out, sorted by id.
    std::vector<member_record> nonDeadPeers() const;

    /// Returns dead members, sorted by id.
    std::vector<member_record> deadMembers() const;

    /// Returns a hash of all members that are not dead.
    std::uint32_t digest() const;

    /// Takes over what a peer tells. A death is believed only of a member that this VM suspects itself or has never known.
    void apply(const member_record& received, time_point now);

    /// Notes that the member itself has just been heard.
    void noteAlive(const vm_id& id, time_point now);

    /// Suspects a member, unless it was heard after `since`.
    void suspect(const vm_id& id, time_point since, time_point now);

    /// Marks a member of this domain as leaving; returns false when it is not known.
    bool markLeaving(const vm_id& id);

    /// Returns the number of members that leave.
    std::size_t leavingCount() const;

    /// Takes over the platform's list of this domain's entry VMs.
    void applyListing(const std::vector<entry_vm_info>& listing, time_point now, wall_time wallNow);

    /// Declares silent members dead and forgets those long dead.
    void expire(time_point now);

    /// Restarts the time that suspected members are given; used after this VM was paused.
    void restartSuspicionTimeouts(time_point now);

    /// Returns up to `limit` records that changed lately, and counts them as told once.
    std::vector<member_record> takeUpdates(std::size_t limit);

    /// Tells all records again that are missing or older in a peer's `table`.
    void queueUpdatesMissingFrom(const std::vector<member_record>& table);

    /// Returns and clears the changes of state since the last call.
    std::vector<state_change> takeStateChanges();

private:
    struct entry {
        member_record record;
        /// When the member itself was heard last.
        std::optional<time_point> lastHeardAt;
        std::optional<time_point> suspectedAt;
        std::optional<time_point> diedAt;
        bool listed = false;
        unsigned transmissionsLeft = 0;
    };

    void applyToSelf(const member_record& received);
    void applyListed(const entry_vm_info& vm, time_point now, wall_time wallNow);
    bool acceptsDeathReport(const entry& known, time_point now) const;
    void recordChange(entry& changed, member_state before, time_point now);
    std::chrono::milliseconds suspicionTimeoutFor(const entry& suspected, bool manyMembersSuspected) const;
    bool manySuspected() const;
    unsigned transmissionLimit() const;

    vm_id m_self;
    failure_timeouts m_timeouts;
    std::map<vm_id, entry> m_entries;
    /// Whether the platform's newest list shows any member that answers.
    bool m_listShowsAliveMember = false;
    std::vector<state_change> m_changes;
};

} // namespace coriandermount::fleet
