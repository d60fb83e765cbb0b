/// Queued work by latest start time.
#pragma once

#include <cstdint>
#include <map>

#include "core/types.h"

namespace coriandermount::admission {

/// Amount of work: the use of one slot for one second is 1.
using slot_seconds = double;

/// Computes how many slots are needed for all queued work to start in time.
class backlog_profile {
public:
    /// Adds work that has to start by `latestStart`.
    void add(time_point latestStart, slot_seconds work);
    /// Removes work that was added with the same `latestStart`.
    void remove(time_point latestStart, slot_seconds work);

    bool empty() const { return m_work.empty(); }

    /// Returns the sum of all queued work.
    slot_seconds total() const { return m_total; }

    /// Returns the number of slots needed to start all work in time if `extra` work with `latestStart` were added. Only work
    /// due at `latestStart` or later is considered.
    double slotsNeeded(time_point latestStart, slot_seconds extra, time_point now) const;

    /// Returns the sum of the work that is due at `latestStart` or earlier.
    slot_seconds workDueBy(time_point latestStart) const;

private:
    using tick = std::int64_t;

    static tick tickOf(time_point at);

    std::map<tick, slot_seconds> m_work;
    slot_seconds m_total = 0;
};

} // namespace coriandermount::admission
