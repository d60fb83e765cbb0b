#include "cells/cell_owner_data.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

namespace coriandermount::cells {

namespace {

    /// Time after which callers return that found no worker. Workers whose entries expired while the store was down are listed
    /// again within about two seconds of its return; when others come back is not known.
    constexpr std::chrono::milliseconds noWorkerReturn { 2000 };

    /// Returns the expected wait behind work that takes `wait` on the whole capacity, while arrivals that come ahead of the job
    /// use `share` of it.
    std::chrono::microseconds waitBesideArrivals(std::chrono::microseconds wait, double share)
    {
        if (wait.count() == 0 || share <= 0)
            return wait;
        // Behind arrivals that use the whole capacity, nothing is expected to start.
        constexpr std::chrono::microseconds never = std::chrono::hours(24);
        return share >= 1 ? never : std::min(never, std::chrono::duration_cast<std::chrono::microseconds>(wait / (1 - share)));
    }

    std::string_view detailOf(refusal_reason reason)
    {
        switch (reason) {
        case refusal_reason::owner_overloaded:
            return "the owner of the cell has too little processor time to start the job early enough";
        case refusal_reason::no_worker:
            return "no worker of the service answers";
        case refusal_reason::fits_no_worker:
            return "no worker of the service is large enough for a task of the job or has the required label";
        case refusal_reason::evacuated:
            return "the failure domain is evacuated, and no other one takes the job";
        case refusal_reason::expected_too_late:
        case refusal_reason::waited_too_long:
            break;
        }
        return "no worker has free capacity early enough for the job to end before its caller stops waiting";
    }

