/// Index of the free slots of all workers by the requirements of a task.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "core/job.h"
#include "core/worker.h"

namespace coriandermount::placement {

/// Index of a worker in the pool; valid while the worker is listed or runs tasks, reused afterwards.
enum class worker_index : std::uint32_t {};

/// Index of a combination of required service, memory and accelerators.
enum class need_index : std::uint32_t {};

/// Health state of a worker, which decides on new tasks for it.
enum class worker_condition {
    /// Gets tasks without restriction.
    healthy,
    /// Chosen only when no healthy or probing worker has a free slot.
    avoided,
    /// Runs one task at a time, to find out whether it has recovered.
    probing,
    /// Gets no tasks.
    ejected,
};

/// Chooses workers for tasks. Workers are kept in buckets by free slots, so that a choice takes constant time.
class worker_pool {
public:
    /// `seed` starts the random numbers that break ties between workers.
    explicit worker_pool(std::uint64_t seed);
    ~worker_pool();

    worker_pool(const worker_pool&) = delete;
    worker_pool& operator=(const worker_pool&) = delete;

    /// Replaces the list of workers; workers that are no longer listed get no new tasks. Returns the indexes of workers that
    /// were not in the pool before.
    std::vector<worker_index> update(const worker_table& table);

    /// Limits the slots per worker to those leased to this VM; workers without an entry get no new tasks.
    void applyLeasedSlots(const std::map<worker_id, std::uint32_t>& slots);

    /// Returns the index of the task's requirements; creates the index on first use.
    need_index needOf(const task_spec& task);

    /// Returns the error that explains why no listed worker can ever run such a task, or nothing if one can. Errors are
    /// `no_worker`, `no_such_service` and `task_too_large`.
    std::optional<error> unschedulableReason(const task_spec& task) const;

    /// Returns whether a worker that may get tasks has a free slot for this need.
    bool hasFreeSlot(need_index need) const;

    /// Draws two of the workers with the most free slots and returns the one whose rack runs fewer tasks; nothing if no worker
    /// has a free slot. Avoided workers are considered only when there are no others.
    std::optional<worker_index> choose(need_index need);

    /// Works like `choose`, but never returns `excluded`.
    std::optional<worker_index> chooseExcluding(need_index need, worker_index excluded);

    /// Reserves a slot, memory and accelerators for a task that is placed on the worker.
    void take(worker_index worker, const task_spec& task);
    /// Frees what `take` reserved for the task.
    void release(worker_index worker, const task_spec& task);

    void setCondition(worker_index worker, worker_condition condition);
    worker_condition conditionOf(worker_index worker) const;

    /// Returns the number of slots, free or in use, on workers that may get tasks with this need.
    std::uint32_t capacity(need_index need) const;

    /// Returns a bound that is larger than every worker index in use.
    std::size_t indexLimit() const;

    /// Returns the number of slots, free or in use, on all workers that may get tasks.
    std::uint32_t totalSlots() const;

    std::uint32_t usedSlots(worker_index worker) const;
    const std::shared_ptr<const worker_info>& infoOf(worker_index worker) const;
    bool isListed(worker_index worker) const;
    std::optional<worker_index> find(const worker_id& id) const;
    std::size_t listedWorkers() const;

    /// Returns the slots in use on each worker that runs tasks; takes time proportional to the number of workers.
    std::map<worker_id, std::uint32_t> usedSlotsByWorker() const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::placement
