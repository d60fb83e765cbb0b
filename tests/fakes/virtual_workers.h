/// Workers of the platform in virtual time: leases, tokens, attempts, ends that are listed until they are acknowledged.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "cells/worker_link.h"
#include "tests/fakes/virtual_loop.h"

namespace coriandermount::fakes {

/// What a worker does instead of its work.
struct worker_faults {
    /// Neither orders nor answers arrive.
    bool cutOff = false;
    bool failsAll = false;
    bool hangs = false;
    /// Orders are carried out late and not answered.
    std::chrono::milliseconds late { 0 };
};

/// One run of one task, as the worker saw it.
struct seen_run {
    cells::task_key task;
    worker_id worker;
    std::uint64_t attempt = 0;
    time_point start;
    std::optional<time_point> end;
    bool done = false;
};

class virtual_workers {
public:
    explicit virtual_workers(virtual_loop& loop)
        : m_loop(loop)
    {
    }

    /// `speed` divides run times; the payload of a job is its run time in milliseconds.
    cells::worker_registration add(const std::string& id, const std::string& domain, std::int64_t cpuMillis);
    worker_faults& faults(const std::string& id) { return m_workers.at(id).faults; }
    /// Ends everything and begins a new life at the same address.
    cells::worker_registration restart(const std::string& id);

    std::vector<cells::worker_registration> registrations(const std::string& domain) const;

    void start(
        const worker_id& id, const cells::start_order& order, const cells::worker_link::completion<cells::order_answer>& done);
    void stop(
        const worker_id& id, const cells::stop_order& order, const cells::worker_link::completion<cells::order_answer>& done);
    void poll(
        const worker_id& id, const cells::poll_order& order, const cells::worker_link::completion<cells::poll_answer>& done);

    const std::vector<seen_run>& runs() const { return m_runs; }
    /// Broken promises: two runs of one task at a time, starts above the capacity.
    const std::vector<std::string>& violations() const { return m_violations; }

private:
    struct active_run {
        std::uint64_t attempt = 0;
        std::size_t index = 0;
        std::int64_t cpuMillis = 0;
    };
    struct worker {
        cells::worker_registration registration;
        worker_faults faults;
        time_point bootTime;
        std::uint64_t life = 0;
        cells::fencing_token token = 0;
        time_point leaseEnd;
        std::map<cells::task_key, active_run> running;
        std::map<cells::task_key, std::uint64_t> highest;
        std::vector<cells::ended_task> ended;
        std::uint64_t lastEnd = 0;
    };

    int percentOf(const seen_run& run, bool hangs) const;
    cells::worker_time clockOf(const worker& current) const;
    tl::expected<cells::order_answer, cells::order_failure> carryOut(worker& current, const cells::start_order& order);
    void finish(worker& current, const cells::task_key& task, cells::run_end_reason endReason);
    void checkLease(worker& current);
    void extend(worker& current, cells::worker_time until);
    void noteStart(worker& current, const cells::start_order& order);

    virtual_loop& m_loop;
    std::map<std::string, worker> m_workers;
    std::vector<seen_run> m_runs;
    std::vector<std::string> m_violations;
};

} // namespace coriandermount::fakes
