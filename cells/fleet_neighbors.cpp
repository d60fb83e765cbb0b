#include "cells/fleet_neighbors.h"

#include <atomic>

namespace coriandermount::cells {

namespace {

    /// Room that must be idle as a multiple of the need, since other cells may claim it within the same beat.
    constexpr std::int64_t roomFactor = 2;

    /// Collects the answers of all cells.
    struct lent_collector {
        std::mutex mutex;
        std::size_t awaited = 0;
        lent_jobs lent;
        bool complete = true;
        std::function<void(const lent_jobs&, bool)> done;

        void add(cell_number cell, const std::optional<std::vector<std::string>>& ids)
        {
            {
                const std::scoped_lock lock(mutex);
                complete = complete && ids.has_value();
                for (const auto& id : ids.value_or(std::vector<std::string>()))
                    lent.emplace(id, cell);
                if (--awaited > 0)
                    return;
            }
            done(lent, complete);
        }
    };

} // namespace

fleet_neighbors::fleet_neighbors(const clock_source& clock, cell_owner& owner, owner_link& link, const vm_directory& directory,
    cell_number self, cell_number cells)
    : m_link(link)
    , m_directory(directory)
    , m_self(self)
    , m_claimed(cells)
{
    for (cell_number number = 0; number < cells; ++number) {
        auto target = [this, number]() -> std::optional<run_target> {
            const auto heard = m_directory.owner(number);
            return heard ? std::optional(run_target { false, heard->address, heard->epoch }) : std::nullopt;
        };
        m_routers.push_back(std::make_unique<job_router>(clock, owner, link, std::move(target)));
    }
}

std::optional<cell_number> fleet_neighbors::reserveCapacity(const service_id& service, std::int64_t cpuMillis)
{
    std::optional<cell_number> best;
    std::int64_t bestIdle = 0;
    const std::scoped_lock lock(m_mutex);
    for (cell_number number = 0; number < m_claimed.size(); ++number) {
        const auto heard = number == m_self ? std::nullopt : m_directory.owner(number);
        if (!heard)
            continue;
        claimed_room& claimed = m_claimed[number];
        if (claimed.heardAt != heard->heardAt)
            claimed = { heard->heardAt, 0 };
        const auto found = heard->load.idleCpu.find(service.value);
        const std::int64_t idle = (found == heard->load.idleCpu.end() ? 0 : found->second) - claimed.cpuMillis;
        if (idle >= roomFactor * cpuMillis && idle > bestIdle) {
            best = number;
            bestIdle = idle;
        }
    }
    if (best)
        m_claimed[*best].cpuMillis += roomFactor * cpuMillis;
    return best;
}

void fleet_neighbors::run(cell_number cell, jobs::run_request request, job_completion done)
{
    if (request.lentBy)
        request.lentBy->cell = m_self;
    m_routers[cell]->run(std::move(request), std::move(done));
}

void fleet_neighbors::forgetLentJobs()
{
    for (const auto& router : m_routers)
        router->forget();
}

void fleet_neighbors::queryLentJobs(std::uint64_t epoch, std::function<void(const lent_jobs& lent, bool complete)> done)
{
    std::vector<std::pair<cell_number, std::string>> targets;
    for (cell_number number = 0; number < m_claimed.size(); ++number) {
        const auto heard = number == m_self ? std::nullopt : m_directory.owner(number);
        if (heard)
            targets.emplace_back(number, heard->address);
    }
    // The owner of a cell that is not heard may still run jobs: it may be this VM that is cut off.
    const bool allHeard = targets.size() + 1 == m_claimed.size();
    if (targets.empty()) {
        done({}, allHeard);
        return;
    }
    auto collector = std::make_shared<lent_collector>();
    collector->complete = allHeard;
    collector->awaited = targets.size();
    collector->done = std::move(done);
    for (const auto& [cell, address] : targets) {
        m_link.queryLentJobs(address, { m_self, epoch },
            [collector, number = cell](const std::optional<std::vector<std::string>>& ids) { collector->add(number, ids); });
    }
}

void fleet_neighbors::tick()
{
    for (const auto& router : m_routers)
        router->tick();
}

} // namespace coriandermount::cells
