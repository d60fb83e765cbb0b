// Admission control: accepts a job or refuses it with a reason.
#include <algorithm>
#include <cmath>

#include <fmt/format.h>

#include "dispatch/engine_state.h"

namespace coriandermount::dispatch {

namespace {

    constexpr std::chrono::milliseconds queueFullRetry { 500 };
    constexpr std::chrono::milliseconds noWorkerRetry { 1000 };
    constexpr std::chrono::milliseconds drainingRetry { 1000 };
    constexpr std::chrono::milliseconds configurationRetry { 1000 };
    constexpr std::chrono::milliseconds shortestRetry { 50 };
    constexpr std::chrono::milliseconds longestRetry { 30000 };

    double seconds(std::chrono::duration<double> value) { return value.count(); }

    /// Returns the part of the time limit that is set aside for running a task: the 99th percentile of the run time, or the 90th
    /// if the 99th is more than half of the time limit.
    std::chrono::microseconds allowanceFor(const placement::run_time_prediction& expected, std::chrono::microseconds timeLimit)
    {
        return expected.p99 <= timeLimit / 2 ? expected.p99 : std::min(expected.p90, timeLimit);
    }

    bool haveSameRequirements(const task_spec& a, const task_spec& b)
    {
        return a.service == b.service && a.memoryMegabytes == b.memoryMegabytes && a.accelerators == b.accelerators;
    }

    bool belongToSamePart(const task_spec& a, const task_spec& b)
    {
        return haveSameRequirements(a, b) && a.declaredClass == b.declaredClass && a.declaredRunTime == b.declaredRunTime;
    }

    error refusal(error_kind kind, std::string detail, std::optional<std::chrono::milliseconds> retryAfter = std::nullopt)
    {
        return { kind, std::move(detail), retryAfter };
    }

} // namespace

std::chrono::milliseconds engine::data::jittered(std::chrono::milliseconds wait)
{
    constexpr double lowest = 0.5;
    const double factor = lowest + std::uniform_real_distribution<double>(0, 1)(random);
    const auto scaled = std::chrono::milliseconds(static_cast<std::int64_t>(static_cast<double>(wait.count()) * factor));
    return std::clamp(scaled, shortestRetry, longestRetry);
}

std::optional<error> engine::data::unschedulableReason(const job_request& job) const
{
    const task_spec* previous = nullptr;
    for (const auto& task : job.tasks) {
        if (previous && haveSameRequirements(*previous, task))
            continue;
        previous = &task;
        if (auto problem = pool.unschedulableReason(task)) {
            if (rowOf(problem->kind).retryable)
                problem->retryAfter = noWorkerRetry;
            return problem;
        }
    }
    return std::nullopt;
}

std::optional<error> engine::data::checkQuarantine(const job_request& job, time_point now) const
{
    if (quarantine.empty())
        return std::nullopt;
    for (std::size_t index = 0; index < job.tasks.size(); ++index) {
        const unsigned workers = quarantine.checkQuarantine(placement::contentDigestOf(job.tasks[index]), now);
        if (workers > 0)
            return refusal(error_kind::task_quarantined,
                fmt::format("task {} is quarantined: its content failed on {} different workers", index, workers));
    }
    return std::nullopt;
}

std::optional<error> engine::data::queueOverflow(const open_job& job)
{
    // A plan that has queued tasks may queue more only while its total does not exceed the free entries: half of the queue, or
    // less if other plans have queued tasks. This leaves free entries for other plans.
    const std::size_t tasks = job.request->tasks.size();
    const std::size_t queued = queues.queued();
    const std::size_t freeEntries = options.maxQueuedTasks > queued ? options.maxQueuedTasks - queued : 0;
    const std::size_t ofPlan = queues.queued(job.plan);
    if (tasks <= freeEntries && (ofPlan == 0 || ofPlan + tasks <= freeEntries))
        return std::nullopt;
    return refusal(error_kind::queue_full,
        fmt::format("{} tasks are queued, {} of them from this plan, the limit is {}", queued, ofPlan, options.maxQueuedTasks),
        queueFullRetry);
}

void engine::data::divideIntoParts(open_job& job, time_point now)
{
    const auto& tasks = job.request->tasks;
    std::uint16_t current = 0;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        if (index == 0 || !belongToSamePart(tasks[index - 1], tasks[index])) {
            const auto group = runTimes.groupOf(tasks[index]);
            const auto& expected = runTimes.predict(group);
            const queue_lane lane { pool.needOf(tasks[index]), expected.isLong };
            const auto found = std::find_if(job.parts.begin(), job.parts.end(),
                [&lane, group](const job_part& part) { return part.lane == lane && part.group == group; });
            current = static_cast<std::uint16_t>(found - job.parts.begin());
            if (found == job.parts.end()) {
                job_part& part = job.parts.emplace_back();
                part.lane = lane;
                part.group = group;
                part.work = seconds(expected.mean);
                part.latestStart = std::max(now, job.deadline - allowanceFor(expected, job.request->timeLimit));
            }
        }
        job.parts[current].waiting.push_back(index);
        job.progress[index].part = current;
    }
    for (auto& part : job.parts)
        std::reverse(part.waiting.begin(), part.waiting.end());
}

