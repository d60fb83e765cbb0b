#include "cells/cell_owner_data.h"

#include <algorithm>

#include <fmt/format.h>

namespace coriandermount::cells {

namespace {

    /// One in this number of the workers of a service may be reserved for suspected jobs; at least one is.
    constexpr std::size_t workersPerReservation = 4;
    /// Workers that were last heard within this time of each other may have been lost together.
    constexpr std::chrono::milliseconds commonLossWindow { 1000 };

    std::string millisecondsBetween(time_point from, time_point to)
    {
        return fmt::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(to - from).count());
    }

} // namespace

std::vector<exposed_run> cell_owner::data::exposedRuns(const worker_session& session)
{
    std::vector<exposed_run> exposed;
    for (const auto& [key, current] : session.runs())
        exposed.push_back({ key, current.confirmedAt.has_value(), session.isEstablished(current) });
    return exposed;
}

void cell_owner::data::noteSilence(const worker_session& session, const std::vector<exposed_run>& dropped, time_point now)
{
    // A draining worker leaves as announced.
    const worker_registration& worker = session.registration();
    if (worker.draining)
        return;
    suspicion.noteSilence(worker, dropped, now);
    reportLoss(session, dropped, now);
    for (const auto& run : dropped) {
        if (open_job* job = jobTable.find(run.task.jobId))
            job->dirty = true;
    }
}

void cell_owner::data::reportLoss(const worker_session& session, const std::vector<exposed_run>& dropped, time_point now) const
{
    if (dropped.empty())
        return;
    const auto lostTogether = std::count_if(sessions.begin(), sessions.end(), [&](const auto& entry) {
        const worker_session& other = entry.second;
        return &other != &session && other.failedPolls > 1
            && std::chrono::abs(other.lastAnswerAt - session.lastAnswerAt) <= commonLossWindow;
    });
    writeLog(log_level::info, "cell", "worker lost under tasks",
        { { "worker", session.registration().id.value }, { "runs", fmt::to_string(dropped.size()) },
            { "silence_ms", millisecondsBetween(session.lastAnswerAt, now) }, { "others_lost", fmt::to_string(lostTogether) },
            { "workers", fmt::to_string(sessions.size()) } });
}

void cell_owner::data::reportCrashes(const std::vector<counted_crash>& crashes, time_point now)
{
    for (const auto& crash : crashes) {
        const task_key& key = crash.task;
        ++counters.workerCrashes[static_cast<std::size_t>(crash.observation)];
        writeLog(log_level::warning, "cell", "worker crashed under a task",
            { { "job", key.jobId }, { "step", fmt::to_string(key.step) }, { "task", fmt::to_string(key.index) },
                { "worker", crash.worker.value }, { "observation", std::string(nameOf(crash.observation)) },
                { "since_loss_ms", millisecondsBetween(crash.lostAt, now) },
                { "crashes", fmt::to_string(suspicion.crashesUnder(key)) },
                { "outcome", suspicion.isToBlame(key) ? "to_blame" : "suspected" } });
        open_job* job = jobTable.find(key.jobId);
        if (!job || job->ended || !job->contains(key))
            continue;
        job->dirty = true;
        if (suspicion.isToBlame(key) && !isLongRunning(*job, key))
            giveUp(*job, key);
    }
}

bool cell_owner::data::isLongRunning(const open_job& job, const task_key& key)
{
    return job.accepted.work.steps[key.step].longRunning;
}

void cell_owner::data::giveUp(open_job& job, const task_key& key)
{
    ++counters.jobsGivenUp;
    writeLog(log_level::warning, "cell", "job given up",
        { { "job", key.jobId }, { "step", fmt::to_string(key.step) }, { "task", fmt::to_string(key.index) },
            { "crashes", fmt::to_string(suspicion.crashesUnder(key)) },
            { "reason", "the task crashes the workers that start it" } });
    endJob(job, jobs::job_state::failed);
}

bool cell_owner::data::isRestricted(const open_job& job) const
{
    const std::string& id = job.accepted.work.id;
    // A cut takes many workers at once, and their tasks would wait for each other. The limit on starts holds for stored jobs.
    return suspicion.isRestricted(id) && !(job.accepted.work.answeredAtEnd && suspicion.isUnproven(id));
}

