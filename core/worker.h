/// Workers and entry VMs, as listed by the platform.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "core/types.h"

namespace coriandermount {

/// State of a VM, as listed by the platform or reported by the VM itself.
enum class vm_state { live, leaving };

/// One worker: a backend server that runs tasks.
struct worker_info {
    worker_id id;
    failure_domain_id domain;
    std::string rack;
    /// IP address and port, as `a.b.c.d:port`.
    std::string address;
    vm_state state = vm_state::live;
    /// Number of tasks that may run at the same time.
    std::uint32_t slots = 8;
    /// Number of connections that the worker accepts; no more slots than this are used.
    std::uint32_t connections = 64;
    std::uint32_t cores = 0;
    std::uint32_t memoryMegabytes = 0;
    std::uint32_t accelerators = 0;
    std::vector<service_id> services;

    /// Returns whether the worker runs tasks of `service`.
    bool offers(const service_id& service) const
    {
        return std::find(services.begin(), services.end(), service) != services.end();
    }

    friend bool operator==(const worker_info&, const worker_info&) = default;
};

/// One entry VM: a VM that runs a node of the dispatcher.
struct entry_vm_info {
    vm_id id;
    failure_domain_id domain;
    std::string rack;
    /// IP address and port of the peer listener.
    std::string peerAddress;
    vm_state state = vm_state::live;

    friend bool operator==(const entry_vm_info&, const entry_vm_info&) = default;
};

/// Immutable snapshot of all workers that this VM may use, sorted by id.
struct worker_table {
    std::vector<worker_info> workers;
};

} // namespace coriandermount
