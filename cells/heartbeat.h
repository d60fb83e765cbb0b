/// Heartbeats that entry VMs exchange several times a second, and their encoding.
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

/// State of one cell as one VM sees it.
struct cell_view {
    cell_number cell = 0;
    /// Highest epoch of the cell that the VM knows.
    std::uint64_t epoch = 0;
    /// Whether the VM owns the cell in `epoch`.
    bool owned = false;
    /// Time since the VM last received a heartbeat of the owner; empty if it has received none.
    std::optional<std::chrono::milliseconds> ownerSilence;
    /// Load of the cell; set only in the view of its owner.
    std::optional<cell_load> load;
};

/// One process lifetime of an entry VM.
struct vm_incarnation {
    vm_id id;
    /// Distinguishes the process lifetimes of a VM.
    std::uint64_t incarnation = 0;
    /// Processor time that the VM may use, in thousandths of a core.
    std::uint32_t processorMillis = 0;
};

/// Owner of a cell as the sender of a heartbeat knows it from an earlier heartbeat.
struct relayed_owner {
    vm_id owner;
    /// Age of the heartbeat from which the sender knows the owner.
    std::chrono::milliseconds age { 0 };
    cell_view view;
};

/// Periodic liveness message of an entry VM.
struct heartbeat {
    vm_id sender;
    /// Distinguishes the process lifetimes of the sender.
    std::uint64_t incarnation = 0;
    bool draining = false;
    /// Whether the record store has answered the sender recently.
    bool storeReachable = false;
    std::vector<cell_view> cells;
    /// Processor time that the sender may use, in thousandths of a core.
    std::uint32_t processorMillis = 0;
    /// Other owners, passed on by an owner to VMs that receive no heartbeats from them.
    std::vector<relayed_owner> relayed;
};

/// Returns the datagram that carries a heartbeat. Lists that depend on the load and the configuration take a limited part of it,
/// so that the owners in it always arrive: an owner's count of pending jobs is left out if it is too long, and services without
/// room in the list of idle capacity count as busy. The views in `cells` come before those in `relayed`.
std::string encode(const heartbeat& current);
/// Returns the heartbeat in `datagram`, or `malformed_request` if it cannot be decoded.
result<heartbeat> decodeHeartbeat(const std::string& datagram);

} // namespace coriandermount::cells
