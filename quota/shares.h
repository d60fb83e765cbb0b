/// Shares of plan limits and worker slots that this VM may use, and the demand by which they are leased.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

#include "core/types.h"
#include "core/worker.h"

namespace coriandermount::quota {

/// This VM's share of the limits of a plan. A limit of 0 in the plan means unlimited; no share of it is leased.
struct plan_share {
    std::uint32_t concurrentTasks = 0;
    std::uint32_t tasksPerSecond = 0;
    std::uint32_t accelerators = 0;
    std::uint32_t memoryMegabytes = 0;

    friend bool operator==(const plan_share&, const plan_share&) = default;
};

/// Holds all shares that this VM may use at a point in time.
struct share_snapshot {
    /// Version of the configuration that the limits were taken from.
    std::uint64_t configurationVersion = 0;
    std::map<plan_id, plan_share> plans;
    /// Slots per worker that this VM may use; workers that are not listed must not be used.
    std::map<worker_id, std::uint32_t> slots;
    /// Workers of other failure domains among `slots`.
    std::vector<worker_info> foreignWorkers;
    /// Increases with every snapshot that this VM publishes.
    std::uint64_t number = 0;
    /// Expiry of the lease; from then on none of the shares may be used unless a newer snapshot has been published.
    time_point validUntil = time_point::max();
};

/// Running and queued tasks of one plan in this VM's engine.
struct plan_demand {
    std::uint32_t runningTasks = 0;
    std::uint32_t queuedTasks = 0;
    /// Accelerators and memory used by running tasks.
    std::uint32_t accelerators = 0;
    std::uint32_t memoryMegabytes = 0;
    /// Accelerators and memory of running and queued tasks together.
    std::uint32_t demandedAccelerators = 0;
    std::uint32_t demandedMemoryMegabytes = 0;
    /// Tasks that arrived within the last second.
    std::uint32_t tasksPerSecond = 0;
};

/// Demand of this VM's engine.
struct demand {
    std::map<plan_id, plan_demand> plans;
    /// Slots in use per worker.
    std::map<worker_id, std::uint32_t> usedSlots;
    std::uint32_t queuedTasks = 0;
    std::uint32_t runningTasks = 0;
    /// Number of the share snapshot that the engine had applied when it reported the demand.
    std::uint64_t shareNumber = 0;
};

} // namespace coriandermount::quota
