/// Brings jobs to the owner of their cell, from any VM, and holds those that wait for their end.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "cells/cell_owner.h"
#include "core/clock.h"
#include "jobs/record_codec.h"

namespace coriandermount::cells {

/// Where a job can be run now.
struct run_target {
    /// This VM owns the cell.
    bool local = false;
    /// Address of the owner, if it is another VM.
    std::string address;
    std::uint64_t epoch = 0;
};

/// Calls to owners on other VMs.
class owner_link {
public:
    virtual ~owner_link() = default;

    /// Asks the owner at `address` to run a job; completes with `owner_unknown` when nothing is known of its fate.
    virtual void run(const std::string& address, const jobs::run_request& request, job_completion done) = 0;

    /// Asks the owner at `address` which jobs it runs for `home`, and to take none from earlier terms of it; completes with
    /// nothing when it does not answer or does not know all its runs.
    virtual void queryLentJobs(
        const std::string& address, jobs::lender home, std::function<void(std::optional<std::vector<std::string>>)> done)
        = 0;
};

/// Every method may be called from any thread.
class job_router {
public:
    using target_source = std::function<std::optional<run_target>()>;

    /// All arguments outlive the router.
    job_router(const clock_source& clock, cell_owner& owner, owner_link& link, target_source target);
    ~job_router();

    job_router(const job_router&) = delete;
    job_router& operator=(const job_router&) = delete;

    /// Runs a job that is not stored. `done` is called once, when its time is over at the latest: with the final state, with an
    /// error that tells that it has not run, or with `owner_unknown`.
    void run(jobs::run_request request, job_completion done);

    /// Hands jobs to a new owner, and answers those whose time is up. Called every few tens of milliseconds.
    void tick();

    /// Drops all jobs that still wait, without an answer.
    void forget();

    /// Answers all jobs that still wait, with what is known of them.
    void stop();

    std::size_t waiting() const;

private:
    struct data;
    std::shared_ptr<data> m_data;
};

} // namespace coriandermount::cells
