/// Samples the state of the VM for gauges, status page and `top`.
#pragma once

#include <functional>
#include <memory>

#include "event_log/journal.h"
#include "event_log/stream_writer.h"
#include "explain/node_status.h"
#include "metrics/metrics.h"

namespace coriandermount::explain {

/// What the service works with; everything outlives it.
struct status_service_dependencies {
    const clock_source& clock;
    blackboard& board;
    event_log::memory_journal& journal;
    event_log::stream_writer& writer;
    metrics::registry& metrics;
    vm_id vm;
    std::function<std::size_t()> openJobs;
};

class status_service {
public:
    explicit status_service(status_service_dependencies parts);
    ~status_service();

    status_service(const status_service&) = delete;
    status_service& operator=(const status_service&) = delete;

    void start();
    void stop();

    node_status current();

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::explain
