/// Time limits of the first start of jobs whose callers wait for the end, and the times at which refused callers should return.
#pragma once

#include <chrono>

#include "core/clock.h"

namespace coriandermount::cells {

/// What is known about a job that waits for its first start.
struct waiting_job {
    time_point arrivedAt;
    /// Time by which the job should have ended.
    time_point objective;
    /// Time at which the caller stops waiting.
    time_point deadline;
    /// Estimated run time from the first start to the end.
    std::chrono::milliseconds runTime { 0 };
};

/// Returns the latest start with which the job ends by its objective.
time_point punctualStart(const waiting_job& job);

/// Returns the latest start with which the job ends, and its answer arrives, before its caller stops waiting.
time_point latestStart(const waiting_job& job);

/// Longest time until a refused caller should return: nothing is known about the load after it.
inline constexpr std::chrono::milliseconds longestReturn { 10000 };

/// Tells refused callers when to return: once the backlog that caused the refusal is gone, one after the other, the caller
/// refused first before the others, and no faster than the workers can carry out their jobs.
class return_schedule {
public:
    /// Returns the time until a refused caller should return. `drainTime` is the expected time until the backlog is gone, and
    /// `serviceTime` the time for which the job would use the whole capacity.
    std::chrono::milliseconds reserve(time_point now, std::chrono::milliseconds drainTime, std::chrono::microseconds serviceTime);

private:
    time_point m_nextReturn;
};

} // namespace coriandermount::cells