bool cell_owner::data::scheduleRestricted(open_job& job, std::uint32_t step, time_point now)
{
    const std::string& id = job.accepted.work.id;
    auto& waiting = job.steps[step].waiting;
    std::vector<std::uint32_t> startable;
    for (const std::uint32_t index : waiting) {
        const task_key key { id, 0, step, index };
        // A long-running task is started again however its runs end, so no verdict on it is awaited.
        const bool longRunning = isLongRunning(job, key);
        if (!longRunning && suspicion.isToBlame(key)) {
            giveUp(job, key);
            return false;
        }
        if ((longRunning || !suspicion.awaitsVerdict(key)) && !runsOnAnyWorker(key))
            startable.push_back(index);
    }
    if (startable.empty()) {
        // Nothing can start until it is known whether the last workers have crashed.
        for (auto& [worker, session] : sessions) {
            if (session.reservedFor == id && session.runsOfJob(id) == 0)
                session.reservedFor.clear();
        }
        return false;
    }
    worker_session* session = reserveWorker(job, step, now);
    if (!session || !session->onlyEstablishedBeside(id))
        return false;
    const jobs::step& stepDefinition = job.accepted.work.steps[step];
    for (auto index = startable.rbegin(); index != startable.rend(); ++index) {
        const bool tooMany = stepDefinition.maxPerWorker > 0 && session->runsOfStep(id, step) >= stepDefinition.maxPerWorker;
        if (tooMany || !stepDefinition.need.fitsInto(session->free()))
            break;
        std::erase(waiting, *index);
        start(job, { id, 0, step, *index }, *session, now);
    }
    return waiting.empty();
}

worker_session* cell_owner::data::reserveWorker(const open_job& job, std::uint32_t step, time_point now)
{
    const std::string& id = job.accepted.work.id;
    const jobs::step& stepDefinition = job.accepted.work.steps[step];
    worker_session* best = nullptr;
    worker_session* reserved = nullptr;
    std::size_t workers = 0;
    std::size_t reservations = 0;
    const auto readiness = [&](const worker_session& session) {
        const bool ready = session.onlyEstablishedBeside(id) && stepDefinition.need.fitsInto(session.free());
        return std::tuple(ready, session.reservedFor == id, session.free().cpuMillis);
    };
    for (auto& [worker, session] : sessions) {
        const auto& registration = session.registration();
        if (registration.service != job.accepted.service)
            continue;
        ++workers;
        if (session.reservedFor == id)
            reserved = &session;
        else if (!session.reservedFor.empty()) {
            ++reservations;
            continue;
        }
        if (!session.isHealthy(now) || !session.leaseAllowsStart(now) || !stepDefinition.need.fitsInto(registration.capacity)
            || (!stepDefinition.requiredLabel.empty() && !session.hasLabel(stepDefinition.requiredLabel)))
            continue;
        if (!isVerified(session)) {
            workersAwaitVerification = true;
            continue;
        }
        if (!best || readiness(session) > readiness(*best))
            best = &session;
    }
    // While a suspected task runs on the reserved worker, the other tasks of the job run nowhere else.
    if (reserved && reserved->runsOfJob(id) > 0)
        return reserved->isHealthy(now) && reserved->leaseAllowsStart(now) && isVerified(*reserved) ? reserved : nullptr;
    if (!best || reservations >= std::max<std::size_t>(workers / workersPerReservation, 1))
        return nullptr;
    if (reserved)
        reserved->reservedFor.clear();
    best->reservedFor = id;
    return best;
}

void cell_owner::data::checkSuspicions(time_point now)
{
    if (suspicion.empty())
        return;
    reportCrashes(suspicion.expire(now), now);
    for (auto& [worker, session] : sessions) {
        if (session.reservedFor.empty())
            continue;
        const open_job* job = jobTable.find(session.reservedFor);
        const bool needed
            = job && !job->ended && isRestricted(*job) && (session.runsOfJob(session.reservedFor) > 0 || job->readyTasks() > 0);
        if (!needed)
            session.reservedFor.clear();
    }
}

} // namespace coriandermount::cells
