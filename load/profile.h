/// Workloads of the two users: shapes of jobs, run times and latencies.
#pragma once

#include <chrono>
#include <random>
#include <string>
#include <vector>

#include "core/error.h"
#include "core/job.h"

namespace coriandermount::load {

/// A service and the run times of its tasks, which are log-normal between bounds.
struct service_profile {
    service_id service;
    /// Share of all tasks.
    double taskShare = 0;
    std::chrono::milliseconds medianRunTime { 0 };
    /// Standard deviation of the logarithm of the run time.
    double logStandardDeviation = 0;
    std::chrono::milliseconds minRunTime { 0 };
    std::chrono::milliseconds maxRunTime { 0 };
    task_class declaredClass = task_class::short_work;
};

struct profile {
    std::string name;
    customer_id customer;
    std::vector<service_profile> services;
    /// Jobs have from 1 to this many tasks, small ones being more frequent.
    std::size_t maxTasks = 1;
};

/// Returns the profile with that name: `kellari`, `laulukaar`, or `sample` on the services of the development fleet.
/// Fails with `not_found`.
result<profile> findProfile(const std::string& name);

/// Draws one job; its key is filled in by the caller. Payloads carry the run time for the stand-in workers and are
/// unique within `tag`.
job_request drawJob(const profile& workload, const std::string& tag, std::mt19937_64& random);

} // namespace coriandermount::load
