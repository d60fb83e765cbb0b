#include "cells/cell_owner_data.h"

#include <algorithm>

#include <fmt/format.h>

namespace coriandermount::cells {

bool cell_owner::data::acceptsRequest(const jobs::run_request& request) const
{
    if (request.ownerEpoch != term.epoch)
        return false;
    if (!request.lentBy)
        return true;
    return request.lentBy->epoch >= knownEpoch(request.lentBy->cell);
}

std::uint64_t cell_owner::data::knownEpoch(cell_number cell) const
{
    // An earlier owner of this cell may have been queried by a newer owner of the other one.
    const auto announced = neighbors ? neighbors->announcedEpoch(cell) : 0;
    const auto queried = lenderEpochs.find(cell);
    return std::max(announced, queried == lenderEpochs.end() ? 0 : queried->second);
}

void cell_owner::data::noteClaim(open_job& job, const std::optional<jobs::lender>& lender, time_point now)
{
    if (!lender || job.lentBy != lender->cell)
        return;
    job.lenderEpoch = std::max(job.lenderEpoch, lender->epoch);
    if (std::exchange(job.unclaimedSince, std::nullopt))
        liftLeaseLimits(job.accepted.work.id, now);
}

void cell_owner::data::endUnclaimedLentJobs(time_point now)
{
    std::vector<std::string> unclaimed;
    for (const auto& [id, unstored] : jobTable.unstored()) {
        open_job& job = *unstored;
        if (!job.lentBy || job.ended || job.withdrawnAt || knownEpoch(*job.lentBy) <= job.lenderEpoch)
            continue;
        // A caller that has submitted the job to this cell waits here, whatever becomes of those at home.
        const auto isDirect = [](const job_waiter& waiter) { return !waiter.lent; };
        if (std::any_of(job.waiters.begin(), job.waiters.end(), isDirect))
            continue;
        if (!job.unclaimedSince) {
            job.unclaimedSince = now;
            limitLeases(id, now + lentClaimLimit + settings.stopGrace);
        }
        if (now - *job.unclaimedSince >= lentClaimLimit)
            unclaimed.push_back(id);
    }
    for (const auto& id : unclaimed) {
        open_job& job = *jobTable.find(id);
        writeLog(log_level::info, "cell", "lent job not claimed",
            { { "job", id }, { "home", fmt::to_string(*job.lentBy) }, { "lender_epoch", fmt::to_string(job.lenderEpoch) },
                { "home_epoch", fmt::to_string(knownEpoch(*job.lentBy)) } });
        while (!job.waiters.empty())
            removeWaiter(job, job.waiters.front().request);
        withdrawJob(job, withdrawal_reason::answered, now, now);
    }
}

void cell_owner::data::run(jobs::run_request request, job_completion done)
{
    const auto now = clock.now();
    const std::string& id = request.accepted.work.id;
    if (withdrawnEarly.erase(request.id) > 0) {
        deferredCalls.emplace_back(
            [done = std::move(done)] { done(fail(error_kind::cancelled_before_start, "the caller has left")); });
        return;
    }
    if (!givesOrders() || !acceptsRequest(request)) {
        deferredCalls.emplace_back([done = std::move(done)] {
            done(fail(error_kind::claim_unavailable, "this VM does not own the cell in the requested term"));
        });
        return;
    }
    if (jobTable.isFinished(id)) {
        deferredCalls.emplace_back([done = std::move(done), state = *jobTable.state(id)] { done(state); });
        return;
    }
    open_job* known = jobTable.find(id);
    if (known && known->ended) {
        deferredCalls.emplace_back([done = std::move(done), state = *known->ended] { done(state); });
        return;
    }
    if (known) {
        noteClaim(*known, request.lentBy, now);
        addWaiter(*known, request, std::move(done), now);
        known->giveUpAt = std::max(known->giveUpAt, now + request.timeLeft);
        known->startBy = latestStart(waitingJob(*known));
        if (known->withdrawnAt) {
            noteWithdrawal(id, withdrawal_outcome::resubmitted);
            known->withdrawnAt.reset();
            liftLeaseLimits(id, now);
            enqueue(*known);
        }
        if (request.mayHaveStarted && known->offset == newestOffset)
            noteEarlierOwner(*known);
        return;
    }
    limitStarts(now);
    addRun(std::move(request), std::move(done), now);
}

void cell_owner::data::withdraw(const std::string& id, const jobs::request_id& request, withdrawal_reason reason, time_point now)
{
    if (request.number == 0)
        return;
    open_job* job = jobTable.find(id);
    if (!job)
        stopOrphans(id, now);
    // The withdrawal may come late.
    const time_point heardAt = job ? lastContact(*job).value_or(now) : now;
    if (!job || !removeWaiter(*job, request)) {
        // The messages of one VM come on different connections, so this one may have overtaken its request.
        withdrawnEarly.insert_or_assign(request, now + unstoredRetention);
        return;
    }
    if (!job->ended && job->waiters.empty())
        withdrawJob(*job, reason, heardAt, now);
}

bool cell_owner::data::removeWaiter(open_job& job, const jobs::request_id& request)
{
    const auto found = std::find_if(
        job.waiters.begin(), job.waiters.end(), [&request](const job_waiter& waiter) { return waiter.request == request; });
    if (found == job.waiters.end())
        return false;
    deferredCalls.emplace_back(
        [done = std::move(found->done)] { done(fail(error_kind::cancelled_while_running, "the caller has left")); });
    job.waiters.erase(found);
    return true;
}

void cell_owner::data::stopOrphans(const std::string& id, time_point now)
{
    for (auto& [worker, session] : sessions) {
        std::vector<task_key> orphans;
        for (const auto& [key, current] : session.runs()) {
            if (key.jobId == id && current.orphaned && current.state != run_state::stopping)
                orphans.push_back(key);
        }
        for (const task_key& key : orphans) {
            noteOrphan(key, worker, orphan_outcome::withdrawn, now);
            session.limitLease(id, now + stoppedRunLease);
            stopRun(session, key, now);
        }
    }
}

void cell_owner::data::noteOrphan(const task_key& key, const worker_id& worker, orphan_outcome outcome, time_point now)
{
    ++counters.orphanedRuns[static_cast<std::size_t>(outcome)];
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - takenOverAt);
    writeLog(log_level::info, "cell", "run of an earlier owner resolved",
        { { "job", key.jobId }, { "step", fmt::to_string(key.step) }, { "task", fmt::to_string(key.index) },
            { "worker", worker.value }, { "outcome", std::string(nameOf(outcome)) },
            { "since_takeover_ms", fmt::to_string(age.count()) } });
}

