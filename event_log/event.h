/// Typed journal events: what happened to a job, a worker or a VM, and which rule was applied.
#pragma once

#include <optional>
#include <string>

#include "core/error.h"
#include "core/types.h"

namespace coriandermount::event_log {

enum class event_kind {
    /// A submission was received; `limit` is its time limit in ms, `value` its number of tasks.
    job_received,
    /// The job's key was claimed; `elapsed` is the duration of the claim.
    job_claimed,
    job_admitted,
    /// The job was refused; `rule`, `limit` and `value` hold the rule, its bound and the demand, `problem` the error returned.
    job_refused,
    task_queued,
    /// A task was placed; `subject` is the worker, `elapsed` the time in the queue.
    task_placed,
    task_started,
    /// A task ended; `subject` is the worker, `elapsed` the time from start to end, `elapsedPart` the run time that the worker
    /// reported.
    task_answered,
    /// The task was queued again after a start that failed with `problem`; `elapsed` is the duration of that start.
    task_retried,
    /// The job was answered; `elapsed` is the time from arrival to the answer, `elapsedPart` the time from the end of the last
    /// task to the answer. `limit` is the outcome if it is not that of `problem`.
    job_answered,
    job_cancelled,
    worker_ejected,
    worker_readmitted,
    vm_joined,
    vm_left,
    vm_suspected,
    takeover,
    /// This VM adopted version `configurationVersion`; `subject` is its author, `value` its record id.
    configuration_adopted,
    /// A configuration record was rejected; `subject` is its author, `value` its record id, `limit` the reason.
    configuration_rejected,
    share_changed,
    lease_lapsed,
    shutdown_started,
    shutdown_finished,
    /// A claimed job was passed to the engine; `elapsed` is the time since the claim.
    job_dispatched,
    /// A configuration version changed a bound; `subject` is the plan or customer, `limit` the old bound, `value` the new bound.
    limit_changed,
    /// An append to the platform's log failed or was slow; `elapsed` is its duration.
    log_failed,
    /// Events were dropped before they were read or written; `value` is their number.
    entries_dropped,
};

/// Number of values of `event_kind`.
inline constexpr std::size_t eventKindCount = static_cast<std::size_t>(event_kind::entries_dropped) + 1;

/// Returns the name that is written to the log and to JSON.
std::string_view nameOf(event_kind kind);

/// One entry of the journal.
struct event {
    event_kind kind = event_kind::job_received;
    /// Time of recording; set by the journal.
    wall_time at {};
    /// VM that recorded the event; set when the journal is read.
    vm_id vm;
    std::optional<job_key> job;
    /// Index of the task within the job.
    std::optional<std::uint32_t> task;
    /// Error that the event reports.
    std::optional<error_kind> problem;
    /// Worker, VM, plan, customer, author or log stream that the event is about.
    std::string subject;
    /// Name of the applied rule, as in event_log/rules.h or docs/design/attribution.md.
    std::string rule;
    /// Bound of the rule, and the value that was checked against it. Some kinds hold other texts here.
    std::string limit;
    std::string value;
    /// Duration of the step that ended with this event; the breakdown of a job's time adds these up.
    std::chrono::microseconds elapsed { 0 };
    /// Part of `elapsed` that is accounted separately; its meaning depends on `kind`.
    std::chrono::microseconds elapsedPart { 0 };
    /// Version of the configuration in force.
    std::uint64_t configurationVersion = 0;
    /// Operator who published that configuration; set for `limit_changed` only.
    std::string author;
    /// Position in the VM's journal, set by the journal. The numbers of a restarted VM are higher than those before.
    std::uint64_t sequence = 0;
};

/// Returns the outcome that a `job_answered` or `job_refused` event reports.
outcome outcomeOf(const event& answer);

/// Returns whether the event reports a fault. The journal keeps faults longer than other events.
bool isFault(const event& entry);

} // namespace coriandermount::event_log
