/// Answer times and losses of the calls to the workers of a cell, and the limits that follow from them.
#pragma once

#include <chrono>
#include <cstdint>

namespace coriandermount::cells {

/// Estimates how long answers take and how many calls get none. Not thread-safe.
class call_statistics {
public:
    /// Records an answer that took `took`.
    void noteAnswer(std::chrono::nanoseconds took);
    /// Records a call without an answer.
    void noteLoss();

    /// Returns the time after which a call counts as lost: a high quantile of the answer times, twice as long for each further
    /// `attempt` (counted from 1), and `longest` at most. Before enough answers are known, `longest`.
    std::chrono::milliseconds answerLimit(int attempt, std::chrono::milliseconds longest) const;

    /// Returns the share of calls without an answer, as a moving average.
    double lossShare() const { return m_lossShare; }

    /// Returns the number of consecutive losses that a worker may have if its calls are lost no more often than those of the
    /// others. With more, the worker itself is silent.
    int toleratedLosses() const;

private:
    double m_meanMilliseconds = 0;
    double m_deviationMilliseconds = 0;
    int m_answers = 0;
    double m_lossShare = 0;
};

} // namespace coriandermount::cells
