/// Configuration followers of several VMs that share one log, on a virtual clock.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>

#include "configuration/follower.h"
#include "tests/fakes/memory_log.h"

namespace coriandermount::fakes {

/// Runs the followers of several VMs against a `memory_log`, with faults of the log, the network and the VMs. VMs are numbered
/// from 0; a VM's number is its copy rank and its address.
class virtual_followers {
public:
    /// Starts `count` VMs; `seed` determines the start times of their timers and the choice of peers.
    virtual_followers(std::size_t count, std::uint64_t seed, configuration::follower_options options = {});

    /// Starts a VM with an empty state; a running VM loses its state.
    void restart(std::size_t vm);
    /// Stops a VM; its state is lost.
    void kill(std::size_t vm);
    bool isRunning(std::size_t vm) const { return m_vms[vm].follower != nullptr; }

    /// Partitions a VM from the log or from its peers, or ends the partition.
    void partitionFromLog(std::size_t vm, bool partitioned) { m_vms[vm].partitionedFromLog = partitioned; }
    void partitionFromPeers(std::size_t vm, bool partitioned) { m_vms[vm].partitionedFromPeers = partitioned; }
    void setLogUnavailable(bool unavailable) { m_logUnavailable = unavailable; }
    /// Makes appends take effect and end with `log_answer_lost`.
    void setDropAppendAnswers(bool drop) { m_dropAppendAnswers = drop; }
    /// Ends all faults and restarts the VMs that are stopped.
    void heal();

    memory_log& log() { return m_log; }

    /// Publishes the configuration in force on VM `vm` with `customer` assigned to `plan`.
    void publish(std::size_t vm, const std::string& author, const std::string& customer, const std::string& plan);
    /// Publishes `candidate`, which has its record id and base version set.
    void publish(std::size_t vm, configuration::snapshot candidate);
    /// Publishes `candidate` after an earlier request with the same record id.
    void publishAgain(std::size_t vm, configuration::snapshot candidate);

    /// Advances the virtual clock by `duration` and runs the actions that become due.
    void run(std::chrono::milliseconds duration);

    std::shared_ptr<const configuration::snapshot> current(std::size_t vm) const { return m_vms[vm].follower->current(); }
    const configuration::follower& followerOf(std::size_t vm) const { return *m_vms[vm].follower; }
    std::size_t count() const { return m_vms.size(); }
    /// Returns whether all running VMs have the same configuration in force.
    bool allAgree() const;

    /// Returns the outcomes of publications in the order of completion.
    const std::vector<configuration::publish_result>& results() const { return m_results; }
    /// Returns how often a VM replaced its configuration by one that is not newer, or without reporting it.
    unsigned regressions() const { return m_regressions; }
    /// Returns the number of appends of copies, including failed ones.
    unsigned copiesAppended() const { return m_copiesAppended; }
    unsigned peerFetches() const { return m_peerFetches; }
    /// Returns the records that VM `vm` skipped, with the reasons.
    const std::vector<configuration::history_entry>& rejectedRecords(std::size_t vm) const { return m_vms[vm].rejectedRecords; }

private:
    struct vm_state {
        std::unique_ptr<configuration::follower> follower;
        std::uint64_t incarnation = 0;
        bool partitionedFromLog = false;
        bool partitionedFromPeers = false;
        std::vector<configuration::history_entry> rejectedRecords;
    };

    struct scheduled {
        std::chrono::milliseconds at;
        std::uint64_t order;
        std::function<void()> action;

        bool operator<(const scheduled& other) const { return std::tie(other.at, other.order) < std::tie(at, order); }
    };

    void schedule(std::chrono::milliseconds delay, std::function<void()> action);
    /// Runs `action` after `delay`, unless the VM has been stopped or restarted in the meantime.
    void scheduleFor(std::size_t vm, std::chrono::milliseconds delay, std::function<void()> action);
    void handle(std::size_t vm, const configuration::follower_event& event);
    void perform(std::size_t vm, const configuration::follower_action& action);
    void tick(std::size_t vm);
    void gossip(std::size_t vm);

    memory_log m_log;
    configuration::follower_options m_options;
    std::vector<vm_state> m_vms;
    std::mt19937_64 m_random;
    std::chrono::milliseconds m_time { 1000 };
    std::uint64_t m_order = 0;
    std::uint64_t m_nextRecord = 1;
    bool m_logUnavailable = false;
    bool m_dropAppendAnswers = false;
    unsigned m_regressions = 0;
    unsigned m_copiesAppended = 0;
    unsigned m_peerFetches = 0;
    std::vector<configuration::publish_result> m_results;
    std::priority_queue<scheduled> m_queue;
};

} // namespace coriandermount::fakes
