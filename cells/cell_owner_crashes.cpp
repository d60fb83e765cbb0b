#include "cells/cell_owner_data.h"

#include <algorithm>

#include <fmt/format.h>

namespace coriandermount::cells {

namespace {

    /// One in this number of the workers of a service may be reserved for suspected jobs; at least one is.
    constexpr std::size_t workersPerReservation = 4;
    /// Workers that were last heard within this time of each other may have been lost together.
    constexpr std::chrono::milliseconds commonLossWindow { 1000 };
    /// Time within which a broken call is reported.
    constexpr std::chrono::milliseconds brokenCallMargin { 50 };
    /// Longest times for which a crash and a silence of a worker that is not polled count as unnoticed.
    constexpr std::chrono::milliseconds longestUnnoticedCrash { 500 };
    constexpr std::chrono::milliseconds longestUnnoticedSilence { 2000 };
    /// Time of a lease that may have passed when the answer to the order that extended it arrives: the wait of a poll and the
    /// time that its answer takes.
    constexpr std::chrono::milliseconds usedLease = maxPollWait + std::chrono::milliseconds(100);
    /// Time after its start within which a run is a likely cause when its worker is lost.
    constexpr std::chrono::milliseconds startWindow { 100 };
    /// Time after which a trial of which nothing is heard holds back no others.
    constexpr std::chrono::milliseconds longestTrial { 1000 };

    std::string millisecondsBetween(time_point from, time_point to)
    {
        return fmt::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(to - from).count());
    }

} // namespace

exposed_run cell_owner::data::exposedRun(
    const worker_session& session, const task_key& key, const worker_run& current, time_point now) const
{
    exposed_run exposed { key, current.confirmedAt.has_value(), session.isEstablished(current), loss_timing::unknown };
    // When a run that an earlier owner or an earlier boot has left was started is not known.
    const bool startKnown = current.tries > 0 && current.startableUntil != noStartLimit;
    // Refused connections tell when the worker had crashed at the latest; its silence only tells when it was last heard.
    const time_point lostAtMost = session.refusedAt.value_or(now);
    if (startKnown && (session.refusedAt ? lostAtMost : session.lastAnswerAt) - current.sentAt <= startWindow)
        exposed.timing = loss_timing::at_start;
    else if (lostAtMost - session.lastAnswerAt <= settings.maxLease - usedLease && !current.leaseLimit)
        exposed.timing = loss_timing::in_lease;
    return exposed;
}

bool cell_owner::data::isOpen(const task_key& key)
{
    open_job* job = jobTable.find(key.jobId);
    return job && !job->ended && job->contains(key) && job->task(key).phase != task_phase::done;
}

void cell_owner::data::noteFall(const worker_session& session, time_point sentAt, time_point now)
{
    const worker_registration& worker = session.registration();
    if (worker.draining)
        return;
    // What a worker did before it has answered this owner, and when it was lost, is not known.
    if (!session.listed)
        return;
    std::set<task_key> tasks;
    for (const auto& [key, current] : session.runs()) {
        // An order that was refused together with the connection has not started its task.
        if (!current.confirmedAt && !current.uncertain)
            continue;
        tasks.insert(key);
        if (session.refusedAt && !session.isEstablished(current) && isOpen(key))
            suspicion.noteExposure(key, now);
    }
    if (!tasks.empty()) {
        lastFallAt = now;
        trials.noteFall(session.registration().id, now);
    }
    // A call that was open for a while broke when the worker crashed.
    const time_point from = now - sentAt > brokenCallMargin ? now - brokenCallMargin : session.lastAnswerAt;
    const auto longest = session.refusedAt ? longestUnnoticedCrash : longestUnnoticedSilence;
    suspicion.noteFall(worker.id, worker.bootTime, std::move(tasks), std::max(from, now - longest), now);
}

void cell_owner::data::noteSilence(const worker_session& session, const std::vector<exposed_run>& dropped, time_point now)
{
    // A draining worker leaves as announced.
    const worker_registration& worker = session.registration();
    if (worker.draining)
        return;
    // A deregistered worker may have left as announced in a list that this owner has not read.
    if (session.refusedAt && !session.deregistered)
        reportLosses(suspicion.noteRefusal(worker, dropped, now), now);
    else
        noteSilentLoss(worker, dropped, now);
    reportLoss(session, dropped, now);
    for (const auto& run : dropped) {
        if (open_job* job = jobTable.find(run.task.jobId))
            noteChange(*job);
    }
}

void cell_owner::data::noteSilentLoss(const worker_registration& worker, const std::vector<exposed_run>& dropped, time_point now)
{
    suspicion.noteSilence(worker, dropped, now);
    // The next worker at the address may have been registered before the leases of this one had ended.
    for (const auto& [id, other] : sessions) {
        const worker_registration& later = other.registration();
        if (later.address == worker.address && later.bootTime > worker.bootTime)
            reportLosses(suspicion.noteBoot(later, now), now);
    }
}

