/// Recognizes that the process did not run for a while.
#pragma once

#include <chrono>
#include <optional>

#include "core/clock.h"

namespace coriandermount {

/// Recognizes pauses of the process, as when its VM is frozen or suspended. What arrived meanwhile is handled in the first
/// moments after a pause, in any order: a request may be read before the message that its caller has left. Not thread-safe.
class pause_monitor {
public:
    /// Shortest time without a call of `noteRunning` that counts as a pause. Jobs of callers that leave during a shorter one end
    /// before the platform's delay of resubmissions, 1.3 s, as that takes 0.65 s, if their workers answer.
    static constexpr std::chrono::milliseconds shortestPause { 600 };
    /// Time after a pause until what arrived meanwhile has been handled: two checks for callers that have left.
    static constexpr std::chrono::milliseconds settleTime { 100 };

    /// Records that the process runs at `now`; to be called every few tens of milliseconds. Returns the length of the pause that
    /// has ended with this call, or 0.
    std::chrono::milliseconds noteRunning(time_point now);

    /// Returns whether a pause ended less than `settleTime` before `now`.
    bool isSettling(time_point now) const { return m_resumedAt && now < *m_resumedAt + settleTime; }

private:
    std::optional<time_point> m_lastRunning;
    std::optional<time_point> m_resumedAt;
};

} // namespace coriandermount
