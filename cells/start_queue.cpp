#include "cells/start_queue.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <tuple>

namespace coriandermount::cells {

namespace {

    /// Jobs whose places in the order of starts are within this time of each other are forecast together. Limits the number of
    /// groups to the longest objective divided by this time, however many jobs wait.
    constexpr std::chrono::milliseconds groupLength { 100 };

    start_position groupOf(const open_job& job)
    {
        // Overdue jobs come behind all others of their priority, so that the order among them delays nobody else.
        if (job.isOverdue)
            return { priorityOf(job), time_point::max() };
        return { priorityOf(job), time_point(job.startOrder.time_since_epoch() / groupLength * groupLength) };
    }

    start_queue::task_size sizeOf(const open_job& job)
    {
        const auto& steps = job.accepted.work.steps;
        const auto largest = std::max_element(steps.begin(), steps.end(), [](const jobs::step& left, const jobs::step& right) {
            const auto rank = [](const jobs::step& step) {
                return std::tuple(!step.requiredLabel.empty(), step.need.accelerators, step.need.cpuMillis);
            };
            return rank(left) < rank(right);
        });
        const auto roundedDown = [](std::int64_t amount) {
            return static_cast<std::int64_t>(std::bit_floor(static_cast<std::uint64_t>(std::max<std::int64_t>(amount, 0))));
        };
        return { job.accepted.service, largest->requiredLabel, roundedDown(largest->need.cpuMillis),
            roundedDown(largest->need.memoryMegabytes), largest->need.accelerators };
    }

} // namespace

start_queue::entry start_queue::entryOf(const open_job& job, queue_part part)
{
    entry added;
    added.part = part;
    added.reportedPriority = job.isLongRunning() ? 0 : std::min(job.accepted.priority, reportedPriorities - 1);
    added.work = std::llround(job.waitingWork() * 1000);
    added.tasks = job.readyTasks();
    if (part == queue_part::held || job.isLongRunning() || job.accepted.work.answeredAtEnd)
        return added;
    added.group = backlog::key_type { groupOf(job), sizeOf(job) };
    if (!job.isOverdue)
        added.objective = job.objective;
    return added;
}

void start_queue::put(const open_job& job, queue_part part)
{
    const queue_rank rank = rankOf(job);
    if (const auto found = m_entries.find(rank); found != m_entries.end())
        remove(found);
    const entry added = entryOf(job, part);
    m_jobs[static_cast<std::size_t>(part)].insert(rank);
    m_work[added.reportedPriority] += added.work;
    if (added.group) {
        backlog_group& group = m_backlog[*added.group];
        group.work += added.work;
        group.tasks += added.tasks;
        ++group.jobs;
    }
    if (job.accepted.work.answeredAtEnd)
        m_unstored.insert(rank);
    if (added.objective)
        m_objectives.emplace(*added.objective, std::get<std::string>(rank));
    m_entries.emplace(rank, added);
}

void start_queue::remove(const queue_rank& rank)
{
    if (const auto found = m_entries.find(rank); found != m_entries.end())
        remove(found);
}

void start_queue::remove(std::map<queue_rank, entry>::iterator found)
{
    const auto& [rank, removed] = *found;
    m_jobs[static_cast<std::size_t>(removed.part)].erase(rank);
    m_unstored.erase(rank);
    m_work[removed.reportedPriority] -= removed.work;
    if (removed.group) {
        const auto group = m_backlog.find(*removed.group);
        group->second.work -= removed.work;
        group->second.tasks -= removed.tasks;
        if (--group->second.jobs == 0)
            m_backlog.erase(group);
    }
    if (removed.objective)
        m_objectives.erase({ *removed.objective, std::get<std::string>(rank) });
    m_entries.erase(found);
}

std::size_t start_queue::size() const { return m_entries.size(); }

std::optional<queue_part> start_queue::partOf(const queue_rank& rank) const
{
    const auto found = m_entries.find(rank);
    return found == m_entries.end() ? std::nullopt : std::optional(found->second.part);
}

std::vector<std::string> start_queue::takeOverdue(time_point now, std::size_t most)
{
    std::vector<std::string> overdue;
    auto entry = m_objectives.begin();
    for (; entry != m_objectives.end() && entry->first < now && overdue.size() < most; ++entry)
        overdue.push_back(entry->second);
    m_objectives.erase(m_objectives.begin(), entry);
    return overdue;
}

} // namespace coriandermount::cells
