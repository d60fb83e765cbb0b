#include "cells/cell_owner_data.h"

#include <algorithm>

#include <fmt/format.h>

namespace coriandermount::cells {

namespace {

    /// Weight of the newest task in the moving average of the CPU need.
    constexpr double averageTaskCpuWeight = 0.02;
    /// Consecutive losses of one worker that are counted in the loss share of the cell.
    constexpr int mostLossesCounted = 3;
    /// Number of times, beyond the tolerated losses, that a lost stop order is repeated at once.
    constexpr int stopRetries = 2;

} // namespace

bool cell_owner::data::isOfThisTerm(std::uint64_t attempt) const
{
    return attempt > (term.epoch - 1) * attemptsPerEpoch && attempt <= term.epoch * attemptsPerEpoch;
}

void cell_owner::data::start(open_job& job, const task_key& key, worker_session& session, time_point now, double slowdown)
{
    const jobs::step& step = job.accepted.work.steps[key.step];
    const worker_registration& worker = session.registration();
    task_state& task = job.task(key);
    task.attempt = std::max(task.attempt, (term.epoch - 1) * attemptsPerEpoch) + 1;
    task.phase = task_phase::placed;
    task.runsOn = worker.id;
    job.started = true;
    job.firstStart = job.firstStart.value_or(now);
    ++counters.starts;
    lastStartAt = now;
    averageTaskCpu += averageTaskCpuWeight * (static_cast<double>(step.need.cpuMillis) - averageTaskCpu);

    worker_run added;
    added.attempt = task.attempt;
    added.need = step.need;
    added.estimate = std::chrono::duration_cast<std::chrono::milliseconds>(step.estimate * slowdown);
    added.longRunning = step.longRunning;
    added.sentAt = now;
    added.progressAt = now;
    session.addRun(key, added);
    session.nextPoll = std::min(session.nextPoll, now);
    sendStart(job, key, session, now);
}

void cell_owner::data::sendStart(open_job& job, const task_key& key, worker_session& session, time_point now)
{
    const worker_registration& worker = session.registration();
    worker_run& current = *session.find(key);
    start_order order { key, current.attempt, job.accepted.work.payload,
        session.extendLease(settings.maxLease, leaseLimit(session), now), term.epoch,
        job.accepted.work.steps[key.step].gang ? job.steps[key.step].checkpoint : job.task(key).checkpoint };
    current.startableUntil = session.leasesEnded(now);
    ++current.tries;
    current.startInFlight = true;
    pace.noteStart();
    order.answerLimit = calls.answerLimit(current.tries, longestStartAnswer) + lagAllowance(now);
    deferredCalls.emplace_back([self = shared_from_this(), worker, order = std::move(order), now, number = termNumber] {
        self->link.start(
            worker, order, [self, number, worker, now, key = order.task, attempt = order.attempt](const auto& answer) {
                self->locked([&] {
                    if (number == self->termNumber)
                        self->onStart(worker, key, attempt, now, answer);
                });
            });
    });
}

worker_session* cell_owner::data::sessionOf(const worker_registration& addressee)
{
    const auto found = sessions.find(addressee.id);
    const bool sameBoot = found != sessions.end() && found->second.registration().bootTime == addressee.bootTime;
    return sameBoot ? &found->second : nullptr;
}

void cell_owner::data::noteCall(worker_session* session, time_point sentAt, std::optional<order_failure> failure, time_point now)
{
    if (session && failure == order_failure::connection_refused && !session->refusedAt) {
        session->refusedAt = now;
        noteFall(*session, sentAt, now);
    }
    if (failure && (isUnsent(*failure) || mayBeOwnLag(*failure, now)))
        return;
    if (failure == order_failure::no_answer) {
        // Of a worker that has fallen silent, only the first losses say something about the network.
        if (session && session->lostCalls++ < mostLossesCounted)
            calls.noteLoss();
        return;
    }
    calls.noteAnswer(now - sentAt);
    lag.noteAnswer(now, now - sentAt);
    if (session)
        session->noteAnswer(now);
}

void cell_owner::data::noteResolved(worker_run& current, time_point now)
{
    if (!current.unansweredSince)
        return;
    const auto bound = std::find_if(resolutionBounds.begin(), resolutionBounds.end(),
        [&](std::chrono::milliseconds limit) { return now - *current.unansweredSince <= limit; });
    ++counters.resolvedStarts[static_cast<std::size_t>(bound - resolutionBounds.begin())];
    current.unansweredSince.reset();
}

void cell_owner::data::onStart(const worker_registration& addressee, const task_key& key, std::uint64_t attempt,
    time_point sentAt, const tl::expected<order_answer, order_failure>& answer)
{
    const auto now = clock.now();
    worker_session* addressed = sessionOf(addressee);
    noteCall(addressed, sentAt, answer ? std::nullopt : std::optional(answer.error()), now);
    pace.noteEnd(now, answer || (!isUnsent(answer.error()) && answer.error() != order_failure::no_answer));
    if (!addressed)
        return;
    worker_session& session = *addressed;
    worker_run* current = session.find(key);
    if (!current || current->attempt != attempt)
        return;
    current->startInFlight = false;
    if (!answer) {
        const worker_run failed = *current;
        const start_decision decision = onStartFailed(session, key, *current, answer.error(), now);
        reportFailedStart(addressee.id, key, failed, answer.error(), decision);
        schedule(now);
        return;
    }
    session.noteClock(answer->clock, now);
    session.noteAnswered();
    if (current->state != run_state::stopping)
        current->provableFrom = now;
    current->uncertain = false;
    noteResolved(*current, now);
    if (!current->confirmedAt)
        current->confirmedAt = now;
    if (current->state == run_state::starting)
        current->state = run_state::running;
    if (pace.isLimited() && pace.hasRoom())
        schedule(now);
}

start_decision cell_owner::data::onStartFailed(
    worker_session& session, const task_key& key, worker_run& current, order_failure failure, time_point now)
{
    if (failure == order_failure::fenced) {
        endSupersededTerm("a worker has seen a higher token");
        return start_decision::term_ended;
    }
    if (current.confirmedAt)
        return start_decision::kept;
    current.uncertain = current.uncertain || failure == order_failure::no_answer;
    if (current.uncertain && !current.unansweredSince)
        current.unansweredSince = now;
    const bool attemptEnded = failure == order_failure::attempt_too_old;
    const bool ownLag = mayBeOwnLag(failure, now);
    // An order that is sent again would come after all that this owner has still to do.
    if (current.uncertain && !attemptEnded && !ownLag && retryStart(session, key, current, now))
        return start_decision::sent_again;
    if (!ownLag)
        pauseStarts(session, failure, now);
    if (!current.uncertain && !attemptEnded) {
        const std::uint64_t attempt = current.attempt;
        session.nextPoll = std::min(session.nextPoll, now);
        session.removeRun(key);
        requeue(key, session.registration().id, attempt);
        return start_decision::requeued;
    }
    // The worker does not start an attempt again that has ended there, so the next poll shows its end, if it has run.
    if (attemptEnded && !current.provableFrom)
        current.provableFrom = current.state == run_state::stopping ? now + settings.stopGrace : now;
    if (open_job* job = jobTable.find(key.jobId); job && job->contains(key))
        job->task(key).failedOn = session.registration().id;
    if (ownLag)
        session.nextPoll = std::min(session.nextPoll, now);
    else
        pollAtOnce(session, now);
    return start_decision::kept;
}

void cell_owner::data::pauseStarts(worker_session& session, order_failure failure, time_point now)
{
    switch (failure) {
    case order_failure::no_answer:
        if (session.lostCalls > session.toleratedLosses)
            session.noteUnanswered(now);
        break;
    case order_failure::no_room:
        session.pauseStartsUntil(now + noCapacityPause);
        break;
    case order_failure::too_late:
    case order_failure::attempt_too_old:
        break;
    default:
        session.pauseStartsUntil(now + refusalPause);
        break;
    }
}

void cell_owner::data::reportFailedStart(
    const worker_id& id, const task_key& key, const worker_run& failed, order_failure failure, start_decision decision)
{
    ++counters.startFailures[static_cast<std::size_t>(failure)];
    ++counters.startDecisions[static_cast<std::size_t>(decision)];
    writeLog(log_level::info, "cell", "start order failed",
        { { "job", key.jobId }, { "step", fmt::to_string(key.step) }, { "task", fmt::to_string(key.index) },
            { "attempt", fmt::to_string(failed.attempt) }, { "try", fmt::to_string(failed.tries) }, { "worker", id.value },
            { "outcome", std::string(nameOf(failure)) }, { "decision", std::string(nameOf(decision)) } });
}

bool cell_owner::data::retryStart(worker_session& session, const task_key& key, const worker_run& current, time_point now)
{
    open_job* job = jobTable.find(key.jobId);
    if (!job || job->ended || current.state != run_state::starting || current.tries >= maxStartTries || isSettling()
        || !evacuation.allowsStartedJobs(now) || !hasContact(*job, startContactLimit, now))
        return false;
    // The attempt number stays the same, so the worker executes at most one of the orders.
    sendStart(*job, key, session, now);
    return true;
}

void cell_owner::data::stopRun(worker_session& session, const task_key& key, time_point now)
{
    worker_run* current = session.find(key);
    if (!current)
        return;
    current->state = run_state::stopping;
    current->provableFrom.reset();
    current->stopSentAt = now;
    session.nextPoll = std::min(session.nextPoll, now);
    const worker_registration& worker = session.registration();
    const stop_order order { key, current->attempt, term.epoch,
        calls.answerLimit(session.lostCalls + 1, longestStopAnswer) + lagAllowance(now) };
    deferredCalls.emplace_back([self = shared_from_this(), worker, order, now, number = termNumber] {
        self->link.stop(worker, order, [self, number, worker, now, order](const auto& answer) {
            self->locked([&] {
                if (number == self->termNumber)
                    self->onStop(worker, order.task, order.attempt, now, answer);
            });
        });
    });
}

void cell_owner::data::onStop(const worker_registration& addressee, const task_key& key, std::uint64_t attempt, time_point sentAt,
    const tl::expected<order_answer, order_failure>& answer)
{
    const auto now = clock.now();
    worker_session* session = sessionOf(addressee);
    noteCall(session, sentAt, answer ? std::nullopt : std::optional(answer.error()), now);
    worker_run* current = session ? session->find(key) : nullptr;
    if (!current || current->attempt != attempt)
        return;
    if (answer) {
        // Until the stop has ended the run, the worker may list it neither as running nor as ended.
        current->provableFrom = now + settings.stopGrace;
    } else if (answer.error() == order_failure::fenced) {
        endSupersededTerm("a worker has seen a higher token");
    } else if (answer.error() == order_failure::no_answer && session->lostCalls <= session->toleratedLosses + stopRetries) {
        stopRun(*session, key, now);
    }
}

} // namespace coriandermount::cells
