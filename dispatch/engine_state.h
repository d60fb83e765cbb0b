/// Internal state of the engine. Included only by the source files that implement the engine.
#pragma once

#include <random>
#include <unordered_map>
#include <vector>

#include "dispatch/backlog.h"
#include "dispatch/engine.h"
#include "dispatch/job_table.h"
#include "dispatch/task_queues.h"
#include "dispatch/timer_heap.h"

namespace coriandermount::dispatch {

/// A start whose end has not been reported.
struct granted_lease {
    job_serial serial {};
    std::uint32_t index = 0;
    std::shared_ptr<const job_request> request;
    admission::plan_index plan {};
    placement::worker_index worker {};
    placement::run_time_group group {};
    time_point startedAt;
    /// Expected work that was charged to the plan in advance.
    admission::slot_seconds charged = 0;
    bool isLong = false;
    /// True if the run time limit of the plan ends the lease before the deadline of the job.
    bool limitedByPlan = false;
    /// True if an earlier start of the task may have run. Proof that this start did not run then does not show that the task
    /// did not run.
    bool mayHaveRunBefore = false;

    const task_spec& task() const { return request->tasks[index]; }
};

/// Recent load of one plan.
struct plan_activity {
    /// Number of tasks that arrived in the current arrival window, and in the previous one.
    std::uint32_t arrivals = 0;
    std::uint32_t previousArrivals = 0;
    /// Time since which the queueing delay of the plan has been above the target. Default-constructed while the delay is not
    /// above the target.
    time_point standingQueueSince;
    std::uint32_t runningLong = 0;
    /// Exponentially weighted mean of the number of short tasks that run concurrently.
    double averageShortTasks = 0;
    /// Number of slots that long tasks of the plan may use.
    double longSlots = 0;
};

struct engine::data {
    explicit data(const engine_options& givenOptions);

    engine_options options;
    std::mt19937_64 random;
    job_table jobs;
    task_queues queues;
    backlog taskBacklog;
    admission::plan_limits limits;
    admission::retry_budget retries;
    placement::worker_pool pool;
    placement::run_times runTimes;
    placement::worker_health health;
    placement::task_quarantine quarantine;
    std::unordered_map<lease_id, granted_lease> leases;
    /// Leases of each worker, indexed by `worker_index`.
    std::vector<std::vector<lease_id>> leasesOfWorker;
    timer_heap<job_serial> deadlines;
    timer_heap<lease_id> leaseChecks;
    std::uint64_t nextLease = 1;
    std::uint32_t runningLong = 0;
    time_point lastShortWork {};
    bool hasSeenShortWork = false;
    bool draining = false;
    /// Load of each plan, indexed by `plan_index`.
    std::vector<plan_activity> activities;
    time_point arrivalWindowStart {};
    time_point slotsDividedAt {};
    time_point lastDemand {};
    bool demandReported = false;
    /// Number of the share snapshot in force, and the time at which its lease ends.
    std::uint64_t shareNumber = 0;
    time_point shareLeaseEnd = time_point::max();
    std::uint64_t reportedShares = 0;
    bool reportedQueuedTasks = false;
    actions pendingActions;

    // Events.
    void on(const job_submitted& input, time_point now);
    void on(const task_ended& input, time_point now);
    void on(const cancel_requested& input, time_point now);
    void on(const workers_changed& input, time_point now);
    void on(const configuration_changed& input, time_point now);
    void on(const shares_changed& input, time_point now);
    void on(const drain_requested& input, time_point now);
    void on(const timer_ticked& input, time_point now);

    // Admission.
    result<open_job> evaluateAdmission(const job_submitted& input, time_point now);
    std::optional<error> unschedulableReason(const job_request& job) const;
    std::optional<error> checkQuarantine(const job_request& job, time_point now) const;
    std::optional<error> queueOverflow(const open_job& job);
    void divideIntoParts(open_job& job, time_point now);
    std::optional<error> predictDeadlineMiss(const open_job& job, time_point now);
    std::optional<error> predictDeadlineMissOfPart(const open_job& job, const job_part& part, time_point now);
    std::optional<error> refuseForStandingQueue(const open_job& job, const job_part& part, double slots, time_point now) const;
    double laneSlots(const queue_lane& lane, time_point now) const;
    void admit(open_job job, time_point now);
    void refuse(const job_submitted& input, error problem, time_point now);
    std::chrono::milliseconds jittered(std::chrono::milliseconds wait);

    // Placement.
    void placeQueued(time_point now);
    bool mayTakeSlot(const queue_lane& lane, time_point now) const;
    bool isShortReserveActive(time_point now) const;
    bool mayStartLong(admission::plan_index plan, const job_part& part, time_point now);
    bool placeFrom(const queue_head& head, time_point now);
    bool failIfDeadlineUnreachable(open_job& job, const job_part& part, time_point now);
    void start(open_job& job, job_part& part, placement::worker_index worker, time_point now);
    void enqueue(open_job& job, std::uint16_t part, time_point now);
    void withdraw(open_job& job);
    planned_work plannedWork(const open_job& job, const job_part& part, std::size_t tasks) const;

    // Answers.
    granted_lease releaseLease(lease_id id, time_point now);
    void updateStatistics(const granted_lease& lease, const open_job* job, const task_ended& input, time_point now);
    void updateFailureStatistics(const granted_lease& lease, const open_job* job, error_kind kind, time_point now);
    void endTask(const granted_lease& lease, open_job& job, const task_ended& input, time_point now);
    bool mayRetry(const granted_lease& lease, const open_job& job, error_kind kind, time_point now);
    void retry(const granted_lease& lease, open_job& job, error_kind kind, time_point now);
    void failJob(open_job& job, error problem);
    void answerJob(open_job& job, outcome result, std::optional<error> problem);
    void stopRunning(const open_job& job);
    void eraseIfIdle(job_serial serial);

    // Timers.
    void expireDeadlines(time_point now);
    void checkLeases(time_point now);
    void checkLease(lease_id id, granted_lease& lease, time_point now);
    void applyHealthChanges(time_point now);
    void updateSlotShares(time_point now);
    void updateStandingQueue(admission::plan_index plan, time_point now);
    void limitLongWork(admission::plan_index plan, const admission::fair_slot_shares& slotShares, time_point now);
    admission::slot_demand demandOf(admission::plan_index plan) const;
    admission::slot_demand shortDemandOf(admission::plan_index plan);
    double slotsForShortWork() const;
    void adjustLongTasks(admission::plan_index plan, int change);
    plan_activity& activityOf(admission::plan_index plan);
    bool demandIsUrgent() const;
    void reportDemand(time_point now);
    quota::demand currentDemand() const;

    // Journal.
    event_log::event& addJournalEntry(event_log::event_kind kind, const job_request* job);
    void recordTaskEvent(event_log::event_kind kind, const job_request& job, std::uint32_t index, std::string subject,
        std::chrono::microseconds elapsed, std::optional<error_kind> problem);
    void recordHealthChange(const placement::condition_change& change, placement::worker_condition before);
    void count(metrics::decision_counter counter) { pendingActions.emplace_back(count_decision { counter }); }
};

inline std::chrono::microseconds inMicroseconds(time_point::duration value)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(value);
}

} // namespace coriandermount::dispatch
