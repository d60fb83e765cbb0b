/// Limits the number of log lines of one kind in each second.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "core/types.h"

namespace coriandermount {

/// Counts log lines of each kind in windows of one second, and decides which are written. Not thread-safe.
class log_rate_limiter {
public:
    /// `linesPerSecond` is the limit for each kind.
    explicit log_rate_limiter(std::uint64_t linesPerSecond)
        : m_linesPerSecond(linesPerSecond)
    {
    }

    /// Whether a line may be written, and what was suppressed before it.
    struct decision {
        bool allowed = true;
        /// Number of lines of this kind that were suppressed in the previous window, if this line starts a new one.
        std::uint64_t suppressed = 0;
    };

    /// Counts one line of `kind` and returns whether it may be written.
    decision admit(std::string_view kind, time_point now);

private:
    struct window {
        time_point startedAt;
        std::uint64_t written = 0;
        std::uint64_t suppressed = 0;
    };

    std::uint64_t m_linesPerSecond;
    std::map<std::string, window, std::less<>> m_windows;
};

} // namespace coriandermount
