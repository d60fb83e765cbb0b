/// State of one VM as operators see it.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "blackboard/blackboard.h"
#include "core/clock.h"
#include "event_log/fault_counter.h"
#include "explain/activity_history.h"

namespace coriandermount::explain {

/// One snapshot for the status page, `top` and the gauges.
struct node_status {
    vm_id vm;
    wall_time at {};
    bool ready = false;
    bool draining = false;
    std::size_t openJobs = 0;
    std::uint64_t configurationVersion = 0;
    std::string configurationAuthor;
    std::chrono::milliseconds configurationAge { 0 };
    std::uint64_t journalBytes = 0;
    std::uint64_t journalDropped = 0;
    std::shared_ptr<const worker_table> workers;
    std::shared_ptr<const fleet_view> fleet;
    std::shared_ptr<const quota::demand> demand;
    std::shared_ptr<const quota::share_snapshot> shares;
    std::vector<activity_second> seconds;
    /// Faults of the last ten minutes on this VM.
    event_log::fault_counts faults;
};

/// Returns the status as JSON.
std::string encodeStatus(const node_status& status);

/// Returns the status as an HTML page with SVG charts.
std::string statusPage(const node_status& status);

} // namespace coriandermount::explain
