/// Bounded record of events on one VM.
#pragma once

#include <memory>
#include <vector>

#include "core/clock.h"
#include "event_log/event.h"

namespace coriandermount::event_log {

/// Takes events; never blocks for long and never fails.
class event_sink {
public:
    virtual ~event_sink() = default;

    virtual void record(event entry) = 0;
};

/// How far a reader has read the journal.
struct journal_cursor {
    std::uint64_t faultSequence = 0;
    std::uint64_t faultsAppended = 0;
    std::uint64_t detailSequence = 0;
    std::uint64_t detailAppended = 0;
};

/// What was recorded since the reader's last visit.
struct unread_events {
    std::vector<event> faults;
    std::vector<event> detail;
    /// Events that were dropped before they could be read, or left out because there were more than asked for.
    std::uint64_t missedFaults = 0;
    std::uint64_t missedDetail = 0;
};

/// Keeps the newest events in memory; faults apart from the rest, so that detail does not push them out.
class memory_journal final : public event_sink {
public:
    memory_journal(const clock_source& clock, vm_id vm, std::size_t capacityBytes);
    ~memory_journal() override;

    void record(event entry) override;

    /// Returns the events of one job, oldest first.
    std::vector<event> eventsOf(const job_key& key) const;

    /// Returns all events from `since` on, oldest first.
    std::vector<event> eventsSince(wall_time since) const;

    /// Returns the newest `most` faults from `since` on, oldest first.
    std::vector<event> faultsSince(wall_time since, std::size_t most) const;

    /// Returns the newest `most` events of detail in a period, oldest first.
    std::vector<event> detailBetween(wall_time since, wall_time until, std::size_t most) const;

    /// Returns what is new to the reader and moves its cursor; of the detail only the newest `maxDetail` events.
    unread_events readUnread(journal_cursor& cursor, std::size_t maxDetail) const;

    std::size_t usedBytes() const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

/// Sorts by time; events of one VM stay in the order in which they were recorded.
void sortByTime(std::vector<event>& events);

} // namespace coriandermount::event_log
