/// Sample jobs for the commands `dev` and `submit`.
#pragma once

#include <chrono>
#include <string>

#include "core/job.h"

namespace coriandermount::cli {

/// Builds a job whose tasks sleep for `runTime`. Its name and issue time are the current time in milliseconds.
job_request makeSampleJob(const std::string& customer, unsigned tasks, std::chrono::milliseconds runTime);

} // namespace coriandermount::cli
