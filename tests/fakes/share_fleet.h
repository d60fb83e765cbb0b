/// Several VMs that share workers and a plan, in virtual time, over links with faults.
#pragma once

#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "quota/share_controller.h"

namespace coriandermount::fakes {

struct share_fleet_options {
    unsigned domains = 1;
    unsigned vmsPerDomain = 3;
    unsigned workersPerDomain = 6;
    unsigned slots = 8;
    std::uint32_t planConcurrency = 0;
    std::uint64_t seed = 1;
    std::chrono::microseconds delay { 400 };
    std::chrono::microseconds domainDelay { 1500 };
    double loss = 0;
    double duplication = 0;
    /// Clocks run fast or slow by up to this.
    double drift = 0;
    std::chrono::milliseconds shortestTask { 50 };
    std::chrono::milliseconds longestTask { 400 };
    /// Time until a VM that is not heard of is left out of the view.
    std::chrono::milliseconds failureDetectionTime { 1500 };
};

class share_fleet {
public:
    explicit share_fleet(const share_fleet_options& options);
    ~share_fleet();

    share_fleet(const share_fleet&) = delete;
    share_fleet& operator=(const share_fleet&) = delete;

    /// Runs for that long and checks the sums after every step.
    void run(std::chrono::milliseconds duration);

    /// Number of tasks that the VM would run at a time.
    void setDemand(std::size_t vm, std::uint32_t tasks);
    void setPlanConcurrency(std::uint32_t tasks);
    void kill(std::size_t vm);
    /// Starts a VM that was killed, with a new incarnation and nothing else.
    void restart(std::size_t vm);
    void pause(std::size_t vm, std::chrono::milliseconds duration);
    /// Drops everything from one VM to another.
    void blockLink(std::size_t from, std::size_t to);
    void isolate(std::size_t vm);
    void isolateDomain(unsigned domain);
    void heal();
    /// Ends loss and duplication.
    void disableLossAndDuplication();

    std::size_t size() const;
    std::uint32_t running(std::size_t vm) const;
    std::uint32_t usableSlots(std::size_t vm) const;
    std::uint32_t usablePlan(std::size_t vm) const;
    std::uint32_t totalUsableSlots() const;
    std::uint32_t totalUsablePlan() const;
    std::uint32_t totalRunning() const;
    /// Times at which the usable units of a worker or the plan exceeded the capacity, as text; empty when none did.
    const std::vector<std::string>& violations() const;
    std::uint64_t messages() const;
    std::size_t arbiters() const;
    /// Started tasks per VM since the start.
    std::uint64_t startedTasks(std::size_t vm) const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::fakes
