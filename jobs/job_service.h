/// What callers can ask of any entry VM.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/error.h"
#include "jobs/job.h"

namespace coriandermount::jobs {

/// Every method may be called from any thread; completions are called once, from any thread.
class job_service {
public:
    virtual ~job_service() = default;

    /// Returns the configuration in force; version 0 before the first one.
    virtual std::shared_ptr<const queue_table> queues() const = 0;

    /// Completes once the job is stored, with `queued`; a job that is answered at its end completes with its final state.
    /// `timeLeft` is how long the caller waits.
    virtual void submit(
        job work, const queue_rules& rules, std::chrono::milliseconds timeLeft, std::function<void(result<job_state>)> done)
        = 0;
    virtual void cancel(const std::string& jobId, std::function<void(result<void>)> done) = 0;
    /// Fails with `job_unknown`, or with `owner_unknown` while nobody can be asked.
    virtual void state(const std::string& jobId, std::function<void(result<job_state>)> done) = 0;
    /// Accepted jobs of a queue of which no task has started; fails with `owner_unknown` while a cell can't tell.
    virtual result<std::uint32_t> pending(const std::string& queue) const = 0;

    /// Notes an answer to a caller; `problem` is nothing for a success.
    virtual void noteAnswer(std::optional<error_kind> problem, std::chrono::microseconds took) = 0;

    virtual bool isReady() const = 0;
    virtual bool isDraining() const = 0;
};

} // namespace coriandermount::jobs
