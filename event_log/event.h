/// Typed events: who did what to which job, under which rule.
#pragma once

#include <optional>
#include <string>

#include "core/error.h"
#include "core/types.h"

namespace coriandermount::event_log {

enum class event_kind {
    /// A submission arrived; `limit` is its time limit in ms, `value` its number of tasks.
    job_received,
    /// The key was claimed; `elapsed` is the time of the claim.
    job_claimed,
    job_admitted,
    /// `rule`, `limit` and `value` say which bound was met, `problem` the answer.
    job_refused,
    task_queued,
    /// `subject` is the worker, `elapsed` the time in the queue.
    task_placed,
    task_started,
    /// `subject` is the worker, `elapsed` the time from start to end, `elapsedPart` the run time that the worker reports.
    task_answered,
    /// The start provably did not run and the task is queued again.
    task_retried,
    /// `elapsed` is the time from arrival to answer, `elapsedPart` the time from the last task's end to the answer.
    job_answered,
    job_cancelled,
    worker_ejected,
    worker_readmitted,
    vm_joined,
    vm_left,
    vm_suspected,
    takeover,
    /// `author` published the version in `configurationVersion`; `value` is the reason given.
    configuration_adopted,
    configuration_rejected,
    share_changed,
    lease_lapsed,
    shutdown_started,
    shutdown_finished,
    /// The claimed job reached the engine; `elapsed` is the time between.
    job_dispatched,
    /// A version changed a limit: `subject` is the plan or customer, `limit` the bound before, `value` the bound after.
    limit_changed,
    /// The platform's log failed an append of this VM; `elapsed` is the time that it took.
    log_failed,
    /// Entries were dropped before they were read or written; `value` is their number.
    entries_dropped,
};

inline constexpr std::size_t eventKindCount = static_cast<std::size_t>(event_kind::entries_dropped) + 1;

std::string_view nameOf(event_kind kind);

/// One entry of the journal.
struct event {
    event_kind kind = event_kind::job_received;
    wall_time at {};
    /// Set by the journal.
    vm_id vm;
    std::optional<job_key> job;
    std::optional<std::uint32_t> task;
    std::optional<error_kind> problem;
    /// Worker, VM, plan or customer that the event is about.
    std::string subject;
    /// Rule that was applied, by its name in event_log/rules.h or docs/design/attribution.md.
    std::string rule;
    /// Bound of the rule and the value that met it.
    std::string limit;
    std::string value;
    /// Duration that the event ends, for the accounting of a job's time.
    std::chrono::microseconds elapsed { 0 };
    /// Part of `elapsed` that another party spent, as the event's kind says.
    std::chrono::microseconds elapsedPart { 0 };
    /// Log offset of the configuration in force.
    std::uint64_t configurationVersion = 0;
    /// Who published that configuration; set where the event is about it.
    std::string author;
    /// Position in the VM's journal, set by the journal; a restarted VM goes on higher.
    std::uint64_t sequence = 0;
};

/// Whether the event tells of a fault; faults are kept longer than the rest.
bool isFault(const event& entry);

} // namespace coriandermount::event_log
