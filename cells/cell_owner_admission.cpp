#include "cells/cell_owner_data.h"

#include <algorithm>

#include <fmt/format.h>

namespace coriandermount::cells {

waiting_job cell_owner::data::waitingJob(const open_job& job)
{
    return { job.arrivedAt, job.objective, job.giveUpAt, job.runTime, job.started ? job.waitingWork() : job.work };
}

void cell_owner::data::setWaitLimits(open_job& job) const
{
    const waiting_job waiting = waitingJob(job);
    job.punctualUntil = settings.admission->punctualUntil(waiting);
    job.startOrder = settings.admission->startOrder(waiting);
    job.startBy = settings.admission->latestStart(waiting);
    // The owner has promised to get to the job, so that later ones must not come ahead of it.
    if (job.inOrderOfArrival) {
        job.punctualUntil = job.startBy;
        job.startOrder = job.arrivedAt;
    }
}

bool cell_owner::data::isLate(const open_job& job, time_point now)
{
    if (job.isLongRunning())
        return false;
    if (!job.accepted.work.answeredAtEnd)
        return now > job.objective;
    // A job that has started is worth nothing to its caller until its last task has ended.
    return !job.started && now > job.punctualUntil;
}

double cell_owner::data::usableCores(const service_id& service) const
{
    std::int64_t cpuMillis = 0;
    for (const auto& [id, session] : sessions) {
        const auto& worker = session.registration();
        if (worker.service == service && !worker.draining && !session.deregistered
            && (session.failedPolls <= 1 || session.lostCalls <= session.toleratedLosses))
            cpuMillis += worker.capacity.cpuMillis;
    }
    return static_cast<double>(cpuMillis) / 1000.0 * usableShare;
}

void cell_owner::data::lendWaitingJobs(time_point now)
{
    if (!neighbors)
        return;
    std::vector<std::string> waiting;
    for (const auto* queue : { &readyJobs, &lateJobs }) {
        for (auto entry = queue->begin(); entry != queue->end() && waiting.size() < maxLendTries; ++entry) {
            const auto& id = std::get<std::string>(*entry);
            const open_job* job = jobTable.find(id);
            if (job && job->accepted.work.answeredAtEnd && !job->started && now >= job->arrivedAt + lendAgainDelay)
                waiting.push_back(id);
        }
    }
    for (const auto& id : waiting)
        lend(*jobTable.find(id), now);
}

void cell_owner::data::forecastQueue(const std::set<queue_rank>& queue, bool late,
    std::map<service_id, start_forecast>& forecasts, std::size_t& startsAhead,
    std::vector<std::pair<std::string, refusal_reason>>& refused, time_point now) const
{
    for (const auto& rank : queue) {
        const open_job* job = jobTable.find(std::get<std::string>(rank));
        if (!job || job->ended || job->isLongRunning())
            continue;
        auto found = forecasts.find(job->accepted.service);
        if (found == forecasts.end()) {
            const start_forecast empty(now, usableCores(job->accepted.service), arriving.cores(now));
            found = forecasts.emplace(job->accepted.service, empty).first;
        }
        start_forecast& forecast = found->second;
        const waiting_job waiting = waitingJob(*job);
        const time_point start = late ? forecast.addLate(waiting) : forecast.addPunctual(waiting);
        const time_point turn = now + pace.timeUntilDone(startsAhead);
        startsAhead += job->readyTasks();
        if (job->started || !job->accepted.work.answeredAtEnd)
            continue;
        const bool tooLate = now > job->startBy;
        if (!tooLate && !(settings.admission->refusesEarly() && std::max(start, turn) > job->startBy))
            continue;
        late ? forecast.removeLate(waiting) : forecast.removePunctual(waiting);
        startsAhead -= job->readyTasks();
        refused.emplace_back(job->accepted.work.id,
            turn > start  ? refusal_reason::owner_overloaded
                : tooLate ? refusal_reason::waited_too_long
                          : refusal_reason::expected_too_late);
    }
}

void cell_owner::data::refuseHopelessJobs(time_point now)
{
    if (waitingJobs() == 0 || now < nextRefusalCheck)
        return;
    nextRefusalCheck = now + refusalCheckInterval;
    moveLateJobs(now);
    std::map<service_id, start_forecast> forecasts;
    std::vector<std::pair<std::string, refusal_reason>> refused;
    std::size_t startsAhead = 0;
    forecastQueue(readyJobs, false, forecasts, startsAhead, refused, now);
    forecastQueue(lateJobs, true, forecasts, startsAhead, refused, now);
    for (const auto& [id, reason] : refused) {
        open_job& job = *jobTable.find(id);
        const start_forecast& forecast = forecasts.at(job.accepted.service);
        const auto drainTime
            = std::max(forecast.drainTime(), std::chrono::ceil<std::chrono::milliseconds>(pace.timeUntilDone(startsAhead)));
        const auto serviceTime = std::max(forecast.serviceTime(waitingJob(job)), pace.timeFor(job.readyTasks()));
        refuseJob(job, reason, returns.reserve(now, drainTime, serviceTime), now);
    }
}

void cell_owner::data::noteRefusal(const std::string& id, refusal_reason reason, std::chrono::milliseconds waited,
    std::chrono::milliseconds timeLimit, std::chrono::milliseconds returnAfter)
{
    const auto number = static_cast<std::size_t>(reason);
    const auto isReached = [&](int percent) { return waited * 100 <= timeLimit * percent; };
    const auto bound = std::find_if(timeUsedBounds.begin(), timeUsedBounds.end(), isReached) - timeUsedBounds.begin();
    ++counters.refusedJobs[number];
    ++counters.refusedByTimeUsed[number][static_cast<std::size_t>(bound)];
    writeLog(log_level::info, "cell", "job refused",
        { { "job", id }, { "reason", std::string(nameOf(reason)) }, { "waited_ms", fmt::to_string(waited.count()) },
            { "time_limit_ms", fmt::to_string(timeLimit.count()) },
            { "time_left_ms", fmt::to_string((timeLimit - waited).count()) },
            { "return_after_ms", fmt::to_string(returnAfter.count()) }, { "ready_jobs", fmt::to_string(waitingJobs()) } });
}

void cell_owner::data::refuseJob(open_job& job, refusal_reason reason, std::chrono::milliseconds returnAfter, time_point now)
{
    noteRefusal(job.accepted.work.id, reason, std::chrono::duration_cast<std::chrono::milliseconds>(now - job.arrivedAt),
        std::chrono::duration_cast<std::chrono::milliseconds>(job.giveUpAt - job.arrivedAt), returnAfter);
    const bool firstSubmission = job.offset == newestOffset;
    error refusal { firstSubmission ? error_kind::overloaded : error_kind::deadline_passed_while_running,
        "no worker has free capacity early enough for the job to end before its caller stops waiting", returnAfter };
    answer(job, tl::unexpected(std::move(refusal)));
    endJob(job, jobs::job_state::cancelled);
}

} // namespace coriandermount::cells
