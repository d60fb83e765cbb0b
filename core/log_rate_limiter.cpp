#include "core/log_rate_limiter.h"

namespace coriandermount {

log_rate_limiter::decision log_rate_limiter::admit(std::string_view kind, time_point now)
{
    constexpr std::chrono::seconds windowLength { 1 };
    auto found = m_windows.find(kind);
    if (found == m_windows.end())
        found = m_windows.emplace(std::string(kind), window { now, 0, 0 }).first;
    window& current = found->second;
    decision admitted;
    if (now - current.startedAt >= windowLength) {
        admitted.suppressed = current.suppressed;
        current = { now, 0, 0 };
    }
    admitted.allowed = current.written < m_linesPerSecond;
    (admitted.allowed ? current.written : current.suppressed) += 1;
    return admitted;
}

} // namespace coriandermount
