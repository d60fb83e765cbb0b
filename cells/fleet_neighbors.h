/// Access to the other cells of the fleet through their owners in the directory of VMs.
#pragma once

#include <memory>
#include <mutex>
#include <vector>

#include "cells/job_router.h"
#include "cells/neighbor_cells.h"
#include "cells/vm_directory.h"

namespace coriandermount::cells {

/// Implements `neighbor_cells` with one job router per cell. Thread-safe.
class fleet_neighbors final : public neighbor_cells {
public:
    /// All referenced arguments must outlive this object. Cells are numbered from 0 to `cells` - 1; `self` is the own cell.
    fleet_neighbors(const clock_source& clock, cell_owner& owner, owner_link& link, const vm_directory& directory,
        cell_number self, cell_number cells);

    std::optional<cell_number> reserveCapacity(const service_id& service, std::int64_t cpuMillis) override;
    std::optional<cell_number> chooseCell(const relocation_need& need, const std::set<cell_number>& excluded) override;
    bool hasOwnerlessCell(const std::set<cell_number>& excluded) const override;
    void run(cell_number cell, jobs::run_request request, job_completion done) override;
    void withdraw(cell_number cell, const std::string& jobId, withdrawal_reason reason) override;
    void queryLentJobs(std::uint64_t epoch, std::function<void(const lent_jobs& lent, bool complete)> done) override;
    std::uint64_t announcedEpoch(cell_number cell) const override { return m_directory.highestEpoch(cell); }
    void forgetLentJobs() override;

    /// Counts the accepted jobs of a queue, in all cells, of which no task has started. Asks the owners whose heartbeats do not
    /// list the number. Fails with `owner_unknown` if the number is not known for a cell.
    void countPending(const std::string& queue, pending_completion done);

    /// Sends lent jobs to new owners of their cells. To be called every few tens of milliseconds.
    void tick();

private:
    /// Capacity of a cell that this VM has reserved since the last heartbeat of the cell's owner.
    struct reserved_capacity {
        time_point heartbeatAt;
        std::int64_t cpuMillis = 0;
        /// Time for which the jobs that were sent use the capacity of the cell.
        std::chrono::microseconds serviceTime { 0 };
    };

    /// Returns what was reserved since the heartbeat of the owner. To be called with the mutex held.
    reserved_capacity& reservedSince(cell_number cell, const reported_owner& cellOwner);

    owner_link& m_link;
    const vm_directory& m_directory;
    cell_number m_self;
    std::vector<std::unique_ptr<job_router>> m_routers;
    std::mutex m_mutex;
    std::vector<reserved_capacity> m_reserved;
};

} // namespace coriandermount::cells
