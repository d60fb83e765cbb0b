/// Events that the scheduling engine consumes and actions that it returns.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "configuration/configuration.h"
#include "core/job.h"
#include "core/worker.h"
#include "event_log/event.h"
#include "metrics/metrics.h"
#include "quota/shares.h"

namespace coriandermount::dispatch {

/// A job was submitted and its key was claimed with the fencing number `epoch`.
struct job_submitted {
    job_serial serial {};
    std::shared_ptr<const job_request> job;
    std::uint64_t epoch = 0;
};

/// The start that holds `lease` ended, with the output of the task or with an error.
struct task_ended {
    lease_id lease {};
    result<std::string> output;
    /// Run time that the worker reported; zero if there is no report.
    std::chrono::microseconds runTime { 0 };
    /// Time at which the engine decided on the start. Used for journal entries only.
    time_point startedAt {};
};

/// A customer asked to cancel the job with this key.
struct cancel_requested {
    job_key key;
};

/// The set of listed workers or their properties changed. `table` replaces the previous table.
struct workers_changed {
    std::shared_ptr<const worker_table> table;
};

/// A new version of the configuration is in force.
struct configuration_changed {
    std::shared_ptr<const configuration::snapshot> snapshot;
};

/// The slots or plan shares that this VM may use changed. Before the first event of this kind, the VM may use all slots.
struct shares_changed {
    std::shared_ptr<const quota::share_snapshot> shares;
};

/// The VM is draining: it refuses new jobs and finishes the accepted ones.
struct drain_requested { };

/// Time has passed. The engine checks its deadlines and timers.
struct timer_ticked { };

using event = std::variant<job_submitted, task_ended, cancel_requested, workers_changed, configuration_changed, shares_changed,
    drain_requested, timer_ticked>;

/// Starts a task on a worker under a lease of `leaseDuration`.
struct start_task {
    lease_id lease {};
    job_serial serial {};
    std::uint32_t index = 0;
    std::uint64_t epoch = 0;
    std::shared_ptr<const job_request> job;
    std::shared_ptr<const worker_info> worker;
    std::chrono::milliseconds leaseDuration { 0 };
};

/// Asks a worker to stop a task whose result is no longer needed.
struct stop_task {
    std::shared_ptr<const job_request> job;
    std::uint32_t index = 0;
    std::shared_ptr<const worker_info> worker;
};

/// Answers a job.
struct finish_job {
    job_serial serial {};
    job_answer answer;
    /// True if no task ran: for each start that was sent to a worker there is proof that the task did not run. The claim on the
    /// key may then be released.
    bool nothingStarted = false;
};

/// Writes a journal entry.
struct record_event {
    event_log::event entry;
};

/// Counts a decision that is not visible in any answer.
struct count_decision {
    metrics::decision_counter counter {};
};

/// Publishes the demand of this VM for the controllers. Emitted on timer ticks.
struct report_demand {
    quota::demand demand;
};

using action = std::variant<start_task, stop_task, finish_job, record_event, report_demand, count_decision>;
using actions = std::vector<action>;

} // namespace coriandermount::dispatch