    bool isMissingCapacity(refusal_reason reason)
    {
        return reason == refusal_reason::no_worker || reason == refusal_reason::fits_no_worker;
    }

} // namespace

waiting_job cell_owner::data::waitingJob(const open_job& job)
{
    return { job.arrivedAt, job.objective, job.giveUpAt, job.runTime };
}

void cell_owner::data::admit(open_job& job, time_point now)
{
    if (evacuation.isActive() && isRefusable(job)) {
        admitElsewhere(job, now);
        return;
    }
    // Whether an earlier owner has started the job is known once all workers have listed their runs, and which workers answer is
    // known a moment after a pause.
    const bool isDecidable = isRefusable(job) && mayStart(job, now) && !isSettling();
    if (!isDecidable) {
        enqueue(job);
    } else if (const auto refusal = enqueueInTime(job, now)) {
        refuseJob(job, *refusal, now);
        return;
    }
    const std::string id = job.accepted.work.id;
    schedule(now);
    const open_job* waiting = jobTable.find(id);
    if (isDecidable && waiting && isRefusable(*waiting))
        addToPlans(*waiting);
}

std::optional<refusal_reason> cell_owner::data::enqueueInTime(open_job& job, time_point now)
{
    if (const auto missing = findMissingCapacity(job))
        return missing;
    job.isAdmitted = true;
    const time_point latest = job.startBy - lagTime(now);
    const time_point due = std::min(punctualStart(waitingJob(job)) - lagTime(now), latest);
    const arrival_class jobClass(priorityOf(job), std::chrono::duration_cast<std::chrono::milliseconds>(due - now));
    const auto needed = std::max(serviceTime(job), pace.timeFor(job.readyTasks()));
    // The jobs that VMs have kept for this owner arrive at once, which says nothing about the rate of later ones.
    const bool isCounted = now > countArrivalsFrom;
    if (isCounted)
        offeredLoad.add(jobClass, needed, now);
    const expected_place punctual = findPlace(job, due, now);
    const auto wait = waitBesideArrivals(punctual.wait(), admittedLoad.abovePriority(jobClass.priority, now));
    if (wait.count() == 0 || (now + wait <= due && !isFavored(jobClass, now))) {
        if (isCounted)
            admittedLoad.add(jobClass, needed, now);
        job.promisedStart = std::max(due, now);
        // The rate of an overloaded owner is a rough estimate, so that the jobs that it has admitted start in the order of their
        // arrival.
        job.startOrder = ownerPlan ? std::min(punctual.order, now + wait) : punctual.order;
        enqueue(job);
        return std::nullopt;
    }
    // A job that misses its objective gets the capacity that arriving jobs leave free. An overloaded owner has none left.
    const expected_place late = findPlace(job, latest, now);
    const auto lateWait = waitBesideArrivals(
        late.wait(), offeredLoad.abovePriority(jobClass.priority, now) + offeredLoad.ofPriority(jobClass.priority, now));
    if (!ownerPlan && now + lateWait + needed <= latest) {
        job.promisedStart = job.startBy;
        // The job starts when it is expected to, and not only when its caller's time is nearly over.
        job.startOrder = std::min(late.order, now + lateWait);
        enqueue(job);
        return std::nullopt;
    }
    return late.ownerWait > late.workerWait ? refusal_reason::owner_overloaded : refusal_reason::expected_too_late;
}

cell_owner::data::expected_place cell_owner::data::findPlace(const open_job& job, time_point order, time_point now)
{
    auto& plan = plans.try_emplace(job.accepted.service, now).first->second;
    if (plan.isEmpty())
        plan = start_plan(now);
    planned_job planned = plannedJob(job, serviceTime(job));
    planned.position.order = order;
    planned.position = plan.positionFor(planned);
    expected_place place;
    if (ownerPlan) {
        planned.serviceTime = pace.timeFor(job.readyTasks());
        planned.position = ownerPlan->positionFor(planned);
        place.ownerWait = ownerPlan->waitAt(planned.position, now);
    }
    place.workerWait = plan.waitAt(planned.position, now);
    place.order = planned.position.order;
    return place;
}

bool cell_owner::data::isFavored(arrival_class jobClass, time_point now) const
{
    const double all = offeredLoad.ofPriority(jobClass.priority, now);
    return all > 1
        && admittedLoad.ofClass(jobClass, now) * all
        > admittedLoad.ofPriority(jobClass.priority, now) * offeredLoad.ofClass(jobClass, now);
}

std::optional<refusal_reason> cell_owner::data::findMissingCapacity(const open_job& job)
{
    if (!workersKnown)
        return std::nullopt;
    for (const auto& step : job.accepted.work.steps) {
        if (usableCores(job.accepted.service, step, job.startBy) > 0)
            continue;
        bool hasWorkers = false;
        bool fits = false;
        for (const auto& [id, session] : sessions) {
            const auto& worker = session.registration();
            if (worker.service != job.accepted.service || session.deregistered)
                continue;
            // The registration of a new boot is still to be read.
            if (worker.capacity.cpuMillis == 0)
                return std::nullopt;
            hasWorkers = true;
            fits = fits || session.isLargeEnough(step);
        }
        return hasWorkers && !fits ? refusal_reason::fits_no_worker : refusal_reason::no_worker;
    }
    return std::nullopt;
}

time_point cell_owner::data::silentFrom(time_point now) const { return now - leaseSilenceLimit - lagAllowance(now); }

bool cell_owner::data::isUsable(
    const worker_session& session, const service_id& service, const jobs::step& step, time_point heardSince, time_point until)
{
    const auto& worker = session.registration();
    // The owner does not extend the leases of a silent worker, so that what runs there ends.
    const bool silent = session.failedPolls > 0 && session.lastAnswerAt < heardSince;
    return worker.service == service && !worker.draining && !session.deregistered && !silent
        && session.startsPausedUntil() <= until && session.isLargeEnough(step);
}

double cell_owner::data::coresOf(const worker_session& session, time_point now)
{
    return static_cast<double>(session.registration().capacity.cpuMillis) / 1000.0 * usableShare * session.usableShare(now)
        / session.slowness();
}

const service_capacity& cell_owner::data::capacityOf(const service_id& service, time_point now)
{
    if (now >= capacitiesValidUntil) {
        std::map<service_id, std::vector<usable_worker>> workers;
        const time_point heardSince = silentFrom(now);
        counters.forecastVisits += sessions.size();
        for (const auto& [id, session] : sessions) {
            const worker_registration& worker = session.registration();
            // The size of a worker whose registration is still to be read is not known.
            if (worker.capacity.cpuMillis > 0 && isUsable(session, worker.service, {}, heardSince, time_point::max()))
                workers[worker.service].push_back({ worker.capacity, coresOf(session, now), session.startsPausedUntil() });
        }
        capacities.clear();
        for (auto& [known, usable] : workers)
            capacities.emplace(known, std::move(usable));
        capacitiesValidUntil = now + planInterval;
    }
    return capacities[service];
}

double cell_owner::data::usableCores(const service_id& service, const jobs::step& step, time_point until)
{
    const auto now = clock.now();
    const double share = evacuation.usableShare(now);
    ++counters.forecastVisits;
    if (step.requiredLabel.empty()) {
        if (const auto cores = capacityOf(service, now).coresFor(step.need, until))
            return *cores * share;
    }
    const time_point heardSince = silentFrom(now);
    double cores = 0;
    counters.forecastVisits += sessions.size();
    for (const auto& [id, session] : sessions) {
        if (isUsable(session, service, step, heardSince, until))
            cores += coresOf(session, now);
    }
    return cores * share;
}

double cell_owner::data::usableCores(const open_job& job)
{
    const time_point until = isRefusable(job) ? job.startBy : time_point::max();
    double least = std::numeric_limits<double>::max();
    for (const auto& step : job.accepted.work.steps)
        least = std::min(least, usableCores(job.accepted.service, step, until));
    return least;
}

std::chrono::microseconds cell_owner::data::serviceTime(const open_job& job)
{
    const double cores = usableCores(job);
    return std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::duration<double, std::milli>(cores > 0 ? job.waitingWork() / cores : 0));
}