void cell_owner::data::noteAlive(const worker_registration& worker)
{
    const auto cleared = suspicion.noteAlive(worker.id, worker.bootTime);
    if (cleared == 0)
        return;
    ++counters.lostWorkersHeardAgain;
    writeLog(log_level::info, "cell", "lost worker answers again",
        { { "worker", worker.id.value }, { "runs", fmt::to_string(cleared) }, { "draining", worker.draining ? "yes" : "no" } });
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

void cell_owner::data::reportLosses(const std::vector<judged_loss>& losses, time_point now)
{
    for (const auto& loss : losses) {
        const task_key& key = loss.task;
        ++counters.workerCrashes[static_cast<std::size_t>(loss.observation)];
        const bool toBlame = suspicion.isToBlame(key);
        writeLog(log_level::warning, "cell", "worker crashed under a task",
            { { "job", key.jobId }, { "step", fmt::to_string(key.step) }, { "task", fmt::to_string(key.index) },
                { "worker", loss.worker.value }, { "observation", std::string(nameOf(loss.observation)) },
                { "since_loss_ms", millisecondsBetween(loss.lostAt, now) },
                { "crashes", fmt::to_string(suspicion.crashesUnder(key)) },
                { "attributed", fmt::to_string(suspicion.crashesAttributedTo(key)) },
                { "outcome", toBlame ? "to_blame" : "suspected" } });
        open_job* job = jobTable.find(key.jobId);
        if (!job || job->ended || !job->contains(key))
            continue;
        noteChange(*job);
        if (toBlame && !isLongRunning(*job, key))
            giveUpLater(key, now);
    }
}

void cell_owner::data::reportSettledLosses()
{
    for (const auto& loss : suspicion.takeSettled()) {
        writeLog(log_level::info, "cell", "loss of a worker settled",
            { { "job", loss.task.jobId }, { "step", fmt::to_string(loss.task.step) }, { "task", fmt::to_string(loss.task.index) },
                { "worker", loss.worker.value }, { "weight", std::string(nameOf(loss.weight)) },
                { "timing", std::string(nameOf(loss.timing)) }, { "others_lost", fmt::to_string(loss.others) },
                { "uncertainty_ms", fmt::to_string(loss.uncertainty.count()) } });
    }
}

void cell_owner::data::giveUpLater(const task_key& key, time_point now)
{
    toGiveUp.try_emplace(key, now + commonLossReportLimit);
}

bool cell_owner::data::isWitness(const worker_session& session, time_point now) const
{
    return session.lastAnswerAt < lastFallAt && now < lastFallAt + commonLossReportLimit && !session.deregistered;
}

void cell_owner::data::giveUpBlamed(time_point now)
{
    for (auto entry = toGiveUp.begin(); entry != toGiveUp.end();) {
        const auto [key, due] = *entry;
        open_job* job = jobTable.find(key.jobId);
        const bool open = job && !job->ended;
        if (open && due > now) {
            ++entry;
            continue;
        }
        entry = toGiveUp.erase(entry);
        if (open && suspicion.isToBlame(key))
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
    // A cut takes many workers at once, and their tasks would wait for each other.
    return suspicion.isRestricted(id) && !suspicion.isUnproven(id);
}

bool cell_owner::data::scheduleRestricted(open_job& job, std::uint32_t step, time_point now)
{
    const std::string& id = job.accepted.work.id;
    auto& waiting = job.steps[step].waiting;
    std::vector<std::uint32_t> startable;
    const bool hasRuns = hasRunsOf(id);
    for (const std::uint32_t index : waiting) {
        const task_key key { id, 0, step, index };
        // A long-running task is started again however its runs end, so no verdict on it is awaited.
        const bool longRunning = isLongRunning(job, key);
        if (!longRunning && suspicion.isToBlame(key)) {
            giveUpLater(key, now);
            return false;
        }
        const bool mayStart = longRunning || (!suspicion.awaitsVerdict(key) && now >= suspicion.heldBackUntil(key));
        if (mayStart && !(hasRuns && runsOnAnyWorker(key)))
            startable.push_back(index);
    }
    const jobs::step& stepDefinition = job.accepted.work.steps[step];
    const bool inTrial = !stepDefinition.longRunning && suspicion.needsTrial(id);
    // Nothing can start until it is known whether the last workers have crashed, or at this moment.
    if (startable.empty() || (inTrial && !prepareTrial(job, step, startable, now))) {
        releaseIdleReservations(id);
        return false;
    }
    worker_session* session = reserveWorker(job, step, now);
    if (session ? !session->onlyEstablishedBeside(id) : !stepDefinition.longRunning)
        return false;
    for (auto index = startable.rbegin(); index != startable.rend(); ++index) {
        const task_key key { id, 0, step, *index };
        const std::uint32_t beside = session ? session->runsOfStep(id, step) : 0;
        const bool tooMany = stepDefinition.maxPerWorker > 0 && beside >= stepDefinition.maxPerWorker;
        worker_session* chosen = session && !tooMany && stepDefinition.need.fitsInto(session->free()) ? session : nullptr;
        const bool mayStartElsewhere = stepDefinition.longRunning && now >= suspicion.heldBackUntil(key);
        // Long-running tasks would wait for each other without end, and stay on one worker.
        if (mayStartElsewhere && (!chosen || beside > 0)) {
            if (worker_session* other = chooseWorker(job, step, job.task(key), {}, now))
                chosen = other;
        }
        if (!chosen) {
            // The next task may not be held back.
            if (stepDefinition.longRunning && !mayStartElsewhere)
                continue;
            break;
        }
        std::erase(waiting, *index);
        start(job, key, *chosen, now);
        if (inTrial)
            trials.noteStart(chosen->registration().id, { chosen->registration().bootTime, now });
    }
    return waiting.empty();
}

bool cell_owner::data::prepareTrial(
    const open_job& job, std::uint32_t step, const std::vector<std::uint32_t>& tasks, time_point now)
{
    const std::string& id = job.accepted.work.id;
    const bool isOpen = trials.isOpen(sessions.size(), now);
    bool stored = true;
    for (const std::uint32_t index : tasks) {
        const task_key key { id, 0, step, index };
        if (!suspicion.needsTrial(key))
            continue;
        // A trial that is planned counts as a crash for the next owner.
        if (isOpen)
            suspicion.planTrial(key);
        // The suspicion against an unstored job ends with the term.
        if (job.accepted.work.answeredAtEnd) {
            suspicion.noteStoring(id);
            suspicion.noteStored(id);
        }
        stored = stored && suspicion.isTrialStored(key);
    }
    return stored && isOpen;
}

void cell_owner::data::checkTrials(time_point now)
{
    std::vector<worker_id> ended;
    for (const auto& [worker, trial] : trials.running()) {
        const auto found = sessions.find(worker);
        const bool lost = found == sessions.end() || found->second.registration().bootTime != trial.bootTime
            || found->second.refusedAt || found->second.failedPolls >= failedPollsOfLoss;
        const bool shown = lost || found->second.runs().empty() || found->second.lastAnswerAt > trial.startedAt + startWindow;
        if (shown || now > trial.startedAt + longestTrial)
            ended.push_back(worker);
    }
    for (const auto& worker : ended)
        trials.noteEnd(worker);
}

void cell_owner::data::releaseIdleReservations(const std::string& jobId)
{
    for (auto& [worker, session] : sessions) {
        if (session.reservedFor == jobId && session.runsOfJob(jobId) == 0)
            session.reservedFor.clear();
    }
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
        const bool tooMany = stepDefinition.maxPerWorker > 0 && session.runsOfStep(id, step) >= stepDefinition.maxPerWorker;
        if (tooMany || !session.isHealthy(now) || !session.leaseAllowsStart(now) || !session.isLargeEnough(stepDefinition))
            continue;
        if (!isVerified(session)) {
            workersAwaitVerification = true;
            continue;
        }
        if (!best || readiness(session) > readiness(*best))
            best = &session;
    }
    // While a suspected task runs on the reserved worker, the other tasks of the job run nowhere else, unless it would outlast
    // them.
    const auto holdsJob
        = [&](const auto& entry) { return entry.first.jobId == id && (stepDefinition.longRunning || !entry.second.longRunning); };
    if (reserved && std::any_of(reserved->runs().begin(), reserved->runs().end(), holdsJob)) {
        const bool usable = reserved->isLargeEnough(stepDefinition) && reserved->isHealthy(now) && reserved->leaseAllowsStart(now)
            && isVerified(*reserved);
        return usable ? reserved : nullptr;
    }
    if (!best || reservations >= std::max<std::size_t>(workers / workersPerReservation, 1))
        return nullptr;
    if (reserved)
        reserved->reservedFor.clear();
    best->reservedFor = id;
    return best;
}

bool cell_owner::data::hasReservedWorker(const open_job& job, std::uint32_t step) const
{
    return std::any_of(sessions.begin(), sessions.end(), [&](const auto& entry) {
        return entry.second.reservedFor == job.accepted.work.id && entry.second.isLargeEnough(job.accepted.work.steps[step]);
    });
}

void cell_owner::data::checkSuspicions(time_point now)
{
    giveUpBlamed(now);
    checkTrials(now);
    if (!suspicion.empty())
        reportLosses(suspicion.expire(now), now);
    reportSettledLosses();
    for (const auto& jobId : suspicion.takeChanges()) {
        if (open_job* job = jobTable.find(jobId)) {
            noteChange(*job);
            updateQueue(*job);
        }
    }
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
