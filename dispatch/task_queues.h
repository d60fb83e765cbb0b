/// Queues of waiting tasks: weighted fair queueing among plans, earliest deadline first within a plan.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "admission/plan_limits.h"
#include "core/types.h"
#include "placement/worker_pool.h"

namespace coriandermount::dispatch {

/// Class of waiting tasks that need the same kind of worker and are either all short or all long.
struct queue_lane {
    placement::need_index need {};
    bool isLong = false;

    friend bool operator==(const queue_lane&, const queue_lane&) = default;
};

/// Tasks of one job that wait in the same lane.
struct queue_entry {
    time_point deadline;
    job_serial serial {};
    /// Index of the `job_part` that waits in this lane.
    std::uint32_t part = 0;
};

/// The entry to serve next.
struct queue_head {
    admission::plan_index plan {};
    queue_lane lane;
    queue_entry entry;
};

/// Orders waiting tasks. An entry of a job that has ended is deleted lazily, when it reaches the head of its lane. Live tasks
/// are therefore counted separately from entries.
class task_queues {
public:
    task_queues();
    ~task_queues();

    task_queues(const task_queues&) = delete;
    task_queues& operator=(const task_queues&) = delete;

    /// Adds an entry with `tasks` live tasks, and sets the weight of the plan.
    void push(admission::plan_index plan, double weight, queue_lane lane, const queue_entry& entry, std::uint32_t tasks);

    /// Adds live tasks to an entry that is already queued.
    void addTasks(admission::plan_index plan, queue_lane lane, std::uint32_t tasks);

    /// Subtracts live tasks that were started or withdrawn. An entry without live tasks is removed by `pop`, or with the last
    /// live task of its lane.
    void withdraw(admission::plan_index plan, queue_lane lane, std::uint32_t tasks);

    /// Returns the entry to serve next among the lanes that `eligible` accepts, or nothing if no such lane has a live, unblocked
    /// task. Chooses the plan with the least served work relative to its weight, then the earliest deadline.
    std::optional<queue_head> next(const std::function<bool(queue_lane)>& eligible) const;

    /// Removes the plan's first entry in a lane.
    void pop(admission::plan_index plan, queue_lane lane);

    /// Charges served work to a plan. A negative value corrects an earlier charge.
    void charge(admission::plan_index plan, double slotSeconds);

    /// Excludes a plan's lane from `next` until `unblock` or `unblockAll` is called.
    void block(admission::plan_index plan, queue_lane lane);
    void unblock(admission::plan_index plan);
    void unblockAll();

    /// Returns the number of live tasks, in total or of one plan.
    std::size_t queued() const;
    std::uint32_t queued(admission::plan_index plan) const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::dispatch
