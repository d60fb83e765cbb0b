#include "cells/cell_owner_data.h"

#include <fmt/format.h>

namespace coriandermount::cells {

namespace {

    /// Number of waiting jobs that are moved to other cells in each tick.
    constexpr std::size_t maxRelocationsPerTick = 64;
    /// Longest time for which a job waits for a cell that has no owner at the moment; most takeovers are shorter.
    constexpr std::chrono::milliseconds ownerlessWait { 1000 };

} // namespace

void cell_owner::data::setEvacuations(const evacuation_state& state, time_point now)
{
    const auto lastRead = evacuations ? std::optional(evacuations->asOf) : std::nullopt;
    evacuations = state;
    const bool wasActive = evacuation.isActive();
    if (!evacuation.update(state.contains(stream.partition), lastRead, now))
        return;
    evacuationLog = {};
    if (phase != owner_phase::idle)
        reportEvacuation(wasActive ? "cell returns to service" : "cell is evacuated", now);
}

void cell_owner::data::reportEvacuation(std::string_view message, time_point now) const
{
    const auto milliseconds = [now](time_point since) {
        return fmt::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now - since).count());
    };
    writeLog(log_level::info, "cell", message,
        { { "cell", fmt::to_string(stream.partition) }, { "phase", std::string(nameOf(evacuation.phase(now))) },
            { "epoch", fmt::to_string(term.epoch) },
            { "record_age_ms", evacuations ? milliseconds(evacuations->asOf) : "unknown" },
            { "evacuated_ms", evacuation.since() ? milliseconds(*evacuation.since()) : "0" },
            { "last_start_ms", lastStartAt ? milliseconds(*lastStartAt) : "none" }, { "runs_left", fmt::to_string(runsLeft()) },
            { "ready_jobs", fmt::to_string(waitingJobs()) } });
}

void cell_owner::data::trackEvacuation(time_point now)
{
    if (!evacuation.isActive())
        return;
    std::vector<std::string> relocated;
    const auto& unstored = waiting.unstored();
    for (auto entry = unstored.begin(); entry != unstored.end() && relocated.size() < maxRelocationsPerTick; ++entry) {
        const auto& id = std::get<std::string>(*entry);
        const open_job* job = jobTable.find(id);
        if (job && isRefusable(*job) && mayStart(*job, now))
            relocated.push_back(id);
    }
    for (const auto& id : relocated) {
        open_job* job = jobTable.find(id);
        if (!job || !isRefusable(*job))
            continue;
        dequeue(*job);
        admitElsewhere(*job, now);
    }
    const bool over = !evacuation.allowsStartedJobs(now);
    if (over)
        answerUnfinishedJobs();
    if (over && !std::exchange(evacuationLog.lastStart, true))
        reportEvacuation("no more starts in the evacuated cell", now);
    if (over && runsLeft() == 0 && !std::exchange(evacuationLog.empty, true))
        reportEvacuation("evacuated cell is empty", now);
}

void cell_owner::data::answerUnfinishedJobs()
{
    std::vector<std::string> unfinished;
    for (const auto& rank : waiting.unstored()) {
        const open_job* job = jobTable.find(std::get<std::string>(rank));
        if (job && job->accepted.work.answeredAtEnd && job->started && !job->ended && !job->hasPlacedTasks())
            unfinished.push_back(job->accepted.work.id);
    }
    for (const auto& id : unfinished) {
        open_job& job = *jobTable.find(id);
        answer(job,
            fail(error_kind::deadline_passed_while_running,
                "the failure domain was evacuated before all tasks of the job had started"));
        endJob(job, jobs::job_state::cancelled);
    }
}

void cell_owner::data::updateReturnRoom(time_point now)
{
    const double share = evacuation.usableShare(now);
    if (share == 1) {
        returnRoom.reset();
        return;
    }
    const auto [all, used] = cellCpu(now);
    returnRoom = return_room { std::max(share * all - used, 0.0), used == 0 };
}

