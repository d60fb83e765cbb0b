/// Record of one member that the members of a failure domain exchange, and the rule by which two records are merged.
#pragma once

#include "core/fleet_view.h"

namespace coriandermount::fleet {

/// Result of failure detection for one member. A higher value wins between two records of the same sequence number.
enum class liveness { alive, suspected, dead };

/// Record of one member. Records form a join-semilattice under `merge`, so the order of arrival does not matter.
struct member_record {
    vm_id id;
    std::string rack;
    /// IP address and port of the peer listener.
    std::string peerAddress;
    /// Start time of the VM in wall-clock milliseconds; 0 if the VM is known from the platform's list only.
    std::uint64_t incarnation = 0;
    /// Sequence number within the incarnation; the member itself raises it to refute a suspicion.
    std::uint64_t sequence = 0;
    liveness health = liveness::alive;
    /// True if the member accepts no new work. The flag is never cleared within one incarnation.
    bool leaving = false;

    friend bool operator==(const member_record&, const member_record&) = default;
};

/// Merges `received` into `known`. Returns true if `known` changed.
bool merge(member_record& known, const member_record& received);

/// Returns the state of the member as it is shown to other subsystems.
member_state stateOf(const member_record& record);

} // namespace coriandermount::fleet
