/// Entry VMs of several failure domains in virtual time, with the real decisions of cells.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cells/cell_member.h"
#include "cells/cell_owner.h"
#include "cells/fleet_neighbors.h"
#include "cells/job_router.h"
#include "cells/vm_directory.h"
#include "jobs/job_intake.h"
#include "tests/fakes/memory_record_store.h"
#include "tests/fakes/virtual_workers.h"

namespace coriandermount::fakes {

/// Outcome that a caller was told.
struct told_answer {
    std::string jobId;
    result<jobs::job_state> answer;
    time_point at;
};

class cell_fleet {
public:
    /// `vms` VMs and `workers` workers of 16 cores in each of `domains` failure domains.
    cell_fleet(unsigned domains, unsigned vms, unsigned workers);
    ~cell_fleet();

    cell_fleet(const cell_fleet&) = delete;
    cell_fleet& operator=(const cell_fleet&) = delete;

    void runFor(std::chrono::milliseconds duration) { loop.runFor(duration); }

    /// Kills a VM without a word; `start` gives it a new life.
    void kill(const std::string& vm);
    void start(const std::string& vm);
    void drain(const std::string& vm);
    bool isAlive(const std::string& vm) const { return m_vms.contains(vm); }
    void setStoreFault(const std::string& vm, store_fault fault) { m_storeFaults[vm] = fault; }
    /// The worker is not in the lists that owners read from now on, although it runs on.
    void unlistWorker(const std::string& worker) { m_hiddenWorkers.insert(worker); }
    /// Calls that this VM makes arrive so much later, and so do its answers to calls.
    void setCallDelay(const std::string& vm, std::chrono::milliseconds delay) { m_callDelays[vm] = delay; }
    /// Datagrams and calls between this VM and the others are lost.
    void setPartitioned(const std::string& vm, bool cut) { cut ? (void)m_cut.insert(vm) : (void)m_cut.erase(vm); }

    /// VM that owns the cell of a domain; empty for none.
    std::string owner(unsigned domain) const;

    /// Hands a job in at a VM: `tasks` tasks of 7 cores that run for `duration`. The answer is recorded in `answers`.
    void run(const std::string& vm, const std::string& jobId, std::uint32_t tasks, std::chrono::milliseconds duration,
        std::chrono::milliseconds timeLeft = std::chrono::milliseconds(10000));
    /// Stores a job at a VM. Returns whether the store has taken it, once time has passed.
    void store(const std::string& vm, const std::string& jobId, std::uint32_t tasks, std::chrono::milliseconds duration);
    /// The same with a step of one's own.
    void store(const std::string& vm, const std::string& jobId, const jobs::step& only, std::chrono::milliseconds duration);
    /// A VM of another domain stores a job for the cell of `domain`.
    void storeFor(unsigned domain, const std::string& jobId, std::uint32_t tasks, std::chrono::milliseconds duration);
    void cancel(const std::string& vm, const std::string& jobId);
    /// State as the owner of the job's cell tells it.
    result<jobs::job_state> state(unsigned domain, const std::string& jobId) const;

    /// Asks the owner of the job's cell for its state; the answer is recorded in `answers`.
    void queryState(unsigned domain, const std::string& jobId);

    cells::cell_figures figures(const std::string& vm) const;

    static std::string vmName(unsigned domain, unsigned number);
    static std::string workerName(unsigned domain, unsigned number);

    virtual_loop loop;
    memory_record_store records { loop };
    virtual_workers workers { loop };
    std::vector<told_answer> answers;
    std::vector<std::string> stored;

private:
    struct vm;

    jobs::accepted_job makeJob(
        const std::string& jobId, std::uint32_t tasks, std::chrono::milliseconds duration, bool answeredAtEnd);
    void schedule(const std::string& name);
    vm* reachable(const std::string& from, const std::string& to);

    unsigned m_domains;
    /// Outlives the VMs, which answer calls as they end.
    std::map<std::string, std::chrono::milliseconds> m_callDelays;
    std::set<std::string> m_hiddenWorkers;
    std::map<std::string, std::shared_ptr<vm>> m_vms;
    std::map<std::string, store_fault> m_storeFaults;
    std::set<std::string> m_cut;
    std::uint64_t m_lastBoot = 0;
};

} // namespace coriandermount::fakes
