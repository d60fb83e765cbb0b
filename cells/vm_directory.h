/// Entry VMs of all failure domains: where they are, and what they last said.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "cells/heartbeat_plan.h"
#include "core/clock.h"
#include "jobs/record_store.h"

namespace coriandermount::cells {

/// Sends datagrams to other VMs; losses are not reported.
class heartbeat_link {
public:
    virtual ~heartbeat_link() = default;
    virtual void send(const std::string& address, const std::string& datagram) = 0;
};

/// Owner of a cell as it was last heard.
struct heard_owner {
    vm_id vm;
    std::string address;
    std::uint64_t epoch = 0;
    cell_load load;
    time_point heardAt;
};

/// Every method may be called from any thread.
class vm_directory {
public:
    /// Fills in what this VM says; called without a lock held.
    using heartbeat_source = std::function<heartbeat()>;

    /// Store, link and clock outlive the directory.
    vm_directory(jobs::record_store& store, heartbeat_link& link, const clock_source& clock, jobs::record_stream stream,
        vm_registration self, heartbeat_source source);
    ~vm_directory();

    vm_directory(const vm_directory&) = delete;
    vm_directory& operator=(const vm_directory&) = delete;

    void start();
    void stop();
    /// Registers this VM, follows the others and sends beats when they are due.
    void tick();
    /// Sends a beat with the next tick.
    void sendHeartbeatOnNextTick();

    /// Notes a beat of another VM.
    void onHeartbeat(const heartbeat& current);

    /// Whose beats this VM hears.
    heartbeat_scope heartbeatScope() const;

    /// Returns the owner of a cell when it was heard lately.
    std::optional<heard_owner> owner(cell_number cell) const;

    /// Address of a VM; empty when it is not registered.
    std::string address(const vm_id& vm) const;

private:
    struct data;
    std::shared_ptr<data> m_data;
};

} // namespace coriandermount::cells
