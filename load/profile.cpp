#include "load/profile.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

namespace coriandermount::load {

namespace {

    using std::chrono::milliseconds;

    /// Largest factor by which a declared run time is above or below the real one.
    constexpr double maxDeclarationFactor = 10;
    constexpr std::chrono::seconds timeLimit { 20 };

    profile kellari()
    {
        return { "kellari", { "kellari" },
            {
                { { "release-check" }, 0.60, milliseconds(90), 0.5, milliseconds(50), milliseconds(1000),
                    task_class::short_work },
                { { "ownership-transfer" }, 0.35, milliseconds(250), 0.6, milliseconds(50), milliseconds(1000),
                    task_class::short_work },
                { { "cellar-audit" }, 0.04, milliseconds(2500), 0.4, milliseconds(1000), milliseconds(6000),
                    task_class::long_work },
                { { "cellar-rebuild" }, 0.01, milliseconds(8000), 0.4, milliseconds(4000), milliseconds(15000),
                    task_class::long_work },
            },
            24 };
    }

    profile laulukaar()
    {
        return { "laulukaar", { "laulukaar" },
            {
                { { "title-lookup" }, 0.65, milliseconds(70), 0.4, milliseconds(50), milliseconds(500), task_class::short_work },
                { { "licence-check" }, 0.25, milliseconds(150), 0.5, milliseconds(50), milliseconds(1000),
                    task_class::short_work },
                { { "track-fetch" }, 0.10, milliseconds(3000), 0.5, milliseconds(800), milliseconds(12000),
                    task_class::long_work },
            },
            8 };
    }

    profile sample()
    {
        return { "sample", { "demo" },
            {
                { { "sleep" }, 0.9, milliseconds(80), 0.5, milliseconds(20), milliseconds(400), task_class::short_work },
                { { "sleep" }, 0.1, milliseconds(700), 0.3, milliseconds(400), milliseconds(1500), task_class::long_work },
            },
            8 };
    }

    const service_profile& drawService(const profile& workload, std::mt19937_64& random)
    {
        double point = std::uniform_real_distribution<double>(0, 1)(random);
        for (const auto& service : workload.services) {
            point -= service.taskShare;
            if (point < 0)
                return service;
        }
        return workload.services.back();
    }

    milliseconds drawRunTime(const service_profile& service, std::mt19937_64& random)
    {
        std::lognormal_distribution<double> distribution(
            std::log(static_cast<double>(service.medianRunTime.count())), service.logStandardDeviation);
        const auto drawn = milliseconds(static_cast<std::int64_t>(distribution(random)));
        return std::clamp(drawn, service.minRunTime, service.maxRunTime);
    }

    milliseconds drawDeclaredRunTime(milliseconds runTime, std::mt19937_64& random)
    {
        const double limit = std::log(maxDeclarationFactor);
        const double factor = std::exp(std::uniform_real_distribution<double>(-limit, limit)(random));
        return milliseconds(static_cast<std::int64_t>(static_cast<double>(runTime.count()) * factor) + 1);
    }

    std::size_t drawTaskCount(const profile& workload, std::mt19937_64& random)
    {
        // The logarithm of the size is uniform, so that small jobs are more frequent.
        const double size
            = std::exp(std::uniform_real_distribution<double>(0, std::log(static_cast<double>(workload.maxTasks) + 1))(random));
        return std::clamp<std::size_t>(static_cast<std::size_t>(size), 1, workload.maxTasks);
    }

} // namespace

result<profile> findProfile(const std::string& name)
{
    for (const auto& candidate : { kellari(), laulukaar(), sample() }) {
        if (candidate.name == name)
            return candidate;
    }
    return fail(error_kind::not_found,
        fmt::format("profile \"{}\" does not exist; the profiles are kellari, laulukaar and sample", name));
}

job_request drawJob(const profile& workload, const std::string& payloadTag, std::mt19937_64& random)
{
    job_request job;
    job.timeLimit = timeLimit;
    const std::size_t count = drawTaskCount(workload, random);
    for (std::size_t index = 0; index < count; ++index) {
        const service_profile& service = drawService(workload, random);
        const milliseconds runTime = drawRunTime(service, random);
        task_spec task;
        task.service = service.service;
        task.payload = fmt::format("sleep:{}:{}-{}", runTime.count(), payloadTag, index);
        task.declaredRunTime = drawDeclaredRunTime(runTime, random);
        task.declaredClass = service.declaredClass;
        job.tasks.push_back(std::move(task));
    }
    return job;
}

} // namespace coriandermount::load
