#include "event_log/stream_writer.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace coriandermount::event_log {

namespace {

    constexpr std::chrono::milliseconds pollInterval { 250 };
    /// Maximum number of detail events read in one poll.
    constexpr std::size_t maxDetail = 500;
    /// A successful append that takes at least this long is recorded as `log_failed`.
    constexpr std::chrono::seconds slowAppendTime { 1 };

} // namespace

std::string journalStreamOf(const failure_domain_id& domain) { return "journal." + domain.value; }

struct stream_writer::data {
    const clock_source& clock;
    memory_journal& journal;
    platform::log& log;
    std::string stream;

    mutable std::mutex mutex;
    std::condition_variable stateChanged;
    journal_cursor cursor;
    fault_counter faultCounter;
    batch_planner planner;
    time_point appendStartedAt {};
    bool inFlight = false;
    bool stopping = false;
    std::atomic<std::uint64_t> appendedBytes { 0 };
    std::thread thread;

    data(const clock_source& clockSource, memory_journal& sourceJournal, platform::log& targetLog,
        const failure_domain_id& domain, batch_options options)
        : clock(clockSource)
        , journal(sourceJournal)
        , log(targetLog)
        , stream(journalStreamOf(domain))
        , planner(std::move(options))
    {
    }

    void run();
    void readUnread();
    void send(std::unique_lock<std::mutex>& lock);
    void onAppended(const result<platform::log_offset>& offset);
};

/// Reads the journal. The caller holds the mutex.
void stream_writer::data::readUnread()
{
    auto unread = journal.readUnread(cursor, maxDetail);
    const auto now = clock.wallNow();
    faultCounter.add(unread, now);
    planner.enqueue(std::move(unread), faultCounter.countSettled(now));
}

void stream_writer::data::send(std::unique_lock<std::mutex>& lock)
{
    auto text = planner.nextBatch(clock.now(), clock.wallNow());
    if (!text)
        return;
    inFlight = true;
    appendStartedAt = clock.now();
    appendedBytes.fetch_add(text->size());
    lock.unlock();
    log.append(stream, std::move(*text), [this](const result<platform::log_offset>& offset) { onAppended(offset); });
    lock.lock();
}

void stream_writer::data::onAppended(const result<platform::log_offset>& offset)
{
    event failure;
    {
        const std::scoped_lock lock(mutex);
        planner.onAppended(offset.has_value(), clock.now());
        failure.elapsed = std::chrono::duration_cast<std::chrono::microseconds>(clock.now() - appendStartedAt);
        inFlight = false;
    }
    stateChanged.notify_all();
    if (offset && failure.elapsed < slowAppendTime)
        return;
    failure.kind = event_kind::log_failed;
    failure.subject = stream;
    failure.problem = offset ? error_kind::log_unavailable : offset.error().kind;
    failure.value = offset ? "the append took 1 s or longer" : offset.error().detail;
    journal.record(std::move(failure));
}

void stream_writer::data::run()
{
    std::unique_lock lock(mutex);
    while (!stopping) {
        readUnread();
        send(lock);
        stateChanged.wait_for(lock, pollInterval, [this] { return stopping; });
    }
}

stream_writer::stream_writer(const clock_source& clock, memory_journal& journal, platform::log& log,
    const failure_domain_id& domain, batch_options options)
    : m_data(std::make_unique<data>(clock, journal, log, domain, std::move(options)))
{
}

stream_writer::~stream_writer() { stop(std::chrono::milliseconds(0)); }

void stream_writer::start()
{
    m_data->thread = std::thread([this] { m_data->run(); });
}

void stream_writer::stop(std::chrono::milliseconds limit)
{
    std::unique_lock lock(m_data->mutex);
    if (m_data->stopping)
        return;
    m_data->stopping = true;
    m_data->stateChanged.notify_all();
    if (limit.count() > 0) {
        m_data->stateChanged.wait_for(lock, limit, [this] { return !m_data->inFlight; });
        m_data->readUnread();
        m_data->planner.flushNext();
        m_data->send(lock);
        m_data->stateChanged.wait_for(lock, limit, [this] { return !m_data->inFlight; });
    }
    lock.unlock();
    if (m_data->thread.joinable())
        m_data->thread.join();
}

fault_counts stream_writer::countsSince(wall_time since)
{
    const std::scoped_lock lock(m_data->mutex);
    m_data->readUnread();
    return m_data->faultCounter.countsSince(since);
}

void stream_writer::withEvidence(const std::function<void(const evidence&)>& visit)
{
    const std::scoped_lock lock(m_data->mutex);
    m_data->readUnread();
    visit(m_data->faultCounter.collectedEvidence());
}

void stream_writer::addEvidence(const std::vector<event>& events)
{
    const std::scoped_lock lock(m_data->mutex);
    for (const auto& entry : events)
        m_data->faultCounter.addEvidence(entry);
}

std::uint64_t stream_writer::droppedFaults() const
{
    const std::scoped_lock lock(m_data->mutex);
    return m_data->planner.droppedFaults();
}

std::uint64_t stream_writer::droppedDetail() const
{
    const std::scoped_lock lock(m_data->mutex);
    return m_data->planner.droppedDetail();
}

std::uint64_t stream_writer::appendedBytes() const { return m_data->appendedBytes.load(); }

} // namespace coriandermount::event_log
