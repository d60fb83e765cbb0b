#include "fleet/leaving_workers.h"

namespace coriandermount::fleet {

namespace {

    /// Number of messages that carry a new entry.
    constexpr unsigned transmissionLimit = 9;
    constexpr std::size_t updatesPerMessage = 8;
    /// Entries are kept for this multiple of the list's lag, which also covers differences between the clocks of the VMs.
    constexpr int retentionFactor = 2;

} // namespace

leaving_workers::leaving_workers(std::chrono::milliseconds listLag)
    : m_listLag(listLag)
{
}

bool leaving_workers::isExpired(std::uint64_t stamp, wall_time now) const
{
    const auto age = now.time_since_epoch().count() - static_cast<std::int64_t>(stamp);
    return age > (m_listLag * retentionFactor).count();
}

std::vector<leaving_worker> leaving_workers::apply(const std::vector<leaving_worker>& received, wall_time now)
{
    std::vector<leaving_worker> newlyLeaving;
    for (const auto& worker : received) {
        if (isExpired(worker.stamp, now))
            continue;
        const auto [known, added] = m_entries.try_emplace(worker.id, entry { worker.stamp, transmissionLimit });
        if (!added && known->second.stamp >= worker.stamp)
            continue;
        known->second.stamp = worker.stamp;
        if (!added)
            continue;
        known->second.transmissionsLeft = transmissionLimit;
        newlyLeaving.push_back(worker);
    }
    return newlyLeaving;
}

void leaving_workers::expire(wall_time now)
{
    std::erase_if(m_entries, [this, now](const auto& item) { return isExpired(item.second.stamp, now); });
}

std::vector<leaving_worker> leaving_workers::takeUpdates()
{
    std::vector<leaving_worker> updates;
    for (auto& [id, known] : m_entries) {
        if (known.transmissionsLeft == 0 || updates.size() == updatesPerMessage)
            continue;
        --known.transmissionsLeft;
        updates.push_back({ id, known.stamp });
    }
    return updates;
}

std::vector<leaving_worker> leaving_workers::all() const
{
    std::vector<leaving_worker> entries;
    for (const auto& [id, known] : m_entries)
        entries.push_back({ id, known.stamp });
    return entries;
}

} // namespace coriandermount::fleet
