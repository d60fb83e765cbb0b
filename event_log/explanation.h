/// What happened to one job, in order, and whose move it is.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "event_log/attribution.h"

namespace coriandermount::event_log {

/// Where the events of an explanation came from.
struct explanation_sources {
    vm_id queriedVm;
    /// VMs that answered, and those that did not.
    std::vector<std::string> vms;
    std::vector<std::string> unresponsiveVms;
    /// Streams of the log that were read, and problems with others.
    std::vector<std::string> streams;
    std::vector<std::string> problems;
};

/// Where the time of a job went, along the task that ended last. The parts add up to the whole.
struct time_breakdown {
    std::chrono::microseconds total { 0 };
    std::chrono::microseconds claim { 0 };
    std::chrono::microseconds dispatch { 0 };
    std::chrono::microseconds queue { 0 };
    std::chrono::microseconds network { 0 };
    std::chrono::microseconds worker { 0 };
    /// What no event covers.
    std::chrono::microseconds unaccounted { 0 };
    /// Task that ended last; nothing when none was started.
    std::optional<std::uint32_t> task;
};

struct explanation_step {
    wall_time at {};
    vm_id vm;
    event_kind kind = event_kind::job_received;
    std::string text;
};

struct explanation {
    job_key job;
    std::vector<explanation_step> steps;
    /// Whether the job was answered, as far as is known.
    bool answered = false;
    outcome result = outcome::may_have_run;
    std::optional<error_kind> problem;
    std::string detail;
    std::uint64_t configurationVersion = 0;
    /// Set unless the job was done or is open.
    std::optional<attribution> fault;
    std::optional<time_breakdown> time;
    explanation_sources sources;
};

/// Builds the explanation from all events of the job, in any order, and the evidence around it.
/// Fails with `job_unknown` when there are none.
result<explanation> explain(const job_key& job, std::vector<event> events, const evidence& known, explanation_sources sources);

/// Adds up the durations of a job's events; nothing while it has no answer.
std::optional<time_breakdown> computeTimeBreakdown(const std::vector<event>& events);

std::string encodeExplanation(const explanation& value);

/// Returns the explanation as lines for people.
std::string explanationText(const explanation& value);

} // namespace coriandermount::event_log
