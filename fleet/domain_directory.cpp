#include "fleet/domain_directory.h"

#include <algorithm>

namespace coriandermount::fleet {

domain_directory::domain_directory(failure_domain_id own, std::chrono::milliseconds reachableTimeout)
    : m_own(std::move(own))
    , m_reachableTimeout(reachableTimeout)
{
}

void domain_directory::addConfigured(const failure_domain_id& domain)
{
    m_entries.try_emplace(domain).first->second.record.domain = domain;
}

bool domain_directory::apply(const domain_record& record, time_point now)
{
    addConfigured(record.domain);
    entry& known = m_entries[record.domain];
    if (record.stamp <= known.record.stamp)
        return false;
    // A record without contacts is useless if this VM lacks the contacts that it refers to. `stamps` then reports 0 for the
    // domain, so that the next reply holds the full record.
    if (!record.hasContacts && known.record.contactStamp != record.contactStamp) {
        known.contactsMissing = true;
        return false;
    }
    known.contactsMissing = false;
    const bool contactsChanged = record.hasContacts && record.contacts != known.record.contacts;
    const std::vector<domain_contact> contacts = record.hasContacts ? record.contacts : known.record.contacts;
    known.record = record;
    known.record.contacts = contacts;
    known.record.hasContacts = true;
    known.lastHeardAt = now;
    return contactsChanged;
}

void domain_directory::noteMessageFrom(const failure_domain_id& domain, time_point now)
{
    addConfigured(domain);
    m_entries[domain].lastHeardAt = now;
}

void domain_directory::setListedContacts(const failure_domain_id& domain, std::vector<domain_contact> contacts)
{
    addConfigured(domain);
    m_entries[domain].listedContacts = std::move(contacts);
}

std::vector<domain_stamp> domain_directory::stamps() const
{
    std::vector<domain_stamp> all;
    for (const auto& [domain, known] : m_entries) {
        if (known.record.stamp > 0)
            all.push_back({ domain, known.contactsMissing ? 0 : known.record.stamp });
    }
    return all;
}

std::vector<domain_record> domain_directory::recordsNewerThan(const std::vector<domain_stamp>& peerStamps) const
{
    std::vector<domain_record> newer;
    for (const auto& [domain, known] : m_entries) {
        const auto peerStamp = std::find_if(peerStamps.begin(), peerStamps.end(),
            [&domain = domain](const domain_stamp& stamp) { return stamp.domain == domain; });
        const std::uint64_t stamp = peerStamp == peerStamps.end() ? 0 : peerStamp->stamp;
        if (known.record.stamp <= stamp)
            continue;
        newer.push_back(known.record);
        if (stamp >= known.record.contactStamp) {
            newer.back().hasContacts = false;
            newer.back().contacts.clear();
        }
    }
    return newer;
}

const domain_record* domain_directory::find(const failure_domain_id& domain) const
{
    const auto found = m_entries.find(domain);
    return found == m_entries.end() || found->second.record.stamp == 0 ? nullptr : &found->second.record;
}

std::vector<domain_contact> domain_directory::contactsOf(const failure_domain_id& domain) const
{
    const auto found = m_entries.find(domain);
    if (found == m_entries.end())
        return {};
    std::vector<domain_contact> contacts = found->second.record.contacts;
    for (const auto& contact : found->second.listedContacts) {
        if (std::find(contacts.begin(), contacts.end(), contact) == contacts.end())
            contacts.push_back(contact);
    }
    return contacts;
}

std::vector<failure_domain_id> domain_directory::remoteDomains() const
{
    std::vector<failure_domain_id> domains;
    for (const auto& [domain, known] : m_entries) {
        if (domain != m_own)
            domains.push_back(domain);
    }
    return domains;
}

std::map<failure_domain_id, domain_summary> domain_directory::summaries(time_point now) const
{
    std::map<failure_domain_id, domain_summary> all;
    for (const auto& [domain, known] : m_entries) {
        if (domain == m_own)
            continue;
        domain_summary& summary = all[domain];
        summary.domain = domain;
        const auto& contacts = known.record.stamp > 0 ? known.record.contacts : known.listedContacts;
        for (const auto& contact : contacts) {
            member& vm = summary.contacts.emplace_back();
            vm.id = contact.id;
            vm.domain = domain;
            vm.peerAddress = contact.peerAddress;
        }
        summary.liveVms = known.record.liveVms;
        summary.liveWorkers = known.record.liveWorkers;
        summary.freeSlots = known.record.freeSlots;
        summary.reachable = known.lastHeardAt && now - *known.lastHeardAt <= m_reachableTimeout;
    }
    return all;
}

} // namespace coriandermount::fleet
