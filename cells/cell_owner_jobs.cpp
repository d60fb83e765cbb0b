#include "cells/cell_owner_data.h"

#include <algorithm>

#include <fmt/format.h>

namespace coriandermount::cells {

namespace {

    /// Number of jobs that can't be placed after which a pass leaves the front of a queue.
    constexpr int maxBlockedAtFront = 32;
    /// Number of jobs behind the front that can't be placed after which a pass over a queue ends.
    constexpr int maxBlockedBehind = 16;
    /// Time between two passes over the suspected jobs, each of which looks for a worker of its own.
    constexpr std::chrono::milliseconds suspectedPassInterval { 10 };
    /// Weight of the share of a worker's CPU that stays free after a placement, relative to the worker's measured slowness.
    constexpr double unusedShareWeight = 0.15;
    /// Weight of each task of a long-running step that already runs on a worker. Spreads the tasks, so that the loss of one
    /// worker ends few of them.
    constexpr double spreadWeight = 1.0;
    /// Factor by which a worker counts as slower for a task whose last run there failed.
    constexpr double failedFactor = 3.0;

} // namespace

void cell_owner::data::enqueue(const open_job& job)
{
    if (!job.ended && !job.lentTo && !job.withdrawnAt && job.readyTasks() > 0)
        waiting.put(job, queuePartOf(job));
}

void cell_owner::data::dequeue(const open_job& job) { waiting.remove(rankOf(job)); }

queue_part cell_owner::data::queuePartOf(const open_job& job) const
{
    // An earlier owner may have started a stored job, which is known for all of them at the same time.
    if (!previousRunsKnown && !job.accepted.work.answeredAtEnd && job.offset <= ownerRecordOffset)
        return queue_part::held;
    return isRestricted(job) ? queue_part::suspected : queue_part::ready;
}

void cell_owner::data::updateQueue(const open_job& job)
{
    if (!waiting.partOf(rankOf(job)))
        return;
    if (job.readyTasks() > 0)
        waiting.put(job, queuePartOf(job));
    else
        dequeue(job);
}

void cell_owner::data::releaseHeldJobs(time_point now)
{
    const auto& held = waiting.jobs(queue_part::held);
    if (held.empty() || !knowsPreviousRuns(now))
        return;
    for (std::size_t moved = 0; moved < maxMovedPerPass && !held.empty(); ++moved) {
        const queue_rank rank = *held.begin();
        waiting.remove(rank);
        if (const open_job* job = jobTable.find(std::get<std::string>(rank)))
            enqueue(*job);
    }
}

void cell_owner::data::requeue(const task_key& key, const worker_id& from, std::uint64_t attempt)
{
    open_job* job = jobTable.find(key.jobId);
    if (!job || job->ended || !job->contains(key))
        return;
    task_state& task = job->task(key);
    if (task.phase != task_phase::placed || task.runsOn != from || task.attempt != attempt)
        return;
    task.phase = task_phase::waiting;
    task.runsOn = {};
    job->steps[key.step].waiting.push_back(key.index);
    enqueue(*job);
}

void cell_owner::data::noteCheckpoint(open_job& job, const task_key& key, const std::string& checkpoint)
{
    if (checkpoint.empty())
        return;
    job.task(key).checkpoint = checkpoint;
    if (job.accepted.work.steps[key.step].gang)
        job.steps[key.step].checkpoint = checkpoint;
}

void cell_owner::data::completeTask(open_job& job, const task_key& key, const worker_id& by)
{
    task_state& task = job.task(key);
    if (task.phase == task_phase::done)
        return;
    step_state& step = job.steps[key.step];
    if (task.phase == task_phase::waiting)
        std::erase(step.waiting, key.index);
    const auto elsewhere = sessions.find(task.runsOn);
    if (task.phase == task_phase::placed && task.runsOn != by && elsewhere != sessions.end())
        stopRun(elsewhere->second, key, clock.now());
    task.phase = task_phase::done;
    suspicion.noteDone(key);
    noteChange(job);
    job.started = true;
    updateQueue(job);
    if (++step.done < step.tasks.size())
        return;
    if (++job.stepsDone == job.steps.size())
        endJob(job, jobs::job_state::completed);
    else
        enqueue(job);
}

void cell_owner::data::failTask(open_job& job, const task_key& key, const worker_id& by, std::uint64_t attempt)
{
    task_state& task = job.task(key);
    if (task.phase == task_phase::done)
        return;
    if (std::find(task.failedAttempts.begin(), task.failedAttempts.end(), attempt) != task.failedAttempts.end())
        return;
    task.failedAttempts.push_back(attempt);
    task.failedOn = by;
    noteChange(job);
    job.started = true;
    writeLog(log_level::info, "cell", "run failed",
        { { "job", key.jobId }, { "step", fmt::to_string(key.step) }, { "task", fmt::to_string(key.index) },
            { "attempt", fmt::to_string(attempt) }, { "worker", by.value },
            { "failures", fmt::to_string(task.failedAttempts.size()) },
            { "max_attempts", fmt::to_string(job.accepted.maxAttempts) } });
    if (task.failedAttempts.size() >= job.accepted.maxAttempts)
        endJob(job, jobs::job_state::failed);
}

void cell_owner::data::endJob(open_job& job, jobs::job_state state)
{
    const auto now = clock.now();
    job.ended = state;
    noteChange(job);
    dequeue(job);
    // An unstored job may be submitted again after it was given up.
    if (state == jobs::job_state::completed || !job.accepted.work.answeredAtEnd)
        suspicion.forget(job.accepted.work.id);
    counters.completedJobs += state == jobs::job_state::completed ? 1 : 0;
    counters.failedJobs += state == jobs::job_state::failed ? 1 : 0;
    counters.cancelledJobs += state == jobs::job_state::cancelled ? 1 : 0;
    stopRunsOf(job, now);
    if (job.lentTo && state == jobs::job_state::cancelled)
        jobsLentUnanswered.insert_or_assign(job.accepted.work.id, unanswered_job { *job.lentTo, now + unstoredRetention });
    if (const auto shown = jobTable.state(job.accepted.work.id); shown == state)
        answerWatches(job.accepted.work.id, state);
    const bool endedInTime = job.withdrawnAt && state != jobs::job_state::cancelled;
    if (endedInTime)
        noteWithdrawal(job.accepted.work.id, withdrawal_outcome::ended);
    if (job.accepted.work.answeredAtEnd && (!job.waiters.empty() || endedInTime))
        answer(job, state);
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(now - job.arrivedAt);
    const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(job.firstStart.value_or(now) - job.arrivedAt);
    writeLog(log_level::info, "cell", "job ended",
        { { "job", job.accepted.work.id }, { "queue", job.accepted.work.queue },
            { "state",
                state == jobs::job_state::completed    ? "completed"
                    : state == jobs::job_state::failed ? "failed"
                                                       : "cancelled" },
            { "epoch", fmt::to_string(term.epoch) }, { "waited_ms", fmt::to_string(waited.count()) },
            { "took_ms", fmt::to_string(took.count()) }, { "objective_ms", fmt::to_string(job.accepted.objective.count()) } });
}

bool cell_owner::data::knowsPreviousRuns(time_point now)
{
    if (previousRunsKnown)
        return true;
    // A task whose end is not listed yet would run again, however long ago its lease has ended.
    if (std::any_of(sessions.begin(), sessions.end(),
            [&](const auto& entry) { return entry.second.mayHoldUnlistedEnds(settings.stopGrace, now); }))
        return false;
    const bool allListed = workersKnown && !unlistedWorkerRemoved
        && std::all_of(sessions.begin(), sessions.end(), [](const auto& entry) { return entry.second.listed; });
    const auto leaseLimit = settings.stopGrace
        + std::chrono::milliseconds(
            static_cast<std::int64_t>(static_cast<double>(settings.maxLease.count()) / (1.0 - maxClockDrift)));
    const auto limit = leaseLimit + (term.previousOwnerStopped ? pollTimeoutMargin : previousOwnerLimit);
    // Workers whose registration expired while the store was down are missing from the list for a while, so the term waits
    // for their leases to end even when all listed workers have answered.
    previousRunsKnown = (allListed && now >= takenOverAt + leaseLimit) || now >= takenOverAt + limit;
    return previousRunsKnown;
}

bool cell_owner::data::mayStart(const open_job& job, time_point now)
{
    if (!hasContact(job, startContactLimit, now))
        return false;
    // Until the other cells have answered, any of them may be running the job.
    if (!lentJobsQueryCompleted && now < takenOverAt + lentJobsAnswerLimit)
        return false;
    if (job.offset > ownerRecordOffset)
        return true;
    // An earlier owner may have lent an unstored job to a cell that has not reported its runs yet. Stored jobs are never lent.
    return knowsPreviousRuns(now) && (lentJobsComplete || !job.accepted.work.answeredAtEnd);
}

cell_owner::data::largest_free_cpu cell_owner::data::largestFreeCpu(time_point now) const
{
    largest_free_cpu largest;
    // Nearly all workers of a cell offer the same service.
    auto known = largest.end();
    for (const auto& [id, session] : sessions) {
        if (!session.acceptsStarts(now))
            continue;
        const auto& service = session.registration().service;
        if (known == largest.end() || known->first != service)
            known = largest.try_emplace(service, 0).first;
        known->second = std::max(known->second, session.free().cpuMillis);
    }
    return largest;
}

bool cell_owner::data::mayFit(const open_job& job, const largest_free_cpu& largestFree) const
{
    const auto found = largestFree.find(job.accepted.service);
    const std::int64_t free = found == largestFree.end() ? 0 : found->second;
    for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
        const bool waits = !job.steps[step].waiting.empty() && job.stepIsReady(step);
        // Gangs have to be prepared, and suspected jobs wait for a worker of their own.
        if (waits
            && (job.accepted.work.steps[step].need.cpuMillis <= free || job.accepted.work.steps[step].gang || isRestricted(job)))
            return true;
    }
    return false;
}

