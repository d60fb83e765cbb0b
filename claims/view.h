/// Claim views: which VMs of a failure domain hold the claims of its job keys, and the quorums over them.
#pragma once

#include <algorithm>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "core/job.h"

namespace coriandermount::claims {

/// One start of one VM; a VM that starts again is another holder.
struct vm_ref {
    vm_id id;
    std::uint64_t incarnation = 0;
    std::string address;

    bool sameIncarnation(const vm_ref& other) const { return id == other.id && incarnation == other.incarnation; }

    friend bool operator==(const vm_ref&, const vm_ref&) = default;
};

struct view_member {
    vm_ref vm;
    std::string rack;

    friend bool operator==(const view_member&, const view_member&) = default;
};

/// The voters of one failure domain. Views follow each other by number; the log decides which record has a number.
struct claim_view {
    std::uint64_t number = 0;
    std::vector<view_member> members;
    wall_time createdAt {};

    const view_member* find(const vm_ref& vm) const
    {
        const auto found = std::find_if(
            members.begin(), members.end(), [&vm](const view_member& member) { return member.vm.sameIncarnation(vm); });
        return found == members.end() ? nullptr : &*found;
    }

    friend bool operator==(const claim_view&, const claim_view&) = default;
};

/// Votes that a claim needs: any two sets of that size have a member in common.
std::size_t claimQuorum(std::size_t members);

/// Members that have to stop voting before the next view may grant: any such set meets every claim quorum. With an even
/// number of members, the log's record of the next view breaks the tie.
std::size_t closeQuorum(std::size_t members);

/// Orders the members by rendezvous hash for a key: the owner first, then VMs of other racks, then the rest.
std::vector<view_member> rankMembers(const claim_view& view, const job_key& key);

/// Returns the failure domain that claims a key: the one named in an issued id, else by rendezvous hash.
failure_domain_id homeDomainOf(const job_key& key, std::span<const failure_domain_id> domains);

/// Returns the rendezvous weight of a candidate for a key.
std::uint64_t rendezvousWeight(const job_key& key, const std::string& candidate);

/// Records of the stream `claims.DOMAIN`.
std::string encodeView(const claim_view& view);
result<claim_view> decodeView(const std::string& text);

} // namespace coriandermount::claims
