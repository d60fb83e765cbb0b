/// How far the owner of a cell is behind with its work.
#pragma once

#include <array>
#include <chrono>
#include <optional>

#include "core/clock.h"

namespace coriandermount::cells {

/// Measures the lag of an owner that has too little processor time: its ticks come late, and even the fastest answers are old
/// when it handles them. Answers alone may be slow because of the workers or the network. Not thread-safe.
class owner_lag {
public:
    /// Records a tick.
    void noteTick(time_point now);
    /// Records an answer that was handled `took` after its call was made. The worker must have answered at once.
    void noteAnswer(time_point now, std::chrono::nanoseconds took);

    /// Returns the lag, 0 for an owner that has enough processor time. A single pause counts as no lag.
    std::chrono::milliseconds value(time_point now) const;

private:
    /// Answers that were handled in one period.
    struct answer_period {
        time_point begin;
        int answers = 0;
        std::chrono::nanoseconds fastest = std::chrono::nanoseconds::max();
    };

    std::chrono::nanoseconds lateness(time_point now) const;

    std::optional<time_point> m_lastTick;
    /// Lateness of the last two ticks, the newest one first.
    std::array<std::chrono::nanoseconds, 2> m_lateness {};
    answer_period m_period;
    answer_period m_periodBefore;
    /// Fastest answer of the periods without late ticks, as a slow moving average.
    std::optional<std::chrono::nanoseconds> m_usualFastest;
};

} // namespace coriandermount::cells
