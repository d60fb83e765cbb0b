#include "cells/cell_owner_data.h"

#include <algorithm>

#include <fmt/format.h>

#include "core/skipped_input.h"

namespace coriandermount::cells {

using jobs::record_kind;

namespace {

    /// Returns the position of a record's kind in the order in which the records of a snapshot are applied.
    int replayOrder(const jobs::record& current)
    {
        switch (jobs::recordKindOf(current.key)) {
        case record_kind::owner:
            return 0;
        case record_kind::finished:
            return 1;
        case record_kind::accepted:
            return 2;
        case record_kind::progress:
            return 3;
        default:
            return 4;
        }
    }

    std::vector<jobs::task_outcome> outcomesOf(const open_job& job, const crash_suspicion& suspicion)
    {
        std::vector<jobs::task_outcome> outcomes;
        for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
            const auto& tasks = job.steps[step].tasks;
            for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                const bool done = tasks[index].phase == task_phase::done;
                const auto crashes = suspicion.empty() ? jobs::crash_counts {}
                                                       : suspicion.storedCounts({ job.accepted.work.id, 0, step, index });
                if (done || !tasks[index].failedAttempts.empty() || crashes != jobs::crash_counts {})
                    outcomes.push_back({ step, index, done, tasks[index].failedAttempts, crashes });
            }
        }
        return outcomes;
    }

} // namespace

void cell_owner::data::onSnapshot(const std::vector<jobs::record>& records)
{
    const auto now = clock.now();
    std::vector<const jobs::record*> ordered;
    ordered.reserve(records.size());
    for (const auto& current : records)
        ordered.push_back(&current);
    std::stable_sort(
        ordered.begin(), ordered.end(), [](const auto* a, const auto* b) { return replayOrder(*a) < replayOrder(*b); });
    for (const auto* current : ordered) {
        if (phase == owner_phase::idle)
            return;
        if (phase == owner_phase::replaying)
            replay(*current, now);
        else
            apply(*current, now);
    }
    if (phase != owner_phase::replaying)
        return;
    phase = owner_phase::serving;
    queryLentJobs();
    nextFlush = now;
    writeLog(log_level::info, "cell", "records replayed",
        { { "epoch", fmt::to_string(term.epoch) }, { "records", fmt::to_string(records.size()) },
            { "open_jobs", fmt::to_string(jobTable.open().size()) } });
    tick(now);
}

void cell_owner::data::onRecord(const jobs::record& current)
{
    nextRecord = std::max(nextRecord, current.offset + 1);
    apply(current, clock.now());
}

void cell_owner::data::onCaughtUp(time_point requestedAt)
{
    recordsAsOf = std::max(recordsAsOf, requestedAt);
    noteOwnershipVerified(requestedAt);
    if (givesOrders())
        schedule(clock.now());
}

void cell_owner::data::replay(const jobs::record& current, time_point now)
{
    const auto kind = jobs::recordKindOf(current.key);
    if (current.value && kind == record_kind::progress)
        applyProgress(jobs::jobIdOf(current.key), *current.value);
    else if (current.value && kind == record_kind::finished)
        applyFinished(current, now);
    else
        apply(current, now);
}

void cell_owner::data::apply(const jobs::record& current, time_point now)
{
    if (!current.value)
        return;
    switch (jobs::recordKindOf(current.key)) {
    case record_kind::accepted:
        applyAccepted(current, now);
        break;
    case record_kind::cancelled:
        applyCancelled(jobs::jobIdOf(current.key));
        break;
    case record_kind::owner:
        applyOwner(*current.value);
        break;
    default:
        // This owner wrote the records of progress and finished jobs itself, or an earlier owner's list arrived after the replay.
        break;
    }
}

void cell_owner::data::applyAccepted(const jobs::record& current, time_point now)
{
    auto accepted = jobs::decodeAccepted(*current.value);
    if (!accepted) {
        reportSkippedInput("cell", "stored job", current.key, accepted.error().detail);
        return;
    }
    const std::string id = accepted->work.id;
    if (jobTable.isFinished(id)) {
        obsoleteKeys.push_back(current.key);
        return;
    }
    // A record in the snapshot may repeat one that precedes the owner record, so its job may be running already.
    const std::uint64_t offset = phase == owner_phase::replaying ? 0 : current.offset;
    const auto age = std::max(clock.wallNow() - accepted->acceptedAt, std::chrono::milliseconds(0));
    if (auto* job = jobTable.accept(std::move(*accepted), offset, now - age)) {
        job->startOrder = punctualStart(waitingJob(*job));
        enqueue(*job);
    }
}

