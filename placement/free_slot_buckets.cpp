#include "placement/free_slot_buckets.h"

#include <bit>

namespace coriandermount::placement {

void free_slot_buckets::remove(std::uint32_t worker)
{
    position& at = m_positions[worker];
    if (at.bucket == 0)
        return;
    auto& bucket = m_buckets[at.bucket - 1];
    const std::uint32_t last = bucket.back();
    bucket[at.offset] = last;
    m_positions[last].offset = at.offset;
    bucket.pop_back();
    if (bucket.empty())
        m_filled &= ~(std::uint64_t { 1 } << (at.bucket - 1));
    at.bucket = 0;
}

void free_slot_buckets::setFreeSlots(std::uint32_t worker, std::uint32_t freeSlots)
{
    if (worker >= m_positions.size())
        m_positions.resize(worker + 1);
    if (m_positions[worker].bucket == freeSlots)
        return;
    remove(worker);
    if (freeSlots == 0)
        return;
    auto& bucket = m_buckets[freeSlots - 1];
    m_positions[worker] = { freeSlots, static_cast<std::uint32_t>(bucket.size()) };
    bucket.push_back(worker);
    m_filled |= std::uint64_t { 1 } << (freeSlots - 1);
}

const std::vector<std::uint32_t>& free_slot_buckets::mostFree() const
{
    const auto width = static_cast<std::size_t>(std::bit_width(m_filled));
    return m_buckets[width == 0 ? 0 : width - 1];
}

} // namespace coriandermount::placement
