#include "fleet/fleet_controller.h"

#include <algorithm>
#include <array>
#include <condition_variable>
#include <mutex>
#include <thread>

#include <fmt/format.h>

#include "core/log.h"
#include "fleet/gossip_codec.h"
#include "fleet/leaving_workers.h"
#include "fleet/worker_directory.h"
#include "platform/codec.h"

namespace coriandermount::fleet {

namespace {

    constexpr std::chrono::milliseconds tickInterval { 50 };
    /// Longest time that a shutdown waits for members to acknowledge that this VM is leaving.
    constexpr std::chrono::milliseconds leaveAckTimeout { 500 };
    constexpr std::chrono::milliseconds peerTableTimeout { 500 };
    constexpr std::chrono::milliseconds peerTableInterval { 250 };
    constexpr std::string_view gossipMethod = "gossip";
    constexpr std::string_view workerTableMethod = "worker_table";

    bool sameView(const fleet_view& a, const fleet_view& b)
    {
        return a.self == b.self && a.members == b.members && a.otherDomains == b.otherDomains;
    }

    std::string_view nameOf(member_state state)
    {
        constexpr std::array<std::string_view, 4> names { "alive", "suspected", "leaving", "dead" };
        return names[static_cast<std::size_t>(state)];
    }

    event_log::event_kind kindOf(const member_changed& change)
    {
        if (change.to == member_state::suspected)
            return event_log::event_kind::vm_suspected;
        const bool newlyLeaving = change.to == member_state::dead || change.to == member_state::leaving;
        return newlyLeaving ? event_log::event_kind::vm_left : event_log::event_kind::vm_joined;
    }

} // namespace

struct fleet_controller::data {
    fleet_dependencies dependencies;
    fleet_controller_options options;
    fleet_listener listener;
    /// Guards the protocol, the workers, the open requests and the state of the fetches.
    std::mutex mutex;
    /// Signalled after the protocol has handled an event.
    std::condition_variable eventHandled;
    std::unique_ptr<membership> protocol;
    worker_directory workers;
    leaving_workers leaving;
    std::uint64_t nextRequest = 1;
    /// Requests of peers that have not been replied to.
    std::map<request_id, peers::peer_service::reply_function> requests;
    bool fetchingList = false;
    bool listFetched = false;
    bool fetchingPeerTable = false;
    /// True if the workers changed since the worker table was published.
    bool workersDirty = false;
    time_point nextList;
    time_point nextPeerTable;
    /// Guards `stopping` only.
    std::mutex threadMutex;
    std::condition_variable wake;
    bool stopping = false;
    std::thread thread;

    data(fleet_dependencies givenDependencies, fleet_controller_options givenOptions, fleet_listener givenListener);

