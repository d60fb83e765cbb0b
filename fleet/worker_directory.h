/// The workers of one failure domain, kept through a VM list that is away, shrunk or old; no threads, no clock.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "core/worker.h"
#include "fleet/gossip_message.h"

namespace coriandermount::fleet {

class worker_directory {
public:
    /// Workers that vanish together with most others are kept for `shrinkGracePeriod`.
    worker_directory(failure_domain_id domain, std::chrono::milliseconds shrinkGracePeriod);

    /// Takes over the platform's list; returns the workers that it shows as leaving for the first time.
    std::vector<leaving_worker> applyListing(const std::vector<worker_info>& listed, time_point now, wall_time wallNow);

    /// Takes over the workers that a peer knows; used while no list has been read.
    void applyPeerTable(const std::vector<worker_info>& workers);

    /// Marks workers as leaving until a list that is read later shows them otherwise.
    void markLeaving(const std::vector<leaving_worker>& workers);

    /// Whether the last list was held back since it showed too few workers.
    bool keepsUnlistedWorkers() const { return m_shrunkSince.has_value(); }

    bool empty() const { return m_workers.empty(); }

    /// Returns the workers, sorted by id; those in `leaving` are shown as leaving.
    std::shared_ptr<const worker_table> table(const std::vector<leaving_worker>& leaving) const;

    std::uint32_t totalSlots() const;
    std::uint32_t liveWorkers() const;

private:
    failure_domain_id m_domain;
    std::chrono::milliseconds m_shrinkHold;
    std::map<worker_id, worker_info> m_workers;
    std::optional<time_point> m_shrunkSince;
};

} // namespace coriandermount::fleet