void cell_owner::data::schedule(time_point now)
{
    workersAwaitVerification = false;
    if (!givesOrders() || waitingJobs() == 0 || isSettling() || !evacuation.allowsStartedJobs(now))
        return;
    if (!lentJobsQueryCompleted && now < takenOverAt + lentJobsAnswerLimit)
        return;
    updateReturnRoom(now);
    auto largestFree = largestFreeCpu(now);
    scheduleQueue(queue_part::ready, largestFree, now);
    if (now >= nextSuspectedPass) {
        nextSuspectedPass = now + suspectedPassInterval;
        scheduleQueue(queue_part::suspected, largestFree, now);
    }
    verifyOwnership(now);
}

void cell_owner::data::scheduleQueue(queue_part part, largest_free_cpu& largestFree, time_point now)
{
    const auto& queue = waiting.jobs(part);
    const auto first = scheduleFrom(part, queue.begin(), maxBlockedAtFront, largestFree, now);
    if (first == queue.end())
        return;
    queue_rank& resume = resumeAt[static_cast<std::size_t>(part)];
    const auto next = scheduleFrom(part, queue.lower_bound(std::max(resume, *first)), maxBlockedBehind, largestFree, now);
    resume = next == queue.end() ? queue_rank() : *next;
}

std::set<queue_rank>::const_iterator cell_owner::data::scheduleFrom(
    queue_part part, std::set<queue_rank>::const_iterator entry, int maxBlocked, largest_free_cpu& largestFree, time_point now)
{
    const auto& queue = waiting.jobs(part);
    int blocked = 0;
    while (entry != queue.end() && blocked < maxBlocked) {
        open_job* job = jobTable.find(std::get<std::string>(*entry));
        if (!job || job->ended || job->withdrawnAt) {
            waiting.remove(*entry++);
            continue;
        }
        if (!mayStart(*job, now)) {
            ++entry;
            continue;
        }
        if (!evacuationAllows(*job, now)) {
            ++blocked;
            ++entry;
            continue;
        }
        if (!mayFit(*job, largestFree)) {
            ++blocked;
            ++entry;
            continue;
        }
        // An overloaded owner first finishes what it has begun.
        if (!job->started && !job->isLongRunning() && !pace.hasRoom()) {
            pace.noteHeld(now);
            ++blocked;
            ++entry;
            continue;
        }
        const double neededCpu = job->readyCpu();
        const bool placedAll = scheduleJob(*job, now);
        useReturnRoom(neededCpu - job->readyCpu());
        // The job may have ended, which removes its entry, because it crashes workers.
        if (job->ended) {
            entry = queue.upper_bound(rankOf(*job));
            continue;
        }
        if (!placedAll)
            largestFree = largestFreeCpu(now);
        blocked += placedAll ? 0 : 1;
        ++entry;
        placedAll ? dequeue(*job) : updateQueue(*job);
    }
    return entry;
}

