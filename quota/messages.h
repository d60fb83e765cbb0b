/// Messages between the VMs that hold leased units and the VM that leases them out.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/types.h"
#include "quota/resource.h"

namespace coriandermount::quota {

/// Holds units that are granted or returned together. `number` increases by one within a session, so that the receiver recognises
/// a batch that is sent again.
struct unit_batch {
    std::uint64_t number = 0;
    unit_map units;

    friend bool operator==(const unit_batch&, const unit_batch&) = default;
};

/// Identifies a session between a holder and an arbiter. A session invalidates all earlier ones of the same holder.
struct session_id {
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;

    friend auto operator<=>(const session_id&, const session_id&) = default;
};

/// Request of a holder to an arbiter: renews the leases, returns units, reports needs and carries the vote.
struct sync_request {
    vm_id from;
    vm_id to;
    failure_domain_id domain;
    session_id session;
    std::uint64_t sequence = 0;
    /// Set until the arbiter has accepted the session; `holdings` are the units held when the session was opened.
    bool opensSession = false;
    unit_map holdings;
    /// Timestamp of the last reply of this arbiter; a vote is valid from that time on. 0 without a reply.
    std::uint64_t echoedTimestamp = 0;
    /// Whether the request votes for the receiver as arbiter.
    bool isVote = false;
    /// Returned units that the arbiter has not acknowledged.
    std::vector<unit_batch> returns;
    /// Number of the last batch of grants that the holder has applied.
    std::uint64_t lastAppliedGrant = 0;
    /// Whether waiting tasks lack units; the arbiter may then delay its reply until it can grant some.
    bool urgent = false;
    /// Needs that have changed materially since the last acknowledged request; a `demanded` of 0 removes the need.
    need_map needs;
};

/// Result of a `sync_request`.
enum class sync_status {
    accepted,
    /// The arbiter doesn't know the session; the holder has to open a new one and list the units that it holds.
    reopen,
    /// The VM is not the arbiter at present.
    not_arbiter,
};

/// Reply of an arbiter to a holder.
struct sync_reply {
    vm_id from;
    vm_id to;
    session_id session;
    std::uint64_t sequence = 0;
    sync_status status = sync_status::not_arbiter;
    /// VM that the sender regards as the arbiter; empty if it knows none.
    vm_id arbiter;
    std::string arbiterAddress;
    /// Time on the sender's clock in microseconds, which the holder echoes.
    std::uint64_t timestamp = 0;
    /// Lease duration, counted from the time at which the holder sent the request.
    std::chrono::milliseconds lease { 0 };
    /// Granted units that the holder has not acknowledged.
    std::vector<unit_batch> grants;
    /// Number of the last batch of returns that the arbiter has applied.
    std::uint64_t lastAppliedReturn = 0;
};

/// Request of an arbiter to a holder to return all units above the ceilings as soon as no task uses them.
struct recall_request {
    vm_id from;
    vm_id to;
    session_id session;
    /// Upper bounds; `anySlot` bounds the slots of all workers together. An explicit 0 is a bound.
    unit_map ceilings;
};

using message = std::variant<sync_request, sync_reply, recall_request>;

} // namespace coriandermount::quota