double engine::data::laneSlots(const queue_lane& lane, time_point now) const
{
    const double slots = pool.capacity(lane.need);
    return lane.isLong && isShortReserveActive(now) ? slots * (1 - options.shortWorkReserve) : slots;
}

std::optional<error> engine::data::refuseForStandingQueue(
    const open_job& job, const job_part& part, double slots, time_point now) const
{
    const auto number = static_cast<std::size_t>(job.plan);
    const time_point since = number < activities.size() ? activities[number].standingQueueSince : time_point {};
    if (since == time_point {} || now - since < options.standingQueueInterval)
        return std::nullopt;
    const auto wait = taskBacklog.waitOf(job.plan, part.latestStart, slots);
    const std::chrono::duration<double> limit = std::max<std::chrono::duration<double>>(
        options.standingQueueTarget, job.request->timeLimit * options.standingQueueLimitShare);
    if (wait <= limit)
        return std::nullopt;
    const auto excess = std::chrono::duration_cast<std::chrono::milliseconds>(wait - limit);
    return refusal(error_kind::queue_full,
        fmt::format("the queueing delay of the plan is {:.0f} ms, the limit during a standing queue is {:.0f} ms",
            seconds(wait) * 1000, seconds(limit) * 1000),
        std::max(excess, shortestRetry));
}

std::optional<error> engine::data::predictDeadlineMissOfPart(const open_job& job, const job_part& part, time_point now)
{
    const auto& expected = runTimes.predict(part.group);
    if (expected.median > job.request->timeLimit) {
        return refusal(error_kind::deadline_unreachable,
            fmt::format("the median run time of such tasks is {} ms, the time limit is {} ms", expected.median.count() / 1000,
                job.request->timeLimit.count()));
    }
    const double capacity = laneSlots(part.lane, now);
    if (capacity <= 0)
        return std::nullopt;
    const std::uint32_t running = limits.runningTasks(job.plan);
    const std::uint32_t queued = queues.queued(job.plan);
    double slots = taskBacklog.slotsOf(shortDemandOf(job.plan));
    if (part.lane.isLong && isShortReserveActive(now))
        slots = activityOf(job.plan).longSlots;
    slots = std::min(capacity, slots);
    error_kind kind = error_kind::deadline_unreachable;
    if (const auto bound = limits.concurrencyBoundOf(job.plan, job.request->tasks[part.waiting.front()]);
        bound && bound->tasks < slots) {
        slots = bound->tasks;
        kind = bound->kind;
    }
    // No wait can be predicted for a plan without slots: its share grows after this demand has been reported.
    if (slots <= 0)
        return std::nullopt;
    if (kind == error_kind::deadline_unreachable && !part.lane.isLong) {
        if (auto problem = refuseForStandingQueue(job, part, slots, now))
            return problem;
    }
    // Tasks that start at once do not wait, and the wait of the last task does not include its own work.
    const double free = queued == 0 ? std::max(0.0, slots - running) : 0;
    const double waitingTasks = std::max(0.0, static_cast<double>(part.waiting.size()) - std::max(1.0, free));
    planned_work planned = plannedWork(job, part, part.waiting.size());
    planned.work = waitingTasks * part.work;
    std::optional<predicted_delay> delay;
    if (!part.lane.isLong)
        delay = taskBacklog.delayInPlan(planned, slots * options.plannedUtilization, now);
    const bool scarce = part.lane.isLong || capacity < pool.totalSlots() * options.plannedUtilization;
    if (!delay && scarce)
        delay = taskBacklog.delayInLane(planned, std::min(capacity, slots) * options.plannedUtilization, now);
    if (!delay)
        return std::nullopt;
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(part.latestStart - now);
    return refusal(kind,
        fmt::format("the predicted wait is {} ms with {:.1f} slots, the time limit leaves {} ms", delay->wait.count(),
            delay->slots, left.count()),
        std::max(delay->wait - left, shortestRetry));
}

