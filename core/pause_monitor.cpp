#include "core/pause_monitor.h"

#include <algorithm>

namespace coriandermount {

std::chrono::milliseconds pause_monitor::noteRunning(time_point now)
{
    const time_point last = m_lastRunning.value_or(now);
    m_lastRunning = std::max(last, now);
    if (now < last + shortestPause)
        return std::chrono::milliseconds(0);
    m_resumedAt = now;
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - last);
}

} // namespace coriandermount
