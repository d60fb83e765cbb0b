/// Workers of one failure domain that are known to be leaving. Uses no threads and no clock.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "fleet/gossip_message.h"

namespace coriandermount::fleet {

/// Holds the workers that any VM of the domain has read as leaving from the platform's list. The state is kept on VMs whose copy
/// of the list is older.
class leaving_workers {
public:
    /// `listLag` is the largest age that the platform's list can have when it is read.
    explicit leaving_workers(std::chrono::milliseconds listLag);

    /// Adds workers that are not known yet and updates the stamps of known ones. Returns the added workers.
    std::vector<leaving_worker> apply(const std::vector<leaving_worker>& received, wall_time now);

    /// Removes entries older than twice `listLag`. A list that was read since then shows the current state of such a worker.
    void expire(wall_time now);

    /// Returns recently added workers for one message and counts one transmission of each.
    std::vector<leaving_worker> takeUpdates();

    /// Returns all entries, sorted by worker id.
    std::vector<leaving_worker> all() const;

private:
    struct entry {
        std::uint64_t stamp = 0;
        /// Number of messages that will still carry this entry.
        unsigned transmissionsLeft = 0;
    };

    bool isExpired(std::uint64_t stamp, wall_time now) const;

    std::chrono::milliseconds m_listLag;
    std::map<worker_id, entry> m_entries;
};

} // namespace coriandermount::fleet
