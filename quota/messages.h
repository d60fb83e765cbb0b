/// Messages between holders and arbiters of leased units.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/types.h"
#include "quota/resource.h"

namespace coriandermount::quota {

/// Units that change hands; `number` grows by one within a session, so that a repeated batch is recognised.
struct unit_batch {
    std::uint64_t number = 0;
    unit_map units;

    friend bool operator==(const unit_batch&, const unit_batch&) = default;
};

/// One run of the exchange between a holder and an arbiter; a later one of the same holder voids the earlier ones.
struct session_id {
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;

    friend auto operator<=>(const session_id&, const session_id&) = default;
};

/// Holder to arbiter: renews the leases, returns units, tells the need and votes.
struct sync_request {
    vm_id from;
    vm_id to;
    failure_domain_id domain;
    session_id session;
    std::uint64_t sequence = 0;
    /// Set until the arbiter has accepted the session; `holdings` are those at its opening.
    bool opensSession = false;
    unit_map holdings;
    /// Stamp of the last reply from this arbiter, which a vote is counted from; 0 for none.
    std::uint64_t echoedTimestamp = 0;
    bool votes = false;
    /// Returns that the arbiter has not acknowledged.
    std::vector<unit_batch> returns;
    /// Number of the last grant that was applied.
    std::uint64_t lastAppliedGrant = 0;
    /// The holder has waiting work and no unit for it; the answer may wait until there is one.
    bool urgent = false;
    /// Needs that changed materially since the last answer; 0 wanted ends a need.
    need_map needs;
};

enum class sync_status {
    accepted,
    /// The session is not known; the holder opens a new one with what it holds.
    reopen,
    /// The VM does not act as arbiter at present.
    not_arbiter,
};

/// Arbiter to holder.
struct sync_reply {
    vm_id from;
    vm_id to;
    session_id session;
    std::uint64_t sequence = 0;
    sync_status status = sync_status::not_arbiter;
    /// VM that the sender takes for the arbiter; empty when it knows none.
    vm_id arbiter;
    std::string arbiterAddress;
    /// Clock of the sender, to be echoed.
    std::uint64_t timestamp = 0;
    /// Duration of the lease from the sending of the request on.
    std::chrono::milliseconds lease { 0 };
    /// Grants that the holder has not acknowledged.
    std::vector<unit_batch> grants;
    std::uint64_t lastAppliedReturn = 0;
};

/// Arbiter to holder: hold no more than these units, as soon as those above are not in use.
struct recall_request {
    vm_id from;
    vm_id to;
    session_id session;
    /// Upper bounds; `anySlot` bounds the slots of all workers together. Explicit zeros are bounds.
    unit_map ceilings;
};

using message = std::variant<sync_request, sync_reply, recall_request>;

} // namespace coriandermount::quota
