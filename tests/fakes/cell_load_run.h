/// Generated load on one cell in virtual time, and what its callers get.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "tests/fakes/single_owner.h"

namespace coriandermount::fakes {

/// Kind of job: `tasks` tasks of `cpuMillis` that run for `runTime`.
struct job_kind {
    std::string name;
    std::uint32_t tasks = 1;
    std::int64_t cpuMillis = 8000;
    std::chrono::milliseconds runTime { 0 };
    std::chrono::milliseconds objective { 0 };
    std::chrono::milliseconds callerTimeout { 1500 };
    double arrivalsPerSecond = 0;
};

/// What became of the jobs of one kind.
struct load_outcome {
    std::size_t jobs = 0;
    std::size_t punctual = 0;
    std::size_t late = 0;
    std::size_t refused = 0;
    /// Jobs that ended without an answer that says whether they ran.
    std::size_t abandoned = 0;
    /// Refused jobs that had waited for longer than half of the time that their caller had.
    std::size_t refusedLate = 0;
    std::chrono::milliseconds longestRefusalWait { 0 };
    /// Longest time from an arrival to its answer of any kind.
    std::chrono::milliseconds longestWait { 0 };
    /// Tasks of the jobs that were served.
    std::size_t tasksServed = 0;

    std::size_t served() const { return punctual + late; }
    double servedShare() const { return share(served()); }
    double punctualShare() const { return share(punctual); }
    double refusedShare() const { return share(refused); }

private:
    double share(std::size_t count) const { return jobs == 0 ? 0 : static_cast<double>(count) / static_cast<double>(jobs); }
};

/// An owner with workers of 16 cores that gets jobs at the rates of their kinds, evenly spread with a fixed jitter.
class cell_load_run : public single_owner {
public:
    explicit cell_load_run(unsigned workerCount, std::uint32_t seed = 1);

    /// Sets the rate of all kinds, relative to `job_kind::arrivalsPerSecond`, and lets time pass.
    void runAtRate(std::vector<job_kind>& kinds, double rate, std::chrono::milliseconds duration);
    /// Submits the jobs that arrive in `duration` at once, as VMs do that have kept them for an owner.
    void submitBacklog(std::vector<job_kind>& kinds, std::chrono::milliseconds duration);
    void submit(const job_kind& kind, std::chrono::milliseconds age = std::chrono::milliseconds(0));
    /// Makes all workers lose a share of the calls, and carry out the orders among them late.
    void loseCalls(double share);
    /// Removes workers for good; the tasks that they run are lost.
    void removeWorkers(unsigned count);

    /// Returns the outcome of all jobs, or of those of one kind, that have arrived from `from` on.
    load_outcome outcome(const std::string& kind = {}, time_point from = {}) const;
    /// Returns the longest time between two completed jobs.
    std::chrono::milliseconds longestPause() const;

    static std::string nameOf(unsigned worker) { return "worker-" + std::to_string(worker); }
    static constexpr std::uint64_t epoch = 2;

protected:
    virtual void runOnOwner(jobs::run_request request, cells::job_completion done);

private:
    struct submitted_job {
        job_kind kind;
        time_point arrivedAt;
        std::optional<time_point> answeredAt;
        std::optional<result<jobs::job_state>> answer;
    };

    std::vector<std::shared_ptr<submitted_job>> m_jobs;
    std::map<std::string, double> m_due;
    std::vector<time_point> m_completed;
    unsigned m_workers;
    unsigned m_removed = 0;
    std::uint32_t m_random;
};

} // namespace coriandermount::fakes
