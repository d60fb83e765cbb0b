/// Inputs and outputs of the engine.
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

/// A job whose key has been claimed.
struct job_submitted {
    job_serial serial {};
    std::shared_ptr<const job_request> job;
    std::uint64_t epoch = 0;
};

/// The end of one start, well or not.
struct task_ended {
    lease_id lease {};
    result<std::string> output;
    std::chrono::microseconds runTime { 0 };
    /// When the start was decided; for the journal only.
    time_point startedAt {};
};

struct cancel_requested {
    job_key key;
};

struct workers_changed {
    std::shared_ptr<const worker_table> table;
};

struct configuration_changed {
    std::shared_ptr<const configuration::snapshot> snapshot;
};

/// The slots or plan shares that this VM may use have changed; before the first of these, all slots may be used.
struct shares_changed {
    std::shared_ptr<const quota::share_snapshot> shares;
};

/// No job is accepted any more; those accepted are finished.
struct drain_requested { };

/// Time has passed; deadlines and timers are looked at.
struct timer_ticked { };

using event = std::variant<job_submitted, task_ended, cancel_requested, workers_changed, configuration_changed, shares_changed,
    drain_requested, timer_ticked>;

/// Start one task on one worker.
struct start_task {
    lease_id lease {};
    job_serial serial {};
    std::uint32_t index = 0;
    std::uint64_t epoch = 0;
    std::shared_ptr<const job_request> job;
    std::shared_ptr<const worker_info> worker;
    std::chrono::milliseconds leaseDuration { 0 };
};

/// Ask a worker to stop a task whose result is no longer wanted.
struct stop_task {
    std::shared_ptr<const job_request> job;
    std::uint32_t index = 0;
    std::shared_ptr<const worker_info> worker;
};

/// Answer a job.
struct finish_job {
    job_serial serial {};
    job_answer answer;
    /// True when no task was started, with proof for each one handed to a worker, so that the claim may be given back.
    bool nothingStarted = false;
};

/// Write a journal entry.
struct record_event {
    event_log::event entry;
};

/// Count a decision that no answer shows.
struct count_decision {
    metrics::decision_counter counter {};
};

/// Tell the controllers what this VM needs; emitted on timer ticks.
struct report_demand {
    quota::demand demand;
};

using action = std::variant<start_task, stop_task, finish_job, record_event, report_demand, count_decision>;
using actions = std::vector<action>;

} // namespace coriandermount::dispatch
