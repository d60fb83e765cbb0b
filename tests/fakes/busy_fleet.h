/// An engine under steady load in virtual time, with workers whose faults a test configures.
#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "tests/fakes/engine_driver.h"

namespace coriandermount::fakes {

/// Faults of one worker.
struct worker_behaviour {
    /// Every start ends with this error after the latency of one message.
    std::optional<error_kind> problem;
    /// Starts are never answered.
    bool hangs = false;
    /// Factor on run times.
    double slowdown = 1;
};

/// Submits single-task jobs at a constant rate and answers starts according to the behaviour of their workers.
class busy_fleet {
public:
    busy_fleet(unsigned workers, std::uint32_t slots);

    /// Advances virtual time by `time`. Submits jobs at 60 % load and answers each start when its task ends.
    void run(std::chrono::milliseconds time);

    std::size_t submittedTasks() const { return m_submitted; }
    /// Returns the number of jobs that were answered with a result other than `done`.
    std::size_t failedJobs() const;

    /// Returns the largest number of workers that were ejected at the same time.
    std::size_t maxEjectedWorkers() const;

    engine_driver driver;
    /// Behaviour by worker id. A worker that is not listed is healthy.
    std::map<std::string, worker_behaviour> behaviours;
    /// Tasks with this payload fail on every worker. No task is affected while this is empty.
    std::string poisonedPayload;

private:
    struct scheduled_answer {
        time_point at;
        lease_id lease {};
        std::optional<error_kind> problem;

        friend bool operator<(const scheduled_answer& a, const scheduled_answer& b)
        {
            return a.at != b.at ? a.at < b.at : a.lease < b.lease;
        }
    };

    void submitDueTasks();
    void scheduleNewStarts();
    void sendDueAnswers();
    std::chrono::milliseconds drawRunTime();

    std::mt19937_64 m_random { 11 };
    std::set<scheduled_answer> m_scheduledAnswers;
    std::size_t m_processedStarts = 0;
    std::size_t m_submitted = 0;
    std::uint64_t m_nextName = 0;
    double m_tasksPerTick = 0;
    double m_taskCredit = 0;
};

} // namespace coriandermount::fakes
