/// Routes jobs from any VM to the owner of their cell and tracks them until they end.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "cells/cell_owner.h"
#include "core/clock.h"
#include "jobs/record_codec.h"

namespace coriandermount::cells {

/// Owner that a job can be sent to.
struct run_target {
    /// Whether this VM owns the cell.
    bool local = false;
    /// Address of the owner, if another VM owns the cell.
    std::string address;
    /// Epoch of the owner.
    std::uint64_t epoch = 0;
};

/// Called once with a number of pending jobs.
using pending_completion = std::function<void(const result<std::uint32_t>&)>;

/// Calls to owners on other VMs.
class owner_link {
public:
    virtual ~owner_link() = default;

    /// Asks the owner at `address` to run a job. Completes with `owner_unknown` if the outcome of the job is unknown.
    virtual void run(const std::string& address, const jobs::run_request& request, job_completion done) = 0;

    /// Tells the owner at `address` that a request is withdrawn. There is no answer; an owner of an earlier build ignores the
    /// message.
    virtual void withdraw(
        const std::string& address, const std::string& jobId, const jobs::request_id& request, withdrawal_reason reason)
        = 0;

    /// Sends a keep-alive to the owner at `address`. Losses are not reported.
    virtual void sendKeepAlive(const std::string& address, const keep_alive& current) = 0;

    /// Asks the owner at `address` which jobs it runs for the cell `home`, and to refuse jobs from earlier ownership terms of
    /// that cell. Completes with an empty, incomplete report if the owner does not answer.
    virtual void queryLentJobs(const std::string& address, jobs::lender home, std::function<void(lent_report)> done) = 0;

    /// Asks the owner at `address` for its number of pending jobs of a queue. Fails with `owner_unknown` if the owner does not
    /// answer or does not know it.
    virtual void queryPending(const std::string& address, const std::string& queue, pending_completion done) = 0;
};

/// Why a job was abandoned by the VM that its caller waits at.
enum class abandon_reason {
    /// The caller stops waiting.
    deadline,
    /// No owner accepted the job early enough.
    not_accepted,
    /// The VM ends its orderly stop.
    stopping,
};

/// Number of values of `abandon_reason`.
inline constexpr std::size_t abandonReasonCount = static_cast<std::size_t>(abandon_reason::stopping) + 1;

/// Returns the name of a value, as used in logs and metrics.
std::string_view nameOf(abandon_reason value);

/// Sends each job to the current owner of the cell, again to every later owner, and answers its caller. Thread-safe.
class job_router {
public:
    using target_source = std::function<std::optional<run_target>()>;
    /// Returns whether the callers of a job are known to wait.
    using contact_source = std::function<bool(const std::string& jobId)>;

    /// All referenced arguments must outlive the router. `target` returns the current owner of the cell, empty if there is none.
    /// Callers of the router's jobs wait until it is told that they have left, unless `contact` says that they may not.
    job_router(const clock_source& clock, cell_owner& owner, owner_link& link, target_source target, contact_source contact = {});
    ~job_router();

    job_router(const job_router&) = delete;
    job_router& operator=(const job_router&) = delete;

    /// Runs a job that is not stored. Calls `done` once, at the latest when the job's time is over: with the final state, with
    /// an error that says that the job has not run, or with `owner_unknown`. Returns the number by which `withdraw` knows the
    /// request, never 0.
    std::uint64_t run(jobs::run_request request, job_completion done);

    /// Withdraws a request whose caller has left, and tells the owner. Does nothing if the request has ended; otherwise completes
    /// it with `cancelled_before_start` or `cancelled_while_running`.
    void withdraw(std::uint64_t number);
    /// Withdraws all requests for a job.
    void withdrawJob(const std::string& jobId, withdrawal_reason reason);

    /// Sends pending jobs to a new owner, keeps those alive that an owner has, and answers those whose time is over. To be called
    /// every few tens of milliseconds.
    void tick();

    /// Discards all pending jobs without calling their completions. Later owners are still told of withdrawn requests.
    void dropAll();

    /// Ends all jobs by `limit`, because the VM stops. Owners get no more time than that; a new job that needs more is refused
    /// with `shutting_down`; one that may have run and has not ended by then is withdrawn, and fails with
    /// `shutdown_limit_reached`.
    void endBy(time_point limit);

    /// Answers all pending jobs with an error that says whether they may have run.
    void stop();

    /// Returns the number of pending jobs.
    std::size_t waiting() const;
    /// Returns the number of withdrawn requests whose runs may still be at work if their owner was lost, so that the next one has
    /// to be told.
    std::size_t unsettledWithdrawals() const;
    /// Returns how many jobs were abandoned so far, indexed by `abandon_reason`.
    std::array<std::uint64_t, abandonReasonCount> abandonedJobs() const;

private:
    struct data;
    std::shared_ptr<data> m_data;
};

} // namespace coriandermount::cells