std::optional<error> engine::data::predictDeadlineMiss(const open_job& job, time_point now)
{
    for (const auto& part : job.parts) {
        if (auto problem = predictDeadlineMissOfPart(job, part, now))
            return problem;
    }
    return std::nullopt;
}

result<open_job> engine::data::evaluateAdmission(const job_submitted& input, time_point now)
{
    const auto refused = [](error problem) { return tl::unexpected<error>(std::move(problem)); };
    if (draining)
        return refused(refusal(error_kind::shutting_down, {}, drainingRetry));
    open_job job;
    job.serial = input.serial;
    job.request = input.job;
    job.epoch = input.epoch;
    job.arrivedAt = now;
    job.deadline = now + input.job->timeLimit;
    const auto plan = limits.planOf(input.job->key.customer);
    if (!plan) {
        error problem = plan.error();
        if (rowOf(problem.kind).retryable)
            problem.retryAfter = configurationRetry;
        return refused(std::move(problem));
    }
    job.plan = *plan;
    activityOf(job.plan).arrivals += static_cast<std::uint32_t>(input.job->tasks.size());
    if (auto problem = limits.findLimitViolation(job.plan, *input.job))
        return refused(std::move(*problem));
    if (auto problem = unschedulableReason(*input.job))
        return refused(std::move(*problem));
    if (auto problem = checkQuarantine(*input.job, now))
        return refused(std::move(*problem));
    if (auto problem = queueOverflow(job))
        return refused(std::move(*problem));
    job.progress.resize(input.job->tasks.size());
    divideIntoParts(job, now);
    if (auto problem = predictDeadlineMiss(job, now))
        return refused(std::move(*problem));
    // The rate limit is checked last, so that jobs that are refused for other reasons do not consume it.
    if (auto problem = limits.consumeRateTokens(job.plan, input.job->tasks.size(), now))
        return refused(std::move(*problem));
    return job;
}

void engine::data::on(const job_submitted& input, time_point now)
{
    auto job = evaluateAdmission(input, now);
    if (!job) {
        refuse(input, std::move(job.error()), now);
        return;
    }
    admit(std::move(*job), now);
    placeQueued(now);
}

void engine::data::refuse(const job_submitted& input, error problem, time_point)
{
    if (problem.retryAfter)
        problem.retryAfter = jittered(*problem.retryAfter);
    event_log::event& entry = addJournalEntry(event_log::event_kind::job_refused, input.job.get());
    entry.problem = problem.kind;
    entry.rule = nameOf(problem.kind);
    entry.value = problem.detail;
    pendingActions.emplace_back(finish_job { input.serial, refusedAnswer(input.job->key, std::move(problem)), true });
}

void engine::data::admit(open_job job, time_point now)
{
    job.reports.resize(job.request->tasks.size());
    job.unfinished = job.reports.size();
    open_job& added = jobs.add(std::move(job));
    deadlines.add(added.deadline, added.serial);
    event_log::event& entry = addJournalEntry(event_log::event_kind::job_admitted, added.request.get());
    entry.subject = limits.idOf(added.plan).value;
    entry.value = fmt::format("{} tasks", added.reports.size());
    for (std::size_t part = 0; part < added.parts.size(); ++part) {
        enqueue(added, static_cast<std::uint16_t>(part), now);
        for (const std::uint32_t index : added.parts[part].waiting) {
            retries.recordFirstAttempt(added.request->key.customer, added.request->tasks[index].service);
            recordTaskEvent(event_log::event_kind::task_queued, *added.request, index, {}, {}, std::nullopt);
        }
    }
}

} // namespace coriandermount::dispatch
