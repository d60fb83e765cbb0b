/// Bounds how many log lines of one kind are written in each second.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "core/types.h"

namespace coriandermount {

/// Not safe for use from several threads.
class log_rate_limiter {
public:
    /// `linesPerSecond` is the most of one kind.
    explicit log_rate_limiter(std::uint64_t linesPerSecond)
        : m_linesPerSecond(linesPerSecond)
    {
    }

    struct decision {
        bool allowed = true;
        /// Lines of this kind that were left out in the second that has just ended.
        std::uint64_t suppressed = 0;
    };

    /// Counts one line of `kind`.
    decision admit(std::string_view kind, time_point now);

private:
    struct window {
        time_point began;
        std::uint64_t written = 0;
        std::uint64_t suppressed = 0;
    };

    std::uint64_t m_linesPerSecond;
    std::map<std::string, window, std::less<>> m_windows;
};

} // namespace coriandermount
