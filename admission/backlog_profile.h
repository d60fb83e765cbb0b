/// Queued work by the time at which it has to be started.
#pragma once

#include <cstdint>
#include <map>

#include "core/types.h"

namespace coriandermount::admission {

/// Work in slot seconds.
using slot_seconds = double;

/// Tells which rate of service is needed so that all queued work starts in time.
class backlog_profile {
public:
    void add(time_point latestStart, slot_seconds work);
    void remove(time_point latestStart, slot_seconds work);

    bool empty() const { return m_work.empty(); }

    slot_seconds total() const { return m_total; }

    /// Returns the number of slots that would start all work in time if `extra` were added, as far as work that is due at
    /// `latestStart` or later is concerned.
    double slotsNeeded(time_point latestStart, slot_seconds extra, time_point now) const;

    /// Returns the work that is due at `latestStart` or earlier.
    slot_seconds workDueBy(time_point latestStart) const;

private:
    using tick = std::int64_t;

    static tick tickOf(time_point at);

    std::map<tick, slot_seconds> m_work;
    slot_seconds m_total = 0;
};

} // namespace coriandermount::admission
