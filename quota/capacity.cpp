#include "quota/capacity.h"

#include <algorithm>

#include <xxhash.h>

namespace coriandermount::quota {

namespace {

    using limit_field = std::uint32_t configuration::plan_limits::*;
    using share_field = std::uint32_t plan_share::*;

    struct plan_resource {
        resource_kind kind;
        limit_field limit;
        share_field share;
    };

    constexpr plan_resource planResources[] = {
        { resource_kind::concurrent_tasks, &configuration::plan_limits::concurrentTasks, &plan_share::concurrentTasks },
        { resource_kind::tasks_per_second, &configuration::plan_limits::tasksPerSecond, &plan_share::tasksPerSecond },
        { resource_kind::accelerators, &configuration::plan_limits::accelerators, &plan_share::accelerators },
        { resource_kind::memory_megabytes, &configuration::plan_limits::memoryMegabytes, &plan_share::memoryMegabytes },
    };

    std::uint64_t rankOf(const plan_id& plan, const failure_domain_id& domain)
    {
        const std::uint64_t seed = XXH3_64bits(plan.value.data(), plan.value.size());
        return XXH3_64bits_withSeed(domain.value.data(), domain.value.size(), seed);
    }

    resource_need needOf(resource_kind kind, const plan_demand& demand)
    {
        switch (kind) {
        case resource_kind::concurrent_tasks:
            return { demand.runningTasks, demand.runningTasks + demand.queuedTasks };
        case resource_kind::tasks_per_second:
            return { demand.tasksPerSecond, demand.tasksPerSecond + demand.queuedTasks };
        case resource_kind::accelerators:
            return { demand.accelerators, std::max(demand.accelerators, demand.demandedAccelerators) };
        case resource_kind::memory_megabytes:
            return { demand.memoryMegabytes, std::max(demand.memoryMegabytes, demand.demandedMemoryMegabytes) };
        case resource_kind::slot:
            break;
        }
        return {};
    }

} // namespace

std::uint32_t domainShareOf(
    std::uint32_t limit, const plan_id& plan, const failure_domain_id& domain, const std::vector<failure_domain_id>& domains)
{
    const auto count = static_cast<std::uint32_t>(domains.size());
    if (count == 0)
        return limit;
    const std::uint64_t rank = rankOf(plan, domain);
    const auto higherRanked
        = std::count_if(domains.begin(), domains.end(), [&plan, rank](const auto& other) { return rankOf(plan, other) > rank; });
    return limit / count + (higherRanked < static_cast<std::int64_t>(limit % count) ? 1 : 0);
}

unit_map capacityOf(const worker_table& workers, const configuration::snapshot& configuration, const failure_domain_id& domain,
    const std::vector<failure_domain_id>& domains)
{
    unit_map capacity;
    for (const auto& worker : workers.workers) {
        if (worker.domain == domain && worker.state == vm_state::live)
            addUnits(capacity, { resource_kind::slot, worker.id.value }, worker.slots);
    }
    for (const auto& [plan, limits] : configuration.plans) {
        for (const auto& entry : planResources)
            addUnits(capacity, { entry.kind, plan.value }, domainShareOf(limits.*entry.limit, plan, domain, domains));
    }
    return capacity;
}

unit_map usedUnits(const demand& demand)
{
    unit_map used;
    for (const auto& [worker, slots] : demand.usedSlots)
        addUnits(used, { resource_kind::slot, worker.value }, slots);
    for (const auto& [plan, entry] : demand.plans) {
        for (const auto& resource : planResources)
            addUnits(used, { resource.kind, plan.value }, needOf(resource.kind, entry).used);
    }
    return used;
}

need_map needsOf(const demand& demand, const configuration::snapshot& configuration)
{
    need_map needs;
    if (demand.runningTasks + demand.queuedTasks > 0)
        needs[anySlot] = { demand.runningTasks, demand.runningTasks + demand.queuedTasks };
    for (const auto& [plan, entry] : demand.plans) {
        const auto limits = configuration.plans.find(plan);
        if (limits == configuration.plans.end())
            continue;
        for (const auto& resource : planResources) {
            const resource_need need = needOf(resource.kind, entry);
            if (limits->second.*resource.limit > 0 && need.demanded > 0)
                needs[{ resource.kind, plan.value }] = need;
        }
    }
    return needs;
}

void addToSnapshot(const unit_map& units, share_snapshot& snapshot)
{
    for (const auto& [resource, count] : units) {
        if (resource.kind == resource_kind::slot) {
            snapshot.slots[{ resource.name }] += count;
            continue;
        }
        for (const auto& entry : planResources) {
            if (entry.kind == resource.kind)
                snapshot.plans[{ resource.name }].*entry.share += count;
        }
    }
}

} // namespace coriandermount::quota
