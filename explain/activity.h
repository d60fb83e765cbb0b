/// What one VM did in each of the last seconds.
#pragma once

#include <deque>
#include <vector>

#include "core/types.h"
#include "metrics/metrics.h"

namespace coriandermount::explain {

struct activity_second {
    wall_time at {};
    std::uint64_t arrivals = 0;
    std::uint64_t starts = 0;
    std::uint64_t refusals = 0;
    std::uint64_t failures = 0;
    /// Tasks that waited at the end of the second.
    std::uint64_t queued = 0;
};

/// Turns sums into values per second; keeps five minutes.
class activity {
public:
    static constexpr std::size_t keptSeconds = 300;

    /// Called several times a second with the sums so far.
    void sample(wall_time now, const metrics::counter_totals& sums, std::uint64_t queued);

    /// Whole seconds, oldest first.
    std::vector<activity_second> seconds() const;

private:
    std::deque<activity_second> m_seconds;
    metrics::counter_totals m_atStart;
    wall_time m_current {};
    bool m_started = false;
};

} // namespace coriandermount::explain
