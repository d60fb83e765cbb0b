/// Claim state machines of several VMs over a fake link and log, in virtual time.
#pragma once

#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>

#include "claims/claim_core.h"

namespace coriandermount::fakes {

struct claim_cluster_options {
    unsigned domains = 1;
    unsigned vmsPerDomain = 3;
    claims::protocol_guards guards;
    std::uint64_t seed = 1;
    /// Chances in percent.
    unsigned lossChance = 0;
    unsigned duplicationChance = 3;
    /// Of the granted jobs, this share is refused before anything starts.
    unsigned refusalChance = 10;
};

/// What a caller was told.
struct caller_answer {
    job_key key;
    std::uint64_t contentDigest = 0;
    outcome result = outcome::may_have_run;
    std::optional<error_kind> problem;
    std::string output;
    /// Starts of the key up to then.
    unsigned startsBefore = 0;
};

class claim_cluster {
public:
    explicit claim_cluster(claim_cluster_options options);

    /// Runs all that happens within `span`.
    void run(std::chrono::milliseconds span);

    /// Submits through a VM; a dead VM ignores it.
    void submit(unsigned vm, const job_key& key, std::uint64_t contentDigest);

    void kill(unsigned vm);
    /// Starts the VM anew with nothing remembered.
    void restart(unsigned vm);
    /// Replaces the VM by one with another name.
    void replace(unsigned vm);
    void pause(unsigned vm, std::chrono::milliseconds span);
    void setClockError(unsigned vm, std::chrono::milliseconds error);
    void partition(unsigned first, unsigned second);
    /// Cuts a VM off from the others of its domain.
    void isolate(unsigned vm);
    void partitionFromLog(unsigned vm) { m_partitionedFromLog.insert(vm); }
    void partitionDomains(unsigned first, unsigned second);
    void setTickInterval(std::chrono::milliseconds interval) { m_tickInterval = interval; }
    void setLogDown(bool down) { m_logDown = down; }
    void setDropAppendAnswers(bool lose) { m_dropAppendAnswers = lose; }
    /// Ends all faults; dead VMs start anew.
    void heal();

    unsigned vmCount() const { return static_cast<unsigned>(m_vms.size()); }
    bool alive(unsigned vm) const { return m_vms[vm].core != nullptr; }
    bool serving(unsigned vm) const;
    std::string issueName(unsigned vm);
    wall_time wall() const;
    std::size_t messages() const { return m_messages; }

    const std::vector<caller_answer>& answers() const { return m_answers; }
    unsigned startsOf(const job_key& key) const;

    /// Says which invariant is broken; empty when none is.
    std::string findViolation() const;

private:
    struct vm {
        std::string id;
        unsigned domain = 0;
        std::string rack;
        std::uint64_t incarnation = 1;
        std::unique_ptr<claims::claim_core> core;
        std::chrono::milliseconds clockError { 0 };
        time_point pausedUntil {};
        /// Records of the log that were read.
        std::size_t readTo = 0;
        std::map<claims::caller_token, std::pair<job_key, std::uint64_t>> callers;
        std::string address() const { return id + "/" + std::to_string(incarnation); }
    };
    struct event {
        time_point at;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator>(const event& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
    };

    void boot(unsigned vm);
    void publishFleet();
    void schedule(std::chrono::nanoseconds delay, std::function<void()> action);
    /// Runs `action` on the VM's present start, after the end of a pause; never on a later start.
    void onVm(unsigned vm, std::chrono::nanoseconds delay, std::function<void(claims::claim_core&)> action);
    void tick(unsigned vm);
    void carryOut(unsigned vm, const claims::outputs& out);
    void send(unsigned from, const claims::outgoing_message& message);
    void append(unsigned vm, const claims::claim_view& view);
    void readLog(unsigned vm);
    void take(unsigned vm, const claims::caller_decision& decision);
    void runJob(unsigned vm, const job_key& key, std::uint64_t contentDigest);
    void record(unsigned vm, const job_key& key, std::uint64_t contentDigest, const result<job_answer>& answer);
    claims::input_time inputTimeOf(const vm& target) const;
    unsigned chance(unsigned bound) { return static_cast<unsigned>(m_random() % bound); }

    claim_cluster_options m_options;
    std::mt19937_64 m_random;
    time_point m_now { std::chrono::hours(1) };
    std::chrono::milliseconds m_tickInterval { 20 };
    std::uint64_t m_order = 0;
    std::uint64_t m_nextToken = 1;
    unsigned m_nextVmNumber = 1;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::vector<vm> m_vms;
    std::set<std::pair<unsigned, unsigned>> m_partitions;
    std::set<unsigned> m_partitionedFromLog;
    std::map<unsigned, std::vector<claims::claim_view>> m_log;
    bool m_logDown = false;
    bool m_dropAppendAnswers = false;
    std::map<job_key, unsigned> m_starts;
    std::map<job_key, std::uint64_t> m_startedContent;
    std::vector<caller_answer> m_answers;
    std::size_t m_messages = 0;
};

} // namespace coriandermount::fakes
