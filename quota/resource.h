/// Countable units that VMs lease: slots of workers and shares of the limits of plans.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace coriandermount::quota {

/// Kind of a resource that is leased in units.
enum class resource_kind : std::uint8_t {
    /// Slot of the named worker, or of any worker if the name is empty.
    slot,
    concurrent_tasks,
    tasks_per_second,
    accelerators,
    memory_megabytes,
};

/// Identifies a resource: the slots of a worker, or one limit of a plan.
struct resource_id {
    resource_kind kind = resource_kind::slot;
    /// Id of the worker or the plan.
    std::string name;

    friend auto operator<=>(const resource_id&, const resource_id&) = default;
};

/// Stands for the slots of all workers together in needs and recall requests.
inline const resource_id anySlot { resource_kind::slot, {} };

/// Number of units per resource. Resources without units are not listed, except where a type says otherwise.
using unit_map = std::map<resource_id, std::uint32_t>;

/// Returns the units of `resource`, or 0 if it is not listed.
inline std::uint32_t unitsOf(const unit_map& units, const resource_id& resource)
{
    const auto found = units.find(resource);
    return found == units.end() ? 0 : found->second;
}

/// Adds `units` units of `resource`; adding 0 doesn't create an entry.
inline void addUnits(unit_map& target, const resource_id& resource, std::uint32_t units)
{
    if (units > 0)
        target[resource] += units;
}

/// Removes up to `units` units of `resource` and returns the number removed. An entry that reaches 0 is erased.
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

/// Units of a resource that a VM uses and could use at present.
struct resource_need {
    std::uint32_t used = 0;
    /// Units in use plus those that waiting tasks could use.
    std::uint32_t demanded = 0;

    friend bool operator==(const resource_need&, const resource_need&) = default;
};

/// Needs of a VM by resource.
using need_map = std::map<resource_id, resource_need>;

} // namespace coriandermount::quota
