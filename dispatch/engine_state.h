/// State of the engine; only for the parts that make up the engine.
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

/// One start that has not been answered.
struct granted_lease {
    job_serial serial {};
    std::uint32_t index = 0;
    std::shared_ptr<const job_request> request;
    admission::plan_index plan {};
    placement::worker_index worker {};
    placement::run_time_group group {};
    time_point startedAt;
    /// Work that was charged to the plan.
    admission::slot_seconds charged = 0;
    bool isLong = false;
    /// The lease ends with the plan's run time limit, before the job's deadline.
    bool cutByPlan = false;
    /// The start may have run before, so that a proof about this one says nothing about the task.
    bool mayHaveRunBefore = false;

    const task_spec& task() const { return request->tasks[index]; }
};

/// What one plan does at present.
struct plan_activity {
    /// Tasks that arrived in the current and in the previous window.
    std::uint32_t arrivals = 0;
    std::uint32_t previousArrivals = 0;
    /// Since when the plan's wait is above the bound; the epoch while it isn't.
    time_point waitsLongSince;
    std::uint32_t runningLong = 0;
    /// Mean number of short tasks that lately ran at once.
    double usualShort = 0;
    /// Slots that long work of the plan may take.
    double longSlots = 0;
};

struct engine::data {
    explicit data(const engine_options& given);

    engine_options options;
    std::mt19937_64 random;
    job_table jobs;
    task_queues queues;
    backlog waiting;
    admission::plan_limits limits;
    admission::retry_budget retries;
    placement::worker_pool pool;
    placement::run_times runTimes;
    placement::worker_health health;
    placement::task_quarantine quarantine;
    std::unordered_map<lease_id, granted_lease> leases;
    /// By number of the worker: its leases.
    std::vector<std::vector<lease_id>> leasesOfWorker;
    timer_heap<job_serial> deadlines;
    timer_heap<lease_id> watches;
    std::uint64_t nextLease = 1;
    std::uint32_t runningLong = 0;
    time_point lastShortWork {};
    bool anyShortWork = false;
    bool draining = false;
    /// By number of the plan.
    std::vector<plan_activity> activities;
    time_point arrivalsSince {};
    time_point slotsDividedAt {};
    time_point lastDemand {};
    bool demandReported = false;
    /// Snapshot of shares in force, and when its lease ends.
    std::uint64_t shareNumber = 0;
    time_point sharesEnd = time_point::max();
    std::uint64_t reportedShares = 0;
    bool reportedWaiting = false;
    actions out;

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
    result<open_job> prepare(const job_submitted& input, time_point now);
    std::optional<error> impossibility(const job_request& job) const;
    std::optional<error> heldBack(const job_request& job, time_point now) const;
    std::optional<error> queueOverflow(const open_job& job);
    void divideIntoParts(open_job& job, time_point now);
    std::optional<error> lateness(const open_job& job, time_point now);
    std::optional<error> latenessOf(const open_job& job, const job_part& part, time_point now);
    std::optional<error> standingQueue(const open_job& job, const job_part& part, double slots, time_point now) const;
    double laneSlots(const lane& where, time_point now) const;
    void admit(open_job job, time_point now);
    void refuse(const job_submitted& input, error problem, time_point now);
    std::chrono::milliseconds jittered(std::chrono::milliseconds wait);

    // Placement.
    void placeQueued(time_point now);
    bool mayTakeSlot(const lane& where, time_point now) const;
    bool reserveApplies(time_point now) const;
    bool mayStartLong(admission::plan_index plan, const job_part& part, time_point now);
    bool placeFrom(const queue_head& head, time_point now);
    bool failIfHopeless(open_job& job, const job_part& part, time_point now);
    void start(open_job& job, job_part& part, placement::worker_index worker, time_point now);
    void enqueue(open_job& job, std::uint16_t part, time_point now);
    void withdraw(open_job& job);
    planned_work plannedWork(const open_job& job, const job_part& part, std::size_t tasks) const;

    // Answers.
    granted_lease releaseLease(lease_id id, time_point now);
    void learn(const granted_lease& lease, const open_job* job, const task_ended& input, time_point now);
    void learnFailure(const granted_lease& lease, const open_job* job, error_kind kind, time_point now);
    void endTask(const granted_lease& lease, open_job& job, const task_ended& input, time_point now);
    bool mayRetry(const granted_lease& lease, const open_job& job, error_kind kind, time_point now);
    void retry(const granted_lease& lease, open_job& job, error_kind kind, time_point now);
    void failJob(open_job& job, error problem);
    void answerJob(open_job& job, outcome result, std::optional<error> problem);
    void stopRunning(const open_job& job);
    void eraseIfIdle(job_serial serial);

    // Timers.
    void expireDeadlines(time_point now);
    void watchLeases(time_point now);
    void watchLease(lease_id id, granted_lease& lease, time_point now);
    void carryOutHealth(time_point now);
    void divideSlots(time_point now);
    void watchQueue(admission::plan_index plan, time_point now);
    void limitLongWork(admission::plan_index plan, const admission::fair_rates& rates, time_point now);
    admission::slot_demand demandOf(admission::plan_index plan) const;
    admission::slot_demand shortDemandOf(admission::plan_index plan);
    double freeSlots() const;
    void countLong(admission::plan_index plan, int change);
    plan_activity& activityOf(admission::plan_index plan);
    bool demandIsUrgent() const;
    void reportDemand(time_point now);
    quota::demand currentDemand() const;

    // Journal.
    event_log::event& note(event_log::event_kind kind, const job_request* job);
    void noteTask(event_log::event_kind kind, const job_request& job, std::uint32_t index, std::string subject,
        std::chrono::microseconds elapsed, std::optional<error_kind> problem);
    void noteHealth(const placement::condition_change& change, placement::worker_condition before);
    void count(metrics::decision_counter counter) { out.emplace_back(count_decision { counter }); }
};

inline std::chrono::microseconds inMicroseconds(time_point::duration value)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(value);
}

} // namespace coriandermount::dispatch
