/// Shares of plans and workers that this VM may use, and the demand that they are leased by.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

#include "core/types.h"
#include "core/worker.h"

namespace coriandermount::quota {

/// Part of a plan's limits that this VM may use; 0 in the plan's limits means no limit and is not listed here.
struct plan_share {
    std::uint32_t concurrentTasks = 0;
    std::uint32_t tasksPerSecond = 0;
    std::uint32_t accelerators = 0;
    std::uint32_t memoryMegabytes = 0;

    friend bool operator==(const plan_share&, const plan_share&) = default;
};

/// Everything that this VM holds at present.
struct share_snapshot {
    /// Configuration that the shares were cut from.
    std::uint64_t configurationVersion = 0;
    std::map<plan_id, plan_share> plans;
    /// Slots per worker that this VM may use; a worker that is not listed may not be used.
    std::map<worker_id, std::uint32_t> slots;
    /// Workers of other domains among `slots`.
    std::vector<worker_info> foreignWorkers;
    /// Grows with every snapshot of this VM.
    std::uint64_t number = 0;
    /// From then on nothing of this may be used, unless a newer snapshot has come.
    time_point validUntil = time_point::max();
};

/// What this VM's engine has running and waiting for one plan.
struct plan_demand {
    std::uint32_t runningTasks = 0;
    std::uint32_t queuedTasks = 0;
    /// Used by running tasks.
    std::uint32_t accelerators = 0;
    std::uint32_t memoryMegabytes = 0;
    /// Of running and queued tasks together.
    std::uint32_t demandedAccelerators = 0;
    std::uint32_t demandedMemoryMegabytes = 0;
    /// Task arrivals over the last second.
    std::uint32_t tasksPerSecond = 0;
};

/// Demand of the engine of one VM.
struct demand {
    std::map<plan_id, plan_demand> plans;
    /// Slots in use per worker.
    std::map<worker_id, std::uint32_t> usedSlots;
    std::uint32_t queuedTasks = 0;
    std::uint32_t runningTasks = 0;
    /// Number of the share snapshot that was in force when the demand was taken.
    std::uint64_t shareNumber = 0;
};

} // namespace coriandermount::quota
