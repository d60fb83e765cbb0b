/// Bounded in-memory journal of the events of one VM.
#pragma once

#include <memory>
#include <vector>

#include "core/clock.h"
#include "event_log/event.h"

namespace coriandermount::event_log {

/// Receives events. `record` may be called on any thread; it never fails, and holds a lock only for a copy.
class event_sink {
public:
    virtual ~event_sink() = default;

    /// Records one event. Time and sequence number are set by the journal.
    virtual void record(event entry) = 0;
};

/// Position of one reader in the journal: the last sequence number read, and the number of events appended by then.
struct journal_cursor {
    std::uint64_t faultSequence = 0;
    std::uint64_t faultsAppended = 0;
    std::uint64_t detailSequence = 0;
    std::uint64_t detailAppended = 0;
};

/// Events recorded since a reader's previous read. Detail events are those that report no fault.
struct unread_events {
    std::vector<event> faults;
    std::vector<event> detail;
    /// Events dropped before they were read, or left out because of the reader's limit.
    std::uint64_t missedFaults = 0;
    std::uint64_t missedDetail = 0;
};

/// Keeps the newest events in memory. Faults have a buffer of their own, so that detail events can't displace them. Thread-safe.
class memory_journal final : public event_sink {
public:
    /// `clock` has to outlive the journal. A quarter of `capacityBytes` is for faults.
    memory_journal(const clock_source& clock, vm_id vm, std::size_t capacityBytes);
    ~memory_journal() override;

    void record(event entry) override;

    /// Returns the events of one job, sorted by time.
    std::vector<event> eventsOf(const job_key& key) const;

    /// Returns all events from `since` on, sorted by time.
    std::vector<event> eventsSince(wall_time since) const;

    /// Returns the newest `maxEvents` faults from `since` on, oldest first.
    std::vector<event> faultsSince(wall_time since, std::size_t maxEvents) const;

    /// Returns the newest `maxEvents` detail events from `since` to `until`, both inclusive, oldest first.
    std::vector<event> detailBetween(wall_time since, wall_time until, std::size_t maxEvents) const;

    /// Returns the events after `cursor` and advances it; of the detail events only the newest `maxDetail`.
    unread_events readUnread(journal_cursor& cursor, std::size_t maxDetail) const;

    /// Returns the memory of both buffers.
    std::size_t usedBytes() const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

/// Sorts by time, then VM and sequence number, so that events of one VM with the same time keep the order of recording.
void sortByTime(std::vector<event>& events);

} // namespace coriandermount::event_log
