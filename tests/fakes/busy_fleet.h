/// An engine under steady load, with workers that behave as told, in virtual time.
#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "tests/fakes/engine_driver.h"

namespace coriandermount::fakes {

struct worker_behaviour {
    /// Every start ends with this at once.
    std::optional<error_kind> problem;
    bool hangs = false;
    double slowdown = 1;
};

class busy_fleet {
public:
    busy_fleet(unsigned workers, std::uint32_t slots);

    /// Submits jobs at 60 % load and answers starts when they are due.
    void run(std::chrono::milliseconds time);

    std::size_t submittedTasks() const { return m_submitted; }
    std::size_t failedJobs() const;

    /// Largest number of workers that were ejected at a time.
    std::size_t maxEjectedWorkers() const;

    engine_driver driver;
    std::map<std::string, worker_behaviour> behaviours;
    /// Tasks with this payload fail on every worker.
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
    std::size_t m_seenStarts = 0;
    std::size_t m_submitted = 0;
    std::uint64_t m_nextName = 0;
    double m_tasksPerTick = 0;
    double m_taskCredit = 0;
};

} // namespace coriandermount::fakes
