#include "jobs/store_contact.h"

#include <algorithm>
#include <map>
#include <mutex>

#include <fmt/format.h>

#include "core/log.h"

namespace coriandermount::jobs {

namespace {

    /// Late calls from which the store counts as silent. Calls that are open at a time use different connections.
    constexpr std::size_t lateCallsOfSilence = 2;

} // namespace

struct store_contact::data {
    const clock_source& clock;
    store_contact_settings settings;

    mutable std::mutex mutex;
    std::uint64_t lastCall = 0;
    struct open_call {
        time_point sentAt;
        time_point answerDueAt;
    };
    std::map<std::uint64_t, open_call> open;
    /// Calls that have ended without an answer while no later call was answered, when the last of them was sent, and when the
    /// first of their answers was due.
    std::size_t failures = 0;
    time_point lastFailureSentAt;
    std::optional<time_point> failureDueAt;
    /// Before this time, no call counts as late: the last call that was answered was sent then, or a pause of this VM ended. That
    /// a long poll from before a silence is answered during it does not show that the store answers what it gets now.
    time_point countedFrom;
    time_point lastTickAt;
    time_point nextProbeAt;
    std::optional<time_point> silentSince;

    data(const clock_source& time, store_contact_settings limits)
        : clock(time)
        , settings(limits)
        , countedFrom(time.now())
        , lastTickAt(countedFrom)
    {
    }

    /// Returns since when a call has been late with no answer to any other; nothing if none is.
    std::optional<time_point> lateSince(time_point now) const
    {
        auto dueAt = failureDueAt;
        for (const auto& [number, call] : open)
            dueAt = std::min(dueAt.value_or(call.answerDueAt), call.answerDueAt);
        if (!dueAt || *dueAt > now)
            return std::nullopt;
        return std::max(*dueAt, countedFrom);
    }
    bool isDoubtful(time_point now) const
    {
        const auto since = lateSince(now);
        return since && now - *since >= settings.probeAfter;
    }
    /// Recognizes that the store has become silent.
    void judge(time_point now);
};

void store_contact::data::judge(time_point now)
{
    const auto since = lateSince(now);
    if (silentSince || !since || now - *since < settings.silenceLimit)
        return;
    const auto late = failures + static_cast<std::size_t>(std::count_if(open.begin(), open.end(), [&](const auto& entry) {
        return now - std::max(entry.second.answerDueAt, countedFrom) >= settings.silenceLimit / 2;
    }));
    if (late < lateCallsOfSilence)
        return;
    silentSince = since;
    writeLog(log_level::warning, "store", "the store does not answer", { { "late_calls", fmt::to_string(late) } });
}

store_contact::store_contact(const clock_source& clock, store_contact_settings settings)
    : m_data(std::make_unique<data>(clock, settings))
{
}

store_contact::~store_contact() = default;

std::uint64_t store_contact::noteCall(std::chrono::milliseconds wait)
{
    const auto now = m_data->clock.now();
    const std::scoped_lock lock(m_data->mutex);
    m_data->open.emplace(++m_data->lastCall, data::open_call { now, now + wait });
    return m_data->lastCall;
}

void store_contact::noteAnswer(std::uint64_t call)
{
    const auto now = m_data->clock.now();
    std::optional<time_point> silentSince;
    {
        const std::scoped_lock lock(m_data->mutex);
        const auto found = m_data->open.find(call);
        if (found == m_data->open.end())
            return;
        const auto sentAt = found->second.sentAt;
        m_data->open.erase(found);
        m_data->countedFrom = std::max(m_data->countedFrom, sentAt);
        if (sentAt >= m_data->lastFailureSentAt) {
            m_data->failures = 0;
            m_data->failureDueAt.reset();
        }
        if (m_data->silentSince && sentAt >= *m_data->silentSince)
            std::swap(silentSince, m_data->silentSince);
    }
    if (silentSince)
        writeLog(log_level::info, "store", "the store answers again",
            { { "silence_ms",
                fmt::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now - *silentSince).count()) } });
}

void store_contact::noteFailure(std::uint64_t call)
{
    const std::scoped_lock lock(m_data->mutex);
    const auto found = m_data->open.find(call);
    if (found == m_data->open.end())
        return;
    const auto failed = found->second;
    m_data->failureDueAt = std::min(m_data->failureDueAt.value_or(failed.answerDueAt), failed.answerDueAt);
    m_data->lastFailureSentAt = std::max(m_data->lastFailureSentAt, failed.sentAt);
    ++m_data->failures;
    m_data->open.erase(found);
}

bool store_contact::isDoubtful() const
{
    const auto now = m_data->clock.now();
    const std::scoped_lock lock(m_data->mutex);
    return m_data->isDoubtful(now);
}

std::optional<std::chrono::milliseconds> store_contact::silence() const
{
    const auto now = m_data->clock.now();
    const std::scoped_lock lock(m_data->mutex);
    if (!m_data->silentSince)
        return std::nullopt;
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - *m_data->silentSince);
}

void store_contact::tick(record_store& store, const record_stream& stream)
{
    const auto now = m_data->clock.now();
    {
        const std::scoped_lock lock(m_data->mutex);
        if (now - m_data->lastTickAt >= m_data->settings.pauseLimit)
            m_data->countedFrom = std::max(m_data->countedFrom, now);
        m_data->lastTickAt = now;
        m_data->judge(now);
        if (now < m_data->nextProbeAt || !m_data->isDoubtful(now))
            return;
        m_data->nextProbeAt = now + m_data->settings.probeInterval;
    }
    // Whatever the store answers shows that it answers.
    store.read(stream, 0, std::chrono::milliseconds(0), [](const auto&) {});
}

} // namespace coriandermount::jobs
