/// Selects the VMs that receive the heartbeats of this VM, so that their number stays bounded as the fleet grows.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "cells/heartbeat.h"

namespace coriandermount::cells {

/// Registration of an entry VM in the record store.
struct vm_registration {
    vm_incarnation vm;
    /// Address for heartbeats and calls, as `a.b.c.d:port`.
    std::string address;
    failure_domain_id failureDomain;
};

/// VMs that send heartbeats to a VM.
enum class heartbeat_scope {
    /// All VMs.
    fleet,
    /// The witnesses of the VM's failure domain and the owner of its cell.
    witnesses,
    /// Only the owner of the VM's cell, at a longer interval.
    owner,
};

/// Registrations of the fleet by VM.
using vm_registrations = std::map<vm_id, vm_registration>;

/// Number of VMs in a failure domain that watch its owner in larger fleets; several, because most of them may fail at once.
inline constexpr std::size_t witnessCount = 8;

/// Addresses that heartbeats are sent to, by interval.
struct heartbeat_targets {
    /// Addresses that receive every heartbeat.
    std::vector<std::string> frequent;
    /// Addresses that receive heartbeats at a longer interval.
    std::vector<std::string> infrequent;
};

/// Assigns heartbeat targets. In a fleet of up to `fullMeshLimit` VMs every VM sends heartbeats to every other. In larger
/// fleets the witnesses of a failure domain exchange heartbeats with its owner and with each other, and owners also send theirs
/// to all VMs of their domain and to the other owners. Not thread-safe.
class heartbeat_plan {
public:
    /// Adds a VM, or replaces its registration.
    void addOrUpdate(const vm_registration& registration);
    /// Removes a VM; does nothing if it is not registered.
    void remove(const vm_id& vm);

    /// Returns the registrations of all VMs.
    const vm_registrations& registrations() const { return m_registrations; }
    /// Returns whether the fleet is small enough for every VM to send heartbeats to every other.
    bool isFullMesh() const;
    /// Returns which VMs send heartbeats to `vm`.
    heartbeat_scope scopeOf(const vm_id& vm) const;

    /// Returns the targets of the VM `self`. `owns` tells whether it owns a cell; `owners` are the VMs that recently reported
    /// that they own a cell.
    heartbeat_targets targets(const vm_id& self, bool owns, const std::vector<vm_id>& owners) const;

private:
    using witness_list = std::vector<vm_id>;

    void chooseWitnesses(const failure_domain_id& domain);
    bool isWitness(const vm_registration& registration) const;
    void addTargetsInOwnDomain(
        const vm_registration& self, bool owns, const std::vector<vm_id>& owners, heartbeat_targets& targets) const;
    void addTargetsInOtherDomains(
        const vm_registration& self, const std::vector<vm_id>& owners, heartbeat_targets& targets) const;

    vm_registrations m_registrations;
    std::map<failure_domain_id, witness_list> m_witnesses;
};

} // namespace coriandermount::cells
