/// Samples the status of the VM for the gauges, the status page and the command `top`.
#pragma once

#include <functional>
#include <memory>

#include "event_log/journal.h"
#include "event_log/stream_writer.h"
#include "explain/node_status.h"
#include "metrics/metrics.h"

namespace coriandermount::explain {

/// Objects that the service uses. All references have to outlive it.
struct status_service_dependencies {
    const clock_source& clock;
    blackboard& board;
    event_log::memory_journal& journal;
    event_log::stream_writer& writer;
    metrics::registry& metrics;
    vm_id vm;
    /// Returns the number of jobs without an answer; called on any thread.
    std::function<std::size_t()> openJobs;
};

/// Owns the thread that samples the activity and sets the gauges every 200 ms. The public functions may be called on any thread.
class status_service {
public:
    explicit status_service(status_service_dependencies dependencies);
    ~status_service();

    status_service(const status_service&) = delete;
    status_service& operator=(const status_service&) = delete;

    /// Starts the thread.
    void start();

    /// Ends the thread.
    void stop();

    /// Returns the current status.
    node_status current();

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::explain
