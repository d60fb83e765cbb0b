/// Takes part in one cell: registers this VM, watches the owner, and becomes the owner when it is due.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "cells/cell_owner.h"
#include "cells/ownership.h"
#include "core/clock.h"
#include "jobs/record_store.h"

namespace coriandermount::cells {

/// Sends datagrams to other VMs; losses are not reported.
class beat_link {
public:
    virtual ~beat_link() = default;
    virtual void send(const std::string& address, const std::string& datagram) = 0;
};

/// Hands the workers of the cell to the owner while it is started.
class worker_directory {
public:
    virtual ~worker_directory() = default;
    virtual void start() = 0;
    virtual void stop() = 0;
    virtual void tick(time_point now) = 0;
};

/// Every method may be called from any thread.
class cell_member {
public:
    /// All arguments outlive the member.
    cell_member(jobs::record_store& store, beat_link& link, const clock_source& clock, cell_owner& owner,
        worker_directory& workers, jobs::record_stream stream, vm_registration self, ownership_settings settings = {});
    ~cell_member();

    cell_member(const cell_member&) = delete;
    cell_member& operator=(const cell_member&) = delete;

    void start();
    void stop();
    /// Carries out what is due. Called every few tens of milliseconds.
    void tick();
    void onDatagram(const std::string& datagram);

    /// Stops claiming, and hands the cell over if this VM owns it.
    void drain();

    bool isOwner() const;
    /// Whether the cell has an owner that this VM can name.
    bool ownerKnown() const;
    std::string ownerAddress() const;
    bool storeReachable() const;
    /// Load of the cell as last heard from its owner.
    cell_load load() const;

private:
    struct data;
    std::shared_ptr<data> m_data;
};

} // namespace coriandermount::cells
