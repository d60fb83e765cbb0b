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

    /// Replies that wait for the arbiter's answer to a request; one per VM, since a later request voids the earlier one.
    struct open_reply {
        session_id session;
        std::uint64_t sequence = 0;
        peers::peer_service::reply_function reply;
    };

} // namespace

struct share_service::data : std::enable_shared_from_this<share_service::data> {
    share_service_dependencies parts;
    listener changed;
    share_controller controller;
    std::map<vm_id, open_reply> replies;

    std::mutex mutex;
    std::condition_variable arrived;
    std::vector<message> inbox;
    bool stopping = false;
    std::thread thread;
    std::atomic<bool> hasLease { false };

    std::shared_ptr<const fleet_view> view;
    std::shared_ptr<const worker_table> workers;
    std::shared_ptr<const configuration::snapshot> configuration;
    std::shared_ptr<const demand> engine;
    std::shared_ptr<const share_snapshot> published;
    std::uint64_t lastNumber = 0;
    std::chrono::milliseconds lease;

    data(share_service_dependencies given, const lease_times& times, listener onChange)
        : parts(given)
        , changed(std::move(onChange))
        , controller(times, static_cast<std::uint64_t>(parts.clock.wallNow().time_since_epoch().count()), parts.clock.now())
        , lease(times.lease)
    {
    }

    void run();
    void readBoard(time_point now);
    void handleInbox(time_point now);
    void take(const std::string& text, peers::peer_service::reply_function reply);
    void send(const std::vector<message>& messages);
    void sendReply(const sync_reply& content);
    void call(const message& content, const char* method, const vm_id& target);
    void publish(time_point now);
    bool isNews(const share_snapshot& next, time_point now) const;
};

void share_service::data::run()
{
    while (true) {
        {
            std::unique_lock lock(mutex);
            arrived.wait_for(lock, tickInterval, [this] { return stopping || !inbox.empty(); });
            if (stopping)
                return;
        }
        const time_point now = parts.clock.now();
        readBoard(now);
        // Without a view of the fleet there may be others that hold units.
        if (controller.self().value.empty())
            continue;
        handleInbox(now);
        send(controller.tick(now));
        publish(parts.clock.now());
    }
}

void share_service::data::readBoard(time_point now)
{
    if (auto current = parts.board.workers.read(); current != workers) {
        workers = std::move(current);
        controller.setWorkers(*workers, now);
    }
    if (auto current = parts.board.configuration.read(); current != configuration) {
        configuration = std::move(current);
        controller.setConfiguration(*configuration, now);
    }
    if (auto current = parts.board.fleet.read(); current != view) {
        view = std::move(current);
        controller.setView(*view, now);
    }
    if (auto current = parts.board.demand.read(); current != engine) {
        engine = std::move(current);
        controller.setDemand(*engine, now);
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

void share_service::data::take(const std::string& text, peers::peer_service::reply_function reply)
{
    auto content = decodeMessage(text);
    if (!content) {
        writeLog(log_level::warning, "quota", "a message can't be read", { { "detail", content.error().detail } });
        reply({});
        return;
    }
    const auto* request = std::get_if<sync_request>(&*content);
    if (!request) {
        reply({});
        reply = {};
    }
    peers::peer_service::reply_function voided;
    bool first = false;
    {
        const std::scoped_lock lock(mutex);
        if (stopping) {
            voided = std::move(reply);
        } else {
            if (request) {
                open_reply& slot = replies[request->from];
                voided = std::move(slot.reply);
                slot = { request->session, request->sequence, std::move(reply) };
            }
            first = inbox.empty();
            inbox.push_back(std::move(*content));
        }
    }
    if (voided)
        voided({});
    if (first)
        arrived.notify_one();
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
        const auto found = replies.find(content.to);
        if (found == replies.end() || found->second.session != content.session || found->second.sequence != content.sequence)
            return;
        reply = std::move(found->second.reply);
        replies.erase(found);
    }
    if (reply)
        reply(encodeMessage(content));
}

void share_service::data::call(const message& content, const char* method, const vm_id& target)
{
    const std::string address = controller.addressOf(target);
    if (address.empty())
        return;
    parts.link.call(address, method, encodeMessage(content), callTimeout,
        [self = weak_from_this()](const tl::expected<std::string, net::transport_error>& answer) {
            const auto owner = self.lock();
            // A lost or empty answer is made up for by the next request.
            if (owner && answer && !answer->empty())
                owner->take(*answer, [](const std::string&) {});
        });
}

bool share_service::data::isNews(const share_snapshot& next, time_point now) const
{
    if (!published || next.configurationVersion != published->configurationVersion)
        return true;
    if (next.plans != published->plans || next.slots != published->slots)
        return true;
    // A renewal alone is passed on when half of the lease is over.
    return next.validUntil != published->validUntil && published->validUntil - now < lease / 2;
}

void share_service::data::publish(time_point now)
{
    auto next = std::make_shared<share_snapshot>(controller.snapshot(now));
    hasLease.store(!next->slots.empty() || (next->validUntil > now && !workers->workers.empty()));
    if (!isNews(*next, now))
        return;
    next->number = ++lastNumber;
    controller.markPublished(next->number);
    published = std::move(next);
    parts.board.shares.publish(published);
    changed(published);
}

share_service::share_service(share_service_dependencies parts, lease_times times, listener changed)
    : m_data(std::make_shared<data>(parts, times, std::move(changed)))
{
    for (const char* method : { syncMethod, recallMethod }) {
        parts.service.addMethod(
            method, [self = m_data.get()](const std::string& text, peers::peer_service::reply_function reply) {
                self->take(text, std::move(reply));
            });
    }
}

share_service::~share_service() { stop(); }

void share_service::start()
{
    // Nothing may be used until the first lease.
    auto nothing = std::make_shared<share_snapshot>();
    m_data->changed(nothing);
    m_data->thread = std::thread([this] { m_data->run(); });
}

void share_service::stop()
{
    std::map<vm_id, open_reply> open;
    {
        const std::scoped_lock lock(m_data->mutex);
        m_data->stopping = true;
        open.swap(m_data->replies);
    }
    m_data->arrived.notify_one();
    if (m_data->thread.joinable())
        m_data->thread.join();
    for (auto& [vm, entry] : open) {
        if (entry.reply)
            entry.reply({});
    }
}

bool share_service::ready() const { return m_data->hasLease.load(); }

} // namespace coriandermount::quota
