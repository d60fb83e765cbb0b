#include "jobs/record_tail.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <set>
#include <thread>

#include <fmt/format.h>

#include "core/log.h"

namespace coriandermount::jobs {

namespace {

    /// Time for which the store waits for a record before it answers a read with none.
    constexpr std::chrono::milliseconds maxReadWait { 2000 };
    /// Deducted from `maxReadWait` because the store's clock may run faster than the own one.
    constexpr std::chrono::milliseconds waitClockMargin { 100 };
    /// Delay after a failed read; doubles with each failure up to `maxRetryDelay`.
    constexpr std::chrono::milliseconds initialRetryDelay { 60 };
    constexpr std::chrono::milliseconds maxRetryDelay { 500 };

} // namespace

struct record_tail::data : std::enable_shared_from_this<record_tail::data> {
    record_store& store;
    const clock_source& clock;
    record_stream stream;
    /// Listener, kept alive during calls; empty if its owner keeps it alive until the tail is destroyed.
    std::optional<std::weak_ptr<record_listener>> sharedListener;
    record_listener* listener = nullptr;
    std::chrono::milliseconds readInterval;

    std::mutex mutex;
    bool running = false;
    bool waiting = false;
    /// Incremented by `start` and `stop`; answers to reads of an earlier generation are ignored.
    std::uint64_t generation = 0;
    bool needsSnapshot = true;
    std::uint64_t next = 0;
    std::chrono::milliseconds retryDelay { initialRetryDelay };
    time_point retryAt {};
    /// Time of the first failure since the last successful read.
    std::optional<time_point> failingSince;
    /// Threads that are calling the listener.
    std::multiset<std::thread::id> delivering;
    std::condition_variable delivered;

    data(record_store& target, const clock_source& time, record_stream source, std::chrono::milliseconds interval)
        : store(target)
        , clock(time)
        , stream(std::move(source))
        , readInterval(interval)
    {
    }

