/// Virtual time: calls are made in the order of their times, on one thread.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>

#include "core/clock.h"

namespace coriandermount::fakes {

class virtual_loop final : public clock_source {
public:
    time_point now() const override { return m_now; }
    wall_time wallNow() const override
    {
        return wall_time(std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch()));
    }

    void after(std::chrono::milliseconds delay, std::function<void()> call) { m_calls.emplace(m_now + delay, std::move(call)); }

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
