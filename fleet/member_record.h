/// What the members of a failure domain tell each other about one member, and how two tellings are merged.
#pragma once

#include "core/fleet_view.h"

namespace coriandermount::fleet {

/// Whether a member answers, as far as the fleet knows.
enum class liveness { alive, suspected, dead };

/// Record of one member. Records form a join-semilattice under `merge`: the order of arrival does not matter.
struct member_record {
    vm_id id;
    std::string rack;
    /// IP address and port of the peer listener.
    std::string peerAddress;
    /// Start time of the VM in milliseconds; 0 for a VM that is known from the platform's list only.
    std::uint64_t incarnation = 0;
    /// Raised by the member itself to refute a suspicion.
    std::uint64_t sequence = 0;
    liveness health = liveness::alive;
    /// Never taken back within one incarnation.
    bool leaving = false;

    friend bool operator==(const member_record&, const member_record&) = default;
};

/// Takes over into `known` what `received` adds; returns whether `known` changed.
bool merge(member_record& known, const member_record& received);

/// Returns the state that other subsystems see.
member_state stateOf(const member_record& record);

} // namespace coriandermount::fleet
