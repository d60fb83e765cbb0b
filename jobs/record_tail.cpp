#include "jobs/record_tail.h"

#include <algorithm>
#include <mutex>
#include <optional>

#include <fmt/format.h>

#include "core/log.h"

namespace coriandermount::jobs {

namespace {

    /// How long a read waits for a record.
    constexpr std::chrono::milliseconds readWait { 2000 };
    /// Pause after a failed call; doubles up to the second value.
    constexpr std::chrono::milliseconds firstPause { 60 };
    constexpr std::chrono::milliseconds longestPause { 500 };

} // namespace

struct record_tail::data : std::enable_shared_from_this<record_tail::data> {
    record_store& store;
    const clock_source& clock;
    record_stream stream;
    record_listener& listener;
    std::chrono::milliseconds pace;

    std::mutex mutex;
    bool running = false;
    bool waiting = false;
    /// Rises with each stop: answers to earlier calls are dropped.
    std::uint64_t round = 0;
    bool needsSnapshot = true;
    std::uint64_t next = 0;
    std::chrono::milliseconds pause { firstPause };
    time_point retryAt {};
    /// Since then no call was answered.
    std::optional<time_point> lostAt;

    data(record_store& target, const clock_source& time, record_stream source, record_listener& receiver,
        std::chrono::milliseconds interval)
        : store(target)
        , clock(time)
        , stream(std::move(source))
        , listener(receiver)
        , pace(interval)
    {
    }

    void ask();
    void onSnapshot(result<record_batch> answer, time_point asked);
    void onRead(result<record_batch> answer, time_point asked);
    void goOn();
    void retryLater(const error& problem);
    void noteAnswer();
    bool isCurrent(std::uint64_t expected);
};

bool record_tail::data::isCurrent(std::uint64_t expected)
{
    const std::scoped_lock lock(mutex);
    return running && round == expected;
}

void record_tail::data::ask()
{
    const auto asked = clock.now();
    const auto current = round;
    auto self = shared_from_this();
    if (needsSnapshot) {
        store.readNewest(stream, [self, asked, current](result<record_batch> answer) {
            if (self->isCurrent(current))
                self->onSnapshot(std::move(answer), asked);
        });
        return;
    }
    store.read(stream, next, pace.count() > 0 ? std::chrono::milliseconds(0) : readWait,
        [self, asked, current](result<record_batch> answer) {
            if (self->isCurrent(current))
                self->onRead(std::move(answer), asked);
        });
}

void record_tail::data::onSnapshot(result<record_batch> answer, time_point asked)
{
    if (!answer) {
        retryLater(answer.error());
        return;
    }
    noteAnswer();
    needsSnapshot = false;
    next = answer->end;
    pause = firstPause;
    listener.onSnapshot(answer->records);
    listener.onCaughtUp(asked);
    goOn();
}

void record_tail::data::onRead(result<record_batch> answer, time_point asked)
{
    if (!answer) {
        needsSnapshot = needsSnapshot || answer.error().kind == error_kind::log_records_expired;
        retryLater(answer.error());
        return;
    }
    noteAnswer();
    pause = firstPause;
    for (const auto& current : answer->records) {
        next = current.offset + 1;
        listener.onRecord(current);
    }
    // A read that waited to its end without a record tells that there was none until then.
    const bool waited = answer->records.empty() && pace.count() == 0 && clock.now() - asked >= readWait;
    listener.onCaughtUp(waited ? asked + readWait : asked);
    goOn();
}

void record_tail::data::goOn()
{
    if (pace.count() == 0) {
        ask();
        return;
    }
    const std::scoped_lock lock(mutex);
    waiting = true;
    retryAt = clock.now() + pace;
}

void record_tail::data::noteAnswer()
{
    const std::scoped_lock lock(mutex);
    if (!lostAt)
        return;
    const auto silence = std::chrono::duration_cast<std::chrono::milliseconds>(clock.now() - *lostAt);
    lostAt.reset();
    writeLog(log_level::info, "store", "records are read again",
        { { "topic", stream.topic }, { "partition", fmt::to_string(stream.partition) },
            { "silence_ms", fmt::to_string(silence.count()) } });
}

void record_tail::data::retryLater(const error& problem)
{
    const std::scoped_lock lock(mutex);
    if (!lostAt) {
        lostAt = clock.now();
        writeLog(log_level::warning, "store", "records can't be read",
            { { "topic", stream.topic }, { "partition", fmt::to_string(stream.partition) }, { "from", fmt::to_string(next) },
                { "detail", problem.detail } });
    }
    waiting = true;
    retryAt = clock.now() + (problem.kind == error_kind::log_records_expired ? std::chrono::milliseconds(0) : pause);
    pause = std::min(pause * 2, longestPause);
}

record_tail::record_tail(record_store& store, const clock_source& clock, record_stream stream, record_listener& listener,
    std::chrono::milliseconds pace)
    : m_data(std::make_shared<data>(store, clock, std::move(stream), listener, pace))
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
        ++m_data->round;
    }
    m_data->ask();
}

void record_tail::stop()
{
    const std::scoped_lock lock(m_data->mutex);
    m_data->running = false;
    ++m_data->round;
}

void record_tail::tick(time_point now)
{
    {
        const std::scoped_lock lock(m_data->mutex);
        if (!m_data->running || !m_data->waiting || now < m_data->retryAt)
            return;
        m_data->waiting = false;
    }
    m_data->ask();
}

} // namespace coriandermount::jobs
