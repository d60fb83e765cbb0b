// Effects of task ends, cancellations and deadlines on jobs.
#include <algorithm>

#include <fmt/format.h>

#include "dispatch/engine_state.h"

namespace coriandermount::dispatch {

namespace {

    using metrics::decision_counter;

    bool provesNotRun(error_kind kind) { return rowOf(kind).result == outcome::not_run; }

    /// Returns true if the task may succeed when it is started again on another worker.
    bool maySucceedElsewhere(error_kind kind)
    {
        return kind == error_kind::worker_lost || kind == error_kind::worker_answer_invalid || kind == error_kind::task_failed;
    }

    std::chrono::microseconds runTimeOf(const granted_lease& lease, const task_ended& input, time_point now)
    {
        return input.runTime.count() > 0 ? input.runTime : inMicroseconds(now - lease.startedAt);
    }

} // namespace

granted_lease engine::data::releaseLease(lease_id id, time_point now)
{
    granted_lease lease = std::move(leases.extract(id).mapped());
    std::erase(leasesOfWorker[static_cast<std::size_t>(lease.worker)], id);
    pool.release(lease.worker, lease.task());
    limits.release(lease.plan, lease.task());
    queues.unblock(lease.plan);
    if (lease.isLong)
        adjustLongTasks(lease.plan, -1);
    const double used = std::chrono::duration<double>(now - lease.startedAt).count();
    queues.charge(lease.plan, used - lease.charged);
    return lease;
}

void engine::data::on(const task_ended& input, time_point now)
{
    if (!leases.contains(input.lease)) {
        count(decision_counter::late_answer);
        return;
    }
    const granted_lease lease = releaseLease(input.lease, now);
    open_job* job = jobs.find(lease.serial);
    updateStatistics(lease, job, input, now);
    applyHealthChanges(now);
    if (job)
        endTask(lease, *job, input, now);
    eraseIfIdle(lease.serial);
    placeQueued(now);
}

void engine::data::updateStatistics(const granted_lease& lease, const open_job* job, const task_ended& input, time_point now)
{
    if (!input.output) {
        updateFailureStatistics(lease, job, input.output.error().kind, now);
        return;
    }
    const auto runTime = runTimeOf(lease, input, now);
    const auto expected = std::max(runTimes.predict(lease.group).median, std::chrono::microseconds(1));
    // The time is measured by this VM, so that a worker cannot appear fast by reporting short run times.
    const auto seen = inMicroseconds(now - lease.startedAt);
    health.onSuccess(lease.worker, static_cast<double>(seen.count()) / static_cast<double>(expected.count()), now);
    quarantine.onSuccess(placement::contentDigestOf(lease.task()), now);
    runTimes.observe(lease.group, runTime);
}

void engine::data::updateFailureStatistics(const granted_lease& lease, const open_job* job, error_kind kind, time_point now)
{
    const bool wasStopped = !job || job->answered;
    if (kind == error_kind::task_failed) {
        // The failure of a task that was stopped on request is evidence against neither the worker nor the task.
        if (wasStopped)
            return;
        health.onFailure(lease.worker, kind, now);
        for (const auto worker : quarantine.onFailure(placement::contentDigestOf(lease.task()), lease.worker, now))
            health.retractFailure(worker, now);
        return;
    }
    // An expired lease counts against the worker only if the worker has been unresponsive, which `checkLease` decides.
    if (kind == error_kind::lease_expired)
        return;
    health.onFailure(lease.worker, kind, now);
}

bool engine::data::mayRetry(const granted_lease& lease, const open_job& job, error_kind kind, time_point now)
{
    const bool proved = provesNotRun(kind);
    const bool repeatable = job.request->idempotent && job.reports.size() == 1 && maySucceedElsewhere(kind);
    if (job.answered || now >= job.deadline || (!proved && !repeatable))
        return false;
    if (job.progress[lease.index].attempts >= options.maxAttempts) {
        count(decision_counter::retry_denied_attempts);
        return false;
    }
    switch (retries.take(job.request->key.customer, lease.task().service)) {
    case admission::retry_decision::customer_exhausted:
        count(decision_counter::retry_denied_customer_budget);
        return false;
    case admission::retry_decision::service_exhausted:
        count(decision_counter::retry_denied_service_budget);
        return false;
    case admission::retry_decision::allowed:
        break;
    }
    if (!proved)
        count(decision_counter::retry_idempotent);
    else
        count(
            kind == error_kind::worker_unreachable ? decision_counter::retry_unreachable : decision_counter::retry_refused_start);
    return true;
}

void engine::data::retry(const granted_lease& lease, open_job& job, error_kind kind, time_point now)
{
    task_progress& progress = job.progress[lease.index];
    job.reports[lease.index].state = task_state::waiting;
    if (!provesNotRun(kind))
        progress.mayHaveRun = true;
    recordTaskEvent(event_log::event_kind::task_retried, *job.request, lease.index, job.reports[lease.index].worker.value,
        inMicroseconds(now - lease.startedAt), kind);
    job_part& part = job.parts[progress.part];
    part.waiting.push_back(lease.index);
    if (!part.queued) {
        enqueue(job, progress.part, now);
        return;
    }
    queues.addTasks(job.plan, part.lane, 1);
    taskBacklog.add(plannedWork(job, part, 1));
}

void engine::data::endTask(const granted_lease& lease, open_job& job, const task_ended& input, time_point now)
{
    --job.running;
    task_report& report = job.reports[lease.index];
    report.runTime = runTimeOf(lease, input, now);
    recordTaskEvent(event_log::event_kind::task_answered, *job.request, lease.index, report.worker.value, report.runTime,
        input.output ? std::nullopt : std::optional(input.output.error().kind));
    if (input.output) {
        report.state = task_state::done;
        report.output = *input.output;
        --job.unfinished;
        if (job.unfinished == 0 && !job.answered)
            answerJob(job, outcome::done, std::nullopt);
        return;
    }
    const error& problem = input.output.error();
    const bool nothingRan = provesNotRun(problem.kind) && !lease.mayHaveRunBefore;
    if (nothingRan)
        --job.started;
    if (mayRetry(lease, job, problem.kind, now)) {
        retry(lease, job, problem.kind, now);
        return;
    }
    report.state = nothingRan ? task_state::not_started : task_state::failed;
    report.problem = problem;
    if (!job.answered)
        failJob(job, problem);
}

void engine::data::failJob(open_job& job, error problem)
{
    withdraw(job);
    for (std::size_t index = 0; index < job.reports.size(); ++index) {
        task_report& report = job.reports[index];
        if (report.state == task_state::waiting)
            report.state = job.progress[index].mayHaveRun ? task_state::failed : task_state::not_started;
    }
    stopRunning(job);
    answerJob(job, job.started > 0 ? outcome::may_have_run : outcome::not_run, std::move(problem));
}

void engine::data::stopRunning(const open_job& job)
{
    if (job.running == 0)
        return;
    for (std::uint32_t index = 0; index < job.reports.size(); ++index) {
        if (job.reports[index].state == task_state::running)
            pendingActions.emplace_back(stop_task { job.request, index, pool.infoOf(job.progress[index].worker) });
    }
}

void engine::data::answerJob(open_job& job, outcome result, std::optional<error> problem)
{
    jobs.markAnswered(job);
    job_answer answer;
    answer.key = job.request->key;
    answer.result = result;
    answer.problem = std::move(problem);
    // Running tasks still update their reports; without any, the reports can be moved.
    if (job.running > 0)
        answer.tasks = job.reports;
    else
        answer.tasks = std::move(job.reports);
    pendingActions.emplace_back(finish_job { job.serial, std::move(answer), job.started == 0 });
}

void engine::data::eraseIfIdle(job_serial serial)
{
    const open_job* job = jobs.find(serial);
    if (job && job->answered && job->running == 0)
        jobs.erase(serial);
}

void engine::data::on(const cancel_requested& input, time_point)
{
    open_job* job = jobs.findUnanswered(input.key);
    if (!job)
        return;
    addJournalEntry(event_log::event_kind::job_cancelled, job->request.get());
    const job_serial serial = job->serial;
    const bool anyStarted = job->started > 0;
    failJob(
        *job, error { anyStarted ? error_kind::cancelled_while_running : error_kind::cancelled_before_start, {}, std::nullopt });
    eraseIfIdle(serial);
}

void engine::data::expireDeadlines(time_point now)
{
    while (deadlines.isDue(now)) {
        const job_serial serial = deadlines.take();
        open_job* job = jobs.find(serial);
        if (!job || job->answered)
            continue;
        const auto kind = job->started > 0 ? error_kind::deadline_passed_while_running : error_kind::deadline_passed_before_start;
        failJob(*job,
            error { kind, fmt::format("the time limit of {} ms has passed", job->request->timeLimit.count()), std::nullopt });
        eraseIfIdle(serial);
    }
    // Most jobs end long before their deadline, so obsolete timers are removed once they outnumber the needed ones.
    constexpr std::size_t fewTimers = 4096;
    if (deadlines.size() > fewTimers && deadlines.size() > 4 * jobs.size())
        deadlines.compact([this](job_serial serial) { return jobs.find(serial) != nullptr; });
    if (leaseChecks.size() > fewTimers && leaseChecks.size() > 4 * leases.size())
        leaseChecks.compact([this](lease_id id) { return leases.contains(id); });
}

} // namespace coriandermount::dispatch
