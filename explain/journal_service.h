/// The journal's threads and peer method, as one part of a node.
#pragma once

#include <memory>

#include "explain/aggregator.h"

namespace coriandermount::explain {

/// What the service works with; everything outlives it.
struct journal_service_dependencies {
    const clock_source& clock;
    blackboard& board;
    event_log::memory_journal& journal;
    platform::log& log;
    peers::peer_link& peers;
    vm_id vm;
    failure_domain_id domain;
    std::size_t logBytesPerSecond = 0;
};

class journal_service {
public:
    /// Registers the peer method with `offered`.
    journal_service(const journal_service_dependencies& parts, peers::peer_service& offered);
    ~journal_service();

    journal_service(const journal_service&) = delete;
    journal_service& operator=(const journal_service&) = delete;

    void start();

    /// Writes the rest of the journal to the log, for at most `limit`; called before `stop` at a planned stop.
    void flush(std::chrono::milliseconds limit);

    void stop();

    aggregator& journalAggregator();
    event_log::stream_writer& writer();

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::explain
