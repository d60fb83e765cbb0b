/// Messages of the membership protocol.
#pragma once

#include <optional>
#include <vector>

#include "fleet/member_record.h"

namespace coriandermount::fleet {

/// Tells how new the configuration of a VM is.
struct configuration_revision {
    std::uint64_t version = 0;
    /// Hash of the record; tells two records of one version apart.
    std::uint32_t digest = 0;

    friend bool operator==(const configuration_revision&, const configuration_revision&) = default;
};

/// Address of one VM of another failure domain.
struct domain_contact {
    vm_id id;
    std::string peerAddress;

    friend bool operator==(const domain_contact&, const domain_contact&) = default;
};

/// What one failure domain tells the others, with the stamps that order it.
struct domain_record {
    failure_domain_id domain;
    /// Wall-clock milliseconds of the VM that wrote the record; the higher one wins.
    std::uint64_t stamp = 0;
    /// Stamp of the record that changed the contacts last.
    std::uint64_t contactStamp = 0;
    /// False when the contacts are left out since the receiver has them.
    bool hasContacts = false;
    std::vector<domain_contact> contacts;
    std::uint32_t liveVms = 0;
    std::uint32_t liveWorkers = 0;
    std::uint32_t freeSlots = 0;

    friend bool operator==(const domain_record&, const domain_record&) = default;
};

/// How new a VM's record of one failure domain is.
struct domain_stamp {
    failure_domain_id domain;
    std::uint64_t stamp = 0;

    friend bool operator==(const domain_stamp&, const domain_stamp&) = default;
};

/// A worker that takes no new work any more.
struct leaving_worker {
    worker_id id;
    /// Wall-clock milliseconds at which a VM saw the worker leave.
    std::uint64_t stamp = 0;

    friend bool operator==(const leaving_worker&, const leaving_worker&) = default;
};

/// Request and reply of the method `gossip`.
struct gossip_message {
    vm_id from;
    failure_domain_id domain;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    /// Hash of the sender's member table; differing tables are exchanged whole.
    std::uint32_t membersDigest = 0;
    /// Slots of the domain's workers that the sender uses.
    std::uint32_t usedSlots = 0;
    configuration_revision configuration;
    /// Whether `members` is the sender's whole table.
    bool fullTable = false;
    std::vector<member_record> members;
    std::vector<leaving_worker> leavingWorkers;
    /// Set in requests to another domain; the reply holds what is newer.
    std::vector<domain_stamp> knownDomains;
    std::vector<domain_record> domains;
    /// Asks the receiver to call this address and to reply only when that has answered.
    std::string relayTo;

    friend bool operator==(const gossip_message&, const gossip_message&) = default;
};

} // namespace coriandermount::fleet