void cell_owner::data::applyCancelled(const std::string& jobId)
{
    open_job* job = jobTable.find(jobId);
    if (!job) {
        obsoleteKeys.push_back(jobs::cancelledKey(jobId));
        return;
    }
    job->cancelRecorded = true;
    if (!job->ended)
        endJob(*job, jobs::job_state::cancelled);
}

void cell_owner::data::applyProgress(const std::string& jobId, const std::string& value)
{
    open_job* job = jobTable.find(jobId);
    const auto outcomes = jobs::decodeProgress(value);
    if (!outcomes)
        reportSkippedInput("cell", "progress of a job", jobId, outcomes.error().detail);
    if (!job || !outcomes) {
        obsoleteKeys.push_back(jobs::progressKey(jobId));
        return;
    }
    job->hasProgress = true;
    job->started = true;
    for (const auto& outcome : *outcomes) {
        const task_key key { jobId, 0, outcome.step, outcome.index };
        if (!job->contains(key))
            continue;
        task_state& task = job->task(key);
        task.failedAttempts = outcome.failedAttempts;
        if (!outcome.done)
            suspicion.restore(key, outcome.crashes, clock.now());
        if (!outcome.done || task.phase == task_phase::done)
            continue;
        task.phase = task_phase::done;
        step_state& step = job->steps[outcome.step];
        std::erase(step.waiting, outcome.index);
        if (++step.done == step.tasks.size())
            ++job->stepsDone;
    }
}

void cell_owner::data::applyFinished(const jobs::record& current, time_point now)
{
    const auto list = jobs::decodeFinished(*current.value);
    if (!list) {
        reportSkippedInput("cell", "list of finished jobs", current.key, list.error().detail);
        return;
    }
    const auto at = now - std::max(clock.wallNow() - list->at, std::chrono::milliseconds(0));
    finishedKeys.emplace(at + settings.finishedRetention, current.key);
    // Lent jobs are not stored, so their ends are remembered for a shorter time.
    for (const auto& job : list->jobs)
        jobTable.finishReplayed(job, job.home ? at - settings.finishedRetention + unstoredRetention : at);
}

void cell_owner::data::applyOwner(const std::string& value)
{
    const auto epoch = jobs::decodeOwner(value);
    if (!epoch)
        reportSkippedInput("cell", "owner record", jobs::ownerKey(), epoch.error().detail);
    else if (*epoch > term.epoch)
        endSupersededTerm(fmt::format("the records name an owner with epoch {}", *epoch));
}

void cell_owner::data::writeFinishedJob(const std::string& id, const open_job& job, jobs::append_request& request)
{
    flushedJobs.push_back(id);
    request.records.push_back({ jobs::acceptedKey(id), std::nullopt, 0 });
    if (job.hasProgress)
        request.records.push_back({ jobs::progressKey(id), std::nullopt, 0 });
    if (job.cancelRecorded)
        request.records.push_back({ jobs::cancelledKey(id), std::nullopt, 0 });
}

bool cell_owner::data::writeJobs(jobs::append_request& request, time_point now)
{
    jobs::finished_list finished;
    finished.at = clock.wallNow();
    while (!changedJobs.empty() && request.records.size() < maxFlushedRecords) {
        const std::string id = changedJobs.extract(changedJobs.begin()).value();
        open_job* changed = jobTable.find(id);
        if (!changed)
            continue;
        open_job& job = *changed;
        if (job.ended) {
            finished.jobs.push_back({ id, *job.ended });
            writeFinishedJob(id, job, request);
            continue;
        }
        request.records.push_back({ jobs::progressKey(id), jobs::encodeProgress(outcomesOf(job, suspicion)), 0 });
        job.hasProgress = true;
        suspicion.noteStoring(id);
        storedProgress.push_back(id);
    }
    if (!finished.jobs.empty()) {
        const auto key = jobs::finishedKey(term.epoch, ++flushNumber);
        request.records.push_back({ key, jobs::encodeFinished(finished), 0 });
        finishedKeys.emplace(now + settings.finishedRetention, key);
    }
    return changedJobs.empty();
}

