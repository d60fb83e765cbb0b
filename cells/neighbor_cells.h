/// Interface to the other cells, which may run jobs on behalf of this cell.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "cells/cell_job_table.h"
#include "cells/heartbeat.h"
#include "jobs/record_codec.h"

namespace coriandermount::cells {

/// Cell that runs each lent job, by job id.
using lent_jobs = std::map<std::string, cell_number>;

/// Lends jobs to other cells. Each completion is called once, from any thread.
class neighbor_cells {
public:
    virtual ~neighbor_cells() = default;

    /// Returns a cell with free capacity for `cpuMillis` (thousandths of a core) of one service, or nothing if there is none.
    /// The capacity counts as reserved until the next heartbeat of that cell's owner.
    virtual std::optional<cell_number> reserveCapacity(const service_id& service, std::int64_t cpuMillis) = 0;

    /// Returns the cell that takes a job of a cell that is evacuated, or nothing if there is none: see `chooseRelocationTarget`.
    /// The need counts as used there until the next heartbeat of that cell's owner.
    virtual std::optional<cell_number> chooseCell(const relocation_need& need, const std::set<cell_number>& excluded) = 0;

    /// Returns whether a cell that is not excluded has no owner at the moment.
    virtual bool hasOwnerlessCell(const std::set<cell_number>& excluded) const = 0;

    /// Runs a job in another cell. Completes as `job_router::run` does.
    virtual void run(cell_number cell, jobs::run_request request, job_completion done) = 0;

    /// Tells a cell that nobody waits any more for a job that was lent to it.
    virtual void withdraw(cell_number cell, const std::string& jobId, withdrawal_reason reason) = 0;

    /// Asks the owners of all other cells which jobs they run on behalf of this cell, in the ownership term `epoch`.
    /// `complete` is true if every cell has an owner that answered and that knows all its running jobs.
    virtual void queryLentJobs(std::uint64_t epoch, std::function<void(const lent_jobs& lent, bool complete)> done) = 0;

    /// Returns the highest epoch that an owner of another cell has announced; 0 if none has.
    virtual std::uint64_t announcedEpoch(cell_number cell) const = 0;

    /// Discards the lent jobs without an answer: the ownership term of this cell has ended, and its next owner queries them.
    virtual void forgetLentJobs() = 0;
};

} // namespace coriandermount::cells
