#include "event_log/journal.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <tuple>

#include "event_log/event_buffer.h"

namespace coriandermount::event_log {

namespace {

    /// Part of the memory that is kept for faults.
    constexpr std::size_t faultDivisor = 4;
    /// Leaves room for a million events per millisecond of a VM's life.
    constexpr unsigned sequenceBitsPerMillisecond = 20;

    /// One buffer with the lock of its writers.
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

    /// Reads what is new in one buffer; returns how many events were missed.
    std::uint64_t readBuffer(
        const locked_buffer& source, std::uint64_t& sequence, std::uint64_t& passed, std::size_t most, std::vector<event>& found)
    {
        const auto view = source.view();
        event_filter filter;
        filter.afterSequence = sequence;
        filter.newest = most;
        scan(view, filter, found);
        const std::uint64_t missed = view.appended - passed - found.size();
        passed = view.appended;
        if (!view.parts.empty())
            sequence = std::max(sequence, view.parts.back().lastSequence);
        return missed;
    }

} // namespace

struct memory_journal::data {
    const clock_source& clock;
    vm_id vm;
    std::atomic<std::uint64_t> nextSequence;
    locked_buffer faults;
    locked_buffer detail;

    data(const clock_source& givenClock, vm_id givenVm, std::size_t capacityBytes)
        : clock(givenClock)
        , vm(std::move(givenVm))
        , nextSequence(static_cast<std::uint64_t>(givenClock.wallNow().time_since_epoch().count()) << sequenceBitsPerMillisecond)
        , faults(capacityBytes / faultDivisor)
        , detail(capacityBytes - capacityBytes / faultDivisor)
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
    // Numbered under the lock, so that each buffer is in the order of its numbers.
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

std::vector<event> memory_journal::faultsSince(wall_time since, std::size_t most) const
{
    event_filter filter;
    filter.since = since;
    filter.newest = most;
    std::vector<event> found;
    scan(m_data->faults.view(), filter, found);
    for (auto& entry : found)
        entry.vm = m_data->vm;
    return found;
}

std::vector<event> memory_journal::detailBetween(wall_time since, wall_time until, std::size_t most) const
{
    event_filter filter;
    filter.since = since;
    filter.until = until;
    filter.newest = most;
    std::vector<event> found;
    scan(m_data->detail.view(), filter, found);
    for (auto& entry : found)
        entry.vm = m_data->vm;
    return found;
}

unread_events memory_journal::readUnread(journal_cursor& cursor, std::size_t maxDetail) const
{
    unread_events news;
    news.missedFaults = readBuffer(m_data->faults, cursor.faultSequence, cursor.faultsAppended, SIZE_MAX, news.faults);
    news.missedDetail = readBuffer(m_data->detail, cursor.detailSequence, cursor.detailAppended, maxDetail, news.detail);
    for (auto* events : { &news.faults, &news.detail }) {
        for (auto& entry : *events)
            entry.vm = m_data->vm;
    }
    return news;
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
