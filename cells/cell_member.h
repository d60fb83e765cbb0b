/// Takes part in one cell: watches its owner, and becomes the owner when it is due.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "cells/cell_owner.h"
#include "cells/ownership.h"
#include "core/clock.h"
#include "jobs/record_store.h"

namespace coriandermount::cells {

/// Hands the workers of the cell to the owner while it is started.
class worker_source {
public:
    virtual ~worker_source() = default;
    virtual void start() = 0;
    virtual void stop() = 0;
    virtual void tick(time_point now) = 0;
};

/// Every method may be called from any thread.
class cell_member {
public:
    /// All arguments outlive the member.
    cell_member(jobs::record_store& store, const clock_source& clock, cell_owner& owner, worker_source& workers,
        jobs::record_stream stream, cell_number cell, vm_incarnation self, ownership_settings settings = {});
    ~cell_member();

    cell_member(const cell_member&) = delete;
    cell_member& operator=(const cell_member&) = delete;

    void start();
    void stop();
    /// Carries out what is due. Called every few tens of milliseconds.
    void tick();
    void onHeartbeat(const heartbeat& current);
    /// Whose beats this VM hears.
    void setHeartbeatScope(heartbeat_scope scope);

    /// Stops claiming, and hands the cell over if this VM owns it, as soon as another VM can take it.
    void drain();
    /// Gives the cell up even if nobody can take it now.
    void release();

    /// Called when this VM begins or ends to own the cell.
    void onOwnershipChange(std::function<void()> changed);

    bool isOwner() const;
    bool isDraining() const;
    /// VM that owns the cell; empty when there is none.
    vm_id ownerVm() const;
    bool storeReachable() const;
    cell_view view() const;

private:
    struct data;
    std::shared_ptr<data> m_data;
};

} // namespace coriandermount::cells
