#include "cells/cell_owner_data.h"

#include <algorithm>

#include <fmt/format.h>

namespace coriandermount::cells {

namespace {

    void logOrder(
        std::string_view message, const task_key& key, std::uint64_t attempt, const worker_id& worker, std::string_view outcome)
    {
        writeLog(log_level::info, "cell", message,
            { { "job", key.jobId }, { "step", fmt::to_string(key.step) }, { "task", fmt::to_string(key.index) },
                { "attempt", fmt::to_string(attempt) }, { "worker", worker.value }, { "outcome", std::string(outcome) } });
    }

    /// Returns whether a run that was not known may continue: its task waits, or is still placed there because the loss of the
    /// run was not verified.
    bool mayAdopt(const task_state& task, const running_task& listed, const worker_id& worker)
    {
        return task.phase == task_phase::waiting
            || (task.phase == task_phase::placed && task.runsOn == worker && task.attempt == listed.attempt);
    }

} // namespace

void cell_owner::data::updateWorker(worker_registration registration, time_point now)
{
    capacitiesValidUntil = {};
    const auto found = sessions.find(registration.id);
    if (found == sessions.end()) {
        reportLosses(suspicion.noteBoot(registration, now), now);
        const worker_id id = registration.id;
        sessions.emplace(id, worker_session(std::move(registration), now));
        return;
    }
    worker_session& session = found->second;
    if (registration.bootTime < session.registration().bootTime)
        return;
    if (registration.bootTime == session.registration().bootTime && registration.address == session.registration().address) {
        // A boot that was known from its answer to a poll only has no capacity yet.
        if (session.deregistered || session.registration().capacity.cpuMillis == 0)
            session.noteRegistered(now);
        if (registration.draining)
            noteAlive(registration);
        session.update(std::move(registration), now);
        return;
    }
    writeLog(log_level::info, "cell", "worker restarted",
        { { "worker", registration.id.value }, { "boot", fmt::to_string(registration.bootTime) },
            { "earlier_boot", fmt::to_string(session.registration().bootTime) }, { "address", registration.address },
            { "earlier_address", session.registration().address }, { "runs", fmt::to_string(session.runs().size()) } });
    const worker_registration before = session.registration();
    const bool crashed = registration.bootTime > before.bootTime && !before.draining;
    std::vector<exposed_run> exposed;
    if (crashed) {
        const bool notedBefore = session.refusedAt || session.failedPolls >= failedPollsOfLoss;
        if (!session.runs().empty() && !notedBefore)
            noteFall(session, now, now);
        for (const auto& [key, current] : session.runs()) {
            if (isOpen(key))
                exposed.push_back(exposedRun(session, key, current, now));
        }
    }
    worker_session next(std::move(registration), now);
    next.pollInFlight = session.pollInFlight;
    next.pollNumber = session.pollNumber;
    const auto ended = next.inheritUncertainRuns(session, settings.maxLease, now);
    session = std::move(next);
    for (const auto& [key, current] : ended)
        handleLostRun(session, key, current, run_end_proof::worker_restarted, now);
    reportLosses(suspicion.noteRestart(before.id, before.bootTime, std::move(exposed), now), now);
}

void cell_owner::data::removeWorker(const worker_id& id)
{
    const auto found = sessions.find(id);
    if (found == sessions.end())
        return;
    if (!found->second.deregistered)
        writeLog(log_level::info, "cell", "worker deregistered",
            { { "worker", id.value }, { "runs", fmt::to_string(found->second.runs().size()) } });
    found->second.deregistered = true;
    capacitiesValidUntil = {};
    unlistedWorkerRemoved = unlistedWorkerRemoved || !found->second.listed;
}

void cell_owner::data::dropRuns(worker_session& session, time_point startableAtMost, run_end_proof proof, time_point now)
{
    std::vector<task_key> dropped;
    std::vector<exposed_run> exposed;
    for (const auto& [key, current] : session.runs()) {
        if (current.startableUntil > startableAtMost)
            continue;
        dropped.push_back(key);
        if (isOpen(key))
            exposed.push_back(exposedRun(session, key, current, now));
    }
    noteSilence(session, exposed, now);
    for (const auto& key : dropped)
        handleLostRun(session, key, session.removeRun(key).value(), proof, now);
}

void cell_owner::data::handleLostRun(
    const worker_session& session, const task_key& key, const worker_run& lost, run_end_proof proof, time_point now)
{
    const worker_id id = session.registration().id;
    worker_run resolved = lost;
    noteResolved(resolved, now);
    ++counters.lostRuns[static_cast<std::size_t>(proof)];
    writeLog(log_level::info, "cell", "run lost",
        { { "job", key.jobId }, { "step", fmt::to_string(key.step) }, { "task", fmt::to_string(key.index) },
            { "attempt", fmt::to_string(lost.attempt) }, { "worker", id.value }, { "proof", std::string(nameOf(proof)) } });
    requeueWhenVerified({ key, id, lost.attempt, now });
}

void cell_owner::data::pollWorkers(time_point now)
{
    // Once its lease has ended, a worker may take as long as for a stop to end its runs.
    const time_point beforeGrace = now - settings.stopGrace;
    for (auto entry = sessions.begin(); entry != sessions.end();) {
        worker_session& session = entry->second;
        const bool runsEnded = beforeGrace >= session.leasesEnded(beforeGrace);
        if (session.deregistered && runsEnded && !session.pollInFlight) {
            // The platform says that a worker without a registration has gone, and all its runs with it.
            dropRuns(session, time_point::max(), run_end_proof::worker_gone, now);
            entry = sessions.erase(entry);
            continue;
        }
        if (session.failedPolls >= failedPollsOfLoss && !session.runs().empty() && runsEnded)
            dropRuns(session, beforeGrace, run_end_proof::leases_ended, now);
        pollIfDue(session, now);
        ++entry;
    }
}

void cell_owner::data::pollIfDue(worker_session& session, time_point now)
{
    session.toleratedLosses = calls.toleratedLosses();
    const bool needed = !session.listed || !session.runs().empty() || session.durableEnd > session.acknowledgedEnd
        || session.lastEnd > session.durableEnd || session.failedPolls > 0 || isWitness(session, now);
    if (session.awaitsProof(now))
        pollAtOnce(session, now);
    else if (needed && !session.pollInFlight && now >= session.nextPoll)
        poll(session, now);
}

void cell_owner::data::poll(worker_session& session, time_point now)
{
    session.pollInFlight = true;
    session.pollSentAt = now;
    ++session.pollNumber;
    poll_order order;
    order.token = term.epoch;
    order.acknowledged = session.durableEnd;
    const time_point limit = leaseLimit(session);
    // The lease of a worker that does not answer is not extended, so that its runs can be requeued after the lease ends.
    order.extendsLease = session.knowsClock() && !session.runs().empty() && !session.deregistered
        && now - session.lastAnswerAt < leaseSilenceLimit + lagAllowance(now) && now < limit;
    if (order.extendsLease)
        order.leaseEnd = session.extendLease(settings.maxLease, limit, now);
    order.wait = pollWait(session, now);
    order.answerLimit = calls.answerLimit(session.failedPolls + 2, pollTimeoutMargin) + lagAllowance(now);
    const worker_registration& worker = session.registration();
    deferredCalls.emplace_back(
        [self = shared_from_this(), worker, order, now, pollNumber = session.pollNumber, number = termNumber] {
            const bool immediate = order.wait.count() == 0;
            self->link.poll(worker, order, [self, number, worker, pollNumber, now, immediate](const auto& answer) {
                self->locked([&] {
                    if (number == self->termNumber)
                        self->onPollAnswer(worker, pollNumber, now, immediate, answer);
                });
            });
        });
    session.acknowledging = order.acknowledged;
}

void cell_owner::data::pollAtOnce(worker_session& session, time_point now)
{
    session.pollInFlight = false;
    session.nextPoll = now;
    if (givesOrders())
        poll(session, now);
}

std::chrono::milliseconds cell_owner::data::pollWait(const worker_session& session, time_point now) const
{
    const bool uncertain
        = std::any_of(session.runs().begin(), session.runs().end(), [](const auto& entry) { return entry.second.uncertain; });
    if (!session.listed || session.runs().empty() || session.failedPolls > 0 || uncertain)
        return std::chrono::milliseconds(0);
    // An answer soon after the start ends the trial.
    if (trials.running().contains(session.registration().id))
        return trialPollWait;
    if (calls.lossShare() < lossyShare)
        return maxPollWait;
    const auto expected = session.timeToNextEnd(now);
    return expected > maxLossyPollWait ? maxLossyPollWait : std::max(expected + lossyPollMargin, minLossyPollWait);
}

void cell_owner::data::onPollAnswer(const worker_registration& addressee, std::uint64_t pollNumber, time_point sentAt,
    bool immediate, const tl::expected<poll_answer, order_failure>& answer)
{
    const auto now = clock.now();
    const auto found = sessions.find(addressee.id);
    if (found == sessions.end())
        return;
    worker_session& session = found->second;
    if (session.pollNumber != pollNumber)
        return;
    session.pollInFlight = false;
    const std::int64_t bootTime = addressee.bootTime;
    if (session.registration().bootTime != bootTime)
        return;
    // The answer to a poll that waits for an end says nothing about the time that an answer takes.
    if (immediate || !answer)
        noteCall(&session, sentAt, answer ? std::nullopt : std::optional(answer.error()), now);
    else
        session.noteAnswer(now);
    if (!answer) {
        onPollFailed(session, answer.error(), now);
        return;
    }
    if (answer->bootTime > bootTime) {
        worker_registration next = session.registration();
        next.bootTime = answer->bootTime;
        // A new boot may be smaller or of another kind; its registration shows that.
        next.capacity = {};
        updateWorker(std::move(next), now);
        return;
    }
    if (answer->bootTime < bootTime)
        return;
    applyPollAnswer(session, sentAt, *answer, now);
    schedule(now);
    // Each tick looks at all workers; an answer says something about its own one only.
    if (const auto answered = sessions.find(addressee.id); givesOrders() && answered != sessions.end())
        pollIfDue(answered->second, now);
}

void cell_owner::data::onPollFailed(worker_session& session, order_failure failure, time_point now)
{
    if (failure == order_failure::fenced) {
        endSupersededTerm("a worker has seen a higher token");
        return;
    }
    if (++session.failedPolls == 1)
        logOrder("worker poll failed", {}, 0, session.registration().id, nameOf(failure));
    if (session.failedPolls == failedPollsOfLoss && !session.refusedAt)
        noteFall(session, now, now);
    const bool ownLag = mayBeOwnLag(failure, now);
    if (failure != order_failure::no_answer && !ownLag)
        session.pauseStartsUntil(now + refusalPause);
    const bool mayBeNetwork = !ownLag && failure == order_failure::no_answer && session.lostCalls <= session.toleratedLosses + 1;
    session.nextPoll = mayBeNetwork ? now : now + pollRetryDelay * std::min(session.failedPolls, maxPollBackoff);
}

void cell_owner::data::applyPollAnswer(worker_session& session, time_point sentAt, const poll_answer& answer, time_point now)
{
    if (session.failedPolls > 0)
        logOrder("worker poll succeeded again", {}, 0, session.registration().id, "used");
    session.failedPolls = 0;
    session.listed = true;
    noteEndList(session, answer.endsComplete);
    session.noteClock(answer.clock, now);
    noteAlive(session.registration());
    session.acknowledgedEnd = std::max(session.acknowledgedEnd, session.acknowledging);
    const std::uint64_t before = session.lastEnd;
    for (const auto& ended : answer.ended) {
        if (ended.number <= session.lastEnd)
            continue;
        applyEnd(session, ended, now);
        session.lastEnd = ended.number;
    }
    // Ends that need no record are acknowledged with the next poll, which then waits for the next end.
    if (session.durableEnd >= session.lastEndToRecord)
        session.durableEnd = session.lastEnd;
    for (const auto& listed : answer.running)
        applyRunning(session, listed, now);
    dropUnlistedRuns(session, sentAt, answer, now);
    session.nextPoll = session.lastEnd == before ? now + pollPause : now;
    if (session.runs().empty())
        session.nextPoll = now + idlePollPause;
}

void cell_owner::data::noteEndList(worker_session& session, bool complete)
{
    if (!complete)
        ++counters.incompleteEndLists;
    if (complete != session.endsComplete)
        writeLog(log_level::info, "cell", complete ? "worker lists all its ends again" : "worker lists only its oldest ends",
            { { "worker", session.registration().id.value }, { "acknowledged", fmt::to_string(session.acknowledgedEnd) } });
    session.endsComplete = complete;
    session.earlierEndsKnown = session.earlierEndsKnown || complete;
}

void cell_owner::data::applyEnd(worker_session& session, const ended_task& ended, time_point now)
{
    const worker_id id = session.registration().id;
    const worker_run* current = session.find(ended.task);
    const bool matches = current && current->attempt == ended.attempt;
    if (matches) {
        session.noteEnd(ended.endReason, *current, now);
        worker_run removed = *session.removeRun(ended.task);
        noteResolved(removed, now);
    }
    if (ended.endReason != run_end_reason::done)
        logOrder("run ended", ended.task, ended.attempt, id, nameOf(ended.endReason));
    open_job* job = jobTable.find(ended.task.jobId);
    if (job && !job->accepted.work.answeredAtEnd)
        session.lastEndToRecord = ended.number;
    if (!job && ended.endReason == run_end_reason::done && now < takenOverAt + previousOwnerLimit)
        orphanedEnds[ended.task.jobId].push_back(ended.task);
    if (!job || job->ended || !job->contains(ended.task))
        return;
    task_state& task = job->task(ended.task);
    task.attempt = std::max(task.attempt, ended.attempt);
    noteCheckpoint(*job, ended.task, ended.checkpoint);
    if (!job->accepted.work.steps[ended.task.step].longRunning)
        applyEndToJob(*job, ended, id);
    requeue(ended.task, id, ended.attempt);
}

void cell_owner::data::applyEndToJob(open_job& job, const ended_task& ended, const worker_id& by)
{
    const bool gang = job.accepted.work.steps[ended.task.step].gang;
    if (ended.endReason == run_end_reason::done && !gang) {
        completeTask(job, ended.task, by);
    } else if (ended.endReason == run_end_reason::done) {
        // One member that is done completes the whole gang, because the other members end with it.
        for (std::uint32_t index = 0; index < job.steps[ended.task.step].tasks.size() && !job.ended; ++index) {
            const task_key member { ended.task.jobId, ended.task.occurrence, ended.task.step, index };
            completeTask(job, member, job.task(member).runsOn);
        }
    } else if (ended.endReason == run_end_reason::failed) {
        // The failures of all members of a gang are counted together, at its first member.
        const task_key counted { ended.task.jobId, ended.task.occurrence, ended.task.step, gang ? 0 : ended.task.index };
        failTask(job, counted, by, ended.attempt);
    }
}

void cell_owner::data::applyRunning(worker_session& session, const running_task& listed, time_point now)
{
    worker_run* current = session.find(listed.task);
    if (!current || current->attempt < listed.attempt) {
        adoptRun(session, listed, now);
        return;
    }
    if (current->attempt != listed.attempt)
        return;
    if (!current->confirmedAt)
        current->confirmedAt = now;
    current->uncertain = false;
    noteResolved(*current, now);
    current->listed = true;
    // Of a run that is being stopped, a poll proves nothing until the stop is answered.
    if (current->state != run_state::stopping)
        current->provableFrom = current->provableFrom.value_or(now);
    if (listed.percent != current->percent) {
        current->percent = listed.percent;
        current->progressAt = now;
    }
    if (current->state == run_state::stopping) {
        if (!current->stopSentAt || now - *current->stopSentAt > stopRetryDelay)
            stopRun(session, listed.task, now);
        return;
    }
    current->state = run_state::running;
    if (session.isEstablished(*current))
        suspicion.noteEstablished(listed.task);
    if (open_job* job = jobTable.find(listed.task.jobId); job && job->contains(listed.task))
        noteCheckpoint(*job, listed.task, listed.checkpoint);
    checkProgress(session, listed.task, *current, now);
}

void cell_owner::data::adoptRun(worker_session& session, const running_task& listed, time_point now)
{
    const worker_id id = session.registration().id;
    open_job* job = jobTable.find(listed.task.jobId);
    worker_run added;
    added.attempt = listed.attempt;
    added.listed = true;
    added.state = run_state::running;
    added.sentAt = now;
    added.confirmedAt = now;
    added.provableFrom = now;
    added.progressAt = now;
    added.percent = listed.percent;
    const bool known = job && job->contains(listed.task);
    added.orphaned = !job && !jobTable.isFinished(listed.task.jobId) && !resubmissionsOver && awaitsResubmissions(now);
    // The earlier owner may have limited the lease because the caller has left.
    if (added.orphaned)
        added.leaseLimit = now;
    if (known) {
        added.need = job->accepted.work.steps[listed.task.step].need;
        added.estimate = job->accepted.work.steps[listed.task.step].estimate;
        added.longRunning = job->accepted.work.steps[listed.task.step].longRunning;
    }
    session.addRun(listed.task, added);
    session.noteEarlierLease(settings.maxLease);
    std::erase_if(unverifiedLosses,
        [&](const lost_run& lost) { return lost.task == listed.task && lost.worker == id && lost.attempt == listed.attempt; });
    const bool shouldAdopt = known && !job->ended && !job->withdrawnAt && mayAdopt(job->task(listed.task), listed, id);
    logOrder("unknown run found on worker", listed.task, listed.attempt, id,
        shouldAdopt          ? "adopted"
            : added.orphaned ? "kept until its job is resubmitted"
                             : "stopped");
    if (isOfThisTerm(listed.attempt)) {
        ++counters.runsFoundAgain;
        writeLog(log_level::error, "cell", "a run that counted as ended is still running",
            { { "job", listed.task.jobId }, { "step", fmt::to_string(listed.task.step) },
                { "task", fmt::to_string(listed.task.index) }, { "attempt", fmt::to_string(listed.attempt) },
                { "worker", id.value } });
    }
    if (added.orphaned)
        return;
    if (!shouldAdopt) {
        if (!job || job->withdrawnAt)
            session.limitLease(listed.task.jobId, now + stoppedRunLease);
        stopRun(session, listed.task, now);
        return;
    }
    task_state& task = job->task(listed.task);
    if (task.phase == task_phase::waiting)
        std::erase(job->steps[listed.task.step].waiting, listed.task.index);
    task.phase = task_phase::placed;
    task.runsOn = id;
    task.attempt = std::max(task.attempt, listed.attempt);
    job->started = true;
    updateQueue(*job);
    if (isRestricted(*job) && session.reservedFor.empty())
        session.reservedFor = listed.task.jobId;
}

bool cell_owner::data::awaitsResubmissions(time_point now) const
{
    time_point limit = takenOverAt + resubmissionLimit;
    if (term.previousOwnerSeenAt)
        limit = std::min(limit, *term.previousOwnerSeenAt + lostCallersLimit);
    if (termKnownAt && acceptingSince)
        limit = std::min(limit, std::max(*termKnownAt, *acceptingSince) + resubmissionMargin + lagAllowance(now));
    return now < limit;
}

void cell_owner::data::stopUnclaimedRuns(time_point now)
{
    if (resubmissionsOver || awaitsResubmissions(now))
        return;
    resubmissionsOver = true;
    for (auto& [worker, session] : sessions) {
        std::vector<task_key> unclaimed;
        for (const auto& [key, current] : session.runs()) {
            if (current.orphaned && current.state != run_state::stopping)
                unclaimed.push_back(key);
        }
        for (const task_key& key : unclaimed) {
            noteOrphan(key, worker, orphan_outcome::not_resubmitted, now);
            stopRun(session, key, now);
        }
    }
}

void cell_owner::data::dropUnlistedRuns(worker_session& session, time_point sentAt, const poll_answer& answer, time_point now)
{
    std::set<task_key> listed;
    for (const auto& current : answer.running)
        listed.insert(current.task);
    std::vector<std::pair<task_key, worker_run>> missing;
    for (const auto& [key, current] : session.runs()) {
        if (!listed.contains(key))
            missing.emplace_back(key, current);
    }
    for (const auto& [key, current] : missing) {
        const bool answered = current.provableFrom && *current.provableFrom < sentAt;
        const bool expired = current.uncertain && current.startableUntil + lateStartMargin < sentAt;
        // A run that is missing in an incomplete list may have ended: its end is listed once earlier ones are acknowledged.
        if (answer.endsComplete && (answered || expired)) {
            session.removeRun(key);
            handleLostRun(session, key, current, answered ? run_end_proof::not_listed : run_end_proof::order_expired, now);
        } else if ((current.uncertain || current.state == run_state::stopping) && !current.provableFrom && !current.startInFlight
            && (!current.stopSentAt || now - *current.stopSentAt > stopRetryDelay)) {
            stopRun(session, key, now);
        }
    }
}

void cell_owner::data::checkProgress(worker_session& session, const task_key& key, worker_run& current, time_point now)
{
    const std::chrono::duration<double, std::milli> expected
        = std::chrono::duration<double, std::milli>(current.estimate) * session.slowness() * stallEstimates;
    if (current.orphaned || current.longRunning || now - current.progressAt < stallTime || now - *current.confirmedAt < expected)
        return;
    logOrder("run stalled", key, current.attempt, session.registration().id, "stopped");
    session.pauseStartsUntil(now + quarantineTime);
    stopRun(session, key, now);
}

} // namespace coriandermount::cells
