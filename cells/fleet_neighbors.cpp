#include "cells/fleet_neighbors.h"

#include <algorithm>
#include <atomic>

#include <fmt/format.h>

namespace coriandermount::cells {

namespace {

    /// Free capacity that a cell must have, as a multiple of the need: other cells may reserve the same capacity before the
    /// next heartbeat.
    constexpr std::int64_t capacityFactor = 2;

    /// Collects the answers of all cells to a query for lent jobs.
    struct lent_collector {
        std::mutex mutex;
        std::size_t pendingAnswers = 0;
        lent_jobs lent;
        bool complete = true;
        std::function<void(const lent_jobs&, bool)> done;

        void add(cell_number cell, const lent_report& report)
        {
            {
                const std::scoped_lock lock(mutex);
                complete = complete && report.complete;
                for (const auto& id : report.jobIds)
                    lent.emplace(id, cell);
                if (--pendingAnswers > 0)
                    return;
            }
            done(lent, complete);
        }
    };

    /// Adds the numbers of pending jobs of several cells.
    struct pending_collector {
        std::mutex mutex;
        std::size_t pendingAnswers = 0;
        result<std::uint32_t> sum = 0;
        pending_completion done;

        void add(const result<std::uint32_t>& answer)
        {
            {
                const std::scoped_lock lock(mutex);
                if (!answer)
                    sum = answer;
                else if (sum)
                    *sum += *answer;
                if (--pendingAnswers > 0)
                    return;
            }
            done(sum);
        }
    };

} // namespace

fleet_neighbors::fleet_neighbors(const clock_source& clock, cell_owner& owner, owner_link& link, const vm_directory& directory,
    cell_number self, cell_number cells)
    : m_link(link)
    , m_directory(directory)
    , m_self(self)
    , m_reserved(cells)
{
    for (cell_number number = 0; number < cells; ++number) {
        auto target = [this, number]() -> std::optional<run_target> {
            const auto cellOwner = m_directory.owner(number);
            return cellOwner ? std::optional(run_target { false, cellOwner->address, cellOwner->epoch }) : std::nullopt;
        };
        m_routers.push_back(std::make_unique<job_router>(
            clock, owner, link, std::move(target), [&owner](const std::string& jobId) { return owner.hearsCallers(jobId); }));
    }
}

fleet_neighbors::reserved_capacity& fleet_neighbors::reservedSince(cell_number cell, const reported_owner& cellOwner)
{
    reserved_capacity& reserved = m_reserved[cell];
    if (reserved.heartbeatAt != cellOwner.heartbeatAt)
        reserved = { cellOwner.heartbeatAt, 0, std::chrono::microseconds(0) };
    return reserved;
}

std::optional<cell_number> fleet_neighbors::chooseCell(const relocation_need& need, const std::set<cell_number>& excluded)
{
    std::vector<relocation_target> targets;
    const std::scoped_lock lock(m_mutex);
    for (cell_number number = 0; number < m_reserved.size(); ++number) {
        const auto cellOwner = number == m_self || excluded.contains(number) ? std::nullopt : m_directory.owner(number);
        if (!cellOwner)
            continue;
        const reserved_capacity& reserved = reservedSince(number, *cellOwner);
        const auto& idle = cellOwner->load.idleCpu;
        const auto& waits = cellOwner->load.waitByPriority;
        const auto found = idle.find(need.service.value);
        relocation_target target { number, (found == idle.end() ? 0 : found->second) - reserved.cpuMillis };
        if (!waits.empty())
            target.wait = waits[std::min<std::size_t>(need.priority, waits.size() - 1)];
        target.wait += std::chrono::duration_cast<std::chrono::milliseconds>(reserved.serviceTime);
        targets.push_back(target);
    }
    const auto chosen = chooseRelocationTarget(targets, need.cpuMillis);
    if (chosen) {
        m_reserved[*chosen].cpuMillis += need.cpuMillis;
        m_reserved[*chosen].serviceTime += need.serviceTime;
    }
    return chosen;
}

bool fleet_neighbors::hasOwnerlessCell(const std::set<cell_number>& excluded) const
{
    for (cell_number number = 0; number < m_routers.size(); ++number) {
        if (number != m_self && !excluded.contains(number) && !m_directory.owner(number))
            return true;
    }
    return false;
}

std::optional<cell_number> fleet_neighbors::reserveCapacity(const service_id& service, std::int64_t cpuMillis)
{
    std::optional<cell_number> best;
    std::int64_t bestIdle = 0;
    const std::scoped_lock lock(m_mutex);
    for (cell_number number = 0; number < m_reserved.size(); ++number) {
        const auto cellOwner = number == m_self ? std::nullopt : m_directory.owner(number);
        if (!cellOwner)
            continue;
        const reserved_capacity& reserved = reservedSince(number, *cellOwner);
        const auto found = cellOwner->load.idleCpu.find(service.value);
        const std::int64_t idle = (found == cellOwner->load.idleCpu.end() ? 0 : found->second) - reserved.cpuMillis;
        if (idle >= capacityFactor * cpuMillis && idle > bestIdle) {
            best = number;
            bestIdle = idle;
        }
    }
    if (best)
        m_reserved[*best].cpuMillis += capacityFactor * cpuMillis;
    return best;
}

void fleet_neighbors::run(cell_number cell, jobs::run_request request, job_completion done)
{
    if (request.lentBy)
        request.lentBy->cell = m_self;
    m_routers[cell]->run(std::move(request), std::move(done));
}

void fleet_neighbors::withdraw(cell_number cell, const std::string& jobId, withdrawal_reason reason)
{
    m_routers[cell]->withdrawJob(jobId, reason);
}

void fleet_neighbors::forgetLentJobs()
{
    for (const auto& router : m_routers)
        router->dropAll();
}

void fleet_neighbors::queryLentJobs(std::uint64_t epoch, std::function<void(const lent_jobs& lent, bool complete)> done)
{
    std::vector<std::pair<cell_number, std::string>> targets;
    for (cell_number number = 0; number < m_reserved.size(); ++number) {
        const auto cellOwner = number == m_self ? std::nullopt : m_directory.owner(number);
        if (cellOwner)
            targets.emplace_back(number, cellOwner->address);
    }
    // An owner whose heartbeats do not arrive may still run jobs: this VM may be the one that is partitioned.
    const bool allOwnersKnown = targets.size() + 1 == m_reserved.size();
    if (targets.empty()) {
        done({}, allOwnersKnown);
        return;
    }
    auto collector = std::make_shared<lent_collector>();
    collector->complete = allOwnersKnown;
    collector->pendingAnswers = targets.size();
    collector->done = std::move(done);
    for (const auto& [cell, address] : targets) {
        m_link.queryLentJobs(address, { m_self, epoch },
            [collector, number = cell](const lent_report& report) { collector->add(number, report); });
    }
}

void fleet_neighbors::countPending(const std::string& queue, pending_completion done)
{
    std::uint32_t listed = 0;
    std::vector<std::string> owners;
    for (cell_number number = 0; number < m_reserved.size(); ++number) {
        const auto cellOwner = m_directory.owner(number);
        if (!cellOwner || !cellOwner->load.recordsCurrent) {
            done(fail(error_kind::owner_unknown, fmt::format("the number of pending jobs of cell {} is unknown", number)));
            return;
        }
        const auto& counts = cellOwner->load.pendingByQueue;
        if (!counts) {
            owners.push_back(cellOwner->address);
            continue;
        }
        const auto found = counts->find(queue);
        listed += found == counts->end() ? 0 : found->second;
    }
    if (owners.empty()) {
        done(listed);
        return;
    }
    auto collector = std::make_shared<pending_collector>();
    collector->pendingAnswers = owners.size();
    collector->sum = listed;
    collector->done = std::move(done);
    for (const auto& address : owners)
        m_link.queryPending(address, queue, [collector](const auto& answer) { collector->add(answer); });
}

void fleet_neighbors::tick()
{
    for (const auto& router : m_routers)
        router->tick();
}

} // namespace coriandermount::cells
