/// Free slots of all workers, indexed by what a task needs.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "core/job.h"
#include "core/worker.h"

namespace coriandermount::placement {

/// Number of a worker in the pool; valid while the worker is listed or has tasks.
enum class worker_index : std::uint32_t {};

/// Number of an interned combination of service, memory and accelerators.
enum class need_index : std::uint32_t {};

/// How far a worker is trusted with new tasks.
enum class worker_condition {
    healthy,
    /// Chosen only when no sound worker has a free slot.
    avoided,
    /// May run one task at a time.
    probing,
    /// Gets nothing.
    ejected,
};

/// Keeps workers with free slots in buckets, so that a choice takes the same time for any number of workers.
class worker_pool {
public:
    explicit worker_pool(std::uint64_t seed);
    ~worker_pool();

    worker_pool(const worker_pool&) = delete;
    worker_pool& operator=(const worker_pool&) = delete;

    /// Replaces the list of workers; one that is not listed any more gets nothing new. Returns the numbers of workers that
    /// were not known before.
    std::vector<worker_index> update(const worker_table& table);

    /// Limits the slots per worker to those leased to this VM; a worker that is not named gets nothing.
    void applyShares(const std::map<worker_id, std::uint32_t>& slots);

    /// Returns the number under which workers for such a task are indexed.
    need_index needOf(const task_spec& task);

    /// Says why no listed worker could ever run such a task, or nothing.
    std::optional<error> unschedulableReason(const task_spec& task) const;

    bool hasFreeSlot(need_index need) const;

    /// Chooses a worker with the most free slots; among equals one whose rack is less loaded.
    std::optional<worker_index> choose(need_index need);

    /// Chooses like `choose`, but never `excluded`.
    std::optional<worker_index> chooseExcluding(need_index need, worker_index excluded);

    void take(worker_index worker, const task_spec& task);
    void release(worker_index worker, const task_spec& task);

    void setCondition(worker_index worker, worker_condition condition);
    worker_condition conditionOf(worker_index worker) const;

    /// Slots on workers that may get tasks with this need, used or not.
    std::uint32_t capacity(need_index need) const;

    /// Numbers of workers that were ever used are below this.
    std::size_t indexLimit() const;

    /// Slots on all workers that may get tasks, used or not.
    std::uint32_t totalSlots() const;

    std::uint32_t usedSlots(worker_index worker) const;
    const std::shared_ptr<const worker_info>& infoOf(worker_index worker) const;
    bool isListed(worker_index worker) const;
    std::optional<worker_index> find(const worker_id& id) const;
    std::size_t listedWorkers() const;

    /// Slots in use per worker; walks over all workers.
    std::map<worker_id, std::uint32_t> usedSlotsByWorker() const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::placement