bool cell_owner::data::runsOnAnyWorker(const task_key& key) const
{
    return hasUnverifiedLoss(key)
        || std::any_of(sessions.begin(), sessions.end(), [&key](const auto& entry) { return entry.second.runs().contains(key); });
}

bool cell_owner::data::scheduleJob(open_job& job, time_point now)
{
    bool placedAll = true;
    for (std::uint32_t step = 0; step < job.steps.size() && !job.ended; ++step) {
        if (job.steps[step].waiting.empty() || !job.stepIsReady(step))
            continue;
        const bool gang = job.accepted.work.steps[step].gang;
        const bool restricted = !gang && isRestricted(job);
        const bool placed = gang ? scheduleGang(job, step, now)
            : restricted         ? scheduleRestricted(job, step, now)
                                 : scheduleStep(job, step, now);
        placedAll = placedAll && placed;
        // A worker that one step waits for is not given up for the next.
        if (restricted && !placed && hasReservedWorker(job, step))
            break;
    }
    return placedAll;
}

bool cell_owner::data::scheduleStep(open_job& job, std::uint32_t step, time_point now)
{
    auto& waiting = job.steps[step].waiting;
    // Most jobs have no run yet, which is found out once and not for each task.
    const bool hasRuns = hasRunsOf(job.accepted.work.id);
    while (!waiting.empty()) {
        const std::uint32_t index = waiting.back();
        const task_key key { job.accepted.work.id, 0, step, index };
        const bool stillRuns = hasRuns && runsOnAnyWorker(key);
        worker_session* session = stillRuns ? nullptr : chooseWorker(job, step, job.steps[step].tasks[index], {}, now);
        if (!session)
            return false;
        waiting.pop_back();
        start(job, key, *session, now);
    }
    return true;
}

