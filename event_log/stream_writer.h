/// Writes the journal to the platform's log in the background, and counts and attributes its faults.
#pragma once

#include <functional>
#include <memory>

#include "core/clock.h"
#include "event_log/batch_planner.h"
#include "platform/log.h"

namespace coriandermount::event_log {

/// Returns the name of the log stream that holds the journals of one failure domain.
std::string journalStreamOf(const failure_domain_id& domain);

/// Owns the thread that reads the journal every 250 ms, counts its faults and appends batches to the log. The public functions
/// may be called on any thread.
class stream_writer {
public:
    /// `clock`, `journal` and `log` have to outlive the writer. The log must not call a completion after the writer's
    /// destruction.
    stream_writer(const clock_source& clock, memory_journal& journal, platform::log& log, const failure_domain_id& domain,
        batch_options options);
    ~stream_writer();

    stream_writer(const stream_writer&) = delete;
    stream_writer& operator=(const stream_writer&) = delete;

    /// Starts the thread.
    void start();

    /// Ends the thread. Unless `limit` is 0, waits for the append in flight, appends one more batch and waits for that, each for
    /// at most `limit`. Later calls have no effect.
    void stop(std::chrono::milliseconds limit);

    /// Returns the counts of faults from `since` on, after reading the newest events of the journal.
    fault_counts countsSince(wall_time since);

    /// Reads the newest events of the journal and calls `visit` with the evidence collected so far. The writer's lock is held
    /// meanwhile, so `visit` must not call the writer.
    void withEvidence(const std::function<void(const evidence&)>& visit);

    /// Adds events from the log as evidence for the attribution of faults, without counting them.
    void addEvidence(const std::vector<event>& events);

    /// Returns the number of faults that were dropped before they were written to the log.
    std::uint64_t droppedFaults() const;

    /// Returns the number of detail events that were dropped before they were written to the log.
    std::uint64_t droppedDetail() const;

    /// Returns the number of bytes passed to the log so far, repeated appends included.
    std::uint64_t appendedBytes() const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::event_log
