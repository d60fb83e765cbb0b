/// Simulated fleet of entry VMs in several failure domains: the real code of cells in virtual time.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cells/cell_member.h"
#include "cells/cell_owner.h"
#include "cells/fleet_neighbors.h"
#include "cells/job_router.h"
#include "cells/orderly_stop.h"
#include "cells/vm_directory.h"
#include "jobs/job_intake.h"
#include "tests/fakes/memory_record_store.h"
#include "tests/fakes/virtual_workers.h"

namespace coriandermount::fakes {

/// Answer that a caller received.
struct recorded_answer {
    std::string jobId;
    result<jobs::job_state> answer;
    time_point at;
    /// VM that answered an unstored job; empty for other answers.
    std::string vm;
};

/// Fleet in virtual time with one cell in each failure domain. Not thread-safe.
class cell_fleet {
public:
    /// Starts `vms` VMs and `workers` workers of 16 cores in each of `domains` failure domains. With `hasEvacuations`, VMs give
    /// no start before they have read which domains are evacuated.
    cell_fleet(unsigned domains, unsigned vms, unsigned workers, bool hasEvacuations = false);
    ~cell_fleet();

    cell_fleet(const cell_fleet&) = delete;
    cell_fleet& operator=(const cell_fleet&) = delete;

    void runFor(std::chrono::milliseconds duration) { loop.runFor(duration); }

    /// Stops a VM without notice to the others, whose open calls from it break. `start` restarts it as a new incarnation.
    void kill(const std::string& vm);
    /// Starts a VM; does nothing if it is running.
    void start(const std::string& vm);
    /// Makes a VM hand over its cell and stop claiming ownership.
    void drain(const std::string& vm);
    bool isAlive(const std::string& vm) const { return m_vms.contains(vm); }
    /// Sets the fault of the record store that a VM sees from now on.
    void setStoreFault(const std::string& vm, store_fault fault)
    {
        m_disturbedAt[vm] = loop.now();
        timeline.note(fmt::format("{} gets store fault {}", vm, static_cast<int>(fault)));
        m_storeFaults[vm] = fault;
    }
    /// Removes a worker from the lists that owners read from now on, although the worker keeps running.
    void unlistWorker(const std::string& worker) { m_unlistedWorkers.insert(worker); }
    /// Lists all workers again.
    void listAllWorkers() { m_unlistedWorkers.clear(); }
    /// Limits the processor time of a VM, in thousandths of a core, from its next start on. Without a limit all work of a VM
    /// takes no time; with one, each message that it handles and each tick takes `messageCost` of a core, one after the other.
    void limitProcessor(const std::string& vm, std::uint32_t processorMillis) { m_processorMillis[vm] = processorMillis; }
    /// Processor time of one message.
    static constexpr std::chrono::microseconds messageCost { 100 };
    /// Starts an orderly stop of a VM, as an entry VM does it on SIGTERM; the VM is restarted `downtime` after its end.
    void restartOrderly(const std::string& vm, std::chrono::milliseconds downtime);
    /// Delays the calls that a VM makes and its answers to calls by `delay`.
    void setCallDelay(const std::string& vm, std::chrono::milliseconds delay) { m_callDelays[vm] = delay; }
    /// Sets whether all datagrams and calls between a VM and the others are lost.
    void setPartitioned(const std::string& vm, bool partitioned)
    {
        timeline.note(vm + (partitioned ? " is cut off" : " is in reach"));
        m_disturbedAt[vm] = loop.now();
        partitioned ? (void)m_partitioned.insert(vm) : (void)m_partitioned.erase(vm);
    }

    /// Freezes a VM: it does not run, and what arrives waits until `thaw`.
    void freeze(const std::string& vm);
    /// Lets a frozen VM run on. It handles what has arrived in the order of arrival.
    void thaw(const std::string& vm);

    /// Evacuates a domain, as operators do, until `endEvacuation`.
    void evacuate(unsigned domain);
    void endEvacuation(unsigned domain);
    /// Returns a message for each start order that a VM has sent to a worker of a domain later than the bound after the
    /// evacuation, without a disturbance of the VM or of its path to the store for `stableTime` before.
    const std::vector<std::string>& startsInEvacuatedDomains() const { return m_startsInEvacuatedDomains; }
    /// Number of start orders that were sent to the workers of a domain.
    std::size_t startsSent(unsigned domain) const;

    static constexpr std::chrono::milliseconds evacuationBound { 5000 };
    static constexpr std::chrono::milliseconds stableTime { 4000 };

    /// Delivers a heartbeat to a VM, as one that was garbled on its way.
    void deliver(const std::string& vm, const cells::heartbeat& garbled);

    /// Returns the VM that owns the cell of a domain; empty if there is none.
    std::string owner(unsigned domain) const;