void cell_owner::data::dropOldRecords(jobs::append_request& request, time_point now)
{
    auto expired = finishedKeys.begin();
    for (; expired != finishedKeys.end() && expired->first <= now; ++expired)
        request.records.push_back({ expired->second, std::nullopt, 0 });
    finishedKeys.erase(finishedKeys.begin(), expired);
    for (auto& key : obsoleteKeys)
        request.records.push_back({ std::move(key), std::nullopt, 0 });
    obsoleteKeys.clear();
    jobTable.expire(now - settings.finishedRetention);
}

void cell_owner::data::storeUnstoredEnds(time_point now)
{
    if (phase != owner_phase::serving)
        return;
    // Ends that `tick` has not moved to the table of finished jobs yet.
    checkUnstoredJobs(now);
    const auto finished = jobTable.finishedUnstored();
    if (finished.empty())
        return;
    // The append names no writer: a flush with the next number may be in flight.
    jobs::append_request request;
    request.stream = stream;
    for (auto first = finished.begin(); first != finished.end();) {
        const auto last = first + std::min<std::ptrdiff_t>(finished.end() - first, maxFinishedPerRecord);
        const jobs::finished_list list { clock.wallNow(), { first, last } };
        request.records.push_back({ jobs::finishedKey(term.epoch, ++flushNumber), jobs::encodeFinished(list), 0 });
        first = last;
    }
    deferredCalls.emplace_back([self = shared_from_this(), request = std::move(request)] {
        self->store.append(request, [](const result<std::uint64_t>& answer) {
            if (!answer)
                writeLog(log_level::warning, "cell", "the ends of unstored jobs could not be stored for the next owner",
                    { { "detail", answer.error().detail } });
        });
    });
}

void cell_owner::data::noteChange(open_job& job)
{
    if (!job.accepted.work.answeredAtEnd)
        changedJobs.insert(job.accepted.work.id);
}

void cell_owner::data::prepareFlush(time_point now)
{
    if (flush || now < nextFlush)
        return;
    jobs::append_request request;
    flushedJobs.clear();
    storedProgress.clear();
    flushedEnds.clear();
    const bool complete = writeJobs(request, now);
    dropOldRecords(request, now);
    for (auto& [id, session] : sessions) {
        if (complete && session.lastEnd > session.durableEnd)
            flushedEnds.emplace(std::pair(id, session.registration().bootTime), session.lastEnd);
    }
    if (request.records.empty()) {
        // Run ends that changed no job need no record.
        markEndsDurable();
        return;
    }
    request.stream = stream;
    request.from = jobs::writer { "owner", term.epoch, sequence++ };
    flush = std::move(request);
}

void cell_owner::data::markEndsDurable()
{
    for (const auto& [workerBoot, number] : flushedEnds) {
        const auto session = sessions.find(workerBoot.first);
        if (session != sessions.end() && session->second.registration().bootTime == workerBoot.second)
            session->second.durableEnd = std::max(session->second.durableEnd, number);
    }
    flushedEnds.clear();
}

void cell_owner::data::sendFlush(time_point now)
{
    if (!flush || flushInFlight || now < nextFlush)
        return;
    flushInFlight = true;
    deferredCalls.emplace_back([self = shared_from_this(), request = *flush, number = termNumber] {
        self->store.append(request, [self, number](const result<std::uint64_t>& answer) {
            self->locked([&] {
                if (number == self->termNumber)
                    self->onFlush(answer);
            });
        });
    });
}

void cell_owner::data::onFlush(const result<std::uint64_t>& answer)
{
    const auto now = clock.now();
    flushInFlight = false;
    if (!answer && answer.error().kind == error_kind::log_epoch_fenced) {
        endSupersededTerm("the store has seen a higher epoch");
        return;
    }
    if (!answer) {
        nextFlush = now + flushRetry;
        return;
    }
    nextFlush = now + flushInterval;
    flush.reset();
    for (const auto& id : storedProgress)
        suspicion.noteStored(id);
    for (const auto& id : flushedJobs) {
        const open_job* job = jobTable.find(id);
        if (!job)
            continue;
        answerWatches(id, *job->ended);
        jobTable.finish(id, *job->ended, now);
    }
    markEndsDurable();
}

} // namespace coriandermount::cells
