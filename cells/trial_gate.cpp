#include "cells/trial_gate.h"

#include <algorithm>
#include <chrono>

namespace coriandermount::cells {

namespace {

    /// One in this number of workers may run a trial at a time; at least one may.
    constexpr std::size_t workersPerTrial = 8;
    /// Time without losses of other workers before a trial starts. Longer than the time within which a broken connection is
    /// noticed.
    constexpr std::chrono::milliseconds quietTime { 100 };
    /// While workers are lost all the time, trials may start within the second time after each passing of the first one.
    constexpr std::chrono::milliseconds longestWait { 1000 };
    constexpr std::chrono::milliseconds forcedTime { 50 };

} // namespace

bool trial_gate::isOpen(std::size_t workers, time_point now) const
{
    if (m_running.size() >= std::max<std::size_t>(workers / workersPerTrial, 1))
        return false;
    return now >= m_lastFall + quietTime || now < m_forcedAt + forcedTime || now >= m_forcedAt + longestWait;
}

void trial_gate::noteStart(const worker_id& worker, const running_trial& started)
{
    m_running.insert_or_assign(worker, started);
    const time_point now = started.startedAt;
    if (now >= m_forcedAt + longestWait)
        m_forcedAt = now;
}

void trial_gate::noteFall(const worker_id& worker, time_point now)
{
    // The trial explains the loss of its worker.
    if (!m_running.contains(worker))
        m_lastFall = now;
}

} // namespace coriandermount::cells