bool cell_owner::data::evacuationAllows(const open_job& job, time_point now) const
{
    if (!evacuations)
        return !settings.hasEvacuations;
    if (evacuation.isActive())
        return job.started && evacuation.allowsStartedJobs(now);
    // A job that needs more than the ramp allows starts on an idle cell.
    return !returnRoom || returnRoom->isIdle || job.readyCpu() <= returnRoom->cpuMillis;
}

void cell_owner::data::useReturnRoom(double cpuMillis)
{
    if (returnRoom)
        returnRoom = return_room { std::max(returnRoom->cpuMillis - cpuMillis, 0.0), false };
}

void cell_owner::data::admitElsewhere(open_job& job, time_point now)
{
    // Runs of an earlier submission may not have stopped yet, and another cell does not know them.
    const bool isDecidable = isRefusable(job) && mayStart(job, now) && !isSettling() && !hasRunsOf(job.accepted.work.id);
    if (!isDecidable || (!relocate(job, now) && awaitsOwner(job, now)))
        enqueue(job);
    else if (!job.lentTo)
        refuseJob(job, refusal_reason::evacuated, now);
}

std::set<cell_number> cell_owner::data::cellsWithout(const open_job& job) const
{
    std::set<cell_number> excluded = job.refusedBy;
    excluded.insert(evacuations->cells.begin(), evacuations->cells.end());
    return excluded;
}

bool cell_owner::data::awaitsOwner(const open_job& job, time_point now) const
{
    return neighbors && !job.lentBy && now < std::min(job.startBy, job.arrivedAt + ownerlessWait)
        && neighbors->hasOwnerlessCell(cellsWithout(job));
}

bool cell_owner::data::relocate(open_job& job, time_point now)
{
    // The home cell of a lent job places it elsewhere. A job that crashes workers is restricted to one of this cell.
    if (!neighbors || job.lentBy || suspicion.isRestricted(job.accepted.work.id))
        return false;
    if (const auto cell = earlierBorrower(job.accepted.work.id)) {
        job.offset = 0;
        lendTo(*cell, job, true, now);
        return true;
    }
    relocation_need need { job.accepted.service, job.accepted.priority, 0, std::chrono::microseconds(0) };
    for (const auto& step : job.accepted.work.steps)
        need.cpuMillis = std::max(need.cpuMillis, step.need.cpuMillis * step.taskCount);
    const auto [all, used] = cellCpu(now);
    if (all > 0)
        need.serviceTime = std::chrono::duration_cast<std::chrono::microseconds>(
            std::chrono::duration<double, std::milli>(job.waitingWork() / (all / 1000.0 * usableShare)));
    const auto cell = neighbors->chooseCell(need, cellsWithout(job));
    if (!cell)
        return false;
    ++counters.relocatedJobs;
    // That no run of an earlier owner is left is known by now, so that the cell may refuse the job as one that has not run.
    lendTo(*cell, job, false, now);
    return true;
}

void cell_owner::data::noteRelocationRefused(open_job& job, cell_number by, const error& refusal)
{
    ++counters.relocationsRefused;
    job.refusedBy.insert(by);
    if (refusal.retryAfter)
        job.returnAfter = std::min(job.returnAfter.value_or(*refusal.retryAfter), *refusal.retryAfter);
}

std::size_t cell_owner::data::runsLeft() const
{
    std::size_t runs = 0;
    for (const auto& [id, session] : sessions)
        runs += session.runs().size();
    return runs;
}

std::pair<double, double> cell_owner::data::cellCpu(time_point now) const
{
    double all = 0;
    double used = 0;
    for (const auto& [id, session] : sessions) {
        const auto capacity = static_cast<double>(session.registration().capacity.cpuMillis);
        all += session.isHealthy(now) ? capacity * session.usableShare(now) : 0;
        used += capacity - static_cast<double>(session.free().cpuMillis);
    }
    return { all, used };
}

void cell_owner::setEvacuations(const evacuation_state& state)
{
    m_data->locked([&] { m_data->setEvacuations(state, m_data->clock.now()); });
}

std::pair<evacuation_phase, std::size_t> cell_owner::evacuation() const
{
    const std::scoped_lock lock(m_data->mutex);
    return { m_data->evacuation.phase(m_data->clock.now()), m_data->runsLeft() };
}

} // namespace coriandermount::cells
