/// What entry VMs tell each other several times a second.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cells/cell_owner.h"
#include "core/error.h"
#include "core/types.h"

namespace coriandermount::cells {

/// What a VM knows of one cell.
struct cell_view {
    cell_number cell = 0;
    /// Highest epoch that the VM knows of.
    std::uint64_t epoch = 0;
    /// The VM owns the cell in that epoch.
    bool owned = false;
    /// Time since the VM heard the owner; nothing when it never did.
    std::optional<std::chrono::milliseconds> ownerSilence;
    /// Set by the owner.
    std::optional<cell_load> load;
};

/// One life of an entry VM.
struct vm_incarnation {
    vm_id id;
    /// Tells the lives of a VM apart.
    std::uint64_t incarnation = 0;
    /// Processor time that the VM may use, in thousandths of a core.
    std::uint32_t processorMillis = 0;
};

/// Owner of another cell, as the sender last heard it.
struct relayed_owner {
    vm_id owner;
    std::chrono::milliseconds age { 0 };
    cell_view view;
};

struct heartbeat {
    vm_id sender;
    /// Tells the lives of a VM apart.
    std::uint64_t incarnation = 0;
    bool draining = false;
    /// The store has answered the sender lately.
    bool storeReachable = false;
    std::vector<cell_view> cells;
    /// Processor time that the sender may use, in thousandths of a core.
    std::uint32_t processorMillis = 0;
    /// Told by owners to VMs that do not hear the other owners themselves.
    std::vector<relayed_owner> relayed;
};

std::string encode(const heartbeat& current);
/// Fails with `malformed_request`.
result<heartbeat> decodeHeartbeat(const std::string& datagram);

} // namespace coriandermount::cells
