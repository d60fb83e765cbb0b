/// In-memory fake of one stream of the platform's log, including its faults.
#pragma once

#include <deque>

#include "platform/log.h"

namespace coriandermount::fakes {

/// Holds the records of one stream. Calls complete at once and do not depend on a clock.
class memory_log {
public:
    /// Appends a record and returns its offset.
    platform::log_offset append(std::string body);

    /// Returns at most `limit` records, starting at offset `from` or at the oldest retained record.
    platform::log_batch read(platform::log_offset from, std::size_t limit) const;

    /// Removes all but the newest `count` records, as the end of the retention time does.
    void keepNewest(std::size_t count);

    /// Removes the newest `count` records. Later appends reuse their offsets.
    void truncateTail(std::size_t count);

    /// Appends a copy of the record at `offset`, if that record is retained.
    void appendDuplicate(platform::log_offset offset);

    /// Returns the offset of the oldest retained record.
    platform::log_offset firstKept() const { return m_firstKept; }
    /// Returns the offset that the next record will get.
    platform::log_offset end() const { return m_firstKept + m_bodies.size(); }

private:
    platform::log_offset m_firstKept = 1;
    std::deque<std::string> m_bodies;
};

} // namespace coriandermount::fakes
