/// Workers that any VM of the domain has seen leaving; no threads, no clock.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "fleet/gossip_message.h"

namespace coriandermount::fleet {

/// Keeps the word "leaving" of one VM's list on all VMs, also those whose list is older.
class leaving_workers {
public:
    /// `listLag` is the largest age of the platform's list.
    explicit leaving_workers(std::chrono::milliseconds listLag);

    /// Adds what is new; returns it.
    std::vector<leaving_worker> apply(const std::vector<leaving_worker>& received, wall_time now);

    /// Drops entries that are older than `keptFor`; a list read since then shows such a worker as it is.
    void expire(wall_time now);

    /// Returns entries that were added lately, and counts them as told once.
    std::vector<leaving_worker> takeUpdates();

    std::vector<leaving_worker> all() const;

private:
    struct entry {
        std::uint64_t stamp = 0;
        unsigned transmissionsLeft = 0;
    };

    bool isExpired(std::uint64_t stamp, wall_time now) const;

    std::chrono::milliseconds m_listLag;
    std::map<worker_id, entry> m_entries;
};

} // namespace coriandermount::fleet
