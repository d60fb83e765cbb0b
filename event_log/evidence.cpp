#include "event_log/evidence.h"

#include <algorithm>
#include <charconv>
#include <vector>

namespace coriandermount::event_log {

namespace {

    /// Limits on the stored events.
    constexpr std::size_t maxChanges = 2048;
    constexpr std::chrono::minutes changeRetention { 60 };
    constexpr std::size_t maxEndedTasks = 4096;
    constexpr std::size_t maxEventsPerKind = 64;

    bool isEvidence(event_kind kind)
    {
        switch (kind) {
        case event_kind::worker_ejected:
        case event_kind::vm_left:
        case event_kind::vm_suspected:
        case event_kind::takeover:
        case event_kind::lease_lapsed:
        case event_kind::shutdown_started:
        case event_kind::log_failed:
        case event_kind::configuration_adopted:
            return true;
        default:
            return false;
        }
    }

    bool isNear(wall_time at, wall_time fault) { return at <= fault + failureWindow && at >= fault - failureWindow; }

    bool isLower(const limit_change& change)
    {
        const auto before = parseLeadingNumber(change.before);
        const auto after = parseLeadingNumber(change.after);
        // A bound of 0 means no limit.
        return before && after && *after > 0 && (*before == 0 || *after < *before);
    }

} // namespace

std::optional<double> parseLeadingNumber(std::string_view text)
{
    double value = 0;
    const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (problem != std::errc() || end == text.data())
        return std::nullopt;
    return value;
}

void evidence::add(const event& entry)
{
    if (entry.kind == event_kind::task_answered) {
        addEndedTask(entry);
        return;
    }
    if (entry.kind == event_kind::limit_changed) {
        m_changes.push_back(
            { entry.subject, entry.rule, entry.limit, entry.value, entry.configurationVersion, entry.author, entry.at });
        while (m_changes.size() > maxChanges || m_changes.front().at < entry.at - changeRetention)
            m_changes.pop_front();
        return;
    }
    if (!isEvidence(entry.kind))
        return;
    auto& events = m_eventsByKind[entry.kind];
    events.push_back(entry);
    if (events.size() > maxEventsPerKind)
        events.pop_front();
}

void evidence::addEndedTask(const event& entry)
{
    const auto runTime = entry.elapsedPart.count() > 0 ? entry.elapsedPart : entry.elapsed;
    m_ended.push_back({ entry.subject, entry.at, entry.problem, runTime });
    if (m_ended.size() > maxEndedTasks)
        m_ended.pop_front();
}

std::optional<limit_change> evidence::findLimitChange(std::string_view rule, std::string_view subject, wall_time at) const
{
    std::optional<limit_change> newest;
    for (const auto& change : m_changes) {
        const bool inWindow = change.at <= at + failureWindow && change.at >= at - limitChangeWindow;
        if (change.rule == rule && change.subject == subject && inWindow && (!newest || change.version >= newest->version))
            newest = change;
    }
    return newest;
}

std::optional<limit_change> evidence::findLoweredLimit(std::string_view rule, std::string_view subject, wall_time at) const
{
    auto newest = findLimitChange(rule, subject, at);
    return newest && isLower(*newest) ? newest : std::nullopt;
}

worker_task_stats evidence::taskStatsOf(const std::string& worker, wall_time at) const
{
    worker_task_stats stats;
    for (const auto& task : m_ended) {
        if (task.worker != worker || !isNear(task.at, at))
            continue;
        ++stats.ended;
        stats.failed += task.problem ? 1 : 0;
        stats.unreachable += task.problem == error_kind::worker_unreachable ? 1 : 0;
        stats.longestRun = std::max(stats.longestRun, task.runTime);
        stats.totalRun += task.runTime;
    }
    return stats;
}

worker_task_stats evidence::taskStatsOfOthers(const std::string& worker, wall_time at) const
{
    worker_task_stats stats;
    for (const auto& task : m_ended) {
        if (task.worker == worker || !isNear(task.at, at))
            continue;
        ++stats.ended;
        stats.failed += task.problem ? 1 : 0;
        stats.longestRun = std::max(stats.longestRun, task.runTime);
        stats.totalRun += task.runTime;
    }
    return stats;
}

unsigned evidence::countUnreachableWorkers(wall_time at) const
{
    std::vector<std::string> workers;
    for (const auto& task : m_ended) {
        const bool unreachable = task.problem == error_kind::worker_unreachable || task.problem == error_kind::worker_lost;
        if (unreachable && isNear(task.at, at) && std::find(workers.begin(), workers.end(), task.worker) == workers.end())
            workers.push_back(task.worker);
    }
    return static_cast<unsigned>(workers.size());
}

const event* evidence::findNear(event_kind kind, wall_time at, std::string_view subject) const
{
    const auto events = m_eventsByKind.find(kind);
    if (events == m_eventsByKind.end())
        return nullptr;
    const event* newest = nullptr;
    for (const auto& entry : events->second) {
        if (isNear(entry.at, at) && (subject.empty() || entry.subject == subject) && (!newest || entry.at >= newest->at))
            newest = &entry;
    }
    return newest;
}

} // namespace coriandermount::event_log
