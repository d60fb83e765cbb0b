/// Directory of the entry VMs of all failure domains: their addresses and the cells that they own.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "cells/heartbeat_plan.h"
#include "core/clock.h"
#include "jobs/record_store.h"

namespace coriandermount::cells {

/// Sends datagrams to other VMs. Losses are not reported.
class heartbeat_link {
public:
    virtual ~heartbeat_link() = default;
    /// Sends `datagram` to the VM at `address` (`a.b.c.d:port`).
    virtual void send(const std::string& address, const std::string& datagram) = 0;
};

/// Owner of a cell according to its last heartbeat.
struct reported_owner {
    vm_id vm;
    std::string address;
    std::uint64_t epoch = 0;
    cell_load load;
    /// When the heartbeat arrived, or when it reached the VM that passed it on.
    time_point heartbeatAt;
};

/// Registers this VM in the record store, sends its heartbeats, and tracks the other VMs and the owners of cells. Thread-safe.
class vm_directory {
public:
    /// Returns the next heartbeat of this VM. Called without a lock held.
    using heartbeat_source = std::function<heartbeat()>;

    /// `store`, `link` and `clock` must outlive the directory.
    vm_directory(jobs::record_store& store, heartbeat_link& link, const clock_source& clock, jobs::record_stream stream,
        vm_registration self, heartbeat_source source);
    ~vm_directory();

    vm_directory(const vm_directory&) = delete;
    vm_directory& operator=(const vm_directory&) = delete;

    /// Starts reading the registrations.
    void start();
    /// Stops reading the registrations.
    void stop();
    /// Registers this VM, reads new registrations and sends heartbeats when they are due.
    void tick();
    /// Makes a heartbeat due at the next call of `tick`.
    void sendHeartbeatOnNextTick();

    /// Handles a heartbeat of another VM. An owner whose epoch is more than one higher than that of the known one is used once a
    /// second heartbeat has named it. An owner that only one heartbeat has named gives way to one of a lower epoch after a
    /// second.
    void onHeartbeat(const heartbeat& current);

    /// Returns which VMs send heartbeats to this VM.
    heartbeat_scope heartbeatScope() const;

    /// Returns the owner of a cell; empty if no recent heartbeat names one or if it is not registered.
    std::optional<reported_owner> owner(cell_number cell) const;

    /// Returns the epoch of the newest owner of a cell that heartbeats have named, also if they are not recent; 0 if none has.
    std::uint64_t highestEpoch(cell_number cell) const;

    /// Returns the address of a VM; empty if it is not registered.
    std::string address(const vm_id& vm) const;

private:
    struct data;
    std::shared_ptr<data> m_data;
};

} // namespace coriandermount::cells
