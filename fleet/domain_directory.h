/// What this VM knows about every failure domain, its own included; no threads, no clock.
#pragma once

#include <map>
#include <optional>
#include <set>

#include "fleet/gossip_message.h"

namespace coriandermount::fleet {

/// Records of failure domains, ordered by stamps; the newest one of each domain is kept.
class domain_directory {
public:
    /// `own` is not listed by `summaries`.
    domain_directory(failure_domain_id own, std::chrono::milliseconds reachableTimeout);

    /// Makes a domain known that nothing has been heard of.
    void addConfigured(const failure_domain_id& domain);

    /// Takes a record over when it is newer; returns whether its contacts changed.
    bool apply(const domain_record& record, time_point now);

    /// Notes that a VM of `domain` has just been heard.
    void noteMessageFrom(const failure_domain_id& domain, time_point now);

    /// Makes `contacts` of the platform's list known for a domain that has not been heard of.
    void setListedContacts(const failure_domain_id& domain, std::vector<domain_contact> contacts);

    /// Returns the stamps of all domains heard of.
    std::vector<domain_stamp> stamps() const;

    /// Returns the records that are newer than `known`; contacts only where the receiver lacks them.
    std::vector<domain_record> recordsNewerThan(const std::vector<domain_stamp>& peerStamps) const;

    /// Returns the record of a domain, or nothing.
    const domain_record* find(const failure_domain_id& domain) const;

    /// Returns VMs to call: those heard of, else those suggested.
    std::vector<domain_contact> contactsOf(const failure_domain_id& domain) const;

    /// Returns all domains but the own one.
    std::vector<failure_domain_id> remoteDomains() const;

    /// Returns all other domains as the request path sees them.
    std::map<failure_domain_id, domain_summary> summaries(time_point now) const;

private:
    struct entry {
        domain_record record;
        std::vector<domain_contact> listedContacts;
        /// Set when a record arrived whose contacts are not known here.
        bool contactsMissing = false;
        /// When a newer record arrived last, by this VM's clock.
        std::optional<time_point> lastHeardAt;
    };

    failure_domain_id m_own;
    std::chrono::milliseconds m_reachableTimeout;
    std::map<failure_domain_id, entry> m_entries;
};

} // namespace coriandermount::fleet
