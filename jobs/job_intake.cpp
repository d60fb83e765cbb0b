#include "jobs/job_intake.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <set>

#include <fmt/format.h>

#include "core/log.h"
#include "jobs/record_codec.h"

namespace coriandermount::jobs {

namespace {

    /// Append of one record that has not been completed.
    struct pending_append {
        record content;
        job_intake::completion done;
        time_point startedAt;
        /// Whether the record may be stored because the store did not answer an earlier append of it.
        bool mayBeStored = false;
        time_point retryAt;
    };

    using pending_pointer = std::shared_ptr<pending_append>;

} // namespace

struct job_intake::data : std::enable_shared_from_this<job_intake::data> {
    record_store& store;
    const clock_source& clock;
    record_stream stream;
    const store_contact& contact;
    intake_settings settings;
    std::mutex mutex;
    std::vector<pending_pointer> waiting;
    std::set<pending_pointer> active;
    /// Keys of appends that were given up and that the store may still carry out, and when that ends.
    std::map<std::string, time_point> mayBeStoredUntil;
    std::atomic<time_point::rep> lastStored { 0 };

    data(record_store& target, const clock_source& time, record_stream where, const store_contact& calls, intake_settings limits)
        : store(target)
        , clock(time)
        , stream(std::move(where))
        , contact(calls)
        , settings(limits)
    {
    }

    void append(const pending_pointer& current);
    void onAnswer(const pending_pointer& current, const result<std::uint64_t>& answer);
    void completeWithError(const pending_pointer& current, const error& problem);
    void startAppend(const pending_pointer& current);
    /// Returns why an append must not be sent now; nothing if it may be.
    std::optional<error> refusal(const std::string& key);
    void complete(const pending_pointer& current, const result<void>& answer);
};

void job_intake::data::append(const pending_pointer& current)
{
    append_request request;
    request.stream = stream;
    request.records.push_back(current->content);
    store.append(std::move(request),
        [self = shared_from_this(), current](const result<std::uint64_t>& answer) { self->onAnswer(current, answer); });
}

void job_intake::data::onAnswer(const pending_pointer& current, const result<std::uint64_t>& answer)
{
    const auto now = clock.now();
    if (answer) {
        lastStored.store(now.time_since_epoch().count(), std::memory_order_relaxed);
        writeLog(log_level::info, "intake", "a record was stored",
            { { "key", current->content.key }, { "offset", fmt::to_string(*answer) },
                { "took_ms",
                    fmt::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now - current->startedAt).count()) } });
        complete(current, {});
        return;
    }
    current->mayBeStored = current->mayBeStored || answer.error().kind == error_kind::log_answer_lost;
    const auto limit = current->mayBeStored ? settings.unansweredRetryLimit : settings.refusedRetryLimit;
    if (now - current->startedAt >= limit || answer.error().kind == error_kind::log_full) {
        completeWithError(current, answer.error());
        return;
    }
    current->retryAt = now + settings.retryDelay;
    const std::scoped_lock lock(mutex);
    waiting.push_back(current);
}

std::optional<error> job_intake::data::refusal(const std::string& key)
{
    const auto silence = contact.silence();
    if (!silence)
        return std::nullopt;
    const auto detail = fmt::format("the store has not answered for {} ms", silence->count());
    const std::scoped_lock lock(mutex);
    const auto given = mayBeStoredUntil.find(key);
    const bool mayBeStored = (given != mayBeStoredUntil.end() && clock.now() < given->second)
        || std::any_of(active.begin(), active.end(), [&](const auto& pending) { return pending->content.key == key; });
    return error { mayBeStored ? error_kind::log_answer_lost : error_kind::log_unavailable, detail,
        settings.suggestedRetryAfter };
}

void job_intake::data::startAppend(const pending_pointer& current)
{
    if (const auto problem = refusal(current->content.key)) {
        current->done(tl::unexpected(*problem));
        return;
    }
    current->startedAt = clock.now();
    {
        const std::scoped_lock lock(mutex);
        active.insert(current);
    }
    append(current);
}

void job_intake::data::complete(const pending_pointer& current, const result<void>& answer)
{
    {
        const std::scoped_lock lock(mutex);
        if (active.erase(current) == 0)
            return;
    }
    current->done(answer);
}

void job_intake::data::completeWithError(const pending_pointer& current, const error& problem)
{
    error response = problem;
    response.retryAfter = settings.suggestedRetryAfter;
    if (current->mayBeStored) {
        response.kind = error_kind::log_answer_lost;
        const std::scoped_lock lock(mutex);
        mayBeStoredUntil[current->content.key] = clock.now() + settings.lateAppendLimit;
    }
    writeLog(log_level::warning, "intake", "a record could not be stored",
        { { "key", current->content.key }, { "outcome", std::string(nameOf(response.kind)) }, { "detail", problem.detail } });
    complete(current, tl::unexpected(response));
}

job_intake::job_intake(
    record_store& store, const clock_source& clock, record_stream stream, const store_contact& contact, intake_settings settings)
    : m_data(std::make_shared<data>(store, clock, std::move(stream), contact, settings))
{
}

job_intake::~job_intake() = default;

void job_intake::store(const accepted_job& accepted, completion done)
{
    auto current = std::make_shared<pending_append>();
    current->content = { acceptedKey(accepted.work.id), encodeAccepted(accepted), 0 };
    current->done = std::move(done);
    m_data->startAppend(current);
}

void job_intake::cancel(const std::string& jobId, completion done)
{
    auto current = std::make_shared<pending_append>();
    current->content = { cancelledKey(jobId), "1", 0 };
    current->done = std::move(done);
    m_data->startAppend(current);
}

void job_intake::stop()
{
    std::set<pending_pointer> unanswered;
    {
        const std::scoped_lock lock(m_data->mutex);
        unanswered = m_data->active;
        m_data->waiting.clear();
    }
    for (const auto& current : unanswered) {
        current->mayBeStored = true;
        m_data->completeWithError(
            current, { error_kind::log_answer_lost, "the VM stopped before the store answered", std::nullopt });
    }
}

void job_intake::tick()
{
    std::vector<pending_pointer> due;
    {
        const auto now = m_data->clock.now();
        const std::scoped_lock lock(m_data->mutex);
        std::erase_if(m_data->mayBeStoredUntil, [now](const auto& entry) { return entry.second <= now; });
        const auto first = std::stable_partition(m_data->waiting.begin(), m_data->waiting.end(),
            [now](const pending_pointer& current) { return current->retryAt > now; });
        due.assign(first, m_data->waiting.end());
        m_data->waiting.erase(first, m_data->waiting.end());
    }
    for (const auto& current : due)
        m_data->append(current);
}

time_point job_intake::lastStored() const
{
    return time_point(time_point::duration(m_data->lastStored.load(std::memory_order_relaxed)));
}

} // namespace coriandermount::jobs
