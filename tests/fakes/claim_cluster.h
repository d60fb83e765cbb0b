/// Simulated VMs that run the claim protocol over a fake network and log, in virtual time.
#pragma once

#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>

#include "claims/claim_core.h"

namespace coriandermount::fakes {

/// Size of the cluster and probabilities of random events.
struct claim_cluster_options {
    unsigned domains = 1;
    unsigned vmsPerDomain = 3;
    claims::protocol_guards guards;
    std::uint64_t seed = 1;
    /// Probability in percent that a message is lost.
    unsigned lossChance = 0;
    /// Probability in percent that a message is delivered twice.
    unsigned duplicationChance = 3;
    /// Probability in percent that a granted job is refused before any task starts.
    unsigned refusalChance = 10;
};

/// Answer or error that a caller received.
struct caller_answer {
    job_key key;
    std::uint64_t contentDigest = 0;
    outcome result = outcome::may_have_run;
    std::optional<error_kind> problem;
    std::string output;
    /// Number of starts of the key before the caller received the answer.
    unsigned startsBefore = 0;
};

/// Runs the claim state machines of the VMs, injects faults, and checks the invariants of the protocol. The same options and
/// calls give the same run.
class claim_cluster {
public:
    explicit claim_cluster(claim_cluster_options options);

    /// Advances virtual time by `span` and processes all events within it.
    void run(std::chrono::milliseconds span);

    /// Submits a job through a VM. A dead VM ignores the submission.
    void submit(unsigned vm, const job_key& key, std::uint64_t contentDigest);

    void kill(unsigned vm);
    /// Starts a new incarnation of the VM with empty state.
    void restart(unsigned vm);
    /// Replaces the VM by a VM with another id and empty state.
    void replace(unsigned vm);
    /// Delays all events of a VM until `span` has passed.
    void pause(unsigned vm, std::chrono::milliseconds span);
    void setClockError(unsigned vm, std::chrono::milliseconds error);
    /// Drops all messages between two VMs, also those in transit.
    void partition(unsigned first, unsigned second);
    /// Drops all messages between a VM and the other VMs of its failure domain.
    void isolate(unsigned vm);
    /// Makes the log unreachable for a VM.
    void partitionFromLog(unsigned vm) { m_partitionedFromLog.insert(vm); }
    /// Drops all messages between two failure domains.
    void partitionDomains(unsigned first, unsigned second);
    void setTickInterval(std::chrono::milliseconds interval) { m_tickInterval = interval; }
    void setLogDown(bool down) { m_logDown = down; }
    /// Stores appended records without reporting that to the VM.
    void setDropAppendAnswers(bool drop) { m_dropAppendAnswers = drop; }
    /// Ends all faults and replaces dead VMs.
    void heal();

    unsigned vmCount() const { return static_cast<unsigned>(m_vms.size()); }
    bool alive(unsigned vm) const { return m_vms[vm].core != nullptr; }
    bool serving(unsigned vm) const;
    std::string issueName(unsigned vm);
    wall_time wall() const;
    std::size_t messages() const { return m_messages; }

    const std::vector<caller_answer>& answers() const { return m_answers; }
    unsigned startsOf(const job_key& key) const;

    /// Returns a description of the first violated invariant; empty if there is none.
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
        /// Number of log records that the VM has read.
        std::size_t recordsRead = 0;
        std::map<claims::caller_token, std::pair<job_key, std::uint64_t>> callers;
        std::string address() const { return id + "/" + std::to_string(incarnation); }
    };
    struct event {
        time_point at;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator>(const event& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
    };

    void start(unsigned vm);
    void publishFleet();
    void schedule(std::chrono::nanoseconds delay, std::function<void()> action);
    /// Runs `action` on the present incarnation of the VM, after the end of a pause. Drops `action` if the VM is dead or has
    /// been restarted by then.
    void onVm(unsigned vm, std::chrono::nanoseconds delay, std::function<void(claims::claim_core&)> action);
    void tick(unsigned vm);
    void carryOut(unsigned vm, const claims::outputs& out);
    void send(unsigned from, const claims::outgoing_message& message);
    void append(unsigned vm, const claims::claim_view& view);
    void readLog(unsigned vm);
    void handleDecision(unsigned vm, const claims::caller_decision& decision);
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