planned_job cell_owner::data::plannedJob(const open_job& job, std::chrono::microseconds serviceTime)
{
    const time_point latest = job.accepted.work.answeredAtEnd ? job.promisedStart : time_point::max();
    return { { priorityOf(job), job.startOrder }, serviceTime, latest };
}

time_point cell_owner::data::addToPlans(const open_job& job)
{
    const auto now = clock.now();
    auto& plan = plans.try_emplace(job.accepted.service, now).first->second;
    const time_point start = plan.add(plannedJob(job, serviceTime(job)));
    return ownerPlan ? std::max(start, ownerPlan->add(plannedJob(job, pace.timeFor(job.readyTasks())))) : start;
}

void cell_owner::data::moveOverdueJobs(time_point now)
{
    constexpr std::chrono::hours behindAll { 24 };
    for (const auto& id : waiting.takeOverdue(now, maxMovedPerPass)) {
        open_job* job = jobTable.find(id);
        ++counters.forecastVisits;
        if (!job || job->ended)
            continue;
        dequeue(*job);
        job->isOverdue = true;
        job->startOrder += behindAll;
        enqueue(*job);
    }
}

void cell_owner::data::planStoredWork(
    start_queue::backlog::const_iterator& next, const std::optional<start_position>& until, time_point now)
{
    const auto& stored = waiting.storedWork();
    for (; next != stored.end() && (!until || !(*until < next->first.first)); ++next) {
        const auto& [position, size] = next->first;
        const auto& group = next->second;
        ++counters.forecastVisits;
        auto known = coresBySize.find(size);
        if (known == coresBySize.end()) {
            jobs::step step;
            step.requiredLabel = size.requiredLabel;
            step.need = { size.cpuMillis, size.memoryMegabytes, size.accelerators };
            known = coresBySize.emplace(size, usableCores(size.service, step, time_point::max())).first;
        }
        const double cores = known->second;
        // Work that no worker can run delays nothing.
        if (cores <= 0)
            continue;
        const auto serviceTime = std::chrono::microseconds(std::llround(static_cast<double>(group.work) / cores));
        plans.try_emplace(size.service, now).first->second.add({ position, serviceTime, time_point::max() });
        if (ownerPlan)
            ownerPlan->add({ position, pace.timeFor(group.tasks), time_point::max() });
    }
}

