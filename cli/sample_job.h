/// Jobs for a first try.
#pragma once

#include <chrono>
#include <string>

#include "core/job.h"

namespace coriandermount::cli {

/// Builds a job of sleeping tasks with a new id.
job_request makeSampleJob(const std::string& customer, unsigned tasks, std::chrono::milliseconds runTime);

} // namespace coriandermount::cli
