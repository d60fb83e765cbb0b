/// Clock that tests advance explicitly.
#pragma once

#include <atomic>

#include "core/clock.h"

namespace coriandermount::fakes {

/// Starts 1 s after the epoch of the monotonic clock, and advances only through `advance`. Thread-safe.
class manual_clock final : public clock_source {
public:
    time_point now() const override { return time_point(std::chrono::nanoseconds(m_nanoseconds.load())); }

    wall_time wallNow() const override
    {
        return wall_time(std::chrono::duration_cast<std::chrono::milliseconds>(wallStart + now().time_since_epoch()));
    }

    void advance(std::chrono::nanoseconds step) { m_nanoseconds.fetch_add(step.count()); }

private:
    /// Wall-clock time at the epoch of the monotonic clock: 2026-12-04 00:00 UTC.
    static constexpr std::chrono::milliseconds wallStart { 1796342400000 };

    std::atomic<std::int64_t> m_nanoseconds { 1000000000 };
};

} // namespace coriandermount::fakes
