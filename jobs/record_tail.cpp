#include "jobs/record_tail.h"

#include <algorithm>
#include <mutex>
#include <optional>

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
    record_listener& listener;
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

    data(record_store& target, const clock_source& time, record_stream source, record_listener& receiver,
        std::chrono::milliseconds interval)
        : store(target)
        , clock(time)
        , stream(std::move(source))
        , listener(receiver)
        , readInterval(interval)
    {
    }

    void sendRead();
    void onSnapshot(result<record_batch> answer, time_point requestedAt);
    void onRead(result<record_batch> answer, time_point requestedAt);
    void scheduleNextRead();
    void retryLater(const error& problem);
    void endFailureStreak();
    bool isCurrent(std::uint64_t expected);
};

bool record_tail::data::isCurrent(std::uint64_t expected)
{
    const std::scoped_lock lock(mutex);
    return running && generation == expected;
}

void record_tail::data::sendRead()
{
    const auto requestedAt = clock.now();
    const auto current = generation;
    auto self = shared_from_this();
    if (needsSnapshot) {
        store.readNewest(stream, [self, requestedAt, current](result<record_batch> answer) {
            if (self->isCurrent(current))
                self->onSnapshot(std::move(answer), requestedAt);
        });
        return;
    }
    store.read(stream, next, readInterval.count() > 0 ? std::chrono::milliseconds(0) : maxReadWait,
        [self, requestedAt, current](result<record_batch> answer) {
            if (self->isCurrent(current))
                self->onRead(std::move(answer), requestedAt);
        });
}

void record_tail::data::onSnapshot(result<record_batch> answer, time_point requestedAt)
{
    if (!answer) {
        retryLater(answer.error());
        return;
    }
    endFailureStreak();
    needsSnapshot = false;
    next = answer->end;
    retryDelay = initialRetryDelay;
    listener.onSnapshot(answer->records);
    listener.onCaughtUp(requestedAt);
    scheduleNextRead();
}

void record_tail::data::onRead(result<record_batch> answer, time_point requestedAt)
{
    if (!answer) {
        needsSnapshot = needsSnapshot || answer.error().kind == error_kind::log_records_expired;
        retryLater(answer.error());
        return;
    }
    endFailureStreak();
    retryDelay = initialRetryDelay;
    for (const auto& current : answer->records) {
        next = current.offset + 1;
        listener.onRecord(current);
    }
    // A read that timed out without a record proves that none was appended before the timeout.
    const bool waited = answer->records.empty() && readInterval.count() == 0 && clock.now() - requestedAt >= maxReadWait;
    // An answer has a limited size and may end before the newest record.
    if (next >= answer->end)
        listener.onCaughtUp(waited ? requestedAt + maxReadWait - waitClockMargin : requestedAt);
    scheduleNextRead();
}

void record_tail::data::scheduleNextRead()
{
    if (readInterval.count() == 0) {
        sendRead();
        return;
    }
    const std::scoped_lock lock(mutex);
    waiting = true;
    retryAt = clock.now() + readInterval;
}

void record_tail::data::endFailureStreak()
{
    const std::scoped_lock lock(mutex);
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
    const std::scoped_lock lock(mutex);
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
    : m_data(std::make_shared<data>(store, clock, std::move(stream), listener, readInterval))
{
}

record_tail::~record_tail() { stop(); }

void record_tail::start()
{
    {
        const std::scoped_lock lock(m_data->mutex);
        m_data->running = true;
        m_data->needsSnapshot = true;
        m_data->waiting = false;
        ++m_data->generation;
    }
    m_data->sendRead();
}

void record_tail::stop()
{
    const std::scoped_lock lock(m_data->mutex);
    m_data->running = false;
    ++m_data->generation;
}

void record_tail::tick(time_point now)
{
    {
        const std::scoped_lock lock(m_data->mutex);
        if (!m_data->running || !m_data->waiting || now < m_data->retryAt)
            return;
        m_data->waiting = false;
    }
    m_data->sendRead();
}

} // namespace coriandermount::jobs
