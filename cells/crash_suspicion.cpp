#include "cells/crash_suspicion.h"

#include <algorithm>
#include <array>
#include <utility>

#include "cells/cell_settings.h"

namespace coriandermount::cells {

namespace {

    /// Number of crashes attributed to a task, with the task alone at the last one, after which it is to blame.
    constexpr std::uint32_t confirmedCrashesToBlame = 2;
    /// The same for crashes of workers of which some may not have started the task.
    constexpr std::uint32_t possibleCrashesToBlame = 3;
    /// Number of attributed crashes after which a task is to blame even if it was never alone.
    constexpr std::uint32_t crashesToGiveUp = 4;
    /// Number of attributed crashes from which on a task stays alone, however long its run goes on.
    constexpr std::uint32_t crashesUntilAlwaysAlone = 3;
    /// Number of crashes of any cause after which a task is to blame. The platform allows two more starts after the third crash.
    constexpr std::uint32_t crashesToBear = 5;
    /// Number of crashes just after its start after which a task is to blame, whatever else was lost then.
    constexpr std::uint32_t crashesAtStartToBlame = 4;
    /// Number of losses of any kind from which on each start is a trial.
    constexpr std::size_t lossesUntilTrial = 4;
    /// Number of losses of any cause from which on a task is suspected, and from which on it waits after each further one.
    constexpr std::uint32_t lossesUntilSuspected = 4;
    constexpr std::uint32_t lossesUntilHeldBack = 5;
    /// Number of crashes just after its start from which on a task is suspected, whatever else was lost then, and from which on
    /// it waits after each further one.
    constexpr std::uint32_t crashesUntilSuspected = 2;
    constexpr std::uint32_t crashesUntilHeldBack = 4;
    /// Number of unexplained losses from which on a task is suspected.
    constexpr std::uint32_t unexplainedUntilSuspected = 2;
    /// Number of workers lost at the same moment that have a cause in common whatever they executed.
    constexpr std::size_t workersOfCommonLoss = 3;
    /// Number of other lost workers that are kept for one loss.
    constexpr std::size_t mostOthersKept = 16;
    /// Largest distance of two losses at the same moment, beyond the uncertainty of their times.
    constexpr std::chrono::milliseconds commonLossMargin { 50 };
    /// How long the loss of a worker is compared with later reports of others.
    constexpr std::chrono::milliseconds fallRetention { 30000 };
    /// Pauses after `lossesUntilHeldBack` losses without a common cause and after each further one.
    constexpr std::array<std::chrono::milliseconds, 4> lossPauses { std::chrono::seconds(10), std::chrono::seconds(30),
        std::chrono::seconds(160), std::chrono::seconds(600) };
    /// Pauses after `crashesUntilHeldBack` crashes just after the start and after each further one.
    constexpr std::array<std::chrono::milliseconds, 2> crashPauses { std::chrono::seconds(160), std::chrono::seconds(600) };
    /// Pauses after `unexplainedUntilSuspected` workers that have not returned and after each further one.
    constexpr std::array<std::chrono::milliseconds, 4> vanishedPauses { std::chrono::seconds(10), std::chrono::seconds(50),
        std::chrono::seconds(160), std::chrono::seconds(600) };

    std::uint32_t total(const jobs::crash_counts& counts) { return counts.confirmed + counts.possible; }

    /// Returns the pause after a number of losses; there is none below `threshold`.
    template <std::size_t Size>
    std::chrono::milliseconds pauseAfter(
        std::uint32_t losses, std::uint32_t threshold, const std::array<std::chrono::milliseconds, Size>& pauses)
    {
        if (losses < threshold)
            return std::chrono::milliseconds(0);
        return pauses[std::min<std::size_t>(losses - threshold, Size - 1)];
    }

    bool runsJob(const std::set<task_key>& tasks, const std::string& jobId)
    {
        const auto first = tasks.lower_bound({ jobId, 0, 0, 0 });
        return first != tasks.end() && first->jobId == jobId;
    }