void cell_owner::data::planStarts(time_point now)
{
    if (now < nextPlan)
        return;
    nextPlan = now + planInterval;
    moveOverdueJobs(now);
    plans.clear();
    ownerPlan.reset();
    if (pace.isLimited())
        ownerPlan.emplace(now + pace.timeUntilDone(0));
    if (waiting.isEmpty() || isSettling() || evacuation.isActive())
        return;
    std::vector<std::pair<std::string, refusal_reason>> refused;
    std::vector<std::string> undecided;
    counters.forecastVisits += waiting.unstored().size();
    coresBySize.clear();
    auto nextStored = waiting.storedWork().begin();
    for (const auto& rank : waiting.unstored()) {
        open_job* job = jobTable.find(std::get<std::string>(rank));
        if (!job || job->ended || job->isLongRunning() || !mayStart(*job, now))
            continue;
        if (isRefusable(*job) && !job->isAdmitted) {
            undecided.push_back(job->accepted.work.id);
            continue;
        }
        const start_position position { priorityOf(*job), job->startOrder };
        planStoredWork(nextStored, position, now);
        const auto missing = isRefusable(*job) ? findMissingCapacity(*job) : std::nullopt;
        if (missing) {
            refused.emplace_back(job->accepted.work.id, *missing);
            continue;
        }
        auto& plan = plans.try_emplace(job->accepted.service, now).first->second;
        const auto workerWait = plan.waitAt(position, now);
        const auto ownerWait = pace.isRateSettled(now) ? ownerPlan->waitAt(position, now) : std::chrono::microseconds(0);
        if (isRefusable(*job) && now + std::max(workerWait, ownerWait) > job->startBy) {
            refused.emplace_back(job->accepted.work.id,
                now > job->startBy           ? refusal_reason::waited_too_long
                    : ownerWait > workerWait ? refusal_reason::owner_overloaded
                                             : refusal_reason::expected_too_late);
            continue;
        }
        if (now + std::max(workerWait, ownerWait) > job->promisedStart)
            job->promisedStart = job->startBy;
        addToPlans(*job);
    }
    planStoredWork(nextStored, std::nullopt, now);
    for (const auto& [id, reason] : refused)
        refuseJob(*jobTable.find(id), reason, now);
    for (const auto& id : undecided) {
        // Admitting another job starts tasks, which may end a job that crashes workers.
        open_job* job = jobTable.find(id);
        if (!job || !isRefusable(*job))
            continue;
        dequeue(*job);
        admit(*job, now);
    }
}

void cell_owner::data::lendWaitingJobs(time_point now)
{
    if (!neighbors || evacuation.isActive())
        return;
    std::vector<std::string> tried;
    const auto& unstored = waiting.unstored();
    for (auto entry = unstored.begin(); entry != unstored.end() && tried.size() < maxLendTries; ++entry) {
        const auto& id = std::get<std::string>(*entry);
        const open_job* job = jobTable.find(id);
        if (job && !job->started && now >= job->arrivedAt + lendAgainDelay)
            tried.push_back(id);
    }
    for (const auto& id : tried)
        lend(*jobTable.find(id), now);
}

std::chrono::milliseconds cell_owner::data::returnAfter(const open_job& job, refusal_reason reason, time_point now)
{
    if (reason == refusal_reason::fits_no_worker)
        return longestReturn;
    if (reason == refusal_reason::evacuated && job.returnAfter)
        return *job.returnAfter;
    if (reason == refusal_reason::no_worker || reason == refusal_reason::evacuated)
        return returns.reserve(now, noWorkerReturn, std::chrono::microseconds(0));
    const auto plan = plans.find(job.accepted.service);
    const auto workerTime = plan == plans.end() ? std::chrono::milliseconds(0) : plan->second.drainTime(now);
    const auto ownerTime = ownerPlan ? ownerPlan->drainTime(now) : std::chrono::milliseconds(0);
    return returns.reserve(now, std::max(workerTime, ownerTime), std::max(serviceTime(job), pace.timeFor(job.readyTasks())));
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

void cell_owner::data::refuseJob(open_job& job, refusal_reason reason, time_point now)
{
    if (reason == refusal_reason::owner_overloaded)
        pace.noteHeld(now);
    const auto wait = returnAfter(job, reason, now);
    noteRefusal(job.accepted.work.id, reason, std::chrono::duration_cast<std::chrono::milliseconds>(now - job.arrivedAt),
        std::chrono::duration_cast<std::chrono::milliseconds>(job.giveUpAt - job.arrivedAt), wait);
    // An earlier owner may have started the job, so that its caller can't be told that it has not run.
    const bool notRun = job.offset == newestOffset;
    const bool noneAsked = reason == refusal_reason::evacuated && job.refusedBy.empty() && !job.lentBy;
    const auto refusalKind = isMissingCapacity(reason) || noneAsked ? error_kind::no_worker : error_kind::overloaded;
    error refusal { notRun ? refusalKind : error_kind::deadline_passed_while_running, std::string(detailOf(reason)), wait };
    answer(job, tl::unexpected(std::move(refusal)));
    endJob(job, jobs::job_state::cancelled);
    // Whoever submits the job again must not be told its state: it was not accepted.
    const std::string id = job.accepted.work.id;
    std::erase(endedUnstoredJobs, id);
    jobTable.erase(id);
}

} // namespace coriandermount::cells
