/// Recognizes that a thread that runs every few tens of milliseconds has missed its turn for a moment.
#pragma once

#include <chrono>
#include <optional>

#include "core/clock.h"

namespace coriandermount {

/// Recognizes short gaps between the ticks of a process, after which messages wait that it has not read yet. A process whose
/// ticks all come late, for want of processor time, has no gaps, so that it goes on. Not thread-safe.
class tick_gaps {
public:
    /// Time between two ticks from which on there is a gap.
    static constexpr std::chrono::milliseconds shortestGap { 150 };
    /// Time after a gap until what arrived meanwhile has been read.
    static constexpr std::chrono::milliseconds settleTime { 100 };

    /// Records a tick.
    void noteTick(time_point now)
    {
        const bool isGap = m_lastTick && now - *m_lastTick >= shortestGap;
        if (isGap && !m_lastWasGap)
            m_settledAt = now + settleTime;
        m_lastWasGap = isGap;
        m_lastTick = now;
    }

    /// Returns whether messages that arrived in a gap may be unread at `now`, which may be before the tick that ends the gap.
    bool isSettling(time_point now) const
    {
        return now < m_settledAt || (m_lastTick && !m_lastWasGap && now - *m_lastTick >= shortestGap);
    }

private:
    std::optional<time_point> m_lastTick;
    bool m_lastWasGap = false;
    time_point m_settledAt;
};

} // namespace coriandermount
