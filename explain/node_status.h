/// Status of one VM for operators.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "blackboard/blackboard.h"
#include "core/clock.h"
#include "event_log/fault_counter.h"
#include "explain/activity_history.h"

namespace coriandermount::explain {

/// Snapshot of a VM's status, for the status page and the command `top`.
struct node_status {
    vm_id vm;
    wall_time at {};
    bool ready = false;
    bool draining = false;
    /// Jobs without an answer.
    std::size_t openJobs = 0;
    std::uint64_t configurationVersion = 0;
    std::string configurationAuthor;
    /// Time since this VM adopted the version.
    std::chrono::milliseconds configurationAge { 0 };
    /// Memory of the journal.
    std::uint64_t journalBytes = 0;
    /// Events that were dropped before they were written to the log.
    std::uint64_t journalDropped = 0;
    /// `workers`, `fleet`, `demand` and `shares` must not be null when the status is encoded or rendered.
    std::shared_ptr<const worker_table> workers;
    std::shared_ptr<const fleet_view> fleet;
    std::shared_ptr<const quota::demand> demand;
    std::shared_ptr<const quota::share_snapshot> shares;
    /// Activity of the last five minutes, oldest second first.
    std::vector<activity_second> seconds;
    /// Faults of the last ten minutes on this VM.
    event_log::fault_counts faults;
};

/// Returns the status as JSON.
std::string encodeStatus(const node_status& status);

/// Returns the status as an HTML page with SVG charts.
std::string statusPage(const node_status& status);

} // namespace coriandermount::explain
