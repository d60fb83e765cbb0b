/// Other cells that may run jobs for this one.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "cells/heartbeat.h"
#include "cells/job_book.h"
#include "jobs/record_codec.h"

namespace coriandermount::cells {

/// Jobs that other cells run for this one, and where.
using lent_jobs = std::map<std::string, cell_number>;

/// Completions are called once, from any thread.
class neighbor_cells {
public:
    virtual ~neighbor_cells() = default;

    /// Returns a cell that has idle workers for `cpuMillis` of one service, and takes that room off until the cell is heard
    /// again.
    virtual std::optional<cell_number> reserveCapacity(const service_id& service, std::int64_t cpuMillis) = 0;

    /// Runs a job in another cell; completes as `job_router::run` does.
    virtual void run(cell_number cell, jobs::run_request request, job_completion done) = 0;

    /// Asks all other cells which jobs they run for this one, in the term of `epoch`. `complete` tells whether each of them
    /// has an owner that has told, and that knows all its runs.
    virtual void queryLentJobs(std::uint64_t epoch, std::function<void(const lent_jobs& lent, bool complete)> done) = 0;

    /// Forgets the jobs that were lent: the term of their home has ended, and its next owner asks for them.
    virtual void forgetLentJobs() = 0;
};

} // namespace coriandermount::cells
