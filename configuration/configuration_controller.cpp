#include "configuration/configuration_controller.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <random>
#include <thread>

#include <fmt/format.h>

#include "configuration/peer_codec.h"
#include "core/log.h"

namespace coriandermount::configuration {

namespace {

    constexpr std::chrono::milliseconds tickInterval { 100 };
    constexpr std::chrono::milliseconds fetchTimeout { 2000 };
    constexpr std::string_view streamName = "configuration";
    constexpr std::string_view fetchMethod = "configuration_fetch";

    std::string newRecordId()
    {
        std::random_device source;
        const std::uint64_t high = source();
        return fmt::format("{:08x}{:08x}", high, source());
    }

} // namespace

struct configuration_controller::data {
    configuration_dependencies dependencies;
    follower_options options;
    configuration_listener listener;
    /// Guards the members below, up to `threadMutex`.
    mutable std::mutex mutex;
    follower logFollower;
    std::uint64_t nextPublication = 1;
    std::map<publication_id, publish_completion> pendingPublications;
    time_point inForceSince;
    std::uint64_t reportedVersion = 0;
    std::uint32_t reportedDigest = 0;
    std::mutex threadMutex;
    std::condition_variable wake;
    bool stopping = false;
    std::thread thread;

    data(configuration_dependencies givenDependencies, follower_options givenOptions, configuration_listener givenListener)
        : dependencies(givenDependencies)
        , options(givenOptions)
        , listener(std::move(givenListener))
        , logFollower(givenOptions)
    {
    }

