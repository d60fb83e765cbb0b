// Placement: chooses the waiting task to start next and its worker, and checks running leases.
#include <cmath>

#include <fmt/format.h>

#include "dispatch/engine_state.h"

namespace coriandermount::dispatch {

namespace {

    /// Time for which slots stay reserved for short tasks after the latest one was queued.
    constexpr std::chrono::seconds shortReserveDuration { 5 };
    /// Time between two checks of a lease.
    constexpr std::chrono::milliseconds leaseCheckInterval { 500 };
    /// Largest share of slots that predictions of waits assume to be occupied by long tasks.
    constexpr double maxLongShare = 0.9;
    /// Time constant of the mean number of short tasks that run concurrently.
    constexpr std::chrono::seconds shortTaskAverageWindow { 3 };
    /// Number of slots kept for short tasks above their mean, in standard deviations of a Poisson distribution.
    constexpr double shortTaskDeviations = 2.5;
    /// A long task whose latest start is closer than this may use slots that are kept for short tasks of its plan.
    constexpr std::chrono::milliseconds urgentStartMargin { 500 };
    /// Share of a plan's slots that its long tasks may always use.
    constexpr double minLongShare = 0.1;

} // namespace

planned_work engine::data::plannedWork(const open_job& job, const job_part& part, std::size_t tasks) const
{
    const double weight = limits.weightOf(job.plan);
    return { job.plan, weight, part.lane, part.latestStart, part.work * static_cast<double>(tasks) };
}

void engine::data::enqueue(open_job& job, std::uint16_t number, time_point now)
{
    job_part& part = job.parts[number];
    part.queued = true;
    if (!part.lane.isLong) {
        lastShortWork = now;
        hasSeenShortWork = true;
    }
    const auto tasks = static_cast<std::uint32_t>(part.waiting.size());
    queues.push(job.plan, limits.weightOf(job.plan), part.lane, { job.deadline, job.serial, number }, tasks);
    taskBacklog.add(plannedWork(job, part, tasks));
}

void engine::data::withdraw(open_job& job)
{
    for (auto& part : job.parts) {
        if (part.waiting.empty())
            continue;
        queues.withdraw(job.plan, part.lane, static_cast<std::uint32_t>(part.waiting.size()));
        taskBacklog.remove(plannedWork(job, part, part.waiting.size()));
        part.waiting.clear();
    }
}

bool engine::data::isShortReserveActive(time_point now) const
{
    return hasSeenShortWork && now - lastShortWork < shortReserveDuration;
}

bool engine::data::mayTakeSlot(const queue_lane& lane, time_point now) const
{
    if (!pool.hasFreeSlot(lane.need))
        return false;
    if (!lane.isLong || !isShortReserveActive(now))
        return true;
    return runningLong + 1 <= (1 - options.shortWorkReserve) * pool.totalSlots();
}

bool engine::data::mayStartLong(admission::plan_index plan, const job_part& part, time_point now)
{
    if (now >= part.latestStart - urgentStartMargin)
        return true;
    const plan_activity& activity = activityOf(plan);
    return !isShortReserveActive(now) || activity.runningLong == 0 || activity.runningLong + 1 <= activity.longSlots;
}

void engine::data::placeQueued(time_point now)
{
    // The lease of the shares may have expired while this VM was paused.
    if (now >= shareLeaseEnd)
        return;
    const auto eligible = [this, now](const queue_lane& lane) { return mayTakeSlot(lane, now); };
    while (const auto head = queues.next(eligible)) {
        if (!placeFrom(*head, now))
            queues.block(head->plan, head->lane);
    }
}

bool engine::data::placeFrom(const queue_head& head, time_point now)
{
    open_job* job = jobs.find(head.entry.serial);
    if (!job || job->answered || job->parts[head.entry.part].waiting.empty()) {
        queues.pop(head.plan, head.lane);
        return true;
    }
    job_part& part = job->parts[head.entry.part];
    if (failIfDeadlineUnreachable(*job, part, now))
        return true;
    const std::uint32_t index = part.waiting.back();
    if (part.lane.isLong && !mayStartLong(job->plan, part, now))
        return false;
    if (limits.reachedLimit(job->plan, job->request->tasks[index]))
        return false;
    const task_progress& progress = job->progress[index];
    std::optional<placement::worker_index> worker;
    if (progress.attempts > 0)
        worker = pool.chooseExcluding(head.lane.need, progress.worker);
    if (!worker)
        worker = pool.choose(head.lane.need);
    if (!worker)
        return false;
    start(*job, part, *worker, now);
    return true;
}

bool engine::data::failIfDeadlineUnreachable(open_job& job, const job_part& part, time_point now)
{
    // A job with started tasks is failed only if 90 % of such tasks are too slow; for a job without, 50 % suffice.
    const auto& expected = runTimes.predict(part.group);
    const bool begun = job.started > 0;
    const auto needed = begun ? expected.p10 : expected.median;
    if (now + needed <= job.deadline)
        return false;
    failJob(job,
        { begun ? error_kind::deadline_passed_while_running : error_kind::deadline_passed_before_start,
            fmt::format("{} ms are left until the deadline, {} such tasks run longer than {} ms",
                inMicroseconds(job.deadline - now).count() / 1000, begun ? "90 % of" : "50 % of", needed.count() / 1000),
            std::nullopt });
    eraseIfIdle(job.serial);
    return true;
}

void engine::data::start(open_job& job, job_part& part, placement::worker_index worker, time_point now)
{
    const std::uint32_t index = part.waiting.back();
    const task_spec& task = job.request->tasks[index];
    part.waiting.pop_back();
    if (part.waiting.empty()) {
        queues.pop(job.plan, part.lane);
        part.queued = false;
    }
    queues.withdraw(job.plan, part.lane, 1);
    queues.charge(job.plan, part.work);
    taskBacklog.remove(plannedWork(job, part, 1));
    limits.take(job.plan, task);
    pool.take(worker, task);

    task_progress& progress = job.progress[index];
    ++progress.attempts;
    progress.worker = worker;
    task_report& report = job.reports[index];
    report.state = task_state::running;
    report.worker = pool.infoOf(worker)->id;
    report.queued = inMicroseconds(now - job.arrivedAt);
    ++job.running;
    if (!progress.mayHaveRun)
        ++job.started;

    const lease_id id { nextLease++ };
    granted_lease lease { job.serial, index, job.request, job.plan, worker, part.group, now, part.work, part.lane.isLong, false,
        progress.mayHaveRun };
    auto duration = std::chrono::duration_cast<std::chrono::milliseconds>(job.deadline - now);
    if (const auto limit = limits.maxRunTimeOf(job.plan); limit && *limit < duration) {
        duration = *limit;
        lease.limitedByPlan = true;
    }
    if (lease.isLong)
        adjustLongTasks(lease.plan, 1);
    leases.emplace(id, std::move(lease));
    leasesOfWorker[static_cast<std::size_t>(worker)].push_back(id);
    leaseChecks.add(now + options.health.hungAfter, id);
    recordTaskEvent(event_log::event_kind::task_placed, *job.request, index, report.worker.value, report.queued, std::nullopt);
    pendingActions.emplace_back(start_task { id, job.serial, index, job.epoch, job.request, pool.infoOf(worker), duration });
}

void engine::data::checkLeases(time_point now)
{
    while (leaseChecks.isDue(now)) {
        const lease_id id = leaseChecks.take();
        const auto found = leases.find(id);
        if (found == leases.end())
            continue;
        checkLease(id, found->second, now);
        leaseChecks.add(now + leaseCheckInterval, id);
    }
}

void engine::data::checkLease(lease_id, granted_lease& lease, time_point now)
{
    if (!lease.isLong && now - lease.startedAt >= options.runTimes.longWork) {
        lease.isLong = true;
        adjustLongTasks(lease.plan, 1);
        count(metrics::decision_counter::task_turned_long);
    }
    const auto& ofWorker = leasesOfWorker[static_cast<std::size_t>(lease.worker)];
    time_point since = now;
    for (const lease_id id : ofWorker)
        since = std::min(since, leases.at(id).startedAt);
    since = std::max(since, health.lastAnswer(lease.worker));
    const auto silence = inMicroseconds(now - since);
    double likelihood = 1;
    for (const lease_id id : ofWorker) {
        const granted_lease& other = leases.at(id);
        const auto elapsed = inMicroseconds(now - other.startedAt);
        const auto before = std::max(std::chrono::microseconds(0), elapsed - silence);
        likelihood *= runTimes.survivalProbability(other.group, elapsed) / runTimes.survivalProbability(other.group, before);
    }
    health.onUnresponsive(lease.worker, std::chrono::duration_cast<std::chrono::milliseconds>(silence), likelihood, now);
}

double engine::data::slotsForShortWork() const
{
    // A slot that is occupied by a long task becomes free too rarely to be counted.
    const double slots = pool.totalSlots();
    return std::max(slots - runningLong, slots * (1 - maxLongShare));
}

void engine::data::adjustLongTasks(admission::plan_index plan, int change)
{
    runningLong += static_cast<std::uint32_t>(change);
    activityOf(plan).runningLong += static_cast<std::uint32_t>(change);
}

plan_activity& engine::data::activityOf(admission::plan_index plan)
{
    const auto number = static_cast<std::size_t>(plan);
    if (number >= activities.size())
        activities.resize(number + 1);
    return activities[number];
}

admission::slot_demand engine::data::demandOf(admission::plan_index plan) const
{
    return { static_cast<double>(limits.weightOf(plan)), static_cast<double>(limits.runningTasks(plan) + queues.queued(plan)) };
}

admission::slot_demand engine::data::shortDemandOf(admission::plan_index plan)
{
    admission::slot_demand demand = demandOf(plan);
    demand.slots -= activityOf(plan).runningLong;
    return demand;
}

void engine::data::updateSlotShares(time_point now)
{
    std::vector<admission::slot_demand> all;
    std::vector<admission::slot_demand> ofShortWork;
    for (std::uint32_t number = 0; number < limits.plans(); ++number) {
        const admission::plan_index plan { number };
        if (demandOf(plan).slots > 0)
            all.push_back(demandOf(plan));
        if (shortDemandOf(plan).slots > 0)
            ofShortWork.push_back(shortDemandOf(plan));
    }
    taskBacklog.divide(slotsForShortWork(), std::move(ofShortWork));
    admission::fair_slot_shares slotShares;
    slotShares.divide(pool.totalSlots(), std::move(all));
    for (std::uint32_t number = 0; number < limits.plans(); ++number) {
        limitLongWork(admission::plan_index { number }, slotShares, now);
        updateStandingQueue(admission::plan_index { number }, now);
    }
    slotsDividedAt = now;
    queues.unblockAll();
}

void engine::data::limitLongWork(admission::plan_index plan, const admission::fair_slot_shares& slotShares, time_point now)
{
    plan_activity& activity = activityOf(plan);
    const double runningShort = limits.runningTasks(plan) - activity.runningLong;
    const std::chrono::duration<double> passed = now - slotsDividedAt;
    const double decay = std::exp(-passed / std::chrono::duration<double>(shortTaskAverageWindow));
    activity.averageShortTasks = activity.averageShortTasks * decay + runningShort * (1 - decay);
    const double needed = activity.averageShortTasks + shortTaskDeviations * std::sqrt(activity.averageShortTasks);
    const double slots = slotShares.slotsFor(demandOf(plan));
    activity.longSlots = std::max(slots - needed, slots * minLongShare);
}

void engine::data::updateStandingQueue(admission::plan_index plan, time_point now)
{
    time_point& since = activityOf(plan).standingQueueSince;
    const double slots = taskBacklog.slotsOf(shortDemandOf(plan));
    const double bound = std::chrono::duration<double>(options.standingQueueTarget).count();
    if (slots <= 0 || taskBacklog.queuedWork(plan) / slots <= bound)
        since = {};
    else if (since == time_point {})
        since = now;
}

} // namespace coriandermount::dispatch
