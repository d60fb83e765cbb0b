/// Messages of the membership protocol.
#pragma once

#include <optional>
#include <vector>

#include "fleet/member_record.h"

namespace coriandermount::fleet {

/// Identifies the configuration that a VM has in force.
struct configuration_revision {
    std::uint64_t version = 0;
    /// Hash of the configuration record, which distinguishes two records of the same version.
    std::uint32_t digest = 0;

    friend bool operator==(const configuration_revision&, const configuration_revision&) = default;
};

/// VM through which its failure domain can be reached, with its peer address.
struct domain_contact {
    vm_id id;
    std::string peerAddress;

    friend bool operator==(const domain_contact&, const domain_contact&) = default;
};

/// Summary of one failure domain, which is sent to the other domains. A record with a higher stamp replaces an older one.
struct domain_record {
    failure_domain_id domain;
    /// Wall-clock milliseconds of the VM that wrote the record, raised above the stamp of the previous record.
    std::uint64_t stamp = 0;
    /// Stamp of the last record in which the contacts changed.
    std::uint64_t contactStamp = 0;
    /// False if `contacts` was left out because the receiver already has the contacts of `contactStamp`.
    bool hasContacts = false;
    std::vector<domain_contact> contacts;
    std::uint32_t liveVms = 0;
    std::uint32_t liveWorkers = 0;
    std::uint32_t freeSlots = 0;

    friend bool operator==(const domain_record&, const domain_record&) = default;
};

/// Stamp of the record that a VM has of one failure domain.
struct domain_stamp {
    failure_domain_id domain;
    std::uint64_t stamp = 0;

    friend bool operator==(const domain_stamp&, const domain_stamp&) = default;
};

/// Worker that accepts no new tasks because it is leaving.
struct leaving_worker {
    worker_id id;
    /// Wall-clock milliseconds at which a VM first read from the platform's list that the worker is leaving.
    std::uint64_t stamp = 0;

    friend bool operator==(const leaving_worker&, const leaving_worker&) = default;
};

/// Request and reply of the method `gossip`.
struct gossip_message {
    vm_id from;
    failure_domain_id domain;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    /// Hash of the sender's member table. If the hashes of two VMs differ, the VMs exchange their full tables.
    std::uint32_t membersDigest = 0;
    /// Number of slots on the domain's workers that are used by the sender's tasks.
    std::uint32_t usedSlots = 0;
    configuration_revision configuration;
    /// True if `members` holds the sender's full member table, false if it holds recent changes only.
    bool fullTable = false;
    std::vector<member_record> members;
    std::vector<leaving_worker> leavingWorkers;
    /// Stamps of the sender's domain records, set in join requests and in requests to other domains. The reply holds the
    /// records that are newer.
    std::vector<domain_stamp> knownDomains;
    std::vector<domain_record> domains;
    /// In a request: address that the receiver probes before it replies. In a reply: address whose VM replied to such a probe;
    /// empty if the probe failed.
    std::string relayTo;

    friend bool operator==(const gossip_message&, const gossip_message&) = default;
};

} // namespace coriandermount::fleet
