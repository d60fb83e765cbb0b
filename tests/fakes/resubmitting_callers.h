/// Callers that submit jobs again as the platform describes it.
#pragma once

#include <map>
#include <string>

#include "tests/fakes/cell_fleet.h"

namespace coriandermount::fakes {

/// Callers of unstored jobs. A caller whose connection breaks, whose VM is lost, who gets no answer in time or an answer that
/// says that the job may have run, submits the job again `retransmissionDelay` later, at any VM of any domain. Not thread-safe.
class resubmitting_callers {
public:
    static constexpr std::chrono::milliseconds retransmissionDelay { 1300 };
    /// Time for which the callers of the users' deployments wait for the answer to one submission.
    static constexpr std::chrono::milliseconds usualTimeout { 1500 };

    /// `fleet` must outlive the callers. `timeout` is the time for which a caller waits for the answer to one submission.
    explicit resubmitting_callers(cell_fleet& fleet, std::chrono::milliseconds timeout = usualTimeout);
    ~resubmitting_callers();

    resubmitting_callers(const resubmitting_callers&) = delete;
    resubmitting_callers& operator=(const resubmitting_callers&) = delete;

    /// Submits a job under a new id. `seed` determines the VMs of its resubmissions.
    void submit(const std::string& vm, std::uint64_t seed, std::uint32_t tasks, std::chrono::milliseconds duration);
    /// Breaks the connection of a caller that waits; `seed` determines which.
    void breakConnection(std::uint64_t seed);
    /// Breaks the connections to a VM that is lost.
    void noteLost(const std::string& vm);

private:
    /// Number of submissions of one job.
    static constexpr unsigned mostSubmissions = 3;

    struct caller {
        std::uint64_t seed = 0;
        std::uint32_t tasks = 0;
        std::chrono::milliseconds duration { 0 };
        std::string vm;
        unsigned submissions = 0;
        bool waits = false;
    };

    void send(const std::string& jobId);
    void onAnswer(const recorded_answer& answer);
    void lose(const std::string& jobId);
    std::string chooseVm(std::uint64_t seed) const;

    cell_fleet& m_fleet;
    std::chrono::milliseconds m_timeout;
    std::map<std::string, caller> m_callers;
};

} // namespace coriandermount::fakes
