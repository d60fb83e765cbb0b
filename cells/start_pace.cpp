#include "cells/start_pace.h"

#include <algorithm>
#include <cmath>

namespace coriandermount::cells {

namespace {

    /// Lag from which starts are limited, and below which the limit is raised.
    constexpr std::chrono::milliseconds highLag { 60 };
    constexpr std::chrono::milliseconds lowLag { 20 };
    /// Time that the owner needs for the start orders in flight under a new limit.
    constexpr std::chrono::milliseconds usualBacklog { 30 };
    constexpr std::chrono::milliseconds answerPeriod { 100 };
    constexpr std::chrono::milliseconds updateInterval { 50 };
    /// Time until a change of the limit shows in the lag, beyond the lag itself.
    constexpr std::chrono::milliseconds reductionPause { 200 };
    constexpr double reduction = 0.8;
    constexpr double increase = 1.1;
    /// Least limit: one wide job.
    constexpr double leastWindow = 8;
    /// Least rate in starts a second. An owner that has only just taken over has no answers to go by.
    constexpr double leastRate = 50;
    /// Weight of the newest rate in the moving average.
    constexpr double rateWeight = 0.2;
    /// Time after the last job that had to wait until the limit ends.
    constexpr std::chrono::milliseconds limitRetention { 1000 };

    double seconds(std::chrono::nanoseconds time) { return std::chrono::duration<double>(time).count(); }

} // namespace

void start_pace::noteEnd(time_point now, bool answered)
{
    m_inFlight -= m_inFlight > 0 ? 1 : 0;
    if (!answered)
        return;
    if (now >= m_periodBegin + answerPeriod) {
        const auto passed = std::min<std::int64_t>((now - m_periodBegin) / answerPeriod, periodCount + 1);
        std::shift_right(m_answers.begin(), m_answers.end(), passed);
        std::fill_n(m_answers.begin(), passed, 0);
        m_periodBegin = passed > static_cast<std::int64_t>(periodCount) ? now : m_periodBegin + passed * answerPeriod;
    }
    ++m_answers[0];
}

double start_pace::answeredPerSecond(time_point now) const
{
    const auto passed = static_cast<std::size_t>((now - m_periodBegin) / answerPeriod);
    double answers = 0;
    for (std::size_t period = passed == 0 ? 1 : 0; period + passed <= periodCount; ++period)
        answers += static_cast<double>(m_answers[period]);
    return answers / seconds(answerPeriod * periodCount);
}

void start_pace::update(time_point now, std::chrono::milliseconds lag)
{
    if (now < m_nextUpdate)
        return;
    m_nextUpdate = now + updateInterval;
    const double answered = std::max(answeredPerSecond(now), leastRate);
    if (!m_limited) {
        if (lag < highLag)
            return;
        m_limited = true;
        m_limitedAt = now;
        m_rate = answered;
        m_window = std::max(m_rate * seconds(usualBacklog), leastWindow);
        m_heldAt = now;
        m_nextReduction = now + reductionPause + lag;
        return;
    }
    // The answers of an owner whose jobs need not wait show its load, not what it gets done.
    const bool holds = now - m_heldAt < answerPeriod;
    m_rate = holds ? m_rate + rateWeight * (answered - m_rate) : std::max(m_rate, answered);
    if (lag >= highLag) {
        m_heldAt = now;
        if (now >= m_nextReduction) {
            m_window = std::max(m_window * reduction, leastWindow);
            m_nextReduction = now + reductionPause + lag;
        }
    } else if (lag < lowLag && holds) {
        m_window *= increase;
    }
    if (now >= m_heldAt + limitRetention)
        m_limited = false;
}

std::chrono::microseconds start_pace::timeUntilDone(std::size_t starts) const { return timeFor(m_inFlight + starts); }

std::chrono::microseconds start_pace::timeFor(std::size_t starts) const
{
    if (!m_limited)
        return std::chrono::microseconds(0);
    return std::chrono::microseconds(static_cast<std::int64_t>(std::ceil(static_cast<double>(starts) / m_rate * 1e6)));
}

} // namespace coriandermount::cells
