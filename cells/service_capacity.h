/// Capacity of the workers of one service, summed up for forecasts.
#pragma once

#include <optional>
#include <vector>

#include "core/clock.h"
#include "jobs/job.h"

namespace coriandermount::cells {

/// Worker that can be expected to take tasks.
struct usable_worker {
    jobs::resources size;
    /// Cores that tasks may use.
    double cores = 0;
    /// Until when the worker takes no starts.
    time_point pausedUntil;
};

/// Workers of one service as they were at one moment. Sums are kept for tasks that fit on the smallest worker, and so on all.
class service_capacity {
public:
    service_capacity() = default;
    explicit service_capacity(std::vector<usable_worker> workers);

    /// Returns the cores of the workers that take starts by `until`, if tasks with the given need fit on every worker. Otherwise
    /// it returns nothing, and the caller has to look at each worker.
    std::optional<double> coresFor(const jobs::resources& need, time_point until) const;

private:
    /// Smallest of the sizes, taken for each kind of resource.
    jobs::resources m_smallest;
    /// Ends of the pauses of all workers, the earliest first.
    std::vector<time_point> m_pausedUntil;
    /// Sums of the cores of the first workers, in the order of `m_pausedUntil`; the first sum is 0.
    std::vector<double> m_coresBefore;
};

} // namespace coriandermount::cells
