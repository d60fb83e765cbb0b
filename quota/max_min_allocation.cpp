#include "quota/max_min_allocation.h"

#include <algorithm>
#include <numeric>

#include <xxhash.h>

namespace coriandermount::quota {

namespace {

    using indices = std::vector<std::size_t>;

    /// Raises the parts of `order` evenly up to their bounds and returns the units left.
    std::uint32_t fill(
        std::uint32_t units, const indices& order, const std::vector<std::uint32_t>& bounds, std::vector<std::uint32_t>& parts)
    {
        indices open = order;
        while (units > 0 && !open.empty()) {
            const auto level = static_cast<std::uint32_t>(units / open.size());
            auto rest = static_cast<std::uint32_t>(units % open.size());
            indices still;
            for (const std::size_t index : open) {
                const std::uint32_t extra = level + (rest > 0 ? 1 : 0);
                if (rest > 0)
                    --rest;
                const std::uint32_t taken = std::min(extra, bounds[index] - parts[index]);
                parts[index] += taken;
                units -= taken;
                if (parts[index] < bounds[index])
                    still.push_back(index);
            }
            open.swap(still);
        }
        return units;
    }

    void spread(std::uint32_t units, const indices& order, std::vector<std::uint32_t>& parts)
    {
        for (std::size_t position = 0; position < order.size(); ++position) {
            const auto left = static_cast<std::uint32_t>(order.size() - position);
            const std::uint32_t part = units / left + (units % left > 0 ? 1 : 0);
            parts[order[position]] += part;
            units -= part;
        }
    }

} // namespace

std::vector<std::uint32_t> allocateMaxMin(
    std::uint32_t units, const std::vector<allocation_request>& claimants, std::uint64_t turn)
{
    indices order(claimants.size());
    std::iota(order.begin(), order.end(), 0);
    std::vector<std::uint64_t> rank;
    rank.reserve(claimants.size());
    for (const auto& entry : claimants)
        rank.push_back(XXH3_64bits_withSeed(entry.name.data(), entry.name.size(), turn));
    std::sort(order.begin(), order.end(), [&rank](std::size_t a, std::size_t b) { return rank[a] > rank[b]; });

    const auto firstForeign = std::stable_partition(
        order.begin(), order.end(), [&claimants](std::size_t index) { return !claimants[index].foreign; });
    const indices home(order.begin(), firstForeign);
    const indices foreign(firstForeign, order.end());
    std::vector<std::uint32_t> parts(claimants.size());
    std::vector<std::uint32_t> wants;
    std::vector<std::uint32_t> comforts;
    wants.reserve(claimants.size());
    comforts.reserve(claimants.size());
    for (const auto& entry : claimants) {
        wants.push_back(entry.demanded);
        comforts.push_back(entry.demanded + entry.reserve);
    }
    std::uint32_t left = fill(units, home, wants, parts);
    left = fill(left, home, comforts, parts);
    left = fill(left, foreign, wants, parts);
    spread(left, home, parts);
    return parts;
}

} // namespace coriandermount::quota
