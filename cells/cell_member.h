/// Participation of a VM in one cell: monitors the owner and claims the cell when the owner fails.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "cells/cell_owner.h"
#include "cells/ownership.h"
#include "core/clock.h"
#include "jobs/record_store.h"

namespace coriandermount::cells {

/// Source of the worker list of a cell. Between `start` and `stop` it reports the workers to the cell's owner.
class worker_source {
public:
    virtual ~worker_source() = default;
    virtual void start() = 0;
    virtual void stop() = 0;
    /// Performs the work that is due at `now`.
    virtual void tick(time_point now) = 0;
};

/// Member of one cell: writes claims and liveness records to the store, and starts and stops the cell's owner on this VM.
/// Thread-safe.
class cell_member {
public:
    /// All referenced arguments must outlive the member.
    cell_member(jobs::record_store& store, const clock_source& clock, cell_owner& owner, worker_source& workers,
        jobs::record_stream stream, cell_number cell, vm_incarnation self, ownership_settings settings = {});
    ~cell_member();

    cell_member(const cell_member&) = delete;
    cell_member& operator=(const cell_member&) = delete;

    /// Starts reading the records of the cell.
    void start();
    /// Stops reading the records of the cell.
    void stop();
    /// Performs the work that is due. To be called every few tens of milliseconds.
    void tick();
    /// Handles a heartbeat of another VM.
    void onHeartbeat(const heartbeat& current);
    /// Sets which VMs send heartbeats to this VM.
    void setHeartbeatScope(heartbeat_scope scope);

    /// Stops claiming the cell. If this VM owns the cell, it hands the cell over as soon as a VM with about its processor time
    /// can take it, and from `preferenceLimit` on to any VM that can.
    void drain(time_point preferenceLimit);
    /// Releases the cell even if no other VM can take it now.
    void release();

    /// Sets the function to call whenever this VM becomes or ceases to be the owner of the cell.
    void onOwnershipChange(std::function<void()> ownershipChanged);

    /// Returns whether this VM owns the cell.
    bool isOwner() const;
    /// Returns whether `drain` was called.
    bool isDraining() const;
    /// Returns the VM that owns the cell; empty if the cell has no owner.
    vm_id ownerVm() const;
    /// Returns whether the record store has answered recently.
    bool storeReachable() const;
    /// Returns the epoch of the newest ownership term that this VM knows.
    std::uint64_t epoch() const;
    /// Returns the state of the cell as this VM sees it, for the next heartbeat.
    cell_view view() const;

private:
    struct data;
    std::shared_ptr<data> m_data;
};

} // namespace coriandermount::cells
