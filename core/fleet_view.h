/// The membership of the entry VMs as known to this VM.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/types.h"

namespace coriandermount {

/// State of an entry VM in the membership protocol.
enum class member_state {
    alive,
    /// Stopped answering, but is not declared dead yet; still counted as a member.
    suspected,
    /// Finishes its jobs and accepts no new ones.
    leaving,
    dead,
};

/// One entry VM of the fleet, with its membership state.
struct member {
    vm_id id;
    failure_domain_id domain;
    std::string rack;
    /// IP address and port of the peer listener.
    std::string peerAddress;
    /// Increases with every start of the VM; states of an older incarnation are ignored.
    std::uint64_t incarnation = 0;
    member_state state = member_state::alive;

    friend bool operator==(const member&, const member&) = default;
};

/// The summary that a failure domain sends to the other domains.
struct domain_summary {
    failure_domain_id domain;
    /// Some of the live VMs of the domain, to which requests can be sent.
    std::vector<member> contacts;
    std::uint32_t liveVms = 0;
    std::uint32_t liveWorkers = 0;
    std::uint32_t freeSlots = 0;
    /// Whether a VM of the domain was in contact within the last seconds.
    bool reachable = false;

    friend bool operator==(const domain_summary&, const domain_summary&) = default;
};

/// Immutable snapshot of the fleet; every change publishes a new one.
struct fleet_view {
    member self;
    /// Members of this VM's domain that are not dead, including this VM, sorted by id.
    std::vector<member> members;
    /// All other configured domains.
    std::map<failure_domain_id, domain_summary> otherDomains;
};

} // namespace coriandermount
