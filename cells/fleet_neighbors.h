/// The other cells of the fleet, as the directory of VMs shows them.
#pragma once

#include <memory>
#include <mutex>
#include <vector>

#include "cells/job_router.h"
#include "cells/neighbor_cells.h"
#include "cells/vm_directory.h"

namespace coriandermount::cells {

class fleet_neighbors final : public neighbor_cells {
public:
    /// All arguments outlive the neighbors; cells are numbered from 0 to `cells` - 1.
    fleet_neighbors(const clock_source& clock, cell_owner& owner, owner_link& link, const vm_directory& directory,
        cell_number self, cell_number cells);

    std::optional<cell_number> reserveCapacity(const service_id& service, std::int64_t cpuMillis) override;
    void run(cell_number cell, jobs::run_request request, job_completion done) override;
    void queryLentJobs(std::uint64_t epoch, std::function<void(const lent_jobs& lent, bool complete)> done) override;
    void forgetLentJobs() override;

    /// Hands lent jobs to new owners. Called every few tens of milliseconds.
    void tick();

private:
    /// Room that this VM has claimed since a cell was last heard.
    struct claimed_room {
        time_point heardAt;
        std::int64_t cpuMillis = 0;
    };

    owner_link& m_link;
    const vm_directory& m_directory;
    cell_number m_self;
    std::vector<std::unique_ptr<job_router>> m_routers;
    std::mutex m_mutex;
    std::vector<claimed_room> m_claimed;
};

} // namespace coriandermount::cells
