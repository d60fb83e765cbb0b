/// Chooses which journal events are written to the platform's log, and when.
#pragma once

#include <memory>
#include <string>

#include "event_log/fault_counter.h"
#include "event_log/journal.h"

namespace coriandermount::event_log {

struct batch_options {
    vm_id vm;
    /// Identifies the process lifetime of the VM, so that its batches differ from those before a restart.
    std::uint64_t incarnation = 0;
    /// Limit on the long-term average of all appended bytes.
    std::size_t bytesPerSecond = 2000;
    /// Maximum unused budget that accumulates for a burst.
    std::size_t burstBytes = 120000;
    std::size_t maxBatchBytes = 32000;
    /// Minimum time between two batches.
    std::chrono::milliseconds interval { 2000 };
    /// Limits on the queued events; the oldest are dropped first. Detail events are those that report no fault.
    std::size_t maxQueuedFaults = 4000;
    std::size_t maxQueuedDetail = 1000;
};

/// One record of the journal's stream, decoded.
struct batch {
    /// Unique per append; a batch that was appended twice has the same id in both records.
    std::string id;
    vm_id vm;
    std::uint64_t incarnation = 0;
    wall_time at {};
    /// Events that this VM dropped since the batch before.
    std::uint64_t droppedFaults = 0;
    std::uint64_t droppedDetail = 0;
    fault_counts counts;
    std::vector<event> events;
};

/// Decodes one record. Fails with `malformed_request`.
result<batch> decodeBatch(const std::string& text);

/// Builds batches within a byte budget: counts of faults first, then faults, then detail events. Pure state machine: the caller
/// passes the time and does the I/O. Not thread-safe.
class batch_planner {
public:
    explicit batch_planner(batch_options options);
    ~batch_planner();

    batch_planner(const batch_planner&) = delete;
    batch_planner& operator=(const batch_planner&) = delete;

    /// Queues events and counts for later batches; drops the oldest events beyond the limits.
    void enqueue(unread_events unread, const fault_counts& counts);

    /// Returns the record to append now, if a batch is due and the budget allows it. Returns nothing while an append is in
    /// flight, until `onAppended` is called.
    std::optional<std::string> nextBatch(time_point now, wall_time wallNow);

    /// Reports the end of the append in flight. If it is not confirmed, the record may or may not have been stored: the same
    /// batch is then sent again, and readers drop the duplicate by its id.
    void onAppended(bool confirmed, time_point now);

    /// Makes the next call of `nextBatch` ignore interval and budget, for a shutdown.
    void flushNext();

    /// Returns the number of faults dropped so far, including those that the journal dropped before they were read.
    std::uint64_t droppedFaults() const;

    /// Returns the number of detail events dropped so far, including those that the journal dropped before they were read.
    std::uint64_t droppedDetail() const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::event_log
