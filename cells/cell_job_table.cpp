#include "cells/cell_job_table.h"

#include <algorithm>
#include <numeric>

namespace coriandermount::cells {

bool open_job::stepIsReady(std::uint32_t step) const
{
    const auto& dependsOn = accepted.work.steps[step].dependsOn;
    return std::all_of(dependsOn.begin(), dependsOn.end(),
        [this](std::uint32_t earlier) { return steps[earlier].done == steps[earlier].tasks.size(); });
}

std::size_t open_job::readyTasks() const
{
    std::size_t ready = 0;
    for (std::uint32_t number = 0; number < steps.size(); ++number) {
        if (!steps[number].waiting.empty() && stepIsReady(number))
            ready += steps[number].waiting.size();
    }
    return ready;
}

double open_job::waitingWork() const
{
    double work = 0;
    for (std::uint32_t number = 0; number < steps.size(); ++number) {
        const jobs::step& step = accepted.work.steps[number];
        work += static_cast<double>(step.need.cpuMillis) / 1000.0 * static_cast<double>(step.estimate.count())
            * static_cast<double>(steps[number].waiting.size());
    }
    return work;
}

bool open_job::hasPlacedTasks() const
{
    return std::any_of(steps.begin(), steps.end(), [](const step_state& step) {
        return std::any_of(
            step.tasks.begin(), step.tasks.end(), [](const task_state& task) { return task.phase == task_phase::placed; });
    });
}

double open_job::readyCpu() const
{
    double cpuMillis = 0;
    for (std::uint32_t step = 0; step < steps.size(); ++step) {
        if (!steps[step].waiting.empty() && stepIsReady(step))
            cpuMillis += static_cast<double>(accepted.work.steps[step].need.cpuMillis)
                * static_cast<double>(steps[step].waiting.size());
    }
    return cpuMillis;
}

bool open_job::isPlaced() const
{
    return std::all_of(steps.begin(), steps.end(), [](const step_state& step) { return step.waiting.empty(); });
}

bool open_job::contains(const task_key& key) const
{
    return key.occurrence == 0 && key.step < steps.size() && key.index < steps[key.step].tasks.size();
}

open_job* cell_job_table::accept(jobs::accepted_job accepted, std::uint64_t offset, time_point arrivedAt)
{
    const std::string id = accepted.work.id;
    if (m_finished.contains(id) || m_open.contains(id))
        return nullptr;
    open_job added;
    added.arrivedAt = arrivedAt;
    added.objective = arrivedAt + accepted.objective;
    added.offset = offset;
    for (const auto& step : accepted.work.steps) {
        step_state state;
        state.tasks.resize(step.taskCount);
        state.waiting.resize(step.taskCount);
        // Tasks are started from the back, so index 0 comes last.
        std::iota(state.waiting.rbegin(), state.waiting.rend(), 0U);
        added.steps.push_back(std::move(state));
    }
    added.runTime = jobs::criticalPathLength(accepted.work);
    added.accepted = std::move(accepted);
    added.work = added.waitingWork();
    open_job* job = &m_open.emplace(id, std::move(added)).first->second;
    if (job->accepted.work.answeredAtEnd)
        m_unstored.emplace(id, job);
    return job;
}

open_job* cell_job_table::find(const std::string& id)
{
    const auto found = m_open.find(id);
    return found == m_open.end() ? nullptr : &found->second;
}

const open_job* cell_job_table::find(const std::string& id) const
{
    const auto found = m_open.find(id);
    return found == m_open.end() ? nullptr : &found->second;
}

std::optional<jobs::job_state> cell_job_table::state(const std::string& id) const
{
    if (const auto finished = m_finished.find(id); finished != m_finished.end())
        return finished->second.state;
    const auto found = m_open.find(id);
    if (found == m_open.end())
        return std::nullopt;
    const open_job& job = found->second;
    // Until its end is durable, a stored job may run again under a new owner. The record of a cancellation comes first.
    if (job.ended && (job.accepted.work.answeredAtEnd || job.ended == jobs::job_state::cancelled))
        return job.ended;
    return job.started ? jobs::job_state::running : jobs::job_state::queued;
}

void cell_job_table::finish(const std::string& id, jobs::job_state state, time_point now)
{
    const auto open = m_open.find(id);
    finished_entry finished { state, now, std::nullopt, true };
    if (open != m_open.end()) {
        finished.lentBy = open->second.lentBy;
        finished.stored = !open->second.accepted.work.answeredAtEnd;
        erase(id);
    }
    addFinished(id, finished);
}

void cell_job_table::addFinished(const std::string& id, const finished_entry& finished)
{
    if (const auto before = m_finished.find(id); before != m_finished.end())
        removeFinished(before);
    m_finished.emplace(id, finished);
    m_finishedAt.emplace(finished.at, id);
    if (finished.lentBy)
        m_finishedFor[*finished.lentBy].insert(id);
}

void cell_job_table::removeFinished(std::unordered_map<std::string, finished_entry>::iterator finished)
{
    if (finished->second.lentBy)
        m_finishedFor[*finished->second.lentBy].erase(finished->first);
    m_finished.erase(finished);
}

void cell_job_table::erase(const std::string& id)
{
    m_unstored.erase(id);
    m_open.erase(id);
}

void cell_job_table::finishReplayed(const jobs::finished_job& job, time_point endedAt)
{
    erase(job.id);
    addFinished(job.id, { job.state, endedAt, job.home, true });
}

std::vector<jobs::finished_job> cell_job_table::finishedUnstored() const
{
    std::vector<jobs::finished_job> finished;
    for (const auto& [id, entry] : m_finished) {
        if (!entry.stored)
            finished.push_back({ id, entry.state, entry.lentBy });
    }
    return finished;
}

std::vector<std::string> cell_job_table::finishedFor(cell_number home) const
{
    const auto found = m_finishedFor.find(home);
    if (found == m_finishedFor.end())
        return {};
    return { found->second.begin(), found->second.end() };
}

void cell_job_table::expire(time_point oldest)
{
    for (auto entry = m_finishedAt.begin(); entry != m_finishedAt.end() && entry->first < oldest;) {
        const auto finished = m_finished.find(entry->second);
        if (finished != m_finished.end() && finished->second.at < oldest)
            removeFinished(finished);
        entry = m_finishedAt.erase(entry);
    }
}

std::shared_ptr<const queue_counts> cell_job_table::pendingByQueue(time_point now)
{
    if (m_pending && now - m_pendingCountedAt < pendingCountAge)
        return m_pending;
    auto pending = std::make_shared<queue_counts>();
    for (const auto& [id, current] : m_open) {
        if (!current.started && !current.ended)
            ++(*pending)[current.accepted.work.queue];
    }
    m_pending = std::move(pending);
    m_pendingCountedAt = now;
    return m_pending;
}

void cell_job_table::clear()
{
    m_open.clear();
    m_unstored.clear();
    m_finished.clear();
    m_finishedAt.clear();
    m_finishedFor.clear();
    m_pending.reset();
}

} // namespace coriandermount::cells