void cell_owner::data::withdrawJob(open_job& job, withdrawal_reason reason, time_point heardAt, time_point now)
{
    const std::string id = job.accepted.work.id;
    job.withdrawnAt = now;
    // After a pause, the caller may have left long ago.
    const bool leftLongAgo = isSettling();
    limitLeases(id, leftLongAgo ? now + stoppedRunLease : heardAt + withdrawnLeaseLimit);
    if (job.lentTo) {
        deferredCalls.emplace_back(
            [self = shared_from_this(), cell = *job.lentTo, id, reason] { self->neighbors->withdraw(cell, id, reason); });
        discardWithdrawnJob(job, withdrawal_outcome::returned);
    } else if (job.isPlaced()) {
        const bool endsAtOnce = reason == withdrawal_reason::answered || leftLongAgo;
        job.giveUpAt = std::min(job.giveUpAt, endsAtOnce ? now : std::min(now + withdrawnRunLimit, heardAt + contactLimit));
    } else if (job.offset != newestOffset) {
        // An earlier owner may have started tasks that are not known yet, so the job stays known, but no task of it starts.
        dequeue(job);
        stopRunsOf(job, now);
    } else {
        discardWithdrawnJob(job, withdrawal_outcome::discarded);
    }
}

void cell_owner::data::limitLeases(const std::string& jobId, time_point limit)
{
    for (auto& [worker, session] : sessions)
        session.limitLease(jobId, limit);
}

