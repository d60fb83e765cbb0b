/// Runs the jobs of one cell on the workers of that cell, for as long as this VM owns it.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cells/cell_job_table.h"
#include "cells/cell_settings.h"
#include "cells/worker_link.h"
#include "core/clock.h"
#include "jobs/record_codec.h"
#include "jobs/record_store.h"

namespace coriandermount::cells {

/// A period in which one VM owns the cell.
struct ownership_term {
    std::uint64_t epoch = 0;
    /// The VM that owned the cell before has declared that it gives no more orders.
    bool previousOwnerStopped = false;
};

/// How busy a cell is, for those who accept jobs for it.
struct cell_load {
    /// Expected time from acceptance to the first start by priority; the last entry holds for all lower priorities.
    std::vector<std::chrono::milliseconds> waitByPriority;
    /// The owner has read the newest records; its counts are whole.
    bool recordsCurrent = false;
    /// Room for further tasks of the usual size, by service, in thousandths of a core.
    std::map<std::string, std::int64_t> idleCpu;
    /// Accepted jobs of each queue of which no task has started.
    std::map<std::string, std::uint32_t> pendingByQueue;
};

/// Figures for metrics and logs.
struct cell_counters {
    std::uint64_t lentJobs = 0;
    std::uint64_t starts = 0;
    std::uint64_t completedJobs = 0;
    std::uint64_t failedJobs = 0;
    std::uint64_t cancelledJobs = 0;
    std::uint64_t lostRuns = 0;
    std::array<std::uint64_t, orderFailureCount> startFailures {};
};

class neighbor_cells;

/// Every method may be called from any thread.
class cell_owner {
public:
    /// Store, link and clock outlive the owner.
    cell_owner(jobs::record_store& store, worker_link& link, const clock_source& clock, jobs::record_stream stream,
        cell_settings settings);
    ~cell_owner();

    cell_owner(const cell_owner&) = delete;
    cell_owner& operator=(const cell_owner&) = delete;

    /// Begins a term: supersedes earlier owners at the store, replays the records, and takes the workers over.
    void takeOver(const ownership_term& term);
    /// Ends the term: no further order is given and nothing is written.
    void stepDown();
    /// Gives no orders and extends no lease until `resume`, since another VM may own the cell by now.
    void pause();
    void resume();

    /// Cells that may run jobs for this one; none by default. Not called any more once
    /// the owner is destroyed.
    void setNeighbors(neighbor_cells& neighbors);

    /// Jobs that this cell runs for another one; nothing while it does not know all its runs. From then on, requests
    /// of earlier terms of that cell are not taken.
    std::optional<std::vector<std::string>> jobsLentBy(jobs::lender home);

    /// Calls `lost` when the store or a worker has seen a higher epoch.
    void onSuperseded(std::function<void()> lost);

    /// Workers of the cell; the list is whole.
    void setWorkers(std::vector<worker_registration> workers);
    void updateWorker(worker_registration worker);
    void removeWorker(const worker_id& id);

    /// Carries out what is due. Called every few tens of milliseconds.
    void tick();

    /// Runs a job that is not stored. Completes with its final state, with `claim_unavailable` when this VM does
    /// not own the cell, with `owner_unknown` when the term ends before, with
    /// `overloaded` when no task could start in time, and with `deadline_passed_while_running`.
    void run(jobs::run_request request, job_completion done);

    /// Like `state`, but waits a moment for the end of a job of which every task is placed.
    void awaitState(const std::string& jobId, job_completion done);
    /// State of a job, `job_unknown`, or `owner_unknown` while the records are not replayed.
    result<jobs::job_state> state(const std::string& jobId) const;
    bool isServing() const;

    cell_load load() const;
    cell_counters counterValues() const;

private:
    struct data;
    std::shared_ptr<data> m_data;
};

} // namespace coriandermount::cells
