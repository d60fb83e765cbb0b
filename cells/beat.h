/// What entry VMs tell each other several times a second.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "cells/cell_owner.h"
#include "core/error.h"
#include "core/types.h"

namespace coriandermount::cells {

struct beat {
    vm_id sender;
    /// Tells the lives of a VM apart.
    std::uint64_t boot = 0;
    /// Highest epoch that the sender knows of.
    std::uint64_t epoch = 0;
    /// Epoch that the sender owns the cell in; 0 when it does not own it.
    std::uint64_t ownedEpoch = 0;
    /// Time since the sender heard the owner of `epoch`; nothing when it never did.
    std::optional<std::chrono::milliseconds> ownerSilence;
    bool draining = false;
    /// The store has answered the sender lately.
    bool storeReachable = false;
    /// Set by the owner.
    std::optional<cell_load> load;
};

std::string encode(const beat& current);
/// Fails with `malformed_request`.
result<beat> decodeBeat(const std::string& datagram);

} // namespace coriandermount::cells
