/// Decides what of the journal is written to the log, and when.
#pragma once

#include <memory>
#include <string>

#include "event_log/fault_counter.h"
#include "event_log/journal.h"

namespace coriandermount::event_log {

struct batch_options {
    vm_id vm;
    /// Tells the batches of a restarted VM from earlier ones.
    std::uint64_t incarnation = 0;
    /// Long-term average of everything that is appended.
    std::size_t bytesPerSecond = 2000;
    /// Unused budget that may be saved up for a burst.
    std::size_t burstBytes = 120000;
    std::size_t maxBatchBytes = 32000;
    std::chrono::milliseconds interval { 2000 };
    /// Events that may wait for the log; the oldest are dropped first.
    std::size_t maxQueuedFaults = 4000;
    std::size_t maxQueuedDetail = 1000;
};

/// One record of the journal's stream.
struct batch {
    std::string id;
    vm_id vm;
    std::uint64_t incarnation = 0;
    wall_time at {};
    std::uint64_t droppedFaults = 0;
    std::uint64_t droppedDetail = 0;
    fault_counts counts;
    std::vector<event> events;
};

/// Fails with `malformed_request`.
result<batch> decodeBatch(const std::string& text);

/// Counts go first, then faults, then detail as far as the budget allows. State machine without clock, thread or socket.
class batch_planner {
public:
    explicit batch_planner(batch_options options);
    ~batch_planner();

    batch_planner(const batch_planner&) = delete;
    batch_planner& operator=(const batch_planner&) = delete;

    void enqueue(unread_events news, const fault_counts& counts);

    /// Returns the text to append now, if any. Until `onAppended`, further calls return nothing.
    std::optional<std::string> nextBatch(time_point now, wall_time wallNow);

    /// `known` is false when the append may or may not have taken effect; the same batch is then sent again and recognised
    /// by its id when it is read back.
    void onAppended(bool known, time_point now);

    /// Lets the next batch go out at once, for a shutdown.
    void flushNext();

    std::uint64_t droppedFaults() const;
    std::uint64_t droppedDetail() const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::event_log
