/// Thread that attributes new faults and writes the journal to the platform's log.
#pragma once

#include <functional>
#include <memory>

#include "core/clock.h"
#include "event_log/batch_planner.h"
#include "platform/log.h"

namespace coriandermount::event_log {

/// Name of the journal's stream of one failure domain.
std::string journalStreamOf(const failure_domain_id& domain);

class stream_writer {
public:
    /// Everything given outlives the writer; the log's answers end before the writer is destroyed.
    stream_writer(const clock_source& clock, memory_journal& journal, platform::log& log, const failure_domain_id& domain,
        batch_options options);
    ~stream_writer();

    stream_writer(const stream_writer&) = delete;
    stream_writer& operator=(const stream_writer&) = delete;

    void start();

    /// Writes what is left, waits for the append for at most `limit`, and ends the thread.
    void stop(std::chrono::milliseconds limit);

    /// Counts from `since` on, the newest events of the journal included.
    fault_counts countsSince(wall_time since);

    /// Calls `use` with the evidence that has been collected so far.
    void withEvidence(const std::function<void(const evidence&)>& use);

    /// Adds what other VMs recorded, so that faults are attributed with it.
    void addEvidence(const std::vector<event>& events);

    std::uint64_t droppedFaults() const;
    std::uint64_t droppedDetail() const;
    std::uint64_t appendedBytes() const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::event_log
