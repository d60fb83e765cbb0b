#include "jobs/job.h"

#include <algorithm>

namespace coriandermount::jobs {

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
    const auto allowed = criticalPathLength(work) * std::max(rules.slackFactor, 1.0);
    return std::chrono::duration_cast<std::chrono::milliseconds>(allowed) + rules.targetLatency;
}

} // namespace coriandermount::jobs