    bool intersect(const std::set<task_key>& first, const std::set<task_key>& second)
    {
        return std::any_of(first.begin(), first.end(), [&second](const task_key& task) { return second.contains(task); });
    }

    std::set<task_key> tasksOf(const std::vector<exposed_run>& runs)
    {
        std::set<task_key> tasks;
        for (const auto& run : runs)
            tasks.insert(run.task);
        return tasks;
    }

} // namespace

std::string_view nameOf(crash_observation value)
{
    constexpr std::array<std::string_view, crashObservationCount> names { "restarted", "replaced", "refused", "silent" };
    return names[static_cast<std::size_t>(value)];
}

std::string_view nameOf(loss_timing value)
{
    constexpr std::array<std::string_view, 3> names { "at_start", "in_lease", "unknown" };
    return names[static_cast<std::size_t>(value)];
}

std::string_view nameOf(loss_weight value)
{
    constexpr std::array<std::string_view, 5> names { "attributed", "likelier_task", "others_of_job", "common_cause",
        "unexplained" };
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

bool crash_suspicion::compare(task_loss& loss, const task_key& task, const boot_key& boot, const fall& other)
{
    const bool together = other.from <= loss.to + commonLossMargin && loss.from <= other.to + commonLossMargin;
    if (!together || boot.first == loss.worker.first || intersect(*other.tasks, *loss.tasks))
        return false;
    if (runsJob(*other.tasks, task.jobId)) {
        loss.withOthersOfJob = true;
        return true;
    }
    const bool added = loss.others.size() < mostOthersKept;
    if (added)
        loss.others.insert_or_assign(boot, other.tasks);
    return added;
}

void crash_suspicion::noteFall(
    const worker_id& worker, std::int64_t bootTime, std::set<task_key> tasks, time_point from, time_point to)
{
    const boot_key boot { worker, bootTime };
    const fall added { std::make_shared<const std::set<task_key>>(std::move(tasks)), from, to };
    for (auto& [jobId, job] : m_jobs) {
        for (auto& [key, task] : job.tasks) {
            for (auto& loss : task.losses) {
                if (compare(loss, key, boot, added))
                    m_changed.insert(jobId);
            }
        }
    }
    m_falls.insert_or_assign(boot, added);
}

void crash_suspicion::noteExposure(const task_key& task, time_point now)
{
    suspected_job& job = m_jobs[task.jobId];
    job.lastLoss = now;
    suspect& exposed = job.tasks[task];
    exposed.exposed = true;
    m_changed.insert(task.jobId);
}

std::vector<judged_loss> crash_suspicion::addLosses(
    const boot_key& worker, std::vector<exposed_run> runs, loss_verdict verdict, crash_observation observation, time_point now)
{
    const auto isUnlikely = [this](const exposed_run& run) { return run.established && !find(run.task); };
    if (!std::all_of(runs.begin(), runs.end(), isUnlikely))
        std::erase_if(runs, isUnlikely);
    if (runs.empty())
        return {};
    // The younger runs are the likely causes.
    const auto firstYoung = std::find_if(runs.begin(), runs.end(), [](const exposed_run& run) { return !run.established; });
    const auto& likely = firstYoung == runs.end() ? runs.front() : *firstYoung;
    const bool oneJob = std::all_of(runs.begin(), runs.end(), [&likely](const exposed_run& run) {
        return run.task.jobId == likely.task.jobId || run.established != likely.established;
    });
    auto own = m_falls.find(worker);
    if (own == m_falls.end()) {
        noteFall(worker.first, worker.second, tasksOf(runs), now, now);
        own = m_falls.find(worker);
    }
    std::vector<judged_loss> judged;
    for (const auto& run : runs) {
        suspected_job& job = m_jobs[run.task.jobId];
        suspect& task = job.tasks[run.task];
        job.lastLoss = now;
        task.lastLoss = now;
        task.established = false;
        task.exposed = false;
        m_changed.insert(run.task.jobId);
        task_loss loss { worker, own->second.from, own->second.to, run.confirmed, run.timing, verdict, observation };
        loss.tasks = own->second.tasks;
        loss.likely = run.established == likely.established;
        loss.alone = oneJob && loss.likely;
        loss.inTrial = std::exchange(task.trial, trial_state::none) == trial_state::stored && !run.established;
        for (const auto& [boot, other] : m_falls)
            compare(loss, run.task, boot, other);
        task.losses.push_back(std::move(loss));
        if (verdict == loss_verdict::pending)
            continue;
        judged.push_back({ run.task, observation, worker.first, now });
    }
    return judged;
}

std::vector<judged_loss> crash_suspicion::judge(
    const boot_key& worker, const silent_worker& silent, loss_verdict verdict, crash_observation observation, time_point now)
{
    std::vector<judged_loss> judged;
    for (const auto& key : silent.tasks) {
        const auto job = m_jobs.find(key.jobId);
        if (job == m_jobs.end() || !job->second.tasks.contains(key))
            continue;
        for (auto& loss : job->second.tasks[key].losses) {
            if (loss.worker != worker || loss.verdict == verdict)
                continue;
            // After so long a silence, a later boot says nothing about the run.
            if (loss.verdict == loss_verdict::vanished)
                loss.timing = loss_timing::unknown;
            loss.verdict = verdict;
            loss.observation = observation;
            job->second.lastLoss = now;
            m_changed.insert(key.jobId);
            judged.push_back({ key, observation, worker.first, silent.since });
        }
    }
    return judged;
}

crash_suspicion::silent_worker& crash_suspicion::addSilent(const worker_registration& worker, time_point now)
{
    silent_worker& silent = m_silent[{ worker.id, worker.bootTime }];
    silent.address = worker.address;
    silent.since = now;
    return silent;
}

void crash_suspicion::noteSilence(const worker_registration& worker, std::vector<exposed_run> runs, time_point now)
{
    if (runs.empty())
        return;
    silent_worker& silent = addSilent(worker, now);
    silent.judged = false;
    silent.tasks.merge(tasksOf(runs));
    addLosses({ worker.id, worker.bootTime }, std::move(runs), loss_verdict::pending, crash_observation::silent, now);
}

std::vector<judged_loss> crash_suspicion::noteRefusal(
    const worker_registration& worker, std::vector<exposed_run> runs, time_point now)
{
    if (runs.empty())
        return {};
    silent_worker& silent = addSilent(worker, now);
    auto judged = judge({ worker.id, worker.bootTime }, silent, loss_verdict::crashed, crash_observation::refused, now);
    silent.judged = true;
    silent.tasks.merge(tasksOf(runs));
    const auto added
        = addLosses({ worker.id, worker.bootTime }, std::move(runs), loss_verdict::crashed, crash_observation::refused, now);
    judged.insert(judged.end(), added.begin(), added.end());
    return judged;
}

std::vector<judged_loss> crash_suspicion::noteRestart(
    const worker_id& worker, std::int64_t bootTime, std::vector<exposed_run> runs, time_point now)
{
    const boot_key boot { worker, bootTime };
    auto judged = addLosses(boot, std::move(runs), loss_verdict::crashed, crash_observation::restarted, now);
    if (const auto silent = m_silent.find(boot); silent != m_silent.end()) {
        const auto pending = judge(boot, silent->second, loss_verdict::crashed, crash_observation::restarted, now);
        judged.insert(judged.end(), pending.begin(), pending.end());
        m_silent.erase(silent);
    }
    return judged;
}

std::vector<judged_loss> crash_suspicion::noteBoot(const worker_registration& worker, time_point now)
{
    std::vector<judged_loss> judged;
    for (auto silent = m_silent.begin(); silent != m_silent.end();) {
        const auto next = std::next(silent);
        const bool sameId = silent->first.first == worker.id;
        if ((sameId || silent->second.address == worker.address) && silent->first.second < worker.bootTime) {
            const auto observation = sameId ? crash_observation::restarted : crash_observation::replaced;
            const auto ended = judge(silent->first, silent->second, loss_verdict::crashed, observation, now);
            judged.insert(judged.end(), ended.begin(), ended.end());
            m_silent.erase(silent);
        }
        silent = next;
    }
    return judged;
}

std::size_t crash_suspicion::noteAlive(const worker_id& worker, std::int64_t bootTime)
{
    if (m_silent.empty())
        return 0;
    const boot_key boot { worker, bootTime };
    std::size_t cleared = 0;
    const auto silent = m_silent.find(boot);
    if (silent == m_silent.end())
        return 0;
    for (const auto& key : silent->second.tasks) {
        const auto job = m_jobs.find(key.jobId);
        if (job == m_jobs.end() || !job->second.tasks.contains(key))
            continue;
        suspect& task = job->second.tasks[key];
        cleared += std::erase_if(task.losses, [&boot](const task_loss& loss) { return loss.worker == boot; });
        m_changed.insert(key.jobId);
        if (task.losses.empty() && task.earlier == jobs::crash_counts {})
            noteDone(key);
    }
    m_silent.erase(silent);
    return cleared;
}

void crash_suspicion::noteEstablished(const task_key& task)
{
    const auto job = m_jobs.find(task.jobId);
    if (job == m_jobs.end() || !job->second.tasks.contains(task))
        return;
    suspect& found = job->second.tasks[task];
    if (!std::exchange(found.established, true))
        m_changed.insert(task.jobId);
    found.trial = trial_state::none;
    found.mayHaveUncountedStart = false;
}

void crash_suspicion::noteDone(const task_key& task)
{
    const auto job = m_jobs.find(task.jobId);
    if (job == m_jobs.end())
        return;
    m_changed.insert(task.jobId);
    job->second.tasks.erase(task);
    if (job->second.tasks.empty())
        m_jobs.erase(job);
}

void crash_suspicion::restore(const task_key& task, const jobs::crash_counts& counts, time_point now)
{
    if (counts == jobs::crash_counts {})
        return;
    suspected_job& job = m_jobs[task.jobId];
    job.lastLoss = now;
    suspect& restored = job.tasks[task];
    restored.earlier = counts;
    restored.lastLoss = now;
    // From then on starts are trials, which are counted before they are made.
    const std::uint32_t losses = total(counts) + counts.unattributed;
    restored.mayHaveUncountedStart = losses >= crashesUntilSuspected && losses < lossesUntilTrial;
}

std::uint32_t crash_suspicion::crashesAtStart(const suspect& task)
{
    return static_cast<std::uint32_t>(std::count_if(task.losses.begin(), task.losses.end(), [](const task_loss& loss) {
        return loss.verdict == loss_verdict::crashed && loss.timing == loss_timing::at_start && loss.likely;
    }));
}

std::uint32_t crash_suspicion::crashesUnderRuns(const suspect& task)
{
    const auto crashes = std::count_if(task.losses.begin(), task.losses.end(),
        [](const task_loss& loss) { return loss.verdict == loss_verdict::crashed && loss.timing != loss_timing::unknown; });
    return total(task.earlier) + task.earlier.unattributedCrashes + static_cast<std::uint32_t>(crashes);
}

std::uint32_t crash_suspicion::possibleCrashesUnderRuns(const suspect& task)
{
    const auto losses = std::count_if(
        task.losses.begin(), task.losses.end(), [](const task_loss& loss) { return loss.timing != loss_timing::unknown; });
    return total(task.earlier) + task.earlier.unattributedCrashes + static_cast<std::uint32_t>(losses);
}

bool crash_suspicion::crashesOften(const suspect& task)
{
    return crashesAtStart(task) + total(task.earlier) >= crashesUntilSuspected;
}

bool crash_suspicion::crashesOften(const task_key& task) const
{
    const suspect* found = find(task);
    return found && crashesOften(*found);
}

bool crash_suspicion::needsTrial(const suspect& task)
{
    const auto lossesAtStart = std::count_if(task.losses.begin(), task.losses.end(),
        [](const task_loss& loss) { return loss.timing == loss_timing::at_start && loss.likely; });
    return total(task.earlier) + static_cast<std::uint32_t>(lossesAtStart) >= crashesUntilSuspected
        || total(task.earlier) + task.earlier.unattributed + task.losses.size() + (task.mayHaveUncountedStart ? 1 : 0)
        >= lossesUntilTrial;
}

bool crash_suspicion::needsTrial(const task_key& task) const
{
    const suspect* found = find(task);
    return found && needsTrial(*found);
}

bool crash_suspicion::needsTrial(const std::string& jobId) const
{
    const auto job = m_jobs.find(jobId);
    return job != m_jobs.end() && std::any_of(job->second.tasks.begin(), job->second.tasks.end(), [](const auto& entry) {
        return needsTrial(entry.second);
    });
}

void crash_suspicion::planTrial(const task_key& task)
{
    const auto job = m_jobs.find(task.jobId);
    if (job == m_jobs.end())
        return;
    const auto found = job->second.tasks.find(task);
    if (found == job->second.tasks.end() || found->second.trial != trial_state::none)
        return;
    found->second.trial = trial_state::planned;
    m_changed.insert(task.jobId);
}

void crash_suspicion::noteStoring(const std::string& jobId)
{
    const auto job = m_jobs.find(jobId);
    if (job == m_jobs.end())
        return;
    for (auto& [key, task] : job->second.tasks) {
        if (task.trial == trial_state::planned)
            task.trial = trial_state::storing;
    }
}

void crash_suspicion::noteStored(const std::string& jobId)
{
    const auto job = m_jobs.find(jobId);
    if (job == m_jobs.end())
        return;
    for (auto& [key, task] : job->second.tasks) {
        if (task.trial == trial_state::storing)
            task.trial = trial_state::stored;
    }
}

bool crash_suspicion::isTrialStored(const task_key& task) const
{
    const suspect* found = find(task);
    return found && found->trial == trial_state::stored;
}

std::size_t crash_suspicion::unexplainedOthers(const task_loss& loss) const
{
    const auto count = std::count_if(loss.others.begin(), loss.others.end(), [this](const auto& other) {
        const auto& tasks = *other.second;
        return std::none_of(tasks.begin(), tasks.end(), [this](const task_key& key) { return crashesOften(key); });
    });
    return static_cast<std::size_t>(count);
}

bool crash_suspicion::isCrashInTrial(const task_loss& loss)
{
    // A worker that refuses connections after an order without an answer has crashed since it accepted the order.
    const bool started = loss.confirmed || loss.observation == crash_observation::refused;
    return loss.inTrial && started && loss.verdict == loss_verdict::crashed && loss.timing != loss_timing::unknown;
}

bool crash_suspicion::hasCommonCause(const task_loss& loss) const
{
    // A worker that crashes by chance soon after the start of a trial, together with one or two others, is unlikely.
    if (isCrashInTrial(loss))
        return unexplainedOthers(loss) >= workersOfCommonLoss;
    return loss.others.size() >= workersOfCommonLoss || unexplainedOthers(loss) > 0;
}

loss_weight crash_suspicion::weightOf(const task_loss& loss) const
{
    if (!loss.likely)
        return loss_weight::likelier_task;
    if (loss.withOthersOfJob)
        return loss_weight::others_of_job;
    if (hasCommonCause(loss))
        return loss_weight::common_cause;
    const bool shown = loss.verdict == loss_verdict::crashed && loss.timing != loss_timing::unknown;
    return shown ? loss_weight::attributed : loss_weight::unexplained;
}

crash_suspicion::tally crash_suspicion::tallyOf(const task_key& task, bool settledOnly) const
{
    tally counted;
    const suspect* found = find(task);
    if (!found)
        return counted;
    counted.attributed = found->earlier;
    counted.unrelated = std::exchange(counted.attributed.unattributed, 0);
    for (const auto& loss : found->losses) {
        counted.ofSeveralTasks = counted.ofSeveralTasks || loss.withOthersOfJob;
        const loss_weight weight = weightOf(loss);
        if (weight != loss_weight::attributed && weight != loss_weight::unexplained) {
            ++counted.unrelated;
        } else if (weight == loss_weight::attributed && (loss.settled || !settledOnly)) {
            // Another worker at the address may have taken the place of one that had left.
            const bool certain = loss.timing == loss_timing::at_start && loss.observation != crash_observation::replaced;
            ++(loss.confirmed && certain ? counted.attributed.confirmed : counted.attributed.possible);
            counted.inTrial += isCrashInTrial(loss) ? 1 : 0;
            counted.attributed.alone = loss.alone;
        } else {
            ++(loss.verdict == loss_verdict::pending        ? counted.pending
                    : loss.verdict == loss_verdict::crashed ? counted.crashed
                                                            : counted.vanished);
        }
    }
    return counted;
}

jobs::crash_counts crash_suspicion::storedCounts(const task_key& task) const
{
    const tally counted = tallyOf(task, true);
    jobs::crash_counts counts = counted.attributed;
    counts.unattributed = counted.unrelated + counted.unexplained();
    if (const suspect* found = find(task)) {
        const bool maybeCrashes = found->trial != trial_state::none || found->exposed;
        counts.unattributedCrashes = possibleCrashesUnderRuns(*found) - total(counts) + (maybeCrashes ? 1 : 0);
    }
    return counts;
}

std::uint32_t crash_suspicion::crashesUnder(const task_key& task) const
{
    const suspect* found = find(task);
    if (!found)
        return 0;
    const auto judged = std::count_if(
        found->losses.begin(), found->losses.end(), [](const task_loss& loss) { return loss.verdict != loss_verdict::pending; });
    return total(found->earlier) + found->earlier.unattributed + static_cast<std::uint32_t>(judged);
}

std::uint32_t crash_suspicion::crashesAttributedTo(const task_key& task) const { return total(tallyOf(task).attributed); }

bool crash_suspicion::isRestricted(const std::string& jobId) const
{
    const auto job = m_jobs.find(jobId);
    return job != m_jobs.end() && std::any_of(job->second.tasks.begin(), job->second.tasks.end(), [this](const auto& entry) {
        return !entry.second.established || crashesAttributedTo(entry.first) >= crashesUntilAlwaysAlone;
    });
}

bool crash_suspicion::isUnproven(const std::string& jobId) const
{
    const auto job = m_jobs.find(jobId);
    return job == m_jobs.end() || std::all_of(job->second.tasks.begin(), job->second.tasks.end(), [this](const auto& entry) {
        const tally counted = tallyOf(entry.first);
        return total(counted.attributed) == 0 && !counted.ofSeveralTasks && !needsTrial(entry.second)
            && counted.unexplained() < unexplainedUntilSuspected && counted.total() < lossesUntilSuspected;
    });
}

bool crash_suspicion::awaitsVerdict(const task_key& task) const
{
    const suspect* found = find(task);
    if (!found)
        return false;
    const auto isPending = [](const task_loss& loss) { return loss.verdict == loss_verdict::pending; };
    if (std::none_of(found->losses.begin(), found->losses.end(), isPending))
        return false;
    const auto isPendingTrial = [](const task_loss& loss) { return loss.verdict == loss_verdict::pending && loss.inTrial; };
    if (std::any_of(found->losses.begin(), found->losses.end(), isPendingTrial)
        || possibleCrashesUnderRuns(*found) >= crashesToBear)
        return true;
    const tally counted = tallyOf(task);
    return counted.pending > 0 && total(counted.attributed) + counted.unexplained() >= confirmedCrashesToBlame;
}

time_point crash_suspicion::heldBackUntil(const task_key& task) const
{
    const suspect* found = find(task);
    if (!found)
        return time_point::min();
    const tally counted = tallyOf(task);
    return found->lastLoss
        + std::max({ pauseAfter(total(counted.attributed) + counted.unexplained(), lossesUntilHeldBack, lossPauses),
            pauseAfter(counted.vanished, unexplainedUntilSuspected, vanishedPauses),
            pauseAfter(crashesAtStart(*found), crashesUntilHeldBack, crashPauses) });
}

bool crash_suspicion::isToBlame(const task_key& task) const
{
    // A task that runs well again is not the cause, whatever is learned of its earlier workers.
    const suspect* found = find(task);
    if (!found || found->established)
        return false;
    const std::uint32_t crashes = crashesUnderRuns(*found);
    const tally counted = tallyOf(task);
    const jobs::crash_counts& counts = counted.attributed;
    const bool often = counts.confirmed >= confirmedCrashesToBlame || total(counts) >= possibleCrashesToBlame
        || (counted.inTrial > 0 && crashes >= confirmedCrashesToBlame);
    return (counts.alone && often) || total(counts) >= crashesToGiveUp || crashes >= crashesToBear
        || crashesAtStart(*found) >= crashesAtStartToBlame;
}

bool crash_suspicion::blames(const std::string& jobId) const
{
    const auto job = m_jobs.find(jobId);
    return job != m_jobs.end() && std::any_of(job->second.tasks.begin(), job->second.tasks.end(), [this](const auto& entry) {
        return isToBlame(entry.first);
    });
}

void crash_suspicion::forget(const std::string& jobId)
{
    const auto found = m_jobs.find(jobId);
    if (found == m_jobs.end())
        return;
    const bool toBlame = blames(jobId);
    m_jobs.erase(found);
    if (!toBlame)
        return;
    // The losses of its workers are explained, and say nothing about the losses of others.
    std::erase_if(m_falls, [&jobId](const auto& entry) { return runsJob(*entry.second.tasks, jobId); });
    for (auto& [id, job] : m_jobs) {
        for (auto& [key, task] : job.tasks) {
            for (auto& loss : task.losses)
                std::erase_if(loss.others, [&jobId](const auto& other) { return runsJob(*other.second, jobId); });
        }
    }
}

std::vector<judged_loss> crash_suspicion::expire(time_point now)
{
    std::vector<judged_loss> judged;
    for (auto& [boot, silent] : m_silent) {
        if (silent.judged || now <= silent.since + crashVerdictLimit)
            continue;
        silent.judged = true;
        const auto vanished = judge(boot, silent, loss_verdict::vanished, crash_observation::silent, now);
        judged.insert(judged.end(), vanished.begin(), vanished.end());
    }
    for (auto& [jobId, job] : m_jobs) {
        for (auto& [key, task] : job.tasks) {
            for (auto& loss : task.losses) {
                if (!loss.settled && now > loss.to + commonLossReportLimit) {
                    loss.settled = true;
                    m_changed.insert(jobId);
                    m_settled.push_back({ key, loss.worker.first, weightOf(loss), loss.timing, loss.others.size(),
                        std::chrono::duration_cast<std::chrono::milliseconds>(loss.to - loss.from) });
                }
            }
        }
    }
    std::erase_if(m_silent, [now](const auto& entry) { return now > entry.second.since + suspicionRetention; });
    std::erase_if(m_falls, [now](const auto& entry) { return now > entry.second.to + fallRetention; });
    std::erase_if(m_jobs, [this, now](const auto& entry) {
        const bool expired = now > entry.second.lastLoss + vanishedPauses.back() + suspicionRetention;
        if (expired)
            m_changed.insert(entry.first);
        return expired;
    });
    return judged;
}

void crash_suspicion::clear()
{
    m_jobs.clear();
    m_silent.clear();
    m_falls.clear();
    m_changed.clear();
    m_settled.clear();
}

} // namespace coriandermount::cells
