#include "cells/trial_gate.h"

#include <chrono>

namespace coriandermount::cells {

namespace {

    /// Time without losses of workers before a trial starts. Longer than the time within which a broken connection is noticed.
    constexpr std::chrono::milliseconds quietTime { 100 };
    /// Time after a trial from which on the next one starts although workers are lost all the time.
    constexpr std::chrono::milliseconds longestWait { 1000 };

} // namespace

bool trial_gate::isOpen(time_point now) const
{
    if (m_current)
        return false;
    return now >= m_lastFall + quietTime || now >= m_lastStart + longestWait;
}

void trial_gate::noteStart(const running_trial& started)
{
    m_current = started;
    m_lastStart = started.startedAt;
}

} // namespace coriandermount::cells
