#include "cells/cell_owner_data.h"

#include <algorithm>

#include <fmt/format.h>

namespace coriandermount::cells {

namespace {

    /// Longest time that an overloaded owner lets a job wait for its turn: longer queues make all jobs late, and serve no more.
    constexpr std::chrono::milliseconds longestTurnWait { 100 };
    /// Longest time by which limits follow the lag.
    constexpr std::chrono::milliseconds longestAllowance { 1000 };

    std::size_t taskCountOf(const jobs::job& work)
    {
        std::size_t tasks = 0;
        for (const auto& step : work.steps)
            tasks += step.taskCount;
        return tasks;
    }

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
        countWaitingStarts();
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

void cell_owner::data::countWaitingStarts()
{
    waitingStarts = 0;
    if (!pace.isLimited())
        return;
    for (const auto* queue : { &readyJobs, &lateJobs }) {
        for (const auto& rank : *queue) {
            const open_job* job = jobTable.find(std::get<std::string>(rank));
            waitingStarts += job && !job->ended ? job->readyTasks() : 0;
        }
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

std::optional<std::chrono::milliseconds> cell_owner::data::refuseOverloaded(const jobs::run_request& request, time_point now)
{
    const jobs::job& work = request.accepted.work;
    limitStarts(now);
    if (!pace.isLimited() || request.mayHaveStarted || !work.answeredAtEnd || work.steps.front().longRunning
        || earlierBorrower(work.id))
        return std::nullopt;
    const std::size_t tasks = taskCountOf(work);
    const auto turn = pace.timeUntilDone(waitingStarts + tasks);
    if (turn <= longestTurnWait) {
        waitingStarts += tasks;
        return std::nullopt;
    }
    pace.noteHeld(now);
    const auto returnAfter = returns.reserve(
        now, std::chrono::ceil<std::chrono::milliseconds>(pace.timeUntilDone(waitingStarts)), pace.timeFor(tasks));
    noteRefusal(work.id, refusal_reason::owner_overloaded, std::chrono::milliseconds(0), request.timeLeft, returnAfter);
    return returnAfter;
}

} // namespace coriandermount::cells
