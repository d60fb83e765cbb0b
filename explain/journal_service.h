/// Groups the journal's threads and its peer method into one subsystem of a node.
#pragma once

#include <memory>

#include "explain/aggregator.h"

namespace coriandermount::explain {

/// Objects that the service uses. All references have to outlive it.
struct journal_service_dependencies {
    const clock_source& clock;
    blackboard& board;
    event_log::memory_journal& journal;
    platform::log& log;
    peers::peer_link& peers;
    vm_id vm;
    failure_domain_id domain;
    /// Budget for writing the journal to the log.
    std::size_t logBytesPerSecond = 0;
};

/// Owns the stream writer and the aggregator.
class journal_service {
public:
    /// Registers the peer method with `methods`, which must not call it after the service's destruction.
    journal_service(const journal_service_dependencies& dependencies, peers::peer_service& methods);
    ~journal_service();

    journal_service(const journal_service&) = delete;
    journal_service& operator=(const journal_service&) = delete;

    /// Starts the threads.
    void start();

    /// Writes the rest of the journal to the log and ends the writer's thread; each of its two waits takes at most `limit`. To be
    /// called before `stop` in a planned shutdown.
    void flush(std::chrono::milliseconds limit);

    /// Ends the threads without writing the rest of the journal.
    void stop();

    /// Returns the aggregator; valid as long as the service.
    aggregator& journalAggregator();

    /// Returns the stream writer; valid as long as the service.
    event_log::stream_writer& writer();

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::explain
