/// Records of all failure domains as one VM knows them. Uses no threads and no clock.
#pragma once

#include <map>
#include <optional>
#include <set>

#include "fleet/gossip_message.h"

namespace coriandermount::fleet {

/// Holds the newest record of each failure domain, that of this VM's own domain included. Stamps decide which record is newer.
class domain_directory {
public:
    /// `own` is the failure domain of this VM. Another domain counts as reachable for `reachableTimeout` after the last message.
    domain_directory(failure_domain_id own, std::chrono::milliseconds reachableTimeout);

    /// Adds a domain without a record; a known domain stays as it is.
    void addConfigured(const failure_domain_id& domain);

    /// Stores `record` if its stamp is newer. Returns true if the contacts of the domain changed.
    bool apply(const domain_record& record, time_point now);

    /// Records that a message of a VM of `domain` arrived at `now`.
    void noteMessageFrom(const failure_domain_id& domain, time_point now);

    /// Sets the contacts that the platform's list shows for `domain`.
    void setListedContacts(const failure_domain_id& domain, std::vector<domain_contact> contacts);

    /// Returns the stamp of each domain that has a record; 0 stands for a domain whose full record is needed.
    std::vector<domain_stamp> stamps() const;

    /// Returns the records that are newer than `peerStamps`, with contacts only where the peer's stamp is older than these.
    std::vector<domain_record> recordsNewerThan(const std::vector<domain_stamp>& peerStamps) const;

    /// Returns the record of `domain`, or nullptr if none has arrived. The next call that changes the directory may change the
    /// record.
    const domain_record* find(const failure_domain_id& domain) const;

    /// Returns the VMs of `domain` that can be called: the contacts of its record, then those of the platform's list.
    std::vector<domain_contact> contactsOf(const failure_domain_id& domain) const;

    /// Returns all known domains except this VM's own.
    std::vector<failure_domain_id> remoteDomains() const;

    /// Returns the summaries that are published to the request path, for all domains except this VM's own.
    std::map<failure_domain_id, domain_summary> summaries(time_point now) const;

private:
    struct entry {
        domain_record record;
        std::vector<domain_contact> listedContacts;
        /// True after a record without contacts arrived that builds on contacts which this VM does not have.
        bool contactsMissing = false;
        /// Time of the last newer record or message of this domain, by this VM's clock.
        std::optional<time_point> lastHeardAt;
    };

    failure_domain_id m_own;
    std::chrono::milliseconds m_reachableTimeout;
    std::map<failure_domain_id, entry> m_entries;
};

} // namespace coriandermount::fleet
