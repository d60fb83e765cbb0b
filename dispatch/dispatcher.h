/// Runs the engine on a thread of its own and carries out its actions.
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

/// What the dispatcher works with; everything outlives it.
struct dispatcher_dependencies {
    const clock_source& clock;
    blackboard& board;
    claims::claim_service& claims;
    workers::worker_link& workers;
    event_log::event_sink& journal;
    metrics::registry& metrics;
    vm_id vm;
};

class dispatcher {
public:
    using completion = std::function<void(const job_answer&)>;

    dispatcher(dispatcher_dependencies dependencies, engine_options options);
    ~dispatcher();

    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;

    /// Claims the job's key, runs the job, and calls `done` once with the whole answer.
    void submit(const std::shared_ptr<const job_request>& job, completion done);

    /// Hands an event of a controller to the engine.
    void post(event input);

    /// Ends the thread; later events are dropped. Called before the worker link is destroyed.
    void stop();

    /// Number of jobs whose answer is still awaited.
    std::size_t openJobs() const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::dispatch
