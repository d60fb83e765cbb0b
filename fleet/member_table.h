/// Members of one failure domain, and the times at which this VM last received a message of them or began to suspect them. Uses
/// no threads and no clock.
#pragma once

#include <map>
#include <optional>
#include <set>

#include "core/worker.h"
#include "fleet/member_record.h"

namespace coriandermount::fleet {

/// Timeouts of failure detection; `membership_options` describes the settings that they come from.
struct failure_timeouts {
    /// Suspicion timeout of a member that the platform's list does not show, and of a leaving member.
    std::chrono::milliseconds deadAfterUnlisted { 5000 };
    /// Suspicion timeout of a member that the list shows, and of every member while there is no list.
    std::chrono::milliseconds deadAfter { 60000 };
    /// Time after which the record of a dead member is removed.
    std::chrono::milliseconds removeDeadAfter { 600000 };
    /// Largest age that the platform's list can have when it is read.
    std::chrono::milliseconds listLag { 10000 };
};

/// Change of the state of one member.
struct state_change {
    vm_id vm;
    member_state from = member_state::dead;
    member_state to = member_state::alive;
};

/// Holds the records of all members of one failure domain, selects the changes that messages carry, and decides when a silent
/// member is dead.
class member_table {
public:
    /// `self` is the record of this VM.
    member_table(member_record self, failure_timeouts timeouts);

    /// Returns the record of this VM.
    const member_record& self() const;

    /// Returns the record of a member, or nullptr if the member is not known. The record is valid until `expire` removes it.
    const member_record* find(const vm_id& id) const;

    /// Returns the records that are sent to peers: all except members known from the platform's list only. Dead members are
    /// included.
    std::vector<member_record> gossipRecords() const;

    /// Returns the members that are not dead, without this VM, sorted by id.
    std::vector<member_record> nonDeadPeers() const;

    /// Returns the dead members, sorted by id.
    std::vector<member_record> deadMembers() const;

    /// Returns a hash of the records that are sent to peers, without the dead members. The order of members does not matter.
    std::uint32_t digest() const;

    /// Merges a record that a peer sent. A report of death counts as a suspicion only, unless this VM has suspected the member
    /// for `deadAfterUnlisted` or does not know this incarnation of the member.
    void apply(const member_record& received, time_point now);

    /// Records that the member itself sent a message or a reply at `now`.
    void noteAlive(const vm_id& id, time_point now);

    /// Suspects an alive member unless this VM has received a message of the member since `probeStartedAt`.
    void suspect(const vm_id& id, time_point probeStartedAt, time_point now);

    /// Marks a member as leaving. Returns false if the member is not known.
    bool markLeaving(const vm_id& id);

    /// Returns the number of leaving members, dead ones included.
    std::size_t leavingCount() const;

    /// Applies the platform's list of this domain's entry VMs. A VM that only the list shows is added as suspected.
    void applyListing(const std::vector<entry_vm_info>& listing, time_point now, wall_time wallNow);

    /// Declares members dead whose suspicion timeout has ended, and removes unlisted members that have been dead for
    /// `removeDeadAfter`.
    void expire(time_point now);

    /// Restarts the suspicion timeouts of all suspected members. Used after this VM itself was paused.
    void restartSuspicionTimeouts(time_point now);

    /// Returns up to `limit` recently changed records for one message, those with the most transmissions left first, and counts
    /// one transmission of each.
    std::vector<member_record> takeUpdates(std::size_t limit);

    /// Queues all records that are missing from a peer's `table` or differ there for at least one more transmission.
    void queueUpdatesMissingFrom(const std::vector<member_record>& table);

    /// Returns the state changes since the last call and clears them.
    std::vector<state_change> takeStateChanges();

private:
    struct entry {
        member_record record;
        /// Time of the last message or reply of the member itself.
        std::optional<time_point> lastHeardAt;
        std::optional<time_point> suspectedAt;
        std::optional<time_point> diedAt;
        /// Whether the platform's newest list shows the member.
        bool listed = false;
        /// Number of messages that will still carry this record.
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
    /// Whether the platform's newest list shows a member that is alive. The list is not used as evidence that a member is gone
    /// otherwise.
    bool m_listShowsAliveMember = false;
    std::vector<state_change> m_changes;
};

} // namespace coriandermount::fleet
