/// Construction of the journal entries about a submission as a whole.
#pragma once

#include <string>

#include "configuration/configuration.h"
#include "core/job.h"
#include "dispatch/events.h"
#include "event_log/event.h"

namespace coriandermount::dispatch {

/// Returns the entry for a submission that was received.
event_log::event receivedEvent(const job_request& job);

/// Returns the entry for the claim on a key. `detail` is empty if the claim was granted, and otherwise says why the job is not
/// dispatched. `elapsed` is the time from the submission to the decision on the claim.
event_log::event claimedEvent(const job_key& key, std::chrono::microseconds elapsed, std::string detail);

/// Returns the entry for a job that reached the engine. `elapsed` is the time since the claim was granted.
event_log::event dispatchedEvent(const job_key& key, std::chrono::microseconds elapsed);

/// Adds the plan, the rule and the limit to the entry about a refusal, if the job was refused because of a limit of its plan.
void addPlanLimit(event_log::event& refusal, const configuration::snapshot& activeConfiguration);

/// Sets the time from the start of the task to its end, the part of that time that the worker reported, and the error detail.
void addRunTime(event_log::event& answered, const task_ended& ended, time_point now);

/// Returns the entry for an answered job. `elapsed` is the time since the submission, and `afterLastTask` is the part of it that
/// passed after the engine decided on the answer.
event_log::event answeredEvent(
    const job_answer& answer, std::chrono::microseconds elapsed, std::chrono::microseconds afterLastTask);

} // namespace coriandermount::dispatch
