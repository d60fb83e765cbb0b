/// One stream of the platform's log with its faults, in memory and without time.
#pragma once

#include <deque>

#include "platform/log.h"

namespace coriandermount::fakes {

class memory_log {
public:
    platform::log_offset append(std::string body);

    platform::log_batch read(platform::log_offset from, std::size_t limit) const;

    /// Forgets all but the newest `count` records, as when the retention time runs out.
    void keepNewest(std::size_t count);

    /// Forgets the newest `count` records; their offsets are handed out again.
    void truncateTail(std::size_t count);

    /// Appends the record at `offset` again.
    void appendDuplicate(platform::log_offset offset);

    platform::log_offset firstKept() const { return m_firstKept; }
    platform::log_offset end() const { return m_firstKept + m_bodies.size(); }

private:
    platform::log_offset m_firstKept = 1;
    std::deque<std::string> m_bodies;
};

} // namespace coriandermount::fakes
