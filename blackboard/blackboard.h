/// State that controllers publish and the request path reads.
#pragma once

#include <atomic>

#include "configuration/configuration.h"
#include "core/fleet_view.h"
#include "core/rcu_value.h"
#include "core/worker.h"
#include "quota/shares.h"

namespace coriandermount {

/// Shared state of one VM (blackboard pattern). Controllers publish immutable snapshots, each of which replaces the previous
/// one as a whole. Readers never block. All members may be used from any thread.
struct blackboard {
    rcu_value<worker_table> workers;
    rcu_value<configuration::snapshot> configuration;
    rcu_value<fleet_view> fleet;
    rcu_value<quota::share_snapshot> shares;
    /// Demand of this VM. Published by the dispatcher when the engine reports it.
    rcu_value<quota::demand> demand;
    /// True once this VM refuses new jobs.
    std::atomic<bool> draining { false };
    /// True once the VM has received the state that it needs to serve requests.
    std::atomic<bool> ready { false };
};

} // namespace coriandermount
