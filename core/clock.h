/// Source of time, replaceable in tests and replay.
#pragma once

#include <ctime>

#include "core/types.h"

namespace coriandermount {

/// Tells monotonic and wall-clock time.
class clock_source {
public:
    virtual ~clock_source() = default;

    virtual time_point now() const = 0;
    virtual wall_time wallNow() const = 0;
};

/// Clock of the operating system.
class system_clock_source final : public clock_source {
public:
    time_point now() const override { return std::chrono::steady_clock::now(); }
    wall_time wallNow() const override
    {
        return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    }
};

/// Clock of the operating system that goes on while the VM is suspended.
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
