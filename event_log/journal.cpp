#include "event_log/journal.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <tuple>

#include "event_log/event_buffer.h"

namespace coriandermount::event_log {

namespace {

    /// One part in this many of the memory is reserved for faults.
    constexpr std::size_t faultMemoryDivisor = 4;
    /// Sequence numbers start at the VM's start time in ms, shifted by this many bits. They stay above those of an earlier
    /// process while a VM records fewer than 2^20 (a million) events per millisecond.
    constexpr unsigned sequenceBitsPerMillisecond = 20;

    /// Event buffer with the mutex that guards it.
    struct locked_buffer {
        mutable std::mutex mutex;
        event_buffer events;

        explicit locked_buffer(std::size_t capacityBytes)
            : events(capacityBytes)
        {
        }

        event_buffer::view view() const
        {
            const std::scoped_lock lock(mutex);
            return events.snapshot();
        }
    };

    /// Appends the unread events of one buffer to `found` and returns the number of events that were missed.
    std::uint64_t readBuffer(const locked_buffer& source, std::uint64_t& sequence, std::uint64_t& lastAppended,
        std::size_t maxEvents, std::vector<event>& found)
    {
        const auto view = source.view();
        event_filter filter;
        filter.afterSequence = sequence;
        filter.maxEvents = maxEvents;
        scan(view, filter, found);
        const std::uint64_t missed = view.appended - lastAppended - found.size();
        lastAppended = view.appended;
        if (!view.chunks.empty())
            sequence = std::max(sequence, view.chunks.back().lastSequence);
        return missed;
    }

} // namespace

struct memory_journal::data {
    const clock_source& clock;
    vm_id vm;
    std::atomic<std::uint64_t> nextSequence;
    locked_buffer faults;
    locked_buffer detail;

    data(const clock_source& clockSource, vm_id ownVm, std::size_t capacityBytes)
        : clock(clockSource)
        , vm(std::move(ownVm))
        , nextSequence(static_cast<std::uint64_t>(clockSource.wallNow().time_since_epoch().count()) << sequenceBitsPerMillisecond)
        , faults(capacityBytes / faultMemoryDivisor)
        , detail(capacityBytes - capacityBytes / faultMemoryDivisor)
    {
    }

    std::vector<event> collect(const event_filter& filter) const
    {
        std::vector<event> found;
        scan(faults.view(), filter, found);
        scan(detail.view(), filter, found);
        for (auto& entry : found)
            entry.vm = vm;
        sortByTime(found);
        return found;
    }
};

memory_journal::memory_journal(const clock_source& clock, vm_id vm, std::size_t capacityBytes)
    : m_data(std::make_unique<data>(clock, std::move(vm), capacityBytes))
{
}

memory_journal::~memory_journal() = default;

void memory_journal::record(event entry)
{
    entry.at = m_data->clock.wallNow();
    auto& target = isFault(entry) ? m_data->faults : m_data->detail;
    const std::scoped_lock lock(target.mutex);
    // The number is taken under the lock, so that each buffer is ordered by sequence number.
    entry.sequence = m_data->nextSequence.fetch_add(1, std::memory_order_relaxed) + 1;
    target.events.append(entry);
}

std::vector<event> memory_journal::eventsOf(const job_key& key) const
{
    event_filter filter;
    filter.job = &key;
    return m_data->collect(filter);
}

std::vector<event> memory_journal::eventsSince(wall_time since) const
{
    event_filter filter;
    filter.since = since;
    return m_data->collect(filter);
}

std::vector<event> memory_journal::faultsSince(wall_time since, std::size_t maxEvents) const
{
    event_filter filter;
    filter.since = since;
    filter.maxEvents = maxEvents;
    std::vector<event> found;
    scan(m_data->faults.view(), filter, found);
    for (auto& entry : found)
        entry.vm = m_data->vm;
    return found;
}

std::vector<event> memory_journal::detailBetween(wall_time since, wall_time until, std::size_t maxEvents) const
{
    event_filter filter;
    filter.since = since;
    filter.until = until;
    filter.maxEvents = maxEvents;
    std::vector<event> found;
    scan(m_data->detail.view(), filter, found);
    for (auto& entry : found)
        entry.vm = m_data->vm;
    return found;
}

unread_events memory_journal::readUnread(journal_cursor& cursor, std::size_t maxDetail) const
{
    unread_events unread;
    unread.missedFaults = readBuffer(m_data->faults, cursor.faultSequence, cursor.faultsAppended, SIZE_MAX, unread.faults);
    unread.missedDetail = readBuffer(m_data->detail, cursor.detailSequence, cursor.detailAppended, maxDetail, unread.detail);
    for (auto* events : { &unread.faults, &unread.detail }) {
        for (auto& entry : *events)
            entry.vm = m_data->vm;
    }
    return unread;
}

std::size_t memory_journal::usedBytes() const
{
    std::size_t bytes = 0;
    for (const auto* buffer : { &m_data->faults, &m_data->detail }) {
        const std::scoped_lock lock(buffer->mutex);
        bytes += buffer->events.usedBytes();
    }
    return bytes;
}

void sortByTime(std::vector<event>& events)
{
    std::sort(events.begin(), events.end(), [](const event& left, const event& right) {
        return std::tie(left.at, left.vm, left.sequence) < std::tie(right.at, right.vm, right.sequence);
    });
}

} // namespace coriandermount::event_log
