/// Event loop on a virtual clock.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>

#include "core/clock.h"

namespace coriandermount::fakes {

/// Runs scheduled calls on one thread, in the order of their times. Time passes only in `runFor`.
class virtual_loop final : public clock_source {
public:
    time_point now() const override { return m_now; }
    wall_time wallNow() const override
    {
        return wall_time(std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch()));
    }

    /// Schedules `call` to run after `delay`.
    void after(std::chrono::nanoseconds delay, std::function<void()> call) { m_calls.emplace(m_now + delay, std::move(call)); }

    /// Advances the clock by `duration` and runs the calls that become due, those included that they schedule.
    void runFor(std::chrono::milliseconds duration)
    {
        const time_point end = m_now + duration;
        while (!m_calls.empty() && m_calls.begin()->first <= end) {
            auto next = m_calls.extract(m_calls.begin());
            m_now = next.key();
            next.mapped()();
        }
        m_now = end;
    }

private:
    time_point m_now { std::chrono::hours(1) };
    std::multimap<time_point, std::function<void()>> m_calls;
};

} // namespace coriandermount::fakes
