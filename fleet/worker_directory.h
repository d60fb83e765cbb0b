/// Workers of one failure domain, which are kept while the platform's list is missing, incomplete or old. Uses no threads and no
/// clock.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "core/worker.h"
#include "fleet/gossip_message.h"

namespace coriandermount::fleet {

/// Holds the known workers of one failure domain and applies the platform's lists to them.
class worker_directory {
public:
    /// Workers of other domains are ignored. If more than half of the workers are missing from a list, the missing ones are kept
    /// for `shrinkGracePeriod`. While the list is empty, they are kept without a time limit.
    worker_directory(failure_domain_id domain, std::chrono::milliseconds shrinkGracePeriod);

    /// Applies the platform's list. Returns the workers that are listed as leaving and were not known as leaving before.
    std::vector<leaving_worker> applyListing(const std::vector<worker_info>& listed, time_point now, wall_time wallNow);

    /// Adds the workers of a peer's table that are not known yet. Used while no list has been read.
    void applyPeerTable(const std::vector<worker_info>& workers);

    /// Marks known workers as leaving until a later list shows another state.
    void markLeaving(const std::vector<leaving_worker>& workers);

    /// Returns true if the last list showed fewer than half of the known workers.
    bool keepsUnlistedWorkers() const { return m_shrunkSince.has_value(); }

    /// Returns true if no worker is known.
    bool empty() const { return m_workers.empty(); }

    /// Returns the workers, sorted by id, with those in `leaving` in the state `leaving`.
    std::shared_ptr<const worker_table> table(const std::vector<leaving_worker>& leaving) const;

    /// Returns the number of slots of all live workers.
    std::uint32_t totalSlots() const;

    /// Returns the number of live workers.
    std::uint32_t liveWorkers() const;

private:
    failure_domain_id m_domain;
    std::chrono::milliseconds m_shrinkGracePeriod;
    std::map<worker_id, worker_info> m_workers;
    /// Time of the first of the consecutive lists that showed fewer than half of the known workers.
    std::optional<time_point> m_shrunkSince;
};

} // namespace coriandermount::fleet
