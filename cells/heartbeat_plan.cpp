#include "cells/heartbeat_plan.h"

#include <algorithm>

#include <xxhash.h>

namespace coriandermount::cells {

namespace {

    /// Largest fleet in which every VM sends heartbeats to every other; about 140 heartbeats a second for each VM.
    constexpr std::size_t fullMeshLimit = 24;
    std::uint64_t hashOf(const vm_id& vm) { return XXH3_64bits(vm.value.data(), vm.value.size()); }

    bool contains(const std::vector<vm_id>& list, const vm_id& vm)
    {
        return std::find(list.begin(), list.end(), vm) != list.end();
    }

} // namespace

void heartbeat_plan::addOrUpdate(const vm_registration& registration)
{
    m_registrations.insert_or_assign(registration.vm.id, registration);
    chooseWitnesses(registration.failureDomain);
}

void heartbeat_plan::remove(const vm_id& vm)
{
    const auto found = m_registrations.find(vm);
    if (found == m_registrations.end())
        return;
    const failure_domain_id domain = found->second.failureDomain;
    m_registrations.erase(found);
    chooseWitnesses(domain);
}

bool heartbeat_plan::isFullMesh() const { return m_registrations.size() <= fullMeshLimit; }

heartbeat_scope heartbeat_plan::scopeOf(const vm_id& vm) const
{
    if (isFullMesh())
        return heartbeat_scope::fleet;
    const auto found = m_registrations.find(vm);
    return found != m_registrations.end() && isWitness(found->second) ? heartbeat_scope::witnesses : heartbeat_scope::owner;
}

void heartbeat_plan::chooseWitnesses(const failure_domain_id& domain)
{
    std::vector<const vm_registration*> candidates;
    for (const auto& [id, registration] : m_registrations) {
        if (registration.failureDomain == domain)
            candidates.push_back(&registration);
    }
    std::sort(candidates.begin(), candidates.end(), [](const vm_registration* a, const vm_registration* b) {
        if (a->vm.processorMillis != b->vm.processorMillis)
            return a->vm.processorMillis > b->vm.processorMillis;
        return hashOf(a->vm.id) < hashOf(b->vm.id);
    });
    if (candidates.size() > witnessCount)
        candidates.resize(witnessCount);
    auto& witnesses = m_witnesses[domain];
    witnesses.clear();
    for (const auto* chosen : candidates)
        witnesses.push_back(chosen->vm.id);
}

bool heartbeat_plan::isWitness(const vm_registration& registration) const
{
    const auto witnesses = m_witnesses.find(registration.failureDomain);
    return witnesses != m_witnesses.end() && contains(witnesses->second, registration.vm.id);
}

heartbeat_targets heartbeat_plan::targets(const vm_id& self, bool owns, const std::vector<vm_id>& owners) const
{
    heartbeat_targets targets;
    if (isFullMesh()) {
        for (const auto& [id, registration] : m_registrations) {
            if (id != self)
                targets.frequent.push_back(registration.address);
        }
        return targets;
    }
    const auto selfRegistration = m_registrations.find(self);
    if (selfRegistration == m_registrations.end() || (!owns && !isWitness(selfRegistration->second)))
        return targets;
    addTargetsInOwnDomain(selfRegistration->second, owns, owners, targets);
    if (owns)
        addTargetsInOtherDomains(selfRegistration->second, owners, targets);
    return targets;
}

void heartbeat_plan::addTargetsInOwnDomain(
    const vm_registration& self, bool owns, const std::vector<vm_id>& owners, heartbeat_targets& targets) const
{
    for (const auto& [id, registration] : m_registrations) {
        if (id == self.vm.id || registration.failureDomain != self.failureDomain)
            continue;
        if (isWitness(registration) || contains(owners, id))
            targets.frequent.push_back(registration.address);
        else if (owns)
            targets.infrequent.push_back(registration.address);
    }
}

void heartbeat_plan::addTargetsInOtherDomains(
    const vm_registration& self, const std::vector<vm_id>& owners, heartbeat_targets& targets) const
{
    for (const auto& [domain, witnesses] : m_witnesses) {
        if (domain == self.failureDomain)
            continue;
        bool ownerKnown = false;
        for (const auto& owner : owners) {
            const auto found = m_registrations.find(owner);
            if (found == m_registrations.end() || found->second.failureDomain != domain)
                continue;
            targets.frequent.push_back(found->second.address);
            ownerKnown = true;
        }
        // Without a known owner, one of the witnesses owns the cell or will claim it.
        for (const auto& witness : witnesses) {
            if (!ownerKnown)
                targets.infrequent.push_back(m_registrations.at(witness).address);
        }
    }
}

} // namespace coriandermount::cells
