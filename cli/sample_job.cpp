#include "cli/sample_job.h"

#include <fmt/format.h>

namespace coriandermount::cli {

namespace {

    constexpr std::chrono::seconds timeLimit { 10 };

} // namespace

job_request makeSampleJob(const std::string& customer, unsigned tasks, std::chrono::milliseconds runTime)
{
    const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    job_request job;
    job.key = { { customer }, fmt::format("job-{}", now.time_since_epoch().count()), now };
    job.timeLimit = timeLimit + runTime;
    for (unsigned index = 0; index < tasks; ++index) {
        task_spec task;
        task.service.value = "sleep";
        task.payload = fmt::format("sleep:{}", runTime.count());
        task.declaredRunTime = runTime;
        job.tasks.push_back(std::move(task));
    }
    return job;
}

} // namespace coriandermount::cli
