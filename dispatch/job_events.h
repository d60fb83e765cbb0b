/// Journal entries about a submission as a whole.
#pragma once

#include <string>

#include "configuration/configuration.h"
#include "core/job.h"
#include "dispatch/events.h"
#include "event_log/event.h"

namespace coriandermount::dispatch {

event_log::event receivedEvent(const job_request& job);

/// `verdict` is empty for a granted claim, and otherwise says what became of it.
event_log::event claimedEvent(const job_key& key, std::chrono::microseconds elapsed, std::string verdict);

event_log::event dispatchedEvent(const job_key& key, std::chrono::microseconds elapsed);

/// Adds plan, rule and limit to the refusal of a job for a limit of its plan.
void completeRefusal(event_log::event& refusal, const configuration::snapshot& inForce);

/// Sets the time from start to end, and the worker's part of it.
void completeTask(event_log::event& answered, const task_ended& ended, time_point now);

/// `afterLastTask` is the part of `elapsed` that passed after the last decision about the job.
event_log::event answeredEvent(
    const job_answer& answer, std::chrono::microseconds elapsed, std::chrono::microseconds afterLastTask);

} // namespace coriandermount::dispatch
