/// Followers of the configuration on several VMs with one log, on a virtual clock.
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

class virtual_followers {
public:
    virtual_followers(std::size_t count, std::uint64_t seed, configuration::follower_options options = {});

    /// Starts a VM anew, with nothing remembered.
    void restart(std::size_t vm);
    void kill(std::size_t vm);
    bool running(std::size_t vm) const { return m_vms[vm].core != nullptr; }

    /// Cuts a VM off from the log, from its peers or from both.
    void partitionFromLog(std::size_t vm, bool partitioned) { m_vms[vm].withoutLog = partitioned; }
    void partitionFromPeers(std::size_t vm, bool partitioned) { m_vms[vm].withoutPeers = partitioned; }
    void setLogDown(bool down) { m_logDown = down; }
    /// Appends take effect, but their answers are lost.
    void setAnswersLost(bool lost) { m_answersLost = lost; }
    void heal();

    memory_log& log() { return m_log; }

    /// Publishes the lists of VM `vm` with `customer` on `plan`, based on what is in force there.
    void publish(std::size_t vm, const std::string& author, const std::string& customer, const std::string& plan);
    void publish(std::size_t vm, configuration::snapshot candidate);

    void run(std::chrono::milliseconds duration);

    std::shared_ptr<const configuration::snapshot> current(std::size_t vm) const { return m_vms[vm].core->current(); }
    const configuration::follower& core(std::size_t vm) const { return *m_vms[vm].core; }
    std::size_t count() const { return m_vms.size(); }
    bool agree() const;

    /// Results of publications in the order of their ends.
    const std::vector<configuration::publish_result>& results() const { return m_results; }
    /// Number of times that a VM went to a configuration that is not newer.
    unsigned reverts() const { return m_reverts; }
    unsigned copies() const { return m_copies; }
    unsigned peerFetches() const { return m_fetches; }
    /// Records that VM `vm` skipped, with the reasons.
    const std::vector<configuration::history_entry>& skipped(std::size_t vm) const { return m_vms[vm].skipped; }

private:
    struct vm_state {
        std::unique_ptr<configuration::follower> core;
        std::uint64_t life = 0;
        bool withoutLog = false;
        bool withoutPeers = false;
        std::vector<configuration::history_entry> skipped;
    };

    struct scheduled {
        std::chrono::milliseconds at;
        std::uint64_t order;
        std::function<void()> action;

        bool operator<(const scheduled& other) const { return std::tie(other.at, other.order) < std::tie(at, order); }
    };

    void schedule(std::chrono::milliseconds delay, std::function<void()> action);
    /// Runs `action` later, unless the VM has been restarted by then.
    void scheduleFor(std::size_t vm, std::chrono::milliseconds delay, std::function<void()> action);
    void handle(std::size_t vm, const configuration::follower_event& event);
    void carryOut(std::size_t vm, const configuration::follower_action& action);
    void tick(std::size_t vm);
    void gossip(std::size_t vm);

    memory_log m_log;
    configuration::follower_options m_options;
    std::vector<vm_state> m_vms;
    std::mt19937_64 m_random;
    std::chrono::milliseconds m_time { 1000 };
    std::uint64_t m_order = 0;
    std::uint64_t m_nextRecord = 1;
    bool m_logDown = false;
    bool m_answersLost = false;
    unsigned m_reverts = 0;
    unsigned m_copies = 0;
    unsigned m_fetches = 0;
    std::vector<configuration::publish_result> m_results;
    std::priority_queue<scheduled> m_queue;
};

} // namespace coriandermount::fakes
