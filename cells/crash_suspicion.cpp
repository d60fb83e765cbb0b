#include "cells/crash_suspicion.h"

#include <algorithm>
#include <array>

#include "cells/cell_settings.h"

namespace coriandermount::cells {

namespace {

    /// Number of crashes under a task, with the task alone at the last one, after which it is to blame.
    constexpr std::uint32_t confirmedCrashesToBlame = 2;
    /// The same for crashes of workers of which some may not have started the task.
    constexpr std::uint32_t possibleCrashesToBlame = 3;
    /// Number of crashes after which a task is to blame even if it was never alone. Keeps the number of starts within the
    /// limit of the platform, which is six.
    constexpr std::uint32_t crashesToGiveUp = 4;
    /// Number of crashes from which on a task stays alone, however long its run goes on.
    constexpr std::uint32_t crashesUntilAlwaysAlone = 3;

    std::uint32_t total(const jobs::crash_counts& counts) { return counts.confirmed + counts.possible; }

} // namespace

std::string_view nameOf(crash_observation value)
{
    constexpr std::array<std::string_view, crashObservationCount> names { "restarted", "replaced", "silent" };
    return names[static_cast<std::size_t>(value)];
}

const crash_suspicion::suspect* crash_suspicion::find(const task_key& task) const
{
    const auto job = m_jobs.find(task.jobId);
    if (job == m_jobs.end())
        return nullptr;
    const auto found = job->second.tasks.find(task);
    return found == job->second.tasks.end() ? nullptr : &found->second;
}

void crash_suspicion::noteSilence(const worker_registration& worker, const std::vector<exposed_run>& runs, time_point now)
{
    if (runs.empty())
        return;
    silent_worker& silent = m_silent[{ worker.id, worker.bootTime }];
    silent.address = worker.address;
    silent.since = now;
    for (const auto& run : runs) {
        silent.runs.push_back(run);
        suspected_job& job = m_jobs[run.task.jobId];
        job.lastLoss = now;
        suspect& task = job.tasks[run.task];
        ++task.pending;
        task.established = false;
    }
}

std::vector<exposed_run> crash_suspicion::takePending(std::map<boot_key, silent_worker>::iterator silent)
{
    std::vector<exposed_run> runs = std::move(silent->second.runs);
    m_silent.erase(silent);
    for (const auto& run : runs) {
        const auto job = m_jobs.find(run.task.jobId);
        if (job == m_jobs.end())
            continue;
        const auto task = job->second.tasks.find(run.task);
        if (task != job->second.tasks.end() && task->second.pending > 0)
            --task->second.pending;
    }
    return runs;
}

std::vector<counted_crash> crash_suspicion::noteRestart(
    const worker_id& worker, std::int64_t bootTime, std::vector<exposed_run> runs, time_point now)
{
    counted_crash crash { {}, crash_observation::restarted, worker, now };
    if (const auto silent = m_silent.find({ worker, bootTime }); silent != m_silent.end()) {
        crash.lostAt = silent->second.since;
        const auto pending = takePending(silent);
        runs.insert(runs.end(), pending.begin(), pending.end());
    }
    return countCrash(std::move(runs), crash, now);
}

std::vector<counted_crash> crash_suspicion::noteBoot(const worker_registration& worker, time_point now)
{
    std::vector<counted_crash> changed;
    for (auto silent = m_silent.begin(); silent != m_silent.end();) {
        const auto next = std::next(silent);
        const bool sameId = silent->first.first == worker.id;
        if ((sameId || silent->second.address == worker.address) && silent->first.second < worker.bootTime) {
            const counted_crash crash { {}, sameId ? crash_observation::restarted : crash_observation::replaced,
                silent->first.first, silent->second.since };
            const auto counted = countCrash(takePending(silent), crash, now);
            changed.insert(changed.end(), counted.begin(), counted.end());
        }
        silent = next;
    }
    return changed;
}

std::size_t crash_suspicion::noteAnswer(const worker_id& worker, std::int64_t bootTime)
{
    if (m_silent.empty())
        return 0;
    const auto silent = m_silent.find({ worker, bootTime });
    if (silent == m_silent.end())
        return 0;
    const auto runs = takePending(silent);
    for (const auto& run : runs)
        eraseIfClear(run.task);
    return runs.size();
}

std::vector<counted_crash> crash_suspicion::countCrash(std::vector<exposed_run> runs, const counted_crash& crash, time_point now)
{
    const auto isUnlikely = [this](const exposed_run& run) { return run.established && !find(run.task); };
    if (!std::all_of(runs.begin(), runs.end(), isUnlikely))
        std::erase_if(runs, isUnlikely);
    const bool oneJob = std::all_of(
        runs.begin(), runs.end(), [&runs](const exposed_run& run) { return run.task.jobId == runs.front().task.jobId; });
    std::vector<counted_crash> changed;
    for (const auto& run : runs) {
        suspected_job& job = m_jobs[run.task.jobId];
        job.lastLoss = now;
        suspect& task = job.tasks[run.task];
        task.established = false;
        ++(run.confirmed ? task.counts.confirmed : task.counts.possible);
        task.counts.alone = oneJob;
        changed.push_back(crash);
        changed.back().task = run.task;
    }
    return changed;
}

void crash_suspicion::noteEstablished(const task_key& task)
{
    if (const auto job = m_jobs.find(task.jobId); job != m_jobs.end() && job->second.tasks.contains(task))
        job->second.tasks[task].established = true;
}

void crash_suspicion::noteDone(const task_key& task)
{
    const auto job = m_jobs.find(task.jobId);
    if (job == m_jobs.end())
        return;
    job->second.tasks.erase(task);
    if (job->second.tasks.empty())
        m_jobs.erase(job);
}

void crash_suspicion::eraseIfClear(const task_key& task)
{
    const suspect* found = find(task);
    if (found && found->pending == 0 && total(found->counts) == 0)
        noteDone(task);
}

void crash_suspicion::restore(const task_key& task, const jobs::crash_counts& counts, time_point now)
{
    if (total(counts) == 0)
        return;
    suspected_job& job = m_jobs[task.jobId];
    job.lastLoss = now;
    job.tasks[task].counts = counts;
}

jobs::crash_counts crash_suspicion::storedCounts(const task_key& task) const
{
    const suspect* found = find(task);
    if (!found)
        return {};
    jobs::crash_counts counts = found->counts;
    counts.possible += found->pending;
    return counts;
}

std::uint32_t crash_suspicion::crashesUnder(const task_key& task) const
{
    const suspect* found = find(task);
    return found ? total(found->counts) : 0;
}

bool crash_suspicion::isRestricted(const std::string& jobId) const
{
    const auto job = m_jobs.find(jobId);
    return job != m_jobs.end() && std::any_of(job->second.tasks.begin(), job->second.tasks.end(), [](const auto& entry) {
        return !entry.second.established || total(entry.second.counts) >= crashesUntilAlwaysAlone;
    });
}

bool crash_suspicion::isUnproven(const std::string& jobId) const
{
    const auto job = m_jobs.find(jobId);
    return job == m_jobs.end() || std::all_of(job->second.tasks.begin(), job->second.tasks.end(), [](const auto& entry) {
        return total(entry.second.counts) == 0 && entry.second.pending <= 1;
    });
}

bool crash_suspicion::awaitsVerdict(const task_key& task) const
{
    const suspect* found = find(task);
    return found && found->pending > 0 && total(found->counts) + found->pending >= confirmedCrashesToBlame;
}

bool crash_suspicion::isToBlame(const task_key& task) const
{
    const suspect* found = find(task);
    if (!found)
        return false;
    const auto& counts = found->counts;
    const bool often = counts.confirmed >= confirmedCrashesToBlame || total(counts) >= possibleCrashesToBlame;
    return (counts.alone && often) || total(counts) >= crashesToGiveUp;
}

void crash_suspicion::forget(const std::string& jobId) { m_jobs.erase(jobId); }

std::vector<counted_crash> crash_suspicion::expire(time_point now)
{
    std::vector<counted_crash> changed;
    for (auto silent = m_silent.begin(); silent != m_silent.end();) {
        const auto next = std::next(silent);
        if (now > silent->second.since + crashVerdictLimit) {
            const counted_crash crash { {}, crash_observation::silent, silent->first.first, silent->second.since };
            auto runs = takePending(silent);
            for (auto& run : runs)
                run.confirmed = false;
            const auto counted = countCrash(std::move(runs), crash, now);
            changed.insert(changed.end(), counted.begin(), counted.end());
        }
        silent = next;
    }
    std::erase_if(m_jobs, [now](const auto& entry) { return now > entry.second.lastLoss + suspicionRetention; });
    return changed;
}

void crash_suspicion::clear()
{
    m_jobs.clear();
    m_silent.clear();
}

} // namespace coriandermount::cells
