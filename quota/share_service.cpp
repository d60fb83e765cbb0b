#include "quota/share_service.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

#include "core/log.h"
#include "quota/codec.h"

namespace coriandermount::quota {

namespace {

    constexpr std::chrono::milliseconds tickInterval { 10 };
    constexpr std::chrono::milliseconds callTimeout { 1000 };
    constexpr const char* syncMethod = "quota.sync";
    constexpr const char* recallMethod = "quota.recall";

    /// Reply to a peer's request that the arbiter has not replied to yet. There is one per VM, since a later request supersedes
    /// the earlier one.
    struct pending_reply {
        session_id session;
        std::uint64_t sequence = 0;
        peers::peer_service::reply_function reply;
    };

} // namespace

struct share_service::data : std::enable_shared_from_this<share_service::data> {
    share_service_dependencies dependencies;
    listener onPublished;
    share_controller controller;
    std::map<vm_id, pending_reply> pendingReplies;

    std::mutex mutex;
    std::condition_variable wakeUp;
    std::vector<message> inbox;
    bool stopping = false;
    std::thread thread;
    std::atomic<bool> hasLease { false };

    std::shared_ptr<const fleet_view> fleetView;
    std::shared_ptr<const worker_table> workers;
    std::shared_ptr<const configuration::snapshot> configuration;
    std::shared_ptr<const demand> engineDemand;
    std::shared_ptr<const share_snapshot> published;
    std::uint64_t lastSnapshotNumber = 0;
    std::chrono::milliseconds leaseDuration;

    data(share_service_dependencies givenDependencies, const lease_times& times, listener givenListener)
        : dependencies(givenDependencies)
        , onPublished(std::move(givenListener))
        , controller(times, static_cast<std::uint64_t>(dependencies.clock.wallNow().time_since_epoch().count()),
              dependencies.clock.now())
        , leaseDuration(times.lease)
    {
    }

