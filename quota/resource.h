/// Countable units that VMs lease: worker slots and parts of the limits of plans.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace coriandermount::quota {

enum class resource_kind : std::uint8_t {
    /// Slot of the worker of that name; with an empty name, of any worker.
    slot,
    concurrent_tasks,
    tasks_per_second,
    accelerators,
    memory_megabytes,
};

struct resource_id {
    resource_kind kind = resource_kind::slot;
    /// Worker or plan.
    std::string name;

    friend auto operator<=>(const resource_id&, const resource_id&) = default;
};

/// Stands for the slots of all workers together in needs and recalls.
inline const resource_id anySlot { resource_kind::slot, {} };

/// Units per resource; resources without units are left out.
using unit_map = std::map<resource_id, std::uint32_t>;

/// Returns the units of `resource`, 0 when it is not listed.
inline std::uint32_t unitsOf(const unit_map& units, const resource_id& resource)
{
    const auto found = units.find(resource);
    return found == units.end() ? 0 : found->second;
}

/// Adds units and keeps the map free of zeros.
inline void addUnits(unit_map& target, const resource_id& resource, std::uint32_t units)
{
    if (units > 0)
        target[resource] += units;
}

/// Removes up to `units` units and returns how many were removed.
inline std::uint32_t removeUnits(unit_map& target, const resource_id& resource, std::uint32_t units)
{
    const auto found = target.find(resource);
    if (found == target.end())
        return 0;
    const std::uint32_t removed = found->second < units ? found->second : units;
    found->second -= removed;
    if (found->second == 0)
        target.erase(found);
    return removed;
}

/// What a VM uses of a resource, and what it could use now.
struct resource_need {
    std::uint32_t used = 0;
    /// Units in use plus those that waiting tasks could take.
    std::uint32_t demanded = 0;

    friend bool operator==(const resource_need&, const resource_need&) = default;
};

using need_map = std::map<resource_id, resource_need>;

} // namespace coriandermount::quota
