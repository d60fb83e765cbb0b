#include "event_log/explanation.h"

namespace coriandermount::event_log {

namespace {

    using std::chrono::microseconds;

    /// Returns the answer to the submission that was run, or else the first answer.
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

    microseconds sumOf(const std::vector<event>& events, event_kind kind, std::uint64_t before, std::optional<std::uint32_t> task)
    {
        microseconds sum { 0 };
        for (const auto& entry : events) {
            if (entry.kind == kind && entry.sequence < before && (!task || entry.task == task))
                sum += entry.elapsed;
        }
        return sum;
    }

    /// Adds queue, network and worker of the last task; what is left of the whole is returned.
    void accountTask(const std::vector<event>& events, const event& answer, time_breakdown& account)
    {
        const microseconds left = account.total - account.claim - account.dispatch;
        const event* ended = lastOf(events, event_kind::task_answered, answer.sequence, std::nullopt);
        const event* placed = lastOf(events, event_kind::task_placed, answer.sequence, ended ? ended->task : std::nullopt);
        const bool admitted = lastOf(events, event_kind::job_admitted, answer.sequence, std::nullopt) != nullptr;
        if (!placed) {
            // A job that was admitted and never placed spent the rest in the queue.
            account.queue = admitted ? left : microseconds(0);
            return;
        }
        account.task = placed->task;
        // The time in the queue counts from the first time, so that failed starts lie within it.
        const microseconds failedStarts = sumOf(events, event_kind::task_retried, answer.sequence, placed->task);
        account.queue = placed->elapsed - failedStarts;
        account.network = failedStarts;
        if (!ended || ended->problem == error_kind::deadline_passed_while_running) {
            // Still running when the job was answered.
            account.worker = left - account.queue - account.network;
            return;
        }
        account.worker = ended->elapsedPart;
        account.network += ended->elapsed - ended->elapsedPart;
    }

} // namespace

std::optional<time_breakdown> computeTimeBreakdown(const std::vector<event>& events)
{
    const event* answer = answerOf(events);
    if (!answer)
        return std::nullopt;
    time_breakdown account;
    account.total = answer->elapsed;
    account.dispatch = answer->elapsedPart;
    if (const auto* claimed = lastOf(events, event_kind::job_claimed, answer->sequence, std::nullopt))
        account.claim = claimed->elapsed;
    if (const auto* dispatched = lastOf(events, event_kind::job_dispatched, answer->sequence, std::nullopt))
        account.dispatch += dispatched->elapsed;
    accountTask(events, *answer, account);
    account.unaccounted = account.total - account.claim - account.dispatch - account.queue - account.network - account.worker;
    return account;
}

} // namespace coriandermount::event_log
