#include "jobs/job.h"

#include <algorithm>

#include <fmt/format.h>

namespace coriandermount::jobs {

namespace {

    constexpr std::uint32_t maxTasks = 4096;
    /// Bounds within which sums and products of needs and times do not overflow.
    constexpr std::int64_t maxNeed = 1'000'000'000;
    constexpr std::chrono::milliseconds longestRunTime = std::chrono::hours(24 * 30);
    constexpr double largestSlackFactor = 1000;

    bool isNeed(std::int64_t value) { return value >= 0 && value <= maxNeed; }

    result<void> checkStep(const step& current, std::size_t number)
    {
        if (current.taskCount == 0 || current.taskCount > maxTasks)
            return fail(error_kind::too_many_tasks,
                fmt::format("step {} has {} tasks, 1 to {} are allowed", number, current.taskCount, maxTasks));
        const bool dependsOnEarlierOnly = std::all_of(
            current.dependsOn.begin(), current.dependsOn.end(), [number](std::uint32_t earlier) { return earlier < number; });
        if (!dependsOnEarlierOnly)
            return fail(error_kind::malformed_request, fmt::format("step {} depends on a step that does not precede it", number));
        if (!isNeed(current.need.cpuMillis) || !isNeed(current.need.memoryMegabytes) || !isNeed(current.need.accelerators))
            return fail(
                error_kind::malformed_request, fmt::format("step {} has a resource need outside 0 to {}", number, maxNeed));
        if (current.estimate.count() < 0 || current.estimate > longestRunTime)
            return fail(error_kind::malformed_request,
                fmt::format("step {} has an estimate of {} ms, 0 to {} are allowed", number, current.estimate.count(),
                    longestRunTime.count()));
        return {};
    }

} // namespace

const queue_rules* queue_table::route(const std::string& host, const std::string& path) const
{
    const queue_rules* best = nullptr;
    for (const auto& candidate : queues) {
        const bool matches = candidate.host == host && path.starts_with(candidate.pathPrefix);
        if (matches && (!best || candidate.pathPrefix.size() > best->pathPrefix.size()))
            best = &candidate;
    }
    return best;
}

const queue_rules* queue_table::findByName(const std::string& name) const
{
    const auto found
        = std::find_if(queues.begin(), queues.end(), [&name](const queue_rules& rules) { return rules.name == name; });
    return found == queues.end() ? nullptr : &*found;
}

result<void> checkSteps(const std::vector<step>& steps)
{
    if (steps.empty())
        return fail(error_kind::malformed_request, "a job needs a step");
    for (std::size_t number = 0; number < steps.size(); ++number) {
        if (auto checked = checkStep(steps[number], number); !checked)
            return checked;
    }
    return {};
}

std::chrono::milliseconds criticalPathLength(const job& work)
{
    std::vector<std::chrono::milliseconds> ends;
    std::chrono::milliseconds longest { 0 };
    for (const auto& current : work.steps) {
        std::chrono::milliseconds start { 0 };
        for (const std::uint32_t earlier : current.dependsOn)
            start = std::max(start, ends[earlier]);
        ends.push_back(start + current.estimate);
        longest = std::max(longest, ends.back());
    }
    return longest;
}

std::chrono::milliseconds objectiveOf(const job& work, const queue_rules& rules)
{
    const auto allowed = criticalPathLength(work) * std::clamp(rules.slackFactor, 1.0, largestSlackFactor);
    return std::chrono::duration_cast<std::chrono::milliseconds>(allowed) + rules.targetLatency;
}

} // namespace coriandermount::jobs
