#include "cells/cell_owner_data.h"

#include <fmt/format.h>

namespace coriandermount::cells {

namespace {

    /// Number of waiting jobs that are moved to other cells in each tick.
    constexpr std::size_t maxRelocationsPerTick = 64;

} // namespace

void cell_owner::data::setEvacuations(const evacuation_state& state, time_point now)
{
    evacuations = state;
    const bool wasActive = evacuation.isActive();
    if (!evacuation.update(state.contains(stream.partition), now))
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
    std::vector<std::string> waiting;
    for (auto entry = readyJobs.begin(); entry != readyJobs.end() && waiting.size() < maxRelocationsPerTick; ++entry) {
        const auto& id = std::get<std::string>(*entry);
        const open_job* job = jobTable.find(id);
        if (job && isRefusable(*job) && mayStart(*job, now))
            waiting.push_back(id);
    }
    for (const auto& id : waiting) {
        open_job* job = jobTable.find(id);
        if (!job || !isRefusable(*job))
            continue;
        dequeue(*job);
        admitElsewhere(*job, now);
    }
    const bool over = !evacuation.allowsStartedJobs(now);
    if (over && !std::exchange(evacuationLog.lastStart, true))
        reportEvacuation("no more starts in the evacuated cell", now);
    if (over && runsLeft() == 0 && !std::exchange(evacuationLog.empty, true))
        reportEvacuation("evacuated cell is empty", now);
}

bool cell_owner::data::evacuationAllows(const open_job& job, time_point now) const
{
    if (!evacuations)
        return !settings.hasEvacuations;
    if (evacuation.isActive())
        return job.started && evacuation.allowsStartedJobs(now);
    const double share = evacuation.usableShare(now);
    if (share == 1 || job.started)
        return true;
    const auto [all, used] = cellCpu(now);
    return used < share * all;
}

void cell_owner::data::admitElsewhere(open_job& job, time_point now)
{
    const bool isDecidable = isRefusable(job) && mayStart(job, now) && !isSettling();
    if (!isDecidable)
        enqueue(job);
    else if (!relocate(job, now))
        refuseJob(job, refusal_reason::evacuated, now);
}

bool cell_owner::data::relocate(open_job& job, time_point now)
{
    // The home cell of a lent job places it elsewhere.
    if (!neighbors || job.lentBy)
        return false;
    if (const auto cell = earlierBorrower(job.accepted.work.id)) {
        job.offset = 0;
        lendTo(*cell, job, now);
        return true;
    }
    relocation_need need { job.accepted.service, job.accepted.priority, 0, std::chrono::microseconds(0) };
    for (const auto& step : job.accepted.work.steps)
        need.cpuMillis = std::max(need.cpuMillis, step.need.cpuMillis * step.taskCount);
    const auto [all, used] = cellCpu(now);
    if (all > 0)
        need.serviceTime = std::chrono::duration_cast<std::chrono::microseconds>(
            std::chrono::duration<double, std::milli>(job.waitingWork() / (all / 1000.0 * usableShare)));
    std::set<cell_number> excluded = job.refusedBy;
    excluded.insert(evacuations->cells.begin(), evacuations->cells.end());
    const auto cell = neighbors->chooseCell(need, excluded);
    if (!cell)
        return false;
    ++counters.relocatedJobs;
    lendTo(*cell, job, now);
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
