#include "event_log/event.h"

#include <array>

namespace coriandermount::event_log {

std::string_view nameOf(event_kind kind)
{
    constexpr std::array<std::string_view, eventKindCount> names { "job_received", "job_claimed", "job_admitted", "job_refused",
        "task_queued", "task_placed", "task_started", "task_answered", "task_retried", "job_answered", "job_cancelled",
        "worker_ejected", "worker_readmitted", "vm_joined", "vm_left", "vm_suspected", "takeover", "configuration_adopted",
        "configuration_rejected", "share_changed", "lease_lapsed", "shutdown_started", "shutdown_finished", "job_dispatched",
        "limit_changed", "log_failed", "entries_dropped" };
    return names[static_cast<std::size_t>(kind)];
}

outcome outcomeOf(const event& answer)
{
    if (!answer.problem)
        return outcome::done;
    const bool mayHaveRun = answer.kind == event_kind::job_answered && answer.limit == nameOf(outcome::may_have_run);
    return mayHaveRun ? outcome::may_have_run : rowOf(*answer.problem).result;
}

bool isFault(const event& entry)
{
    switch (entry.kind) {
    case event_kind::job_refused:
    case event_kind::task_retried:
    case event_kind::worker_ejected:
    case event_kind::worker_readmitted:
    case event_kind::vm_joined:
    case event_kind::vm_left:
    case event_kind::vm_suspected:
    case event_kind::takeover:
    case event_kind::configuration_adopted:
    case event_kind::configuration_rejected:
    case event_kind::lease_lapsed:
    case event_kind::limit_changed:
    case event_kind::log_failed:
    case event_kind::entries_dropped:
        return true;
    default:
        return entry.problem.has_value();
    }
}

} // namespace coriandermount::event_log