    void run();
    void process(const follower_event& event);
    void reportRevision();
    void perform(const read_log& action);
    void perform(append_record& action);
    void perform(const fetch_from_peer& action);
    void perform(const snapshot_adopted& action);
    void perform(const record_rejected& action) const;
    void perform(publish_completed& action);
};

void configuration_controller::data::run()
{
    std::unique_lock lock(threadMutex);
    while (!stopping) {
        lock.unlock();
        process(poll_tick { listener.ownCopyRank() });
        lock.lock();
        wake.wait_for(lock, tickInterval, [this] { return stopping; });
    }
}

void configuration_controller::data::process(const follower_event& event)
{
    follower_actions actions;
    {
        const std::scoped_lock lock(mutex);
        actions = logFollower.handle(event, dependencies.clock.now());
        for (const auto& action : actions) {
            if (const auto* change = std::get_if<snapshot_adopted>(&action)) {
                inForceSince = dependencies.clock.now();
                // Called under the lock, so that listeners never receive an older configuration after a newer one.
                listener.onAdopted(change->current);
            }
        }
    }
    for (auto& action : actions)
        std::visit([this](auto& value) { perform(value); }, action);
    reportRevision();
}

void configuration_controller::data::reportRevision()
{
    std::uint64_t version = 0;
    std::uint32_t digest = 0;
    {
        const std::scoped_lock lock(mutex);
        version = logFollower.current()->version;
        digest = logFollower.digest();
        if (version == reportedVersion && digest == reportedDigest)
            return;
        reportedVersion = version;
        reportedDigest = digest;
    }
    listener.onRevisionChanged(version, digest);
}

void configuration_controller::data::perform(const read_log& action)
{
    dependencies.log.read(std::string(streamName), action.from, action.limit, [this](result<platform::log_batch> batch) {
        if (!batch)
            dependencies.metrics.count(batch.error().kind);
        process(log_read_completed { std::move(batch) });
    });
}

void configuration_controller::data::perform(append_record& action)
{
    dependencies.log.append(
        std::string(streamName), std::move(action.body), [this, record = action.recordId](result<platform::log_offset> offset) {
            if (!offset)
                dependencies.metrics.count(offset.error().kind);
            process(append_completed { record, std::move(offset) });
        });
}

void configuration_controller::data::perform(const fetch_from_peer& action)
{
    dependencies.link.call(action.peerAddress, std::string(fetchMethod), {}, fetchTimeout,
        [this](const tl::expected<std::string, net::transport_error>& reply) {
            peer_fetch_completed fetched;
            if (reply) {
                if (auto state = decodePeerState(*reply))
                    fetched.state = std::move(*state);
            }
            process(fetched);
        });
}

void configuration_controller::data::perform(const snapshot_adopted& action)
{
    event_log::event entry;
    entry.kind = event_log::event_kind::configuration_adopted;
    entry.subject = action.entry.author;
    entry.rule = "configuration";
    entry.value = action.entry.recordId;
    entry.configurationVersion = action.entry.version;
    dependencies.journal.record(std::move(entry));
    writeLog(log_level::info, "configuration", "configuration came into force",
        { { "version", fmt::format("{}", action.entry.version) }, { "record", action.entry.recordId },
            { "author", action.entry.author }, { "reason", action.entry.reason } });
}

void configuration_controller::data::perform(const record_rejected& action) const
{
    event_log::event entry;
    entry.kind = event_log::event_kind::configuration_rejected;
    entry.problem = error_kind::configuration_invalid;
    entry.subject = action.entry.author;
    entry.rule = "configuration";
    entry.value = action.entry.recordId;
    entry.limit = action.entry.problem;
    dependencies.journal.record(std::move(entry));
    dependencies.metrics.count(error_kind::configuration_invalid);
    writeLog(log_level::warning, "configuration", "configuration record rejected",
        { { "offset", fmt::format("{}", action.entry.offset) }, { "record", action.entry.recordId },
            { "author", action.entry.author }, { "problem", action.entry.problem } });
}

void configuration_controller::data::perform(publish_completed& action)
{
    publish_completion done;
    {
        const std::scoped_lock lock(mutex);
        auto node = pendingPublications.extract(action.publication);
        if (node)
            done = std::move(node.mapped());
    }
    if (action.outcome.problem)
        dependencies.metrics.count(action.outcome.problem->kind);
    if (done)
        done(std::move(action.outcome));
}

configuration_controller::configuration_controller(
    configuration_dependencies dependencies, follower_options options, configuration_listener listener)
    : m_data(std::make_unique<data>(dependencies, options, std::move(listener)))
{
    dependencies.service.addMethod(
        std::string(fetchMethod), [this](const std::string&, const peers::peer_service::reply_function& reply) {
            peer_state state;
            {
                const std::scoped_lock lock(m_data->mutex);
                state = m_data->logFollower.stateForPeer();
            }
            reply(encodePeerState(state));
        });
}

configuration_controller::~configuration_controller() { stop(); }

void configuration_controller::start()
{
    m_data->thread = std::thread([this] { m_data->run(); });
}

void configuration_controller::stop()
{
    {
        const std::scoped_lock lock(m_data->threadMutex);
        m_data->stopping = true;
    }
    m_data->wake.notify_one();
    if (m_data->thread.joinable())
        m_data->thread.join();
}

void configuration_controller::publish(snapshot candidate, publish_completion done)
{
    publish_requested request;
    request.mayBeInLog = !candidate.recordId.empty();
    if (candidate.recordId.empty())
        candidate.recordId = newRecordId();
    candidate.publishedAt = m_data->dependencies.clock.wallNow();
    candidate.version = 0;
    {
        const std::scoped_lock lock(m_data->mutex);
        request.publication = publication_id { m_data->nextPublication++ };
        m_data->pendingPublications.emplace(request.publication, std::move(done));
    }
    request.candidate = std::move(candidate);
    m_data->process(request);
}

void configuration_controller::handlePeerRevision(std::uint64_t version, std::uint32_t digest, const std::string& peerAddress)
{
    m_data->process(peer_revision_received { version, digest, peerAddress });
}

std::shared_ptr<const snapshot> configuration_controller::current() const
{
    const std::scoped_lock lock(m_data->mutex);
    return m_data->logFollower.current();
}

std::chrono::milliseconds configuration_controller::age() const
{
    const std::scoped_lock lock(m_data->mutex);
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_data->dependencies.clock.now() - m_data->inForceSince);
}

bool configuration_controller::hasSynced() const
{
    const std::scoped_lock lock(m_data->mutex);
    return m_data->logFollower.hasSynced();
}

std::vector<history_entry> configuration_controller::history() const
{
    const std::scoped_lock lock(m_data->mutex);
    return { m_data->logFollower.history().begin(), m_data->logFollower.history().end() };
}

std::optional<history_entry> configuration_controller::outcomeOf(const std::string& recordId) const
{
    const std::scoped_lock lock(m_data->mutex);
    return m_data->logFollower.outcomeOf(recordId);
}

} // namespace coriandermount::configuration
