/// Interface to the clock; tests replace the implementation.
#pragma once

#include <ctime>

#include "core/types.h"

namespace coriandermount {

/// Provides monotonic and wall-clock time. Both functions are safe to call from any thread.
class clock_source {
public:
    virtual ~clock_source() = default;

    virtual time_point now() const = 0;
    virtual wall_time wallNow() const = 0;
};

/// Reads the clocks of the operating system; the monotonic one stops while the VM is suspended.
class system_clock_source final : public clock_source {
public:
    time_point now() const override { return std::chrono::steady_clock::now(); }
    wall_time wallNow() const override
    {
        return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    }
};

/// Reads the clocks of the operating system; the monotonic one continues while the VM is suspended.
class boot_clock_source final : public clock_source {
public:
    time_point now() const override
    {
        timespec value {};
        clock_gettime(CLOCK_BOOTTIME, &value);
        return time_point(std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec));
    }
    wall_time wallNow() const override
    {
        return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    }
};

} // namespace coriandermount
