/// Activity of one VM in each of the last seconds.
#pragma once

#include <deque>
#include <vector>

#include "core/types.h"
#include "metrics/metrics.h"

namespace coriandermount::explain {

/// Counters of one second.
struct activity_second {
    /// Start of the second.
    wall_time at {};
    std::uint64_t arrivals = 0;
    std::uint64_t starts = 0;
    std::uint64_t refusals = 0;
    std::uint64_t failures = 0;
    /// Tasks in the queues at the end of the second.
    std::uint64_t queued = 0;
};

/// Converts running totals into values per second and keeps them for five minutes. Not thread-safe.
class activity_history {
public:
    static constexpr std::size_t keptSeconds = 300;

    /// Records the totals at `now`; to be called several times per second.
    void sample(wall_time now, const metrics::counter_totals& totals, std::uint64_t queued);

    /// Returns the completed seconds, oldest first.
    std::vector<activity_second> seconds() const;

private:
    std::deque<activity_second> m_seconds;
    /// Totals at the start of the current second.
    metrics::counter_totals m_atStart;
    wall_time m_current {};
    bool m_started = false;
};

} // namespace coriandermount::explain