void cell_owner::data::liftLeaseLimits(const std::string& jobId, time_point now)
{
    for (auto& [worker, session] : sessions) {
        // The answer to the poll in flight may come after the end of the limited lease.
        if (session.liftLeaseLimit(jobId) && session.leaseLimit() == time_point::max())
            pollAtOnce(session, now);
    }
}

void cell_owner::data::stopRunsOf(const open_job& job, time_point now)
{
    for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
        for (std::uint32_t index = 0; index < job.steps[step].tasks.size(); ++index) {
            const task_state& task = job.steps[step].tasks[index];
            const auto session = sessions.find(task.runsOn);
            if (task.phase == task_phase::placed && session != sessions.end())
                stopRun(session->second, { job.accepted.work.id, 0, step, index }, now);
        }
    }
}

void cell_owner::data::endWithdrawnJobs(time_point now)
{
    for (const auto& [id, job] : jobTable.unstored()) {
        if (job->withdrawnAt && !job->ended)
            job->giveUpAt = std::min(job->giveUpAt, now - std::chrono::milliseconds(1));
    }
    checkUnstoredJobs(now);
}

void cell_owner::data::discardWithdrawnJob(open_job& job, withdrawal_outcome outcome)
{
    const std::string id = job.accepted.work.id;
    noteWithdrawal(id, outcome);
    endJob(job, jobs::job_state::cancelled);
    jobTable.erase(id);
}

void cell_owner::data::noteWithdrawal(const std::string& id, withdrawal_outcome outcome)
{
    ++counters.withdrawnJobs[static_cast<std::size_t>(outcome)];
    writeLog(log_level::info, "cell", "callers left", { { "job", id }, { "outcome", std::string(nameOf(outcome)) } });
}

void cell_owner::data::addRun(jobs::run_request request, job_completion done, time_point now)
{
    const std::uint64_t offset = request.mayHaveStarted ? 0 : newestOffset;
    open_job* job = jobTable.accept(std::move(request.accepted), offset, now);
    addWaiter(*job, request, std::move(done), now);
    job->giveUpAt = now + request.timeLeft;
    job->startOrder = punctualStart(waitingJob(*job));
    job->startBy = latestStart(waitingJob(*job));
    job->promisedStart = job->startBy;
    if (request.lentBy)
        job->lentBy = request.lentBy->cell;
    noteClaim(*job, request.lentBy, now);
    if (request.mayHaveStarted)
        adoptOrphans(*job);
    if (evacuation.isActive())
        admitElsewhere(*job, now);
    else if (!lend(*job, now))
        admit(*job, now);
}

std::int64_t cell_owner::data::idleCpu(const service_id& service, time_point now) const
{
    const auto usual = std::max(static_cast<std::int64_t>(averageTaskCpu), std::int64_t { 1 });
    const double share = evacuation.usableShare(now);
    if (share <= 0)
        return 0;
    std::int64_t idle = 0;
    for (const auto& [id, session] : sessions) {
        if (session.registration().service == service && session.acceptsStarts(now))
            idle += session.free().cpuMillis / usual * usual;
    }
    if (share == 1)
        return idle;
    const auto [all, used] = cellCpu(now);
    return std::min(idle, static_cast<std::int64_t>(std::max(share * all - used, 0.0)));
}

bool cell_owner::data::hasRunsOf(const std::string& jobId) const
{
    const bool lost = std::any_of(
        unverifiedLosses.begin(), unverifiedLosses.end(), [&jobId](const lost_run& run) { return run.task.jobId == jobId; });
    const task_key first { jobId, 0, 0, 0 };
    return lost || std::any_of(sessions.begin(), sessions.end(), [&first](const auto& entry) {
        const auto& runs = entry.second.runs();
        const auto found = runs.lower_bound(first);
        return found != runs.end() && found->first.jobId == first.jobId;
    });
}

std::optional<cell_number> cell_owner::data::earlierBorrower(const std::string& id) const
{
    if (const auto before = jobsLentUnanswered.find(id); before != jobsLentUnanswered.end())
        return before->second.cell;
    const auto before = jobsLentEarlier.find(id);
    return before == jobsLentEarlier.end() ? std::nullopt : std::optional(before->second);
}

