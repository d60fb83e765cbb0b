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

const queue_rules* queue_table::named(const std::string& name) const
{
    const auto found = std::find_if(queues.begin(), queues.end(), [&name](const queue_rules& rules) { return rules.name == name; });
    return found == queues.end() ? nullptr : &*found;
}

} // namespace coriandermount::jobs
