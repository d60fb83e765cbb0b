/// Interface to the operations that every entry VM offers to callers.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/error.h"
#include "jobs/job.h"

namespace coriandermount::jobs {

/// Submits, cancels and queries jobs. All methods may be called from any thread; completions are called exactly once, from any
/// thread.
class job_service {
public:
    virtual ~job_service() = default;

    /// Returns the queues in force; a table of version 0 before the first configuration.
    virtual std::shared_ptr<const queue_table> queues() const = 0;

    /// Keeps a request of `bytes` bytes that arrived before the first configuration, and calls `resume` once the configuration is
    /// loaded or the request has waited for too long. Returns false if too many requests wait already.
    virtual bool holdUntilConfigured(std::size_t bytes, std::function<void()> resume) = 0;

    /// Submits a job. Completes with `queued` when the job is stored; a job with `answeredAtEnd` completes with its final state
    /// instead. `timeLeft` is the time for which the caller still waits. Returns a number for `withdraw`, or 0 for a job that
    /// cannot be withdrawn because it is stored.
    virtual std::uint64_t submit(
        job work, const queue_rules& rules, std::chrono::milliseconds timeLeft, std::function<void(result<job_state>)> done)
        = 0;
    /// Withdraws a submission whose caller has left. Does nothing if it has been answered.
    virtual void withdraw(std::uint64_t submission) = 0;
    /// Cancels a job. Completes when the cancellation is stored.
    virtual void cancel(const std::string& jobId, std::function<void(result<void>)> done) = 0;
    /// Queries the state of a job. Fails with `job_unknown`, or with `owner_unknown` when no owner can be reached.
    virtual void state(const std::string& jobId, std::function<void(result<job_state>)> done) = 0;
    /// Queries the number of accepted jobs of a queue of which no task has started. Fails with `owner_unknown` when the number is
    /// not available for a cell.
    virtual void pending(const std::string& queue, std::function<void(const result<std::uint32_t>&)> done) = 0;

    /// Counts an answer to a caller for metrics; `problem` is empty for a success, and `callerTimeout` is the time for which the
    /// caller was ready to wait.
    virtual void noteAnswer(
        std::optional<error_kind> problem, std::chrono::microseconds took, std::chrono::milliseconds callerTimeout)
        = 0;

    /// Returns whether the VM can serve callers.
    virtual bool isReady() const = 0;
    /// Returns whether the VM is draining before it stops.
    virtual bool isDraining() const = 0;
};

} // namespace coriandermount::jobs
