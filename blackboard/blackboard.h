/// Snapshots that controllers publish and the request path reads.
#pragma once

#include <atomic>

#include "configuration/configuration.h"
#include "core/fleet_view.h"
#include "core/rcu_value.h"
#include "core/worker.h"
#include "quota/shares.h"

namespace coriandermount {

/// Shared state of one VM. Controllers replace whole snapshots; readers never block.
struct blackboard {
    rcu_value<worker_table> workers;
    rcu_value<configuration::snapshot> configuration;
    rcu_value<fleet_view> fleet;
    rcu_value<quota::share_snapshot> shares;
    /// Published by the dispatcher from the engine's reports.
    rcu_value<quota::demand> demand;
    /// Set once this VM takes no new work.
    std::atomic<bool> draining { false };
    /// Set once the VM has learned enough to serve.
    std::atomic<bool> ready { false };
};

} // namespace coriandermount
