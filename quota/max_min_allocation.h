/// Division of units among claimants by demand.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace coriandermount::quota {

struct allocation_request {
    /// Orders claimants of equal demand, together with the turn.
    std::string name;
    std::uint32_t demanded = 0;
    /// Units to have at hand beyond, for work that comes next.
    std::uint32_t reserve = 0;
    /// Gets what the others leave of their wants and reserves, and no spare units.
    bool foreign = false;
};

/// Divides `units` so that the smallest part is as large as it can be and nobody gets more than it wants; what is left goes to
/// reserves in the same way, then to foreign claimants, then evenly to the others. Units that can't be divided evenly go around
/// with `turn`.
std::vector<std::uint32_t> allocateMaxMin(
    std::uint32_t units, const std::vector<allocation_request>& claimants, std::uint64_t turn);

} // namespace coriandermount::quota
