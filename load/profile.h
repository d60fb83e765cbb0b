/// Workloads of the platform's two users: sizes of jobs, services and run times of tasks.
#pragma once

#include <chrono>
#include <random>
#include <string>
#include <vector>

#include "core/error.h"
#include "core/job.h"

namespace coriandermount::load {

/// Describes the run times of the tasks of one service: a log-normal distribution, clamped to two bounds.
struct service_profile {
    service_id service;
    /// Share of all tasks of the profile, from 0 to 1.
    double taskShare = 0;
    std::chrono::milliseconds medianRunTime { 0 };
    /// Standard deviation of the natural logarithm of the run time.
    double logStandardDeviation = 0;
    std::chrono::milliseconds minRunTime { 0 };
    std::chrono::milliseconds maxRunTime { 0 };
    task_class declaredClass = task_class::short_work;
};

/// Describes a workload: its customer, the services of its tasks and the sizes of its jobs.
struct profile {
    std::string name;
    customer_id customer;
    std::vector<service_profile> services;
    /// Largest number of tasks of one job. Job sizes range from 1 to this number, and small jobs are more frequent.
    std::size_t maxTasks = 1;
};

/// Returns the profile called `name`: `kellari`, `laulukaar`, or `sample`, which uses the services of the development fleet.
/// Fails with `not_found` if no profile has the name.
result<profile> findProfile(const std::string& name);

/// Draws a random job; the caller fills in its key. Payloads hold the run time for the stand-in workers and are unique among the
/// tasks of all jobs if `payloadTag` is unique to the job.
job_request drawJob(const profile& workload, const std::string& payloadTag, std::mt19937_64& random);

} // namespace coriandermount::load