    void run();
    void tick();
    void process(const membership_event& event);
    void performAll(membership_actions& actions);
    void perform(send_call& action);
    void perform(send_reply& action);
    void perform(const member_changed& action);
    void perform(const leaving_workers_received& action);
    void perform(const configuration_mismatch& action) const
    {
        listener.onConfigurationMismatch(action.revision, action.peerAddress);
    }
    void perform(const marked_leaving&) const { listener.onMarkedLeaving(); }
    void handleGossip(const std::string& text, const peers::peer_service::reply_function& reply);
    void fetchList();
    void applyList(const platform::vm_listing& current);
    void fetchPeerTable();
    void applyPeerTable(const std::string& text);
    std::string encodeWorkerTable();
    void reportLoad();
    void publish();
};

fleet_controller::data::data(
    fleet_dependencies givenDependencies, fleet_controller_options givenOptions, fleet_listener givenListener)
    : dependencies(givenDependencies)
    , options(std::move(givenOptions))
    , listener(std::move(givenListener))
    , workers(options.membership.domain, options.shrinkGracePeriod)
    , leaving(options.membership.listLag)
{
}

void fleet_controller::data::run()
{
    std::unique_lock lock(threadMutex);
    while (!stopping) {
        lock.unlock();
        tick();
        lock.lock();
        wake.wait_for(lock, tickInterval, [this] { return stopping; });
    }
}

void fleet_controller::data::tick()
{
    const time_point now = dependencies.clock.now();
    if (now >= nextList)
        fetchList();
    if (now >= nextPeerTable)
        fetchPeerTable();
    reportLoad();
    process(ticked {});
    publish();
}

void fleet_controller::data::process(const membership_event& event)
{
    membership_actions actions;
    {
        const std::scoped_lock lock(mutex);
        actions = protocol->handle(event, dependencies.clock.now(), dependencies.clock.wallNow());
    }
    eventHandled.notify_all();
    performAll(actions);
}

void fleet_controller::data::performAll(membership_actions& actions)
{
    for (auto& action : actions)
        std::visit([this](auto& value) { perform(value); }, action);
}

void fleet_controller::data::perform(send_call& action)
{
    std::string text = encodeGossip(action.message);
    dependencies.link.call(action.address, std::string(gossipMethod), std::move(text), action.timeout,
        [this, call = action.call](const tl::expected<std::string, net::transport_error>& reply) {
            call_ended ended;
            ended.call = call;
            if (reply) {
                if (auto message = decodeGossip(*reply))
                    ended.reply = std::move(*message);
            }
            process(ended);
        });
}

void fleet_controller::data::perform(send_reply& action)
{
    peers::peer_service::reply_function reply;
    {
        const std::scoped_lock lock(mutex);
        auto node = requests.extract(action.request);
        if (!node)
            return;
        reply = std::move(node.mapped());
    }
    reply(encodeGossip(action.message));
}

void fleet_controller::data::perform(const member_changed& action)
{
    event_log::event entry;
    entry.kind = kindOf(action);
    entry.subject = action.vm.value;
    entry.rule = "membership";
    entry.limit = nameOf(action.from);
    entry.value = nameOf(action.to);
    dependencies.journal.record(std::move(entry));
    writeLog(log_level::info, "fleet", "member state changed",
        { { "vm", action.vm.value }, { "from", std::string(nameOf(action.from)) }, { "to", std::string(nameOf(action.to)) } });
}

void fleet_controller::data::perform(const leaving_workers_received& action)
{
    const std::scoped_lock lock(mutex);
    leaving.apply(action.workers, dependencies.clock.wallNow());
    workers.markLeaving(action.workers);
    workersDirty = true;
}

void fleet_controller::data::handleGossip(const std::string& text, const peers::peer_service::reply_function& reply)
{
    auto message = decodeGossip(text);
    if (!message) {
        dependencies.metrics.count(message.error().kind);
        reply({});
        return;
    }
    request_received received;
    received.message = std::move(*message);
    {
        const std::scoped_lock lock(mutex);
        received.request = request_id { nextRequest++ };
        requests.emplace(received.request, reply);
    }
    process(received);
}

void fleet_controller::data::fetchList()
{
    {
        const std::scoped_lock lock(mutex);
        if (fetchingList)
            return;
        fetchingList = true;
        nextList = dependencies.clock.now() + options.listInterval;
    }
    dependencies.vmList.fetch([this](const result<platform::vm_listing>& fetched) {
        if (fetched) {
            applyList(*fetched);
        } else {
            dependencies.metrics.count(fetched.error().kind);
            writeLog(log_level::warning, "fleet", "failed to read the VM list", { { "detail", fetched.error().detail } });
        }
        const std::scoped_lock lock(mutex);
        fetchingList = false;
    });
}

void fleet_controller::data::applyList(const platform::vm_listing& current)
{
    std::vector<leaving_worker> newlyLeaving;
    {
        const std::scoped_lock lock(mutex);
        newlyLeaving = workers.applyListing(current.workers, dependencies.clock.now(), dependencies.clock.wallNow());
        listFetched = true;
        workersDirty = true;
    }
    process(listing_read { current.entryVms });
    if (!newlyLeaving.empty())
        process(leaving_workers_listed { std::move(newlyLeaving) });
}

void fleet_controller::data::fetchPeerTable()
{
    std::string address;
    {
        const std::scoped_lock lock(mutex);
        nextPeerTable = dependencies.clock.now() + peerTableInterval;
        if (listFetched || fetchingPeerTable || !workers.empty())
            return;
        const fleet_view view = protocol->view(dependencies.clock.now());
        const auto peer = std::find_if(view.members.begin(), view.members.end(),
            [this](const member& vm) { return vm.id != options.membership.id && vm.state == member_state::alive; });
        if (peer == view.members.end())
            return;
        address = peer->peerAddress;
        fetchingPeerTable = true;
    }
    dependencies.link.call(address, std::string(workerTableMethod), {}, peerTableTimeout,
        [this](const tl::expected<std::string, net::transport_error>& reply) {
            if (reply)
                applyPeerTable(*reply);
            const std::scoped_lock lock(mutex);
            fetchingPeerTable = false;
        });
}

void fleet_controller::data::applyPeerTable(const std::string& text)
{
    const auto listing = platform::decodeListing(text);
    if (!listing)
        return;
    const std::scoped_lock lock(mutex);
    workers.applyPeerTable(listing->workers);
    workersDirty = true;
}

std::string fleet_controller::data::encodeWorkerTable()
{
    const std::scoped_lock lock(mutex);
    platform::vm_listing listing;
    listing.workers = workers.table(leaving.all())->workers;
    return platform::encodeListing(listing);
}

void fleet_controller::data::reportLoad()
{
    load_reported load;
    const auto demand = dependencies.board.demand.read();
    for (const auto& [worker, slots] : demand->usedSlots)
        load.usedSlots += slots;
    {
        const std::scoped_lock lock(mutex);
        load.liveWorkers = workers.liveWorkers();
        load.totalSlots = workers.totalSlots();
    }
    process(load);
}

void fleet_controller::data::publish()
{
    std::shared_ptr<const worker_table> table;
    std::shared_ptr<const fleet_view> view;
    bool ready = false;
    {
        const std::scoped_lock lock(mutex);
        leaving.expire(dependencies.clock.wallNow());
        if (workersDirty)
            table = workers.table(leaving.all());
        workersDirty = false;
        view = std::make_shared<const fleet_view>(protocol->view(dependencies.clock.now()));
        ready = protocol->joined() && !workers.empty();
    }
    if (!sameView(*view, *dependencies.board.fleet.read()))
        dependencies.board.fleet.publish(view);
    if (table && table->workers != dependencies.board.workers.read()->workers) {
        dependencies.board.workers.publish(std::move(table));
        listener.onWorkersChanged();
    }
    if (ready && !dependencies.board.ready.load() && listener.otherSubsystemsReady())
        dependencies.board.ready.store(true);
}

fleet_controller::fleet_controller(fleet_dependencies dependencies, fleet_controller_options options, fleet_listener listener)
    : m_data(std::make_unique<data>(dependencies, std::move(options), std::move(listener)))
{
    dependencies.service.addMethod(
        std::string(gossipMethod), [this](const std::string& message, const peers::peer_service::reply_function& reply) {
            m_data->handleGossip(message, reply);
        });
    dependencies.service.addMethod(std::string(workerTableMethod),
        [this](const std::string&, const peers::peer_service::reply_function& reply) { reply(m_data->encodeWorkerTable()); });
    m_data->protocol = std::make_unique<membership>(m_data->options.membership, dependencies.clock.now());
}

fleet_controller::~fleet_controller() { stop(); }

void fleet_controller::start(std::uint16_t peerPort)
{
    membership_options& own = m_data->options.membership;
    if (own.peerAddress.find(':') == std::string::npos)
        own.peerAddress = fmt::format("{}:{}", own.peerAddress, peerPort);
    {
        const std::scoped_lock lock(m_data->mutex);
        m_data->protocol = std::make_unique<membership>(own, m_data->dependencies.clock.now());
    }
    m_data->thread = std::thread([this] { m_data->run(); });
}

void fleet_controller::stop()
{
    {
        const std::scoped_lock lock(m_data->threadMutex);
        m_data->stopping = true;
    }
    m_data->wake.notify_one();
    if (m_data->thread.joinable())
        m_data->thread.join();
}

void fleet_controller::leave()
{
    m_data->process(leave_requested {});
    std::unique_lock lock(m_data->mutex);
    m_data->eventHandled.wait_for(lock, leaveAckTimeout, [this] { return !m_data->protocol->hasPendingPushes(); });
}

result<void> fleet_controller::drain(const vm_id& vm)
{
    const auto view = m_data->dependencies.board.fleet.read();
    const bool known
        = std::any_of(view->members.begin(), view->members.end(), [&vm](const member& other) { return other.id == vm; });
    if (!known)
        return fail(error_kind::not_found, fmt::format("VM \"{}\" is not a known member of this failure domain", vm.value));
    m_data->process(member_drain_requested { vm });
    return {};
}

void fleet_controller::setConfiguration(const configuration_revision& revision)
{
    m_data->process(configuration_updated { revision });
}

} // namespace coriandermount::fleet
