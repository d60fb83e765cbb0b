#include "cells/admission_policy.h"

#include <algorithm>

namespace coriandermount::cells {

namespace {

    /// Time for the answer to reach the caller before its deadline.
    constexpr std::chrono::milliseconds answerTime { 30 };
    /// Shortest time until a refused caller should return: several intervals between forecasts, so that the answer may differ.
    constexpr std::chrono::milliseconds shortestReturn { 100 };

} // namespace

time_point punctualStart(const waiting_job& job) { return job.objective - job.runTime; }

time_point latestStart(const waiting_job& job) { return job.deadline - job.runTime - answerTime; }

std::chrono::milliseconds return_schedule::reserve(
    time_point now, std::chrono::milliseconds drainTime, std::chrono::microseconds serviceTime)
{
    const time_point earliest = now + std::max(drainTime, shortestReturn);
    const time_point latest = now + longestReturn;
    const time_point assigned = std::min(std::max(earliest, m_nextReturn), latest);
    m_nextReturn = assigned + serviceTime;
    return std::chrono::ceil<std::chrono::milliseconds>(assigned - now);
}

} // namespace coriandermount::cells