bool cell_owner::data::lend(open_job& job, time_point now)
{
    if (!neighbors || job.lentBy || job.started || job.ended || suspicion.isRestricted(job.accepted.work.id)
        || !hasContact(job, startContactLimit, now))
        return false;
    if (const auto cell = earlierBorrower(job.accepted.work.id)) {
        job.offset = 0;
        lendTo(*cell, job, true, now);
        return true;
    }
    std::int64_t need = 0;
    for (const auto& step : job.accepted.work.steps)
        need = std::max(need, step.need.cpuMillis * step.taskCount);
    if (job.offset != newestOffset || !lentJobsQueryCompleted || need <= idleCpu(job.accepted.service, now))
        return false;
    // Runs of an earlier submission may not have stopped yet, and the other cell does not know them.
    if (hasRunsOf(job.accepted.work.id))
        return false;
    const auto cell = neighbors->reserveCapacity(job.accepted.service, need);
    if (!cell)
        return false;
    lendTo(*cell, job, false, now);
    return true;
}

void cell_owner::data::lendTo(cell_number cell, open_job& job, bool mayHaveStarted, time_point now)
{
    dequeue(job);
    job.lentTo = cell;
    job.started = true;
    ++counters.lentJobs;
    jobs::run_request request { job.accepted, mayHaveStarted,
        std::chrono::duration_cast<std::chrono::milliseconds>(job.giveUpAt - now), jobs::lender { 0, term.epoch } };
    writeLog(log_level::info, "cell", "job lent", { { "job", job.accepted.work.id }, { "cell", fmt::to_string(cell) } });
    deferredCalls.emplace_back([self = shared_from_this(), cell, request = std::move(request), number = termNumber] {
        self->neighbors->run(cell, request, [self, number, id = request.accepted.work.id](const result<jobs::job_state>& result) {
            self->locked([&] {
                if (number == self->termNumber)
                    self->onLentAnswer(id, result);
            });
        });
    });
}

void cell_owner::data::onLentAnswer(const std::string& id, const result<jobs::job_state>& result)
{
    open_job* job = jobTable.find(id);
    if (!job || job->ended)
        return;
    if (result) {
        endJob(*job, *result);
        return;
    }
    if (rowOf(result.error().kind).result == outcome::not_run) {
        const auto refusedBy = std::exchange(job->lentTo, std::nullopt);
        job->started = false;
        if (evacuation.isActive() && refusedBy)
            noteRelocationRefused(*job, *refusedBy, result.error());
        admit(*job, clock.now());
        return;
    }
    answer(*job, result);
    endJob(*job, jobs::job_state::cancelled);
}

void cell_owner::data::onLentJobs(const lent_jobs& lent, bool complete, time_point now)
{
    jobsLentEarlier.insert(lent.begin(), lent.end());
    lentJobsQueryCompleted = true;
    lentJobsComplete = complete;
    for (const auto& [id, cell] : lent) {
        open_job* job = jobTable.find(id);
        if (!job || job->started || job->ended || job->lentBy || job->withdrawnAt)
            continue;
        // The other cell reports the job as running, also to an owner of that cell that does not know it yet.
        job->offset = 0;
        lendTo(cell, *job, true, now);
    }
    schedule(now);
}

void cell_owner::data::queryLentJobs()
{
    const auto now = clock.now();
    nextLentJobsQuery = now + (now < takenOverAt + frequentQueryLimit ? lentJobsQueryInterval : slowLentJobsQueryInterval);
    if (!neighbors) {
        lentJobsQueryCompleted = true;
        lentJobsComplete = true;
        return;
    }
    deferredCalls.emplace_back([self = shared_from_this(), number = termNumber, epoch = term.epoch] {
        self->neighbors->queryLentJobs(epoch, [self, number](const lent_jobs& lent, bool complete) {
            self->locked([&] {
                if (number != self->termNumber)
                    return;
                self->onLentJobs(lent, complete, self->clock.now());
            });
        });
    });
}

