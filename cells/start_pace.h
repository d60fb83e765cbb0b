/// Number of starts that an owner with too little processor time gets done.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>

#include "core/clock.h"

namespace coriandermount::cells {

/// Limits the start orders in flight while the owner lags, so that its backlog stays short, and measures how many it gets done.
/// Without lag there is no limit. Not thread-safe.
class start_pace {
public:
    /// Records that a start order is sent.
    void noteStart() { ++m_inFlight; }
    /// Records the end of a start order; `answered` unless it failed without an answer.
    void noteEnd(time_point now, bool answered);
    /// Adapts the limit to the lag of the owner. Must be called at least with each tick.
    void update(time_point now, std::chrono::milliseconds lag);

    bool isLimited() const { return m_limited; }
    /// Returns whether another job may be started.
    bool hasRoom() const { return !m_limited || static_cast<double>(m_inFlight) < m_window; }
    /// Records that a job was refused or had to wait because of the limit, which is kept then.
    void noteHeld(time_point now) { m_heldAt = now; }

    /// Returns whether the rate has been measured under the limit for long enough to refuse jobs that were admitted.
    bool isRateSettled(time_point now) const { return m_limited && now >= m_limitedAt + rateSettlingTime; }

    /// Returns the starts a second that the owner gets done; 0 while there is no limit.
    double startsPerSecond() const { return m_limited ? m_rate : 0; }
    /// Returns the time until the owner has got those in flight and `starts` more done; 0 while there is no limit.
    std::chrono::microseconds timeUntilDone(std::size_t starts) const;
    /// Returns the time that the owner takes for `starts`; 0 while there is no limit.
    std::chrono::microseconds timeFor(std::size_t starts) const;

private:
    static constexpr std::size_t periodCount = 5;
    static constexpr std::chrono::milliseconds rateSettlingTime { 500 };

    double answeredPerSecond(time_point now) const;

    bool m_limited = false;
    std::size_t m_inFlight = 0;
    /// Largest number of start orders in flight.
    double m_window = 0;
    double m_rate = 0;
    time_point m_nextUpdate;
    time_point m_nextReduction;
    time_point m_heldAt;
    time_point m_limitedAt;
    /// Answered start orders in the current period and in those before, the newest one first.
    std::array<std::size_t, periodCount + 1> m_answers {};
    time_point m_periodBegin;
};

} // namespace coriandermount::cells
