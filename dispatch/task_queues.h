/// Waiting tasks: weighted fair among plans, earliest deadline first inside a plan.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "admission/plan_limits.h"
#include "core/types.h"
#include "placement/worker_pool.h"

namespace coriandermount::dispatch {

/// Tasks that the same workers can run and that are of the same class.
struct queue_lane {
    placement::need_index need {};
    bool isLong = false;

    friend bool operator==(const queue_lane&, const queue_lane&) = default;
};

/// Tasks of one job that wait in one lane.
struct queue_entry {
    time_point deadline;
    job_serial serial {};
    /// Number of the job's part that waits in this lane.
    std::uint32_t part = 0;
};

/// The entry that is to be served next.
struct queue_head {
    admission::plan_index plan {};
    queue_lane lane;
    queue_entry entry;
};

/// Orders waiting tasks. Entries of jobs that have ended stay until they are met; the number of live tasks is told apart.
class task_queues {
public:
    task_queues();
    ~task_queues();

    task_queues(const task_queues&) = delete;
    task_queues& operator=(const task_queues&) = delete;

    /// Adds an entry with `tasks` live tasks.
    void push(admission::plan_index plan, double weight, queue_lane lane, const queue_entry& entry, std::uint32_t tasks);

    /// Adds tasks to an entry that still waits.
    void addTasks(admission::plan_index plan, queue_lane lane, std::uint32_t tasks);

    /// Lowers the number of live tasks; used when tasks start or are withdrawn.
    void withdraw(admission::plan_index plan, queue_lane lane, std::uint32_t tasks);

    /// Returns the entry to serve next among the lanes that `eligible` accepts. Plans with the least served work by weight
    /// go first, then the earliest deadline.
    std::optional<queue_head> next(const std::function<bool(queue_lane)>& eligible) const;

    /// Removes the first entry of a lane.
    void pop(admission::plan_index plan, queue_lane lane);

    /// Charges work to a plan; negative to correct an earlier charge.
    void charge(admission::plan_index plan, double slotSeconds);

    /// Leaves a plan's lane out of `next` until `unblock`.
    void block(admission::plan_index plan, queue_lane lane);
    void unblock(admission::plan_index plan);
    void unblockAll();

    std::size_t queued() const;
    std::uint32_t queued(admission::plan_index plan) const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::dispatch
