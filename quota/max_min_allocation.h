/// Max-min fair allocation of units by demand.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace coriandermount::quota {

/// Demand of one VM in an allocation.
struct allocation_request {
    /// Hashed together with the rotation to order requests when units can't be divided evenly.
    std::string name;
    std::uint32_t demanded = 0;
    /// Units beyond `demanded` to keep available for the next tasks.
    std::uint32_t reserve = 0;
    /// Whether the VM is in another failure domain. It then gets only units that the demands and reserves of the others leave,
    /// and no spare units.
    bool foreign = false;
};

/// Returns an allocation of `units` for each request: max-min fair up to the demands, then up to the reserves, then to foreign
/// requests up to their demands; the rest is divided evenly among the requests that are not foreign. `rotation` changes which
/// requests get the units that can't be divided evenly.
std::vector<std::uint32_t> allocateMaxMin(
    std::uint32_t units, const std::vector<allocation_request>& requests, std::uint64_t rotation);

} // namespace coriandermount::quota
