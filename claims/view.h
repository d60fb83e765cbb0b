/// Claim views: which VMs of a failure domain hold the claims of its job keys, and the quorums over them.
#pragma once

#include <algorithm>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "core/job.h"

namespace coriandermount::claims {

/// One incarnation of a VM. A restarted VM has lost its records and counts as a different voter and runner.
struct vm_ref {
    vm_id id;
    std::uint64_t incarnation = 0;
    std::string address;

    bool sameIncarnation(const vm_ref& other) const { return id == other.id && incarnation == other.incarnation; }

    friend bool operator==(const vm_ref&, const vm_ref&) = default;
};

/// Member of a claim view; the rack is used to spread the votes for a key.
struct view_member {
    vm_ref vm;
    std::string rack;

    friend bool operator==(const view_member&, const view_member&) = default;
};

/// Voters of one failure domain. Views are ordered by number; the first record in the log with a number defines that view.
struct claim_view {
    std::uint64_t number = 0;
    std::vector<view_member> members;
    wall_time createdAt {};

    /// Returns the member that is this incarnation of the VM; null if there is none.
    const view_member* find(const vm_ref& vm) const
    {
        const auto found = std::find_if(
            members.begin(), members.end(), [&vm](const view_member& member) { return member.vm.sameIncarnation(vm); });
        return found == members.end() ? nullptr : &*found;
    }

    friend bool operator==(const claim_view&, const claim_view&) = default;
};

/// Returns the number of votes that a claim needs. Any two sets of that many members have a member in common.
std::size_t claimQuorum(std::size_t members);

/// Returns the number of members that have to stop voting before the next view may grant claims. Any set of that many
/// members has a member in common with every claim quorum. With an even number of members, the log's record of the next
/// view breaks the tie.
std::size_t closeQuorum(std::size_t members);

/// Returns the members in the order of their rendezvous weights for a key: the owner first, then VMs of other racks than the
/// owner's, then the others.
std::vector<view_member> rankMembers(const claim_view& view, const job_key& key);

/// Returns the home failure domain of a key, whose VMs decide on its claims: the domain that an issued id names, else the
/// domain with the highest rendezvous weight. Returns an empty id when there is no domain to choose from.
failure_domain_id homeDomainOf(const job_key& key, std::span<const failure_domain_id> domains);

/// Returns the rendezvous weight of a candidate for a key.
std::uint64_t rendezvousWeight(const job_key& key, const std::string& candidate);

/// Returns the record of a view for the log stream `claims.DOMAIN`.
std::string encodeView(const claim_view& view);

/// Reads a record of the log stream `claims.DOMAIN`. Fails with `malformed_request`.
result<claim_view> decodeView(const std::string& text);

} // namespace coriandermount::claims
