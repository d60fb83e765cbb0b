#include "fleet/worker_directory.h"

namespace coriandermount::fleet {

worker_directory::worker_directory(failure_domain_id domain, std::chrono::milliseconds shrinkGracePeriod)
    : m_domain(std::move(domain))
    , m_shrinkGracePeriod(shrinkGracePeriod)
{
}

std::vector<leaving_worker> worker_directory::applyListing(
    const std::vector<worker_info>& listed, time_point now, wall_time wallNow)
{
    std::vector<leaving_worker> newlyLeaving;
    std::map<worker_id, worker_info> current;
    for (const auto& worker : listed) {
        if (worker.domain != m_domain)
            continue;
        const auto known = m_workers.find(worker.id);
        const bool wasLeaving = known != m_workers.end() && known->second.state == vm_state::leaving;
        if (worker.state == vm_state::leaving && !wasLeaving)
            newlyLeaving.push_back({ worker.id, static_cast<std::uint64_t>(wallNow.time_since_epoch().count()) });
        current.emplace(worker.id, worker);
    }
    const bool shrunk = current.size() * 2 < m_workers.size();
    if (!shrunk)
        m_shrunkSince.reset();
    else if (!m_shrunkSince)
        m_shrunkSince = now;
    // An empty list never removes workers. Keeping a dead worker is safe, because a task that is sent to it is refused with proof
    // that the task did not run.
    const bool keepUnlisted = shrunk && (current.empty() || now - *m_shrunkSince < m_shrinkGracePeriod);
    if (keepUnlisted)
        current.insert(m_workers.begin(), m_workers.end());
    m_workers = std::move(current);
    return newlyLeaving;
}

void worker_directory::applyPeerTable(const std::vector<worker_info>& workers)
{
    for (const auto& worker : workers) {
        if (worker.domain == m_domain)
            m_workers.try_emplace(worker.id, worker);
    }
}

void worker_directory::markLeaving(const std::vector<leaving_worker>& workers)
{
    for (const auto& worker : workers) {
        if (const auto known = m_workers.find(worker.id); known != m_workers.end())
            known->second.state = vm_state::leaving;
    }
}

std::shared_ptr<const worker_table> worker_directory::table(const std::vector<leaving_worker>& leaving) const
{
    std::map<worker_id, worker_info> shown = m_workers;
    for (const auto& worker : leaving) {
        if (const auto known = shown.find(worker.id); known != shown.end())
            known->second.state = vm_state::leaving;
    }
    auto table = std::make_shared<worker_table>();
    for (auto& [id, worker] : shown)
        table->workers.push_back(std::move(worker));
    return table;
}

std::uint32_t worker_directory::totalSlots() const
{
    std::uint32_t slots = 0;
    for (const auto& [id, worker] : m_workers)
        slots += worker.state == vm_state::live ? worker.slots : 0;
    return slots;
}

std::uint32_t worker_directory::liveWorkers() const
{
    std::uint32_t count = 0;
    for (const auto& [id, worker] : m_workers)
        count += worker.state == vm_state::live ? 1 : 0;
    return count;
}

} // namespace coriandermount::fleet
