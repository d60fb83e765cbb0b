/// Seeded streams of jobs with the mix of run times that the users expect.
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace coriandermount::bench {

using seconds = std::chrono::duration<double>;

/// Shares of tasks by run time. All other tasks run for 50 ms to 1 s.
struct task_mix {
    /// Share of tasks that run for 2 to 6 s.
    double severalSeconds = 0.03;
    /// Share of tasks that run for 20 to 60 s.
    double longTasks = 0.002;
};

/// A phase of a stream, with the load of each plan relative to the capacity of all slots.
struct load_phase {
    seconds length { 10 };
    std::vector<double> loadOfPlan;
    /// Replaces the mix of the stream in this phase.
    std::optional<task_mix> mix;
};

/// Parameters of a stream.
struct stream_options {
    std::uint64_t seed = 1;
    double slots = 384;
    task_mix mix;
    std::vector<load_phase> phases;
    /// Mean number of tasks in a job.
    double tasksPerJob = 3;
    /// The time limit of a job is `timeLimit` plus the run time of its longest task times `timeLimitFactor`.
    seconds timeLimit { 5 };
    double timeLimitFactor = 2;
};

/// A task with its real and its declared properties.
struct stream_task {
    seconds runTime { 0 };
    seconds declared { 0 };
    bool declaredLong = false;
};

/// A job with its arrival time since the beginning of the stream.
struct stream_job {
    seconds arrival { 0 };
    seconds timeLimit { 0 };
    unsigned plan = 0;
    bool isLong = false;
    std::vector<stream_task> tasks;

    /// Returns the run time of the longest task, which bounds the response time from below.
    seconds longest() const
    {
        return std::max_element(tasks.begin(), tasks.end(), [](const auto& a, const auto& b) {
            return a.runTime < b.runTime;
        })->runTime;
    }
};

/// Draws a value between `minimum` and `maximum` from a log-uniform distribution.
inline seconds logUniform(std::mt19937_64& random, double minimum, double maximum)
{
    return seconds(std::exp(std::uniform_real_distribution<double>(std::log(minimum), std::log(maximum))(random)));
}

/// Draws a task. Its declared run time is wrong by a factor of up to ten in either direction.
inline stream_task makeTask(std::mt19937_64& random, const task_mix& mix, bool isLong)
{
    constexpr double largestError = 10;
    std::uniform_real_distribution<double> share(0, 1);
    stream_task task;
    if (isLong)
        task.runTime = logUniform(random, 20, 60);
    else if (share(random) < mix.severalSeconds)
        task.runTime = logUniform(random, 2, 6);
    else
        task.runTime = logUniform(random, 0.05, 1);
    task.declared = task.runTime * logUniform(random, 1 / largestError, largestError).count();
    // One long task in ten is declared as a short one.
    task.declaredLong = isLong && share(random) < 0.9;
    return task;
}

/// Returns the mean run time, in seconds, of a task from this mix.
inline double meanRunTime(const task_mix& mix)
{
    const auto mean = [](double minimum, double maximum) { return (maximum - minimum) / std::log(maximum / minimum); };
    const double shortShare = 1 - mix.severalSeconds - mix.longTasks;
    return shortShare * mean(0.05, 1) + mix.severalSeconds * mean(2, 6) + mix.longTasks * mean(20, 60);
}

/// Adds the jobs of one plan in one phase, with Poisson arrivals.
inline void addPhase(std::vector<stream_job>& jobs, std::mt19937_64& random, const stream_options& options,
    const load_phase& phase, unsigned plan, seconds begin)
{
    const task_mix mix = phase.mix.value_or(options.mix);
    const double jobsPerSecond = phase.loadOfPlan[plan] * options.slots / (meanRunTime(mix) * options.tasksPerJob);
    if (jobsPerSecond <= 0)
        return;
    std::exponential_distribution<double> gap(jobsPerSecond);
    std::geometric_distribution<unsigned> more(1 / options.tasksPerJob);
    std::uniform_real_distribution<double> share(0, 1);
    for (seconds at = begin + seconds(gap(random)); at < begin + phase.length; at += seconds(gap(random))) {
        stream_job job;
        job.arrival = at;
        job.plan = plan;
        job.isLong = share(random) < mix.longTasks;
        const unsigned tasks = std::min(1 + more(random), 260U);
        for (unsigned index = 0; index < tasks; ++index)
            job.tasks.push_back(makeTask(random, mix, job.isLong));
        job.timeLimit = options.timeLimit + job.longest() * options.timeLimitFactor;
        jobs.push_back(std::move(job));
    }
}

/// Returns all jobs of the stream, ordered by arrival.
inline std::vector<stream_job> makeStream(const stream_options& options)
{
    std::mt19937_64 random(options.seed);
    std::vector<stream_job> jobs;
    seconds begin { 0 };
    for (const auto& phase : options.phases) {
        for (unsigned plan = 0; plan < phase.loadOfPlan.size(); ++plan)
            addPhase(jobs, random, options, phase, plan, begin);
        begin += phase.length;
    }
    std::stable_sort(jobs.begin(), jobs.end(), [](const auto& a, const auto& b) { return a.arrival < b.arrival; });
    return jobs;
}

} // namespace coriandermount::bench
