#include "quota/max_min_allocation.h"

#include <algorithm>
#include <numeric>

#include <xxhash.h>

namespace coriandermount::quota {

namespace {

    using indices = std::vector<std::size_t>;

    /// Raises the allocations in `order` evenly up to their bounds and returns the units that are left.
    std::uint32_t raiseToBounds(std::uint32_t units, const indices& order, const std::vector<std::uint32_t>& bounds,
        std::vector<std::uint32_t>& allocations)
    {
        indices active = order;
        while (units > 0 && !active.empty()) {
            const auto evenShare = static_cast<std::uint32_t>(units / active.size());
            auto remainder = static_cast<std::uint32_t>(units % active.size());
            indices stillActive;
            for (const std::size_t index : active) {
                const std::uint32_t extra = evenShare + (remainder > 0 ? 1 : 0);
                if (remainder > 0)
                    --remainder;
                const std::uint32_t taken = std::min(extra, bounds[index] - allocations[index]);
                allocations[index] += taken;
                units -= taken;
                if (allocations[index] < bounds[index])
                    stillActive.push_back(index);
            }
            active.swap(stillActive);
        }
        return units;
    }

    /// Adds all `units` to the allocations in `order`, evenly but for a remainder.
    void distributeEvenly(std::uint32_t units, const indices& order, std::vector<std::uint32_t>& allocations)
    {
        for (std::size_t position = 0; position < order.size(); ++position) {
            const auto remaining = static_cast<std::uint32_t>(order.size() - position);
            const std::uint32_t allocation = units / remaining + (units % remaining > 0 ? 1 : 0);
            allocations[order[position]] += allocation;
            units -= allocation;
        }
    }

} // namespace

std::vector<std::uint32_t> allocateMaxMin(
    std::uint32_t units, const std::vector<allocation_request>& requests, std::uint64_t rotation)
{
    indices order(requests.size());
    std::iota(order.begin(), order.end(), 0);
    std::vector<std::uint64_t> rank;
    rank.reserve(requests.size());
    for (const auto& entry : requests)
        rank.push_back(XXH3_64bits_withSeed(entry.name.data(), entry.name.size(), rotation));
    std::sort(order.begin(), order.end(), [&rank](std::size_t a, std::size_t b) { return rank[a] > rank[b]; });

    const auto firstForeign
        = std::stable_partition(order.begin(), order.end(), [&requests](std::size_t index) { return !requests[index].foreign; });
    const indices homeRequests(order.begin(), firstForeign);
    const indices foreignRequests(firstForeign, order.end());
    std::vector<std::uint32_t> allocations(requests.size());
    std::vector<std::uint32_t> demands;
    std::vector<std::uint32_t> demandsWithReserve;
    demands.reserve(requests.size());
    demandsWithReserve.reserve(requests.size());
    for (const auto& entry : requests) {
        demands.push_back(entry.demanded);
        demandsWithReserve.push_back(entry.demanded + entry.reserve);
    }
    std::uint32_t remaining = raiseToBounds(units, homeRequests, demands, allocations);
    remaining = raiseToBounds(remaining, homeRequests, demandsWithReserve, allocations);
    remaining = raiseToBounds(remaining, foreignRequests, demands, allocations);
    distributeEvenly(remaining, homeRequests, allocations);
    return allocations;
}

} // namespace coriandermount::quota
