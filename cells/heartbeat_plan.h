/// Decides which VMs hear the beats of this one, so that the beats of a VM stay bounded as the fleet grows.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "cells/heartbeat.h"

namespace coriandermount::cells {

/// An entry VM as it registered itself.
struct vm_registration {
    vm_incarnation vm;
    /// `a.b.c.d:port` for beats and calls.
    std::string address;
    failure_domain_id failureDomain;
};

/// Whose beats a VM hears.
enum class heartbeat_scope {
    /// Those of all VMs.
    fleet,
    /// Those of the witnesses of its failure domain and of the owner.
    witnesses,
    /// Those of the owner, and seldom.
    owner,
};

using vm_registrations = std::map<vm_id, vm_registration>;

/// VMs of one failure domain that watch its owner in larger fleets: most of them may be lost at once.
inline constexpr std::size_t witnessCount = 8;

/// Addresses by how often they are sent a beat.
struct heartbeat_targets {
    std::vector<std::string> often;
    std::vector<std::string> seldom;
};

/// Up to `meshLimit` VMs all hear each other. In larger fleets a few witnesses of each failure domain watch its owner and each
/// other; owners tell all VMs of their domain, and hear each other. Not safe for use from several threads.
class heartbeat_plan {
public:
    void note(const vm_registration& registration);
    void forget(const vm_id& vm);

    const vm_registrations& registrations() const { return m_registrations; }
    /// Every VM hears every other one.
    bool isFullMesh() const;
    heartbeat_scope scopeOf(const vm_id& vm) const;

    /// `owners` are the VMs that were lately heard as owners of a cell.
    heartbeat_targets targets(const vm_id& self, bool owns, const std::vector<vm_id>& owners) const;

private:
    using witness_list = std::vector<vm_id>;

    void chooseWitnesses(const failure_domain_id& domain);
    bool isWitness(const vm_registration& registration) const;
    void addOwnDomain(const vm_registration& self, bool owns, const std::vector<vm_id>& owners, heartbeat_targets& targets) const;
    void addOtherDomains(const vm_registration& self, const std::vector<vm_id>& owners, heartbeat_targets& targets) const;

    vm_registrations m_registrations;
    std::map<failure_domain_id, witness_list> m_witnesses;
};

} // namespace coriandermount::cells