worker_session* cell_owner::data::chooseWorker(
    const open_job& job, std::uint32_t step, const task_state& task, const std::string& rack, time_point now)
{
    const jobs::step& stepDefinition = job.accepted.work.steps[step];
    worker_session* best = nullptr;
    double bestScore = 0;
    bool skippedUnverified = false;
    for (auto& [id, session] : sessions) {
        const auto& registration = session.registration();
        if (registration.service != job.accepted.service || !session.acceptsStarts(now))
            continue;
        if (!session.hasRoomFor(stepDefinition.need, now)
            || (!stepDefinition.requiredLabel.empty() && !session.hasLabel(stepDefinition.requiredLabel)))
            continue;
        if (!rack.empty() && session.rack() != rack)
            continue;
        if (stepDefinition.maxPerWorker > 0 && session.runsOfStep(job.accepted.work.id, step) >= stepDefinition.maxPerWorker)
            continue;
        if (!isVerified(session)) {
            skippedUnverified = true;
            continue;
        }
        const double totalCpu = static_cast<double>(std::max<std::int64_t>(registration.capacity.cpuMillis, 1));
        const double unusedShare = static_cast<double>(session.free().cpuMillis - stepDefinition.need.cpuMillis) / totalCpu;
        double score = session.slowness() + unusedShareWeight * unusedShare;
        if (!stepDefinition.dataRack.empty() && !session.hasLabel(stepDefinition.dataRack))
            score *= settings.remoteFactor;
        if (id == task.failedOn)
            score *= failedFactor;
        if (stepDefinition.longRunning)
            score += spreadWeight * session.runsOfStep(job.accepted.work.id, step);
        if (!best || score < bestScore) {
            best = &session;
            bestScore = score;
        }
    }
    workersAwaitVerification = workersAwaitVerification || (!best && skippedUnverified);
    return best;
}

bool cell_owner::data::recordsAreCurrent(time_point now) const
{
    return phase == owner_phase::serving && now - recordsAsOf < recordsAgeLimit;
}

cell_load cell_owner::data::currentLoad()
{
    cell_load load;
    const auto now = clock.now();
    load.recordsCurrent = recordsAreCurrent(now);
    if (load.recordsCurrent)
        load.pendingByQueue = jobTable.pendingByQueue(now);
    double capacity = 0;
    for (const auto& [id, session] : sessions) {
        if (session.acceptsStarts(now))
            capacity += static_cast<double>(session.registration().capacity.cpuMillis) / 1000.0 * usableShare;
    }
    capacity *= evacuation.usableShare(now);
    double work = 0;
    for (const std::int64_t added : waiting.workByPriority()) {
        work += static_cast<double>(added) / 1000;
        load.waitByPriority.emplace_back(static_cast<std::int64_t>(capacity > 0 ? work / capacity : 0));
    }
    for (const auto& [id, session] : sessions)
        load.idleCpu.emplace(session.registration().service.value, 0);
    for (auto& [service, idle] : load.idleCpu)
        idle = load.waitByPriority.back().count() > 0 || pace.isLimited() ? 0 : idleCpu({ service }, now);
    return load;
}

} // namespace coriandermount::cells
