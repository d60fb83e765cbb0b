#include "cells/call_statistics.h"

#include <algorithm>
#include <cmath>

namespace coriandermount::cells {

namespace {

    /// Gains of the moving averages of answer times and of their deviations, and the number of deviations in the limit, as for
    /// retransmission timers of TCP (RFC 6298).
    constexpr double meanGain = 1.0 / 8;
    constexpr double deviationGain = 1.0 / 4;
    constexpr double deviationsInLimit = 4;
    /// Least limit. Below it, the pauses of a VM with little processor time count as losses.
    constexpr std::chrono::milliseconds leastLimit { 40 };
    /// Number of answers from which the averages are used.
    constexpr int enoughAnswers = 8;
    constexpr double lossGain = 0.02;
    /// Loss share below which each loss is taken as the fault of its worker.
    constexpr double usualLossShare = 0.01;
    /// Probability with which a worker may be taken out by chance.
    constexpr double falseAlarm = 0.01;
    constexpr int mostToleratedLosses = 4;

} // namespace

void call_statistics::noteAnswer(std::chrono::nanoseconds took)
{
    const double milliseconds = std::chrono::duration<double, std::milli>(took).count();
    if (m_answers == 0) {
        m_meanMilliseconds = milliseconds;
        m_deviationMilliseconds = milliseconds / 2;
    } else {
        m_deviationMilliseconds += deviationGain * (std::abs(milliseconds - m_meanMilliseconds) - m_deviationMilliseconds);
        m_meanMilliseconds += meanGain * (milliseconds - m_meanMilliseconds);
    }
    m_answers = std::min(m_answers + 1, enoughAnswers);
    m_lossShare -= lossGain * m_lossShare;
}

void call_statistics::noteLoss() { m_lossShare += lossGain * (1 - m_lossShare); }

std::chrono::milliseconds call_statistics::answerLimit(int attempt, std::chrono::milliseconds longest) const
{
    if (m_answers < enoughAnswers)
        return longest;
    const auto limit = std::chrono::milliseconds(
        static_cast<std::int64_t>(std::ceil(m_meanMilliseconds + deviationsInLimit * m_deviationMilliseconds)));
    constexpr int mostDoublings = 5;
    return std::min(std::max(limit, leastLimit) * (1 << std::clamp(attempt - 1, 0, mostDoublings)), longest);
}

int call_statistics::toleratedLosses() const
{
    if (m_lossShare < usualLossShare)
        return 0;
    const double losses = std::log(falseAlarm) / std::log(std::min(m_lossShare, 0.9));
    return std::clamp(static_cast<int>(std::ceil(losses)) - 1, 1, mostToleratedLosses);
}

} // namespace coriandermount::cells