    void run();
    void readBoard(time_point now);
    void handleInbox(time_point now);
    void receiveMessage(const std::string& text, peers::peer_service::reply_function reply);
    void send(const std::vector<message>& messages);
    void sendReply(const sync_reply& content);
    void call(const message& content, const char* method, const vm_id& target);
    void publish(time_point now);
    bool needsPublishing(const share_snapshot& next, time_point now) const;
};

void share_service::data::run()
{
    while (true) {
        {
            std::unique_lock lock(mutex);
            wakeUp.wait_for(lock, tickInterval, [this] { return stopping || !inbox.empty(); });
            if (stopping)
                return;
        }
        const time_point now = dependencies.clock.now();
        readBoard(now);
        // Without a view of the fleet it is not known whether other VMs hold units.
        if (controller.self().value.empty())
            continue;
        handleInbox(now);
        send(controller.tick(now));
        publish(dependencies.clock.now());
    }
}

void share_service::data::readBoard(time_point now)
{
    if (auto current = dependencies.board.workers.read(); current != workers) {
        workers = std::move(current);
        controller.setWorkers(*workers, now);
    }
    if (auto current = dependencies.board.configuration.read(); current != configuration) {
        configuration = std::move(current);
        controller.setConfiguration(*configuration, now);
    }
    if (auto current = dependencies.board.fleet.read(); current != fleetView) {
        fleetView = std::move(current);
        controller.setView(*fleetView, now);
    }
    if (auto current = dependencies.board.demand.read(); current != engineDemand) {
        engineDemand = std::move(current);
        controller.setDemand(*engineDemand, now);
    }
}

void share_service::data::handleInbox(time_point now)
{
    std::vector<message> batch;
    {
        const std::scoped_lock lock(mutex);
        batch.swap(inbox);
    }
    for (const auto& input : batch)
        send(controller.handle(input, now));
}

void share_service::data::receiveMessage(const std::string& text, peers::peer_service::reply_function reply)
{
    auto content = decodeMessage(text);
    if (!content) {
        writeLog(log_level::warning, "quota", "failed to decode a lease message", { { "detail", content.error().detail } });
        reply({});
        return;
    }
    const auto* request = std::get_if<sync_request>(&*content);
    if (!request) {
        reply({});
        reply = {};
    }
    peers::peer_service::reply_function supersededReply;
    bool wasEmpty = false;
    {
        const std::scoped_lock lock(mutex);
        if (stopping) {
            supersededReply = std::move(reply);
        } else {
            if (request) {
                pending_reply& pending = pendingReplies[request->from];
                supersededReply = std::move(pending.reply);
                pending = { request->session, request->sequence, std::move(reply) };
            }
            wasEmpty = inbox.empty();
            inbox.push_back(std::move(*content));
        }
    }
    if (supersededReply)
        supersededReply({});
    if (wasEmpty)
        wakeUp.notify_one();
}

void share_service::data::send(const std::vector<message>& messages)
{
    for (const auto& content : messages) {
        if (const auto* reply = std::get_if<sync_reply>(&content))
            sendReply(*reply);
        else if (const auto* request = std::get_if<sync_request>(&content))
            call(content, syncMethod, request->to);
        else
            call(content, recallMethod, std::get<recall_request>(content).to);
    }
}

void share_service::data::sendReply(const sync_reply& content)
{
    peers::peer_service::reply_function reply;
    {
        const std::scoped_lock lock(mutex);
        const auto found = pendingReplies.find(content.to);
        if (found == pendingReplies.end() || found->second.session != content.session
            || found->second.sequence != content.sequence)
            return;
        reply = std::move(found->second.reply);
        pendingReplies.erase(found);
    }
    if (reply)
        reply(encodeMessage(content));
}

void share_service::data::call(const message& content, const char* method, const vm_id& target)
{
    const std::string address = controller.addressOf(target);
    if (address.empty())
        return;
    dependencies.link.call(address, method, encodeMessage(content), callTimeout,
        [weakSelf = weak_from_this()](const tl::expected<std::string, net::transport_error>& reply) {
            const auto self = weakSelf.lock();
            // A lost or empty reply needs no handling: the next request repeats its content.
            if (self && reply && !reply->empty())
                self->receiveMessage(*reply, [](const std::string&) {});
        });
}

bool share_service::data::needsPublishing(const share_snapshot& next, time_point now) const
{
    if (!published || next.configurationVersion != published->configurationVersion)
        return true;
    if (next.plans != published->plans || next.slots != published->slots)
        return true;
    // A renewal without other changes is published once half of the lease is over.
    return next.validUntil != published->validUntil && published->validUntil - now < leaseDuration / 2;
}

void share_service::data::publish(time_point now)
{
    auto next = std::make_shared<share_snapshot>(controller.snapshot(now));
    hasLease.store(!next->slots.empty() || (next->validUntil > now && !workers->workers.empty()));
    if (!needsPublishing(*next, now))
        return;
    next->number = ++lastSnapshotNumber;
    controller.markPublished(next->number);
    published = std::move(next);
    dependencies.board.shares.publish(published);
    onPublished(published);
}

share_service::share_service(share_service_dependencies dependencies, lease_times times, listener onPublished)
    : m_data(std::make_shared<data>(dependencies, times, std::move(onPublished)))
{
    for (const char* method : { syncMethod, recallMethod }) {
        dependencies.service.addMethod(
            method, [self = m_data.get()](const std::string& text, peers::peer_service::reply_function reply) {
                self->receiveMessage(text, std::move(reply));
            });
    }
}

share_service::~share_service() { stop(); }

void share_service::start()
{
    // No share may be used before the first lease.
    auto emptySnapshot = std::make_shared<share_snapshot>();
    m_data->onPublished(emptySnapshot);
    m_data->thread = std::thread([this] { m_data->run(); });
}

void share_service::stop()
{
    std::map<vm_id, pending_reply> unanswered;
    {
        const std::scoped_lock lock(m_data->mutex);
        m_data->stopping = true;
        unanswered.swap(m_data->pendingReplies);
    }
    m_data->wakeUp.notify_one();
    if (m_data->thread.joinable())
        m_data->thread.join();
    for (auto& [vm, entry] : unanswered) {
        if (entry.reply)
            entry.reply({});
    }
}

bool share_service::ready() const { return m_data->hasLease.load(); }

} // namespace coriandermount::quota
