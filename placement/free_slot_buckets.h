/// Set of workers, grouped by their number of free slots.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace coriandermount::placement {

/// Limit on the slots used on one worker; each slot takes one connection.
inline constexpr std::uint32_t maxSlotsPerWorker = 64;

/// Set of worker indexes with constant-time insertion, removal and access to the workers with the most free slots.
class free_slot_buckets {
public:
    /// Moves `worker` to the bucket of `freeSlots`, or removes the worker from the set when `freeSlots` is 0. `freeSlots` is at
    /// most `maxSlotsPerWorker`.
    void setFreeSlots(std::uint32_t worker, std::uint32_t freeSlots);

    bool empty() const { return m_filled == 0; }

    /// Returns the workers with the most free slots; empty only if the set is empty.
    const std::vector<std::uint32_t>& mostFree() const;

private:
    struct position {
        std::uint32_t bucket = 0;
        std::uint32_t offset = 0;
    };

    void remove(std::uint32_t worker);

    /// Element n holds the workers with n + 1 free slots.
    std::array<std::vector<std::uint32_t>, maxSlotsPerWorker> m_buckets;
    /// Bit n is set when bucket n is not empty.
    std::uint64_t m_filled = 0;
    /// Position of each worker; `bucket` is the worker's number of free slots, 0 for a worker that is not in the set.
    std::vector<position> m_positions;
};

} // namespace coriandermount::placement
