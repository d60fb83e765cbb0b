/// Explains one job: its events in order, the party responsible for a fault, and where the time went.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "event_log/attribution.h"

namespace coriandermount::event_log {

/// VMs and log streams that were queried for an explanation.
struct explanation_sources {
    /// VM that received the request.
    vm_id queriedVm;
    /// VMs that answered, and VMs that did not answer in time.
    std::vector<std::string> vms;
    std::vector<std::string> unresponsiveVms;
    /// Streams of the log that were read, and messages about those that could not be read or are incomplete.
    std::vector<std::string> streams;
    std::vector<std::string> problems;
};

/// Durations of the steps of a job, along the task that ended last. The other durations add up to `total`.
struct time_breakdown {
    /// From the arrival of the job to its answer.
    std::chrono::microseconds total { 0 };
    std::chrono::microseconds claim { 0 };
    /// From the claim to the engine, and from the end of the last task to the answer.
    std::chrono::microseconds dispatch { 0 };
    std::chrono::microseconds queue { 0 };
    /// Failed starts, and the time between VM and worker.
    std::chrono::microseconds network { 0 };
    /// Run time on the worker.
    std::chrono::microseconds worker { 0 };
    /// Time that no event covers.
    std::chrono::microseconds unaccounted { 0 };
    /// Index of the task that ended last, or of the last placed task if none ended; nothing if no task was placed.
    std::optional<std::uint32_t> task;
};

/// One event of a job, as text.
struct explanation_step {
    wall_time at {};
    vm_id vm;
    event_kind kind = event_kind::job_received;
    std::string text;
};

/// Explanation of one job.
struct explanation {
    job_key job;
    /// Sorted by time.
    std::vector<explanation_step> steps;
    /// Whether an answer or a refusal of the job is known.
    bool answered = false;
    /// Outcome of the job; meaningful only if it was answered.
    outcome result = outcome::may_have_run;
    std::optional<error_kind> problem;
    std::string detail;
    /// Highest configuration version in the events.
    std::uint64_t configurationVersion = 0;
    /// Attribution of the error; set if the job was answered with one.
    std::optional<attribution> fault;
    /// Set if an event `job_answered` of the job is known.
    std::optional<time_breakdown> time;
    explanation_sources sources;
};

/// Builds the explanation from the events of the job, in any order and with duplicates, and from the events near it. Fails with
/// `job_unknown` if there is no event.
result<explanation> explain(const job_key& job, std::vector<event> events, const evidence& context, explanation_sources sources);

/// Adds up the durations of a job's events, which have to be sorted by time. Returns nothing while the job has no answer.
std::optional<time_breakdown> computeTimeBreakdown(const std::vector<event>& events);

/// Returns the explanation as JSON, including the output of `explanationText`.
std::string encodeExplanation(const explanation& value);

/// Returns the explanation as text for operators; a job with over 60 steps is shortened.
std::string explanationText(const explanation& value);

} // namespace coriandermount::event_log
