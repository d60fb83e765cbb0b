// Placement: which waiting task starts on which worker.
#include <cmath>

#include <fmt/format.h>

#include "dispatch/engine_state.h"

namespace coriandermount::dispatch {

namespace {

    /// How long after the last short task slots are kept free for more.
    constexpr std::chrono::seconds reserveHolds { 5 };
    /// Time after a start at which its worker's silence is looked at, and between two looks.
    constexpr std::chrono::milliseconds watchInterval { 500 };
    /// Largest share of slots that is taken as held by long work when waits are predicted.
    constexpr double largestLongShare = 0.9;
    /// Time over which the number of short tasks that run at once is averaged.
    constexpr std::chrono::seconds usualShortWindow { 3 };
    /// Slots that are kept for short work above its mean, in standard deviations of a Poisson number.
    constexpr double usualDeviations = 2.5;
    /// Long work that has to start within this time may take the slots kept for its plan's short work.
    constexpr std::chrono::milliseconds urgentMargin { 500 };
    /// Share of a plan's slots that its long work may take in any case.
    constexpr double smallestLongShare = 0.1;

} // namespace

planned_work engine::data::plannedWork(const open_job& job, const job_part& part, std::size_t tasks) const
{
    const double weight = limits.weightOf(job.plan);
    return { job.plan, weight, part.where, part.latestStart, part.work * static_cast<double>(tasks) };
}

void engine::data::enqueue(open_job& job, std::uint16_t number, time_point now)
{
    job_part& part = job.parts[number];
    part.queued = true;
    if (!part.where.isLong) {
        lastShortWork = now;
        anyShortWork = true;
    }
    const auto tasks = static_cast<std::uint32_t>(part.waiting.size());
    queues.push(job.plan, limits.weightOf(job.plan), part.where, { job.deadline, job.serial, number }, tasks);
    waiting.add(plannedWork(job, part, tasks));
}

void engine::data::withdraw(open_job& job)
{
    for (auto& part : job.parts) {
        if (part.waiting.empty())
            continue;
        queues.withdraw(job.plan, part.where, static_cast<std::uint32_t>(part.waiting.size()));
        waiting.remove(plannedWork(job, part, part.waiting.size()));
        part.waiting.clear();
    }
}

bool engine::data::reserveApplies(time_point now) const { return anyShortWork && now - lastShortWork < reserveHolds; }

bool engine::data::mayTakeSlot(const lane& where, time_point now) const
{
    if (!pool.hasFreeSlot(where.need))
        return false;
    if (!where.isLong || !reserveApplies(now))
        return true;
    return runningLong + 1 <= (1 - options.shortReserve) * pool.totalSlots();
}

bool engine::data::mayStartLong(admission::plan_index plan, const job_part& part, time_point now)
{
    if (now >= part.latestStart - urgentMargin)
        return true;
    const plan_activity& activity = activityOf(plan);
    return !reserveApplies(now) || activity.runningLong == 0 || activity.runningLong + 1 <= activity.longSlots;
}

void engine::data::placeQueued(time_point now)
{
    // The lease of the shares may have lapsed while this VM was paused.
    if (now >= sharesEnd)
        return;
    const auto eligible = [this, now](const lane& where) { return mayTakeSlot(where, now); };
    while (const auto head = queues.next(eligible)) {
        if (!placeFrom(*head, now))
            queues.block(head->plan, head->where);
    }
}

bool engine::data::placeFrom(const queue_head& head, time_point now)
{
    open_job* job = jobs.find(head.entry.serial);
    if (!job || job->answered || job->parts[head.entry.part].waiting.empty()) {
        queues.pop(head.plan, head.where);
        return true;
    }
    job_part& part = job->parts[head.entry.part];
    if (failIfHopeless(*job, part, now))
        return true;
    const std::uint32_t index = part.waiting.back();
    if (part.where.isLong && !mayStartLong(job->plan, part, now))
        return false;
    if (limits.reachedLimit(job->plan, job->request->tasks[index]))
        return false;
    const task_progress& progress = job->progress[index];
    std::optional<placement::worker_index> worker;
    if (progress.attempts > 0)
        worker = pool.chooseExcluding(head.where.need, progress.worker);
    if (!worker)
        worker = pool.choose(head.where.need);
    if (!worker)
        return false;
    start(*job, part, *worker, now);
    return true;
}

bool engine::data::failIfHopeless(open_job& job, const job_part& part, time_point now)
{
    // A job that has begun is given up only when its tasks hardly ever are fast enough.
    const auto& expected = runTimes.predict(part.group);
    const bool begun = job.started > 0;
    const auto needed = begun ? expected.p10 : expected.median;
    if (now + needed <= job.deadline)
        return false;
    failJob(job,
        { begun ? error_kind::deadline_passed_while_running : error_kind::deadline_passed_before_start,
            fmt::format("{} ms are left, {} such tasks run longer than {} ms", inMicroseconds(job.deadline - now).count() / 1000,
                begun ? "nine in ten" : "half of", needed.count() / 1000),
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
        queues.pop(job.plan, part.where);
        part.queued = false;
    }
    queues.withdraw(job.plan, part.where, 1);
    queues.charge(job.plan, part.work);
    waiting.remove(plannedWork(job, part, 1));
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
    granted_lease lease { job.serial, index, job.request, job.plan, worker, part.group, now, part.work, part.where.isLong, false,
        progress.mayHaveRun };
    auto duration = std::chrono::duration_cast<std::chrono::milliseconds>(job.deadline - now);
    if (const auto limit = limits.maxRunTimeOf(job.plan); limit && *limit < duration) {
        duration = *limit;
        lease.cutByPlan = true;
    }
    if (lease.isLong)
        countLong(lease.plan, 1);
    leases.emplace(id, std::move(lease));
    leasesOfWorker[static_cast<std::size_t>(worker)].push_back(id);
    watches.add(now + options.health.hungAfter, id);
    noteTask(event_log::event_kind::task_placed, *job.request, index, report.worker.value, report.queued, std::nullopt);
    out.emplace_back(start_task { id, job.serial, index, job.epoch, job.request, pool.infoOf(worker), duration });
}

void engine::data::watchLeases(time_point now)
{
    while (watches.isDue(now)) {
        const lease_id id = watches.take();
        const auto found = leases.find(id);
        if (found == leases.end())
            continue;
        watchLease(id, found->second, now);
        watches.add(now + watchInterval, id);
    }
}

void engine::data::watchLease(lease_id, granted_lease& lease, time_point now)
{
    if (!lease.isLong && now - lease.startedAt >= options.runTimes.longWork) {
        lease.isLong = true;
        countLong(lease.plan, 1);
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

double engine::data::freeSlots() const
{
    // Slots with long work come free too rarely to be counted on.
    const double slots = pool.totalSlots();
    return std::max(slots - runningLong, slots * (1 - largestLongShare));
}

void engine::data::countLong(admission::plan_index plan, int change)
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

void engine::data::divideSlots(time_point now)
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
    waiting.divide(freeSlots(), std::move(ofShortWork));
    admission::fair_slot_shares rates;
    rates.divide(pool.totalSlots(), std::move(all));
    for (std::uint32_t number = 0; number < limits.plans(); ++number) {
        limitLongWork(admission::plan_index { number }, rates, now);
        watchQueue(admission::plan_index { number }, now);
    }
    slotsDividedAt = now;
    queues.unblockAll();
}

void engine::data::limitLongWork(admission::plan_index plan, const admission::fair_slot_shares& rates, time_point now)
{
    plan_activity& activity = activityOf(plan);
    const double runningShort = limits.runningTasks(plan) - activity.runningLong;
    const std::chrono::duration<double> passed = now - slotsDividedAt;
    const double kept = std::exp(-passed / std::chrono::duration<double>(usualShortWindow));
    activity.usualShort = activity.usualShort * kept + runningShort * (1 - kept);
    const double needed = activity.usualShort + usualDeviations * std::sqrt(activity.usualShort);
    const double slots = rates.slotsFor(demandOf(plan));
    activity.longSlots = std::max(slots - needed, slots * smallestLongShare);
}

void engine::data::watchQueue(admission::plan_index plan, time_point now)
{
    time_point& since = activityOf(plan).waitsLongSince;
    const double slots = waiting.slotsOf(shortDemandOf(plan));
    const double bound = std::chrono::duration<double>(options.standingWait).count();
    if (slots <= 0 || waiting.queuedWork(plan) / slots <= bound)
        since = {};
    else if (since == time_point {})
        since = now;
}

} // namespace coriandermount::dispatch
