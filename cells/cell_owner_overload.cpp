#include "cells/cell_owner_data.h"

#include <algorithm>

#include <fmt/format.h>

namespace coriandermount::cells {

namespace {

    /// Longest time by which limits follow the lag.
    constexpr std::chrono::milliseconds longestAllowance { 1000 };

} // namespace

void cell_owner::data::limitStarts(time_point now)
{
    if (!givesOrders())
        return;
    const bool limitedBefore = pace.isLimited();
    const auto behind = lag.value(now);
    pace.update(now, behind);
    if (pace.isLimited() && !limitedBefore) {
        refusedBeforeLimit = refusedForOverload();
        writeLog(log_level::warning, "cell", "owner overloaded: starts are limited",
            { { "lag_ms", fmt::to_string(behind.count()) },
                { "starts_per_second", fmt::to_string(static_cast<std::int64_t>(pace.startsPerSecond())) },
                { "ready_jobs", fmt::to_string(waitingJobs()) } });
    } else if (!pace.isLimited() && limitedBefore) {
        writeLog(log_level::info, "cell", "owner no longer overloaded",
            { { "lag_ms", fmt::to_string(behind.count()) },
                { "jobs_refused", fmt::to_string(refusedForOverload() - refusedBeforeLimit) } });
    }
}

std::chrono::milliseconds cell_owner::data::lagAllowance(time_point now) const
{
    return std::min(lag.value(now), longestAllowance);
}

bool cell_owner::data::mayBeOwnLag(order_failure failure, time_point now) const
{
    const bool unanswered = failure == order_failure::no_answer || failure == order_failure::not_sent;
    return unanswered && lag.value(now) > calls.answerLimit(1, longestStartAnswer);
}

} // namespace coriandermount::cells
