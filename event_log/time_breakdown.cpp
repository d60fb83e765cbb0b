#include "event_log/explanation.h"

namespace coriandermount::event_log {

namespace {

    using std::chrono::microseconds;

    /// Returns the first answer after the job was dispatched, which is that of the submission that ran, or else the first answer.
    const event* answerOf(const std::vector<event>& events)
    {
        const event* first = nullptr;
        bool dispatched = false;
        for (const auto& entry : events) {
            dispatched = dispatched || entry.kind == event_kind::job_dispatched;
            if (entry.kind != event_kind::job_answered)
                continue;
            if (dispatched)
                return &entry;
            if (!first)
                first = &entry;
        }
        return first;
    }

    const event* lastOf(
        const std::vector<event>& events, event_kind kind, std::uint64_t before, std::optional<std::uint32_t> task)
    {
        const event* found = nullptr;
        for (const auto& entry : events) {
            if (entry.kind == kind && entry.sequence < before && (!task || entry.task == task))
                found = &entry;
        }
        return found;
    }

    microseconds elapsedSum(
        const std::vector<event>& events, event_kind kind, std::uint64_t before, std::optional<std::uint32_t> task)
    {
        microseconds sum { 0 };
        for (const auto& entry : events) {
            if (entry.kind == kind && entry.sequence < before && (!task || entry.task == task))
                sum += entry.elapsed;
        }
        return sum;
    }

    /// Sets the queue, network and worker times, and the task that they belong to.
    void addTaskTimes(const std::vector<event>& events, const event& answer, time_breakdown& breakdown)
    {
        const microseconds remaining = breakdown.total - breakdown.claim - breakdown.dispatch;
        const event* ended = lastOf(events, event_kind::task_answered, answer.sequence, std::nullopt);
        const event* placed = lastOf(events, event_kind::task_placed, answer.sequence, ended ? ended->task : std::nullopt);
        const bool admitted = lastOf(events, event_kind::job_admitted, answer.sequence, std::nullopt) != nullptr;
        if (!placed) {
            // A job that was admitted but not placed spent the remaining time in the queue.
            breakdown.queue = admitted ? remaining : microseconds(0);
            return;
        }
        breakdown.task = placed->task;
        // The event's queue time starts when the task was queued first, so it includes the failed starts.
        const microseconds failedStarts = elapsedSum(events, event_kind::task_retried, answer.sequence, placed->task);
        breakdown.queue = placed->elapsed - failedStarts;
        breakdown.network = failedStarts;
        if (!ended || ended->problem == error_kind::deadline_passed_while_running) {
            // The task was still running when the job was answered.
            breakdown.worker = remaining - breakdown.queue - breakdown.network;
            return;
        }
        breakdown.worker = ended->elapsedPart;
        breakdown.network += ended->elapsed - ended->elapsedPart;
    }

} // namespace

std::optional<time_breakdown> computeTimeBreakdown(const std::vector<event>& events)
{
    const event* answer = answerOf(events);
    if (!answer)
        return std::nullopt;
    time_breakdown breakdown;
    breakdown.total = answer->elapsed;
    breakdown.dispatch = answer->elapsedPart;
    if (const auto* claimed = lastOf(events, event_kind::job_claimed, answer->sequence, std::nullopt))
        breakdown.claim = claimed->elapsed;
    if (const auto* dispatched = lastOf(events, event_kind::job_dispatched, answer->sequence, std::nullopt))
        breakdown.dispatch += dispatched->elapsed;
    addTaskTimes(events, *answer, breakdown);
    breakdown.unaccounted
        = breakdown.total - breakdown.claim - breakdown.dispatch - breakdown.queue - breakdown.network - breakdown.worker;
    return breakdown;
}

} // namespace coriandermount::event_log