    void sendRead(std::uint64_t current);
    void onSnapshot(const result<record_batch>& answer, time_point requestedAt, std::uint64_t current);
    void onRead(const result<record_batch>& answer, time_point requestedAt, std::uint64_t current);
    void scheduleNextRead(std::uint64_t current);
    void retryLater(const error& problem);
    void endFailureStreak();
    bool isCurrent(std::uint64_t expected) const { return running && generation == expected; }
    /// Calls the listener without the lock; returns false without a call if reads of `current` are ignored by now.
    template <class Call> bool deliver(std::uint64_t current, const Call& call);
    /// Waits until no other thread is calling the listener.
    void waitForDeliveries();
};

template <class Call> bool record_tail::data::deliver(std::uint64_t current, const Call& call)
{
    const auto shared = sharedListener ? sharedListener->lock() : nullptr;
    if (sharedListener && !shared)
        return false;
    {
        const std::scoped_lock lock(mutex);
        if (!isCurrent(current))
            return false;
        delivering.insert(std::this_thread::get_id());
    }
    call(shared ? *shared : *listener);
    const std::scoped_lock lock(mutex);
    delivering.erase(delivering.find(std::this_thread::get_id()));
    delivered.notify_all();
    return isCurrent(current);
}

void record_tail::data::waitForDeliveries()
{
    std::unique_lock lock(mutex);
    const auto self = std::this_thread::get_id();
    delivered.wait(lock, [&] { return delivering.size() == delivering.count(self); });
}

void record_tail::data::sendRead(std::uint64_t current)
{
    const auto requestedAt = clock.now();
    bool newest = false;
    std::uint64_t from = 0;
    {
        const std::scoped_lock lock(mutex);
        if (!isCurrent(current))
            return;
        newest = needsSnapshot;
        from = next;
    }
    auto self = shared_from_this();
    if (newest) {
        store.readNewest(stream,
            [self, requestedAt, current](const result<record_batch>& answer) { self->onSnapshot(answer, requestedAt, current); });
        return;
    }
    store.read(stream, from, readInterval.count() > 0 ? std::chrono::milliseconds(0) : maxReadWait,
        [self, requestedAt, current](const result<record_batch>& answer) { self->onRead(answer, requestedAt, current); });
}

void record_tail::data::onSnapshot(const result<record_batch>& answer, time_point requestedAt, std::uint64_t current)
{
    {
        const std::scoped_lock lock(mutex);
        if (!isCurrent(current))
            return;
        if (!answer) {
            retryLater(answer.error());
            return;
        }
        endFailureStreak();
        needsSnapshot = false;
        next = answer->end;
        retryDelay = initialRetryDelay;
    }
    const bool goesOn = deliver(current, [&](record_listener& target) { target.onSnapshot(answer->records); })
        && deliver(current, [&](record_listener& target) { target.onCaughtUp(requestedAt); });
    if (goesOn)
        scheduleNextRead(current);
}

void record_tail::data::onRead(const result<record_batch>& answer, time_point requestedAt, std::uint64_t current)
{
    bool caughtUp = false;
    {
        const std::scoped_lock lock(mutex);
        if (!isCurrent(current))
            return;
        if (!answer) {
            needsSnapshot = needsSnapshot || answer.error().kind == error_kind::log_records_expired;
            retryLater(answer.error());
            return;
        }
        endFailureStreak();
        retryDelay = initialRetryDelay;
        if (!answer->records.empty())
            next = answer->records.back().offset + 1;
        // An answer has a limited size and may end before the newest record.
        caughtUp = next >= answer->end;
    }
    for (const auto& record : answer->records) {
        if (!deliver(current, [&](record_listener& target) { target.onRecord(record); }))
            return;
    }
    // A read that timed out without a record proves that none was appended before the timeout.
    const bool waited = answer->records.empty() && readInterval.count() == 0 && clock.now() - requestedAt >= maxReadWait;
    const time_point readUntil = waited ? requestedAt + maxReadWait - waitClockMargin : requestedAt;
    if (!caughtUp || deliver(current, [&](record_listener& target) { target.onCaughtUp(readUntil); }))
        scheduleNextRead(current);
}

void record_tail::data::scheduleNextRead(std::uint64_t current)
{
    if (readInterval.count() == 0) {
        sendRead(current);
        return;
    }
    const std::scoped_lock lock(mutex);
    if (!isCurrent(current))
        return;
    waiting = true;
    retryAt = clock.now() + readInterval;
}

void record_tail::data::endFailureStreak()
{
    if (!failingSince)
        return;
    const auto failedFor = std::chrono::duration_cast<std::chrono::milliseconds>(clock.now() - *failingSince);
    failingSince.reset();
    writeLog(log_level::info, "store", "reading of records resumed",
        { { "topic", stream.topic }, { "partition", fmt::to_string(stream.partition) },
            { "silence_ms", fmt::to_string(failedFor.count()) } });
}

void record_tail::data::retryLater(const error& problem)
{
    if (!failingSince) {
        failingSince = clock.now();
        writeLog(log_level::warning, "store", "records can't be read",
            { { "topic", stream.topic }, { "partition", fmt::to_string(stream.partition) }, { "from", fmt::to_string(next) },
                { "detail", problem.detail } });
    }
    waiting = true;
    retryAt = clock.now() + (problem.kind == error_kind::log_records_expired ? std::chrono::milliseconds(0) : retryDelay);
    retryDelay = std::min(retryDelay * 2, maxRetryDelay);
}

record_tail::record_tail(record_store& store, const clock_source& clock, record_stream stream, record_listener& listener,
    std::chrono::milliseconds readInterval)
    : m_data(std::make_shared<data>(store, clock, std::move(stream), readInterval))
{
    m_data->listener = &listener;
}

record_tail::record_tail(
    record_store& store, const clock_source& clock, record_stream stream, std::weak_ptr<record_listener> listener)
    : m_data(std::make_shared<data>(store, clock, std::move(stream), std::chrono::milliseconds(0)))
{
    m_data->sharedListener = std::move(listener);
}

record_tail::~record_tail()
{
    stop();
    if (m_data->listener)
        m_data->waitForDeliveries();
}

void record_tail::start()
{
    std::uint64_t current = 0;
    {
        const std::scoped_lock lock(m_data->mutex);
        m_data->running = true;
        m_data->needsSnapshot = true;
        m_data->waiting = false;
        current = ++m_data->generation;
    }
    m_data->sendRead(current);
}

void record_tail::stop()
{
    const std::scoped_lock lock(m_data->mutex);
    m_data->running = false;
    ++m_data->generation;
}

void record_tail::tick(time_point now)
{
    std::uint64_t current = 0;
    {
        const std::scoped_lock lock(m_data->mutex);
        if (!m_data->running || !m_data->waiting || now < m_data->retryAt)
            return;
        m_data->waiting = false;
        current = m_data->generation;
    }
    m_data->sendRead(current);
}

} // namespace coriandermount::jobs
