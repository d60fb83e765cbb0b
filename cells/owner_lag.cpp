#include "cells/owner_lag.h"

#include <algorithm>

namespace coriandermount::cells {

namespace {

    /// Longest time between two ticks of an owner that has enough processor time.
    constexpr std::chrono::milliseconds usualTickGap { 20 };
    constexpr std::chrono::milliseconds answerPeriod { 100 };
    /// Number of answers in a period from which its fastest one counts.
    constexpr int enoughAnswers = 3;
    /// Multiple of the lateness of ticks up to which the age of answers counts; beyond it, the workers or the network are slow.
    constexpr int mostAnswerLag = 4;
    /// Divisor of the difference by which the usual fastest answer follows slower ones.
    constexpr int usualInertia = 16;

} // namespace

void owner_lag::noteTick(time_point now)
{
    if (m_lastTick)
        m_lateness = { lateness(now), m_lateness[0] };
    m_lastTick = now;
}

std::chrono::nanoseconds owner_lag::lateness(time_point now) const
{
    if (!m_lastTick)
        return std::chrono::nanoseconds(0);
    return std::max<std::chrono::nanoseconds>(now - *m_lastTick - usualTickGap, std::chrono::nanoseconds(0));
}

void owner_lag::noteAnswer(time_point now, std::chrono::nanoseconds took)
{
    if (now >= m_period.begin + answerPeriod) {
        const bool ticksInTime = m_lateness[0].count() == 0 && lateness(now).count() == 0;
        if (ticksInTime && m_period.answers >= enoughAnswers) {
            const auto usual = m_usualFastest.value_or(m_period.fastest);
            m_usualFastest = std::min(m_period.fastest, usual + (m_period.fastest - usual) / usualInertia);
        }
        m_periodBefore = m_period;
        m_period = { now };
    }
    ++m_period.answers;
    m_period.fastest = std::min(m_period.fastest, took);
}

std::chrono::milliseconds owner_lag::value(time_point now) const
{
    const auto current = lateness(now);
    auto lag = std::max(std::min(m_lateness[0], m_lateness[1]), std::min(current, m_lateness[0]));
    const bool periodCounts = now < m_periodBefore.begin + 3 * answerPeriod && m_periodBefore.answers >= enoughAnswers;
    if (periodCounts && m_usualFastest)
        lag = std::clamp(m_periodBefore.fastest - *m_usualFastest, lag, lag * mostAnswerLag);
    return std::chrono::duration_cast<std::chrono::milliseconds>(lag);
}

} // namespace coriandermount::cells
