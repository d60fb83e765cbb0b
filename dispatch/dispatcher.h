/// Thread that feeds events to the scheduling engine and executes the actions that the engine returns.
#pragma once

#include <functional>
#include <memory>

#include "blackboard/blackboard.h"
#include "claims/claim_service.h"
#include "core/clock.h"
#include "dispatch/engine.h"
#include "event_log/journal.h"
#include "metrics/metrics.h"
#include "workers/worker_link.h"

namespace coriandermount::dispatch {

/// Services that a dispatcher uses. All of them must outlive the dispatcher.
struct dispatcher_dependencies {
    const clock_source& clock;
    blackboard& board;
    claims::claim_service& claims;
    workers::worker_link& workers;
    event_log::event_sink& journal;
    metrics::registry& metrics;
    vm_id vm;
};

/// Accepts jobs, claims their keys and runs their tasks on workers. All decisions are made by an `engine` on one thread.
/// `submit`, `post` and `openJobs` may be called from any thread.
class dispatcher {
public:
    /// Receives the answer to a job. Runs on the thread that produced the answer and must not block.
    using completion = std::function<void(const job_answer&)>;

    /// Starts the thread.
    dispatcher(dispatcher_dependencies dependencies, engine_options options);
    /// Calls `stop`.
    ~dispatcher();

    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;

    /// Claims the key of the job, runs its tasks, and calls `done` once with the complete answer. A refusal or failure is also
    /// reported through the answer.
    void submit(const std::shared_ptr<const job_request>& job, completion done);

    /// Queues an event, such as a new worker table, for the engine. Returns without waiting for its effects.
    void post(event input);

    /// Stops the thread and waits for it to end. Events that are posted later are dropped, so the answers to open jobs are never
    /// delivered. Must be called before the worker link is destroyed, whose callbacks post events.
    void stop();

    /// Returns the number of submitted jobs that have not been answered yet.
    std::size_t openJobs() const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::dispatch