void cell_owner::data::noteEarlierOwner(open_job& job)
{
    job.offset = 0;
    if (!job.lentTo)
        adoptOrphans(job);
}

void cell_owner::data::adoptOrphans(open_job& job)
{
    const std::string id = job.accepted.work.id;
    liftLeaseLimits(id, clock.now());
    if (const auto ended = orphanedEnds.find(id); ended != orphanedEnds.end()) {
        const auto tasks = std::move(ended->second);
        orphanedEnds.erase(ended);
        for (const auto& key : tasks) {
            if (job.contains(key) && !job.ended)
                completeTask(job, key, {});
        }
    }
    for (auto& [worker, session] : sessions) {
        std::vector<task_key> found;
        for (auto& [key, current] : session.runs()) {
            if (key.jobId != id || !current.orphaned || !job.contains(key) || job.task(key).phase != task_phase::waiting)
                continue;
            current.orphaned = false;
            found.emplace_back(key);
            task_state& task = job.task(key);
            std::erase(job.steps[key.step].waiting, key.index);
            task.phase = task_phase::placed;
            task.runsOn = worker;
            task.attempt = std::max(task.attempt, current.attempt);
            job.started = true;
        }
        for (const auto& key : found) {
            noteOrphan(key, worker, orphan_outcome::adopted, clock.now());
            worker_run known = *session.find(key);
            known.need = job.accepted.work.steps[key.step].need;
            known.estimate = job.accepted.work.steps[key.step].estimate;
            session.addRun(key, known);
        }
    }
    updateQueue(job);
}

void cell_owner::data::answer(open_job& job, const result<jobs::job_state>& result)
{
    for (auto& waiter : job.waiters)
        deferredCalls.emplace_back([done = std::move(waiter.done), result] { done(result); });
    job.waiters.clear();
    endedUnstoredJobs.push_back(job.accepted.work.id);
}

void cell_owner::data::checkUnstoredJobs(time_point now)
{
    endUnclaimedLentJobs(now);
    for (const auto& [id, job] : jobTable.unstored()) {
        if (job->ended || now <= job->giveUpAt)
            continue;
        if (job->withdrawnAt)
            noteWithdrawal(id, withdrawal_outcome::stopped);
        limitLeases(id, lastContact(*job).value_or(now) + withdrawnLeaseLimit);
        answer(*job, fail(error_kind::deadline_passed_while_running, "the time limit of the caller passed before the job ended"));
        endJob(*job, jobs::job_state::cancelled);
    }
    for (const auto& id : endedUnstoredJobs) {
        const open_job* job = jobTable.find(id);
        if (job && job->ended == jobs::job_state::cancelled)
            jobTable.erase(id);
        else if (job)
            jobTable.finish(id, *job->ended, now - settings.finishedRetention + unstoredRetention);
    }
    endedUnstoredJobs.clear();
    if (now > takenOverAt + previousOwnerLimit)
        orphanedEnds.clear();
    if (now > takenOverAt + unstoredRetention)
        jobsLentEarlier.clear();
    std::erase_if(jobsLentUnanswered, [now](const auto& entry) { return now > entry.second.until; });
    jobTable.expire(now - settings.finishedRetention);
}

void cell_owner::data::failWaiters(std::string_view reason)
{
    for (auto& [id, job] : jobTable.open()) {
        for (auto& waiter : job.waiters)
            deferredCalls.emplace_back(
                [done = std::move(waiter.done), detail = std::string(reason)] { done(fail(error_kind::owner_unknown, detail)); });
        job.waiters.clear();
    }
}

void cell_owner::run(jobs::run_request request, job_completion done)
{
    m_data->locked([&] { m_data->run(std::move(request), std::move(done)); });
}

void cell_owner::withdraw(const std::string& jobId, const jobs::request_id& request, withdrawal_reason reason)
{
    m_data->locked([&] { m_data->withdraw(jobId, request, reason, m_data->clock.now()); });
}

} // namespace coriandermount::cells
