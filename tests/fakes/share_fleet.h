/// VMs that share workers and a plan, in virtual time and over links with injected faults.
#pragma once

#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "quota/share_controller.h"

namespace coriandermount::fakes {

/// Size of a `share_fleet`, its task run times, and probabilities of network faults.
struct share_fleet_options {
    unsigned domains = 1;
    unsigned vmsPerDomain = 3;
    unsigned workersPerDomain = 6;
    /// Slots per worker.
    unsigned slots = 8;
    std::uint32_t planConcurrency = 0;
    std::uint64_t seed = 1;
    /// Delay of messages within a failure domain.
    std::chrono::microseconds delay { 400 };
    /// Delay of messages between failure domains.
    std::chrono::microseconds domainDelay { 1500 };
    /// Probability that a message is lost. Messages are delayed 400-fold with the same probability.
    double loss = 0;
    /// Probability that a message is duplicated.
    double duplication = 0;
    /// Maximum relative deviation of a VM's clock rate.
    double drift = 0;
    /// Shortest run time of a task.
    std::chrono::milliseconds minRunTime { 50 };
    /// Longest run time of a task.
    std::chrono::milliseconds maxRunTime { 400 };
    /// Time after which a VM that can't be reached is removed from the view.
    std::chrono::milliseconds failureDetectionTime { 1500 };
};

/// Runs the share controllers of all VMs, and tasks within the shares.
class share_fleet {
public:
    explicit share_fleet(const share_fleet_options& options);
    ~share_fleet();

    share_fleet(const share_fleet&) = delete;
    share_fleet& operator=(const share_fleet&) = delete;

    /// Advances the virtual time by `duration` and checks the capacities after every step.
    void run(std::chrono::milliseconds duration);

    /// Sets the number of tasks that the VM runs at a time if its shares allow it.
    void setDemand(std::size_t vm, std::uint32_t tasks);
    void setPlanConcurrency(std::uint32_t tasks);
    void kill(std::size_t vm);
    /// Restarts a killed VM with a new incarnation and without any state.
    void restart(std::size_t vm);
    void pause(std::size_t vm, std::chrono::milliseconds duration);
    /// Drops all messages from one VM to another.
    void blockLink(std::size_t from, std::size_t to);
    /// Blocks all links from and to a VM.
    void isolate(std::size_t vm);
    /// Blocks all links between a failure domain and the others.
    void isolateDomain(unsigned domain);
    /// Unblocks all links.
    void heal();
    /// Stops losing and duplicating messages.
    void disableLossAndDuplication();

    std::size_t size() const;
    /// Returns the number of tasks that the VM is running.
    std::uint32_t running(std::size_t vm) const;
    std::uint32_t usableSlots(std::size_t vm) const;
    /// Returns the number of concurrent tasks of the plan that the VM may run.
    std::uint32_t usablePlan(std::size_t vm) const;
    std::uint32_t totalUsableSlots() const;
    std::uint32_t totalUsablePlan() const;
    std::uint32_t totalRunning() const;
    /// Returns a description of each time at which the usable units of a worker or of the plan exceeded the capacity.
    const std::vector<std::string>& violations() const;
    /// Returns the number of messages sent.
    std::uint64_t sentMessages() const;
    /// Returns the number of live VMs that are arbiters.
    std::size_t arbiterCount() const;
    /// Returns the number of tasks that the VM has started.
    std::uint64_t startedTasks(std::size_t vm) const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::fakes