    /// Submits a job at a VM: `tasks` tasks of 7 cores that run for `duration`. The answer is recorded in `answers`.
    void run(const std::string& vm, const std::string& jobId, std::uint32_t tasks, std::chrono::milliseconds duration,
        std::chrono::milliseconds timeLeft = std::chrono::milliseconds(10000));
    /// Closes the connection of the caller that last submitted an unstored job at a VM.
    void disconnectCaller(const std::string& vm, const std::string& jobId);
    /// Submits a stored job at a VM. Once the store has accepted the job, its id is recorded in `stored`.
    void store(const std::string& vm, const std::string& jobId, std::uint32_t tasks, std::chrono::milliseconds duration);
    /// Submits a stored job with the given step at a VM.
    void store(const std::string& vm, const std::string& jobId, const jobs::step& singleStep, std::chrono::milliseconds duration);
    /// Submits a stored job with the given steps, whose tasks run for `duration`, at a VM.
    void store(
        const std::string& vm, const std::string& jobId, std::vector<jobs::step> steps, std::chrono::milliseconds duration);
    /// Submits a stored job of one task in a queue at a VM.
    void storeIn(const std::string& queue, const std::string& vm, const std::string& jobId, std::chrono::milliseconds duration);
    /// Stores a job for the cell of `domain`, as a VM of another domain does.
    void storeFor(unsigned domain, const std::string& jobId, std::uint32_t tasks, std::chrono::milliseconds duration);
    /// Cancels a stored job at a VM.
    void cancel(const std::string& vm, const std::string& jobId);
    /// Returns the state of a job as the owner of the cell of `domain` reports it. Fails with `owner_unknown` if the cell has no
    /// owner.
    result<jobs::job_state> state(unsigned domain, const std::string& jobId) const;

    /// Queries the owner of the cell of `domain` for the state of a job. The answer is recorded in `answers`.
    void queryState(unsigned domain, const std::string& jobId);

    /// Asks a VM for the number of pending jobs of a queue in all cells.
    void countPending(const std::string& vm, const std::string& queue, cells::pending_completion done);

    /// Returns the counters of the cell owner on a VM.
    cells::cell_counters counterValues(const std::string& vm) const;

    static std::string vmName(unsigned domain, unsigned number);
    static std::string workerName(unsigned domain, unsigned number);

    virtual_loop loop;
    memory_record_store records { loop };
    virtual_workers workers { loop };
    /// What has happened to VMs, callers, runs and orders.
    event_timeline timeline { loop };
    /// Answers in the order of their arrival.
    std::vector<recorded_answer> answers;
    /// Called with each answer to an unstored job that reaches its caller, if set.
    std::function<void(const recorded_answer&)> onAnswer;
    /// Ids of the jobs that the store has accepted.
    std::vector<std::string> stored;

private:
    struct vm;

    jobs::accepted_job makeJob(
        const std::string& jobId, std::uint32_t tasks, std::chrono::milliseconds duration, bool answeredAtEnd);
    void schedule(const std::string& name);
    void continueStop(const std::string& name, const cells::orderly_stop& stop, std::chrono::milliseconds downtime);
    vm* reachable(const std::string& from, const std::string& to);
    /// Tells the owners that were called by a VM that these calls are broken.
    void breakCallsOf(const std::string& from);

    void noteStartSent(const std::string& vm, const cells::start_order& order);

    unsigned m_domains;
    bool m_hasEvacuations;
    std::map<unsigned, time_point> m_evacuatedAt;
    /// When a VM, or its path to the store or to other VMs, was last disturbed.
    std::map<std::string, time_point> m_disturbedAt;
    std::map<unsigned, std::size_t> m_startsSent;
    std::vector<std::string> m_startsInEvacuatedDomains;
    /// Must outlive the VMs, which answer calls while they are destroyed.
    std::map<std::string, std::chrono::milliseconds> m_callDelays;
    std::map<std::string, std::uint32_t> m_processorMillis;
    std::set<std::string> m_unlistedWorkers;
    std::map<std::string, std::shared_ptr<vm>> m_vms;
    std::map<std::string, store_fault> m_storeFaults;
    std::set<std::string> m_partitioned;
    std::uint64_t m_lastIncarnation = 0;
    /// Numbers of the last requests of callers at their routers, by VM and job.
    std::map<std::pair<std::string, std::string>, std::uint64_t> m_callerRequests;
    std::uint64_t m_lastSubmission = 0;
    /// Numbers of the last submissions of callers, by VM and job.
    std::map<std::pair<std::string, std::string>, std::uint64_t> m_submissions;
    /// Submissions whose callers have closed their connections, so that no answer reaches them.
    std::set<std::uint64_t> m_leftSubmissions;
    /// Call of a VM to run a job.
    struct run_call {
        std::string from;
        std::string address;
        std::string jobId;
        jobs::request_id request;
    };
    std::vector<run_call> m_runCalls;
};

} // namespace coriandermount::fakes
