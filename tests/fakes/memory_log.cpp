#include "tests/fakes/memory_log.h"

#include <algorithm>

namespace coriandermount::fakes {

platform::log_offset memory_log::append(std::string body)
{
    m_bodies.push_back(std::move(body));
    return end() - 1;
}

platform::log_batch memory_log::read(platform::log_offset from, std::size_t limit) const
{
    platform::log_batch batch;
    batch.firstKept = m_firstKept;
    batch.end = end();
    for (auto offset = std::max(from, m_firstKept); offset < end() && batch.records.size() < limit; ++offset)
        batch.records.push_back({ offset, m_bodies[offset - m_firstKept] });
    return batch;
}

void memory_log::keepNewest(std::size_t count)
{
    while (m_bodies.size() > count) {
        m_bodies.pop_front();
        ++m_firstKept;
    }
}

void memory_log::truncateTail(std::size_t count) { m_bodies.resize(m_bodies.size() - std::min(count, m_bodies.size())); }

void memory_log::appendDuplicate(platform::log_offset offset)
{
    if (offset >= m_firstKept && offset < end())
        append(m_bodies[offset - m_firstKept]);
}

} // namespace coriandermount::fakes
