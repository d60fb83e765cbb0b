#include "main/entry_node.h"

#include <algorithm>
#include <atomic>
#include <charconv>
#include <sstream>
#include <thread>

#include <fmt/format.h>
#include <xxhash.h>

#include "cells/cell_member.h"
#include "cells/cell_owner.h"
#include "cells/fleet_neighbors.h"
#include "cells/job_router.h"
#include "cells/vm_directory.h"
#include "core/log.h"
#include "core/rcu_value.h"
#include "jobs/job_intake.h"
#include "jobs/job_service.h"
#include "metrics/entry_metrics.h"
#include "net/datagram_socket.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "peers/http_peers.h"
#include "platform/client_front.h"
#include "platform/config_follower.h"
#include "platform/store_client.h"
#include "platform/worker_client.h"
#include "platform/worker_registry.h"

namespace coriandermount {

namespace {

    /// Time between looks at what is due.
    constexpr std::chrono::milliseconds tickInterval { 10 };
    constexpr std::chrono::milliseconds idleTickInterval { 40 };
    /// Time for the owner to tell the state of a job.
    constexpr std::chrono::milliseconds stateTimeout { 400 };
    /// Added to the platform's bound for how long the state of a job can be asked.
    constexpr std::chrono::seconds retentionMargin { 60 };
    /// Time in which the balancer notices that this VM is not ready: two looks, one a second.
    constexpr std::chrono::milliseconds balancerDelay { 2600 };
    /// Left of the grace period when the last requests are cut short.
    constexpr std::chrono::milliseconds shutdownReserve { 600 };
    constexpr std::chrono::milliseconds shutdownPoll { 50 };
    /// Time to write that the cell has no owner; some answers of the store.
    constexpr std::chrono::milliseconds releaseTime { 80 };

    /// Port of the metrics, as deploy/system.toml tells the platform.
    constexpr std::uint16_t metricsPort = 9464;

    constexpr const char* stateMethod = "job.state";
    constexpr const char* runMethod = "job.run";
    constexpr const char* lentMethod = "cell.lent";
    /// Answer of an owner that does not know all its runs.
    constexpr const char* unknownRuns = "?";
    constexpr const char* vmTopic = "keyed.vms";
    constexpr const char* cellTopic = "keyed.cells";
    constexpr const char* jobTopic = "keyed.jobs";

    /// States and errors go between VMs by number and name.
    std::string encodeState(const result<jobs::job_state>& state)
    {
        return state ? fmt::to_string(static_cast<int>(*state)) : std::string(nameOf(state.error().kind));
    }

    result<jobs::job_state> decodeState(const std::string& message)
    {
        int number = 0;
        const auto [end, problem] = std::from_chars(message.data(), message.data() + message.size(), number);
        if (problem == std::errc() && number <= static_cast<int>(jobs::job_state::cancelled))
            return static_cast<jobs::job_state>(number);
        return fail(findErrorKind(message).value_or(error_kind::owner_unknown), "as told by the owner");
    }

    net::http_server_options listenerOptions(const std::string& listener)
    {
        net::http_server_options options;
        const auto colon = listener.rfind(':');
        options.address = listener.substr(0, colon);
        options.port = static_cast<std::uint16_t>(std::stoi(listener.substr(colon + 1)));
        options.threads = 1;
        options.maxBodyBytes = std::size_t { 256 } * 1024;
        options.dateHeader = false;
        return options;
    }

    net::http_client_options clientOptions(const platform::boot_settings& settings)
    {
        net::http_client_options options;
        options.sourceAddress = settings.address;
        return options;
    }

    cells::cell_settings cellSettings(const platform::boot_settings& settings)
    {
        cells::cell_settings limits;
        limits.maxLease = settings.maxLease;
        limits.stopGrace = settings.stopGrace;
        limits.finishedRetention = settings.statusRetention + retentionMargin;
        return limits;
    }

    cells::cell_number cellOf(const platform::boot_settings& settings)
    {
        const auto& domains = settings.failureDomains;
        return static_cast<cells::cell_number>(
            std::find(domains.begin(), domains.end(), settings.failureDomain.value) - domains.begin());
    }

    std::uint64_t bootNumber(const clock_source& clock)
    {
        return static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count());
    }

} // namespace

struct entry_node::data final : jobs::job_service, cells::beat_link, cells::owner_link {
    platform::boot_settings settings;
    boot_clock_source clock;
    /// Cell of the own failure domain, and number of cells.
    cells::cell_number cell;
    cells::cell_number cells;
    std::uint64_t boot;
    net::http_client client;
    platform::store_client store;
    platform::worker_client workerLink;
    rcu_value<jobs::queue_table> table;
    platform::config_follower configuration;
    std::vector<std::unique_ptr<jobs::job_intake>> intakes;
    cells::cell_owner owner;
    platform::worker_registry workers;
    cells::cell_member member;
    cells::vm_directory directory;
    net::datagram_socket beats;
    peers::http_peer_link peerLink;
    peers::http_peer_service peerService;
    cells::job_router router;
    cells::fleet_neighbors neighbors;
    net::http_server front;
    net::http_server readiness;
    metrics::entry_metrics metrics;
    net::http_server metricsServer;
    std::atomic<bool> draining { false };
    std::atomic<bool> stopping { false };
    std::thread ticker;

    explicit data(const platform::boot_settings& values);

    cells::vm_registration registration() const;
    cells::vm_identity identity() const { return { settings.vm, boot, settings.processorMillis }; }
    cells::beat ownBeat() const;
    std::optional<cells::run_target> runTarget() const;
    cells::cell_number homeOf(const std::string& jobId) const;
    void addPeerMethods();
    void addLentMethod();
    void onDatagram(const std::string& datagram);
    void run();

    std::shared_ptr<const jobs::queue_table> queues() const override { return table.read(); }
    void submit(jobs::job work, const jobs::queue_rules& rules, std::chrono::milliseconds timeLeft,
        std::function<void(result<jobs::job_state>)> done) override;
    void cancel(const std::string& jobId, std::function<void(result<void>)> done) override;
    void state(const std::string& jobId, std::function<void(result<jobs::job_state>)> done) override;
    result<std::uint32_t> pending(const std::string& queue) const override;
    void noteAnswer(std::optional<error_kind> problem, std::chrono::microseconds took) override
    {
        metrics.noteAnswer(problem, took);
    }
    void showMetrics(const std::shared_ptr<net::responder>& responder) const;
    bool isReady() const override;
    bool isDraining() const override { return draining.load(std::memory_order_relaxed); }
    void send(const std::string& address, const std::string& datagram) override { beats.send(address, datagram); }
    void run(const std::string& address, const jobs::run_request& request, cells::job_completion done) override;
    void askLentJobs(const std::string& address, jobs::lender home,
        std::function<void(std::optional<std::vector<std::string>>)> done) override;
};

entry_node::data::data(const platform::boot_settings& values)
    : settings(values)
    , cell(cellOf(values))
    , cells(static_cast<cells::cell_number>(values.failureDomains.size()))
    , boot(bootNumber(clock))
    , client(clientOptions(values))
    , store(client, values.storeAddress)
    , workerLink(client)
    , configuration(store, clock, table)
    , owner(store, workerLink, clock, { jobTopic, cell }, cellSettings(values))
    , workers(store, clock, owner, values.failureDomain)
    , member(store, clock, owner, workers, { cellTopic, cell }, cell, identity())
    , directory(store, *this, clock, { vmTopic, 0 }, registration(), [this] { return ownBeat(); })
    , beats(values.address, values.firstPeerPort, [this](const std::string& datagram) { onDatagram(datagram); })
    , peerLink(client)
    , peerService(listenerOptions(fmt::format("{}:{}", values.address, values.firstPeerPort)))
    , router(clock, owner, *this, [this] { return runTarget(); })
    , neighbors(clock, owner, *this, directory, cell, cells)
    , front(listenerOptions(values.clientListener), platform::clientHandler(*this))
    , readiness(listenerOptions(values.readyListener), platform::readinessHandler(*this))
    , metricsServer(listenerOptions(fmt::format("{}:{}", values.address, metricsPort)),
          [this](const net::http_request&, const std::shared_ptr<net::responder>& responder) { showMetrics(responder); })
{
    for (cells::cell_number number = 0; number < cells; ++number)
        intakes.push_back(std::make_unique<jobs::job_intake>(store, clock, jobs::record_stream { jobTopic, number }));
    member.onChange([this] { directory.hurry(); });
    owner.lendTo(neighbors);
    addPeerMethods();
}

void entry_node::data::addPeerMethods()
{
    peerService.addMethod(stateMethod, [this](const std::string& jobId, const peers::peer_service::reply_function& reply) {
        owner.awaitState(jobId, [reply](const result<jobs::job_state>& state) { reply(encodeState(state)); });
    });
    peerService.addMethod(runMethod, [this](const std::string& message, const peers::peer_service::reply_function& reply) {
        auto request = jobs::decodeRunRequest(message);
        if (request)
            owner.run(std::move(*request), [reply](const result<jobs::job_state>& state) { reply(encodeState(state)); });
        else
            reply(encodeState(tl::unexpected(request.error())));
    });
    addLentMethod();
}

void entry_node::data::addLentMethod()
{
    peerService.addMethod(lentMethod, [this](const std::string& message, const peers::peer_service::reply_function& reply) {
        jobs::lender home;
        std::istringstream(message) >> home.cell >> home.epoch;
        const auto ids = owner.jobsRunFor(home);
        reply(ids ? fmt::format("{}", fmt::join(*ids, " ")) : std::string(unknownRuns));
    });
}

cells::vm_registration entry_node::data::registration() const
{
    return { identity(), fmt::format("{}:{}", settings.address, settings.firstPeerPort), settings.failureDomain };
}

cells::beat entry_node::data::ownBeat() const
{
    return { settings.vm, boot, isDraining(), member.storeReachable(), { member.view() }, settings.processorMillis };
}

void entry_node::data::onDatagram(const std::string& datagram)
{
    const auto current = cells::decodeBeat(datagram);
    if (!current)
        return;
    directory.onBeat(*current);
    member.onBeat(*current);
}

std::optional<cells::run_target> entry_node::data::runTarget() const
{
    if (member.isOwner())
        return cells::run_target { true, {}, member.view().epoch };
    const auto heard = directory.owner(cell);
    if (!heard)
        return std::nullopt;
    return cells::run_target { false, heard->address, heard->epoch };
}

cells::cell_number entry_node::data::homeOf(const std::string& jobId) const
{
    return static_cast<cells::cell_number>(XXH3_64bits(jobId.data(), jobId.size()) % cells);
}

void entry_node::data::run()
{
    while (!stopping.load()) {
        const bool owns = owner.isServing();
        configuration.tick(clock.now());
        for (const auto& intake : intakes)
            intake->tick();
        member.hears(directory.scope());
        member.tick();
        directory.tick();
        owner.tick();
        router.tick();
        neighbors.tick();
        std::this_thread::sleep_for(owns || router.waiting() > 0 ? tickInterval : idleTickInterval);
    }
}

void entry_node::data::submit(jobs::job work, const jobs::queue_rules& rules, std::chrono::milliseconds timeLeft,
    std::function<void(result<jobs::job_state>)> done)
{
    const bool answeredAtEnd = work.answeredAtEnd;
    const auto objective = jobs::objectiveOf(work, rules);
    jobs::accepted_job accepted { std::move(work), rules.service, rules.priority, rules.maxAttempts, objective, clock.wallNow() };
    if (answeredAtEnd) {
        router.run({ std::move(accepted), false, timeLeft }, std::move(done));
        return;
    }
    intakes[homeOf(accepted.work.id)]->store(accepted, [done = std::move(done)](const result<void>& stored) {
        done(stored ? result<jobs::job_state>(jobs::job_state::queued) : tl::unexpected(stored.error()));
    });
}

void entry_node::data::run(const std::string& address, const jobs::run_request& request, cells::job_completion done)
{
    const auto timeout = std::max(request.timeLeft, std::chrono::milliseconds(1));
    peerLink.call(address, runMethod, jobs::encodeRunRequest(request), timeout, [done = std::move(done)](const auto& reply) {
        if (reply)
            done(decodeState(*reply));
        else
            done(fail(error_kind::owner_unknown, reply.error().message));
    });
}

void entry_node::data::askLentJobs(
    const std::string& address, jobs::lender home, std::function<void(std::optional<std::vector<std::string>>)> done)
{
    peerLink.call(address, lentMethod, fmt::format("{} {}", home.cell, home.epoch), cells::lentAnswerLimit,
        [done = std::move(done)](const auto& reply) {
            if (!reply || *reply == unknownRuns) {
                done(std::nullopt);
                return;
            }
            std::vector<std::string> ids;
            std::istringstream text(*reply);
            for (std::string id; text >> id;)
                ids.push_back(id);
            done(std::move(ids));
        });
}

void entry_node::data::cancel(const std::string& jobId, std::function<void(result<void>)> done)
{
    intakes[homeOf(jobId)]->cancel(jobId, std::move(done));
}

void entry_node::data::state(const std::string& jobId, std::function<void(result<jobs::job_state>)> done)
{
    const auto home = homeOf(jobId);
    if (home == cell && member.isOwner()) {
        owner.awaitState(jobId, std::move(done));
        return;
    }
    const auto heard = directory.owner(home);
    if (!heard) {
        done(fail(error_kind::owner_unknown, fmt::format("cell {} has no owner in reach", home)));
        return;
    }
    peerLink.call(heard->address, stateMethod, jobId, stateTimeout, [done = std::move(done)](const auto& reply) {
        if (reply)
            done(decodeState(*reply));
        else
            done(fail(error_kind::owner_unknown, reply.error().message));
    });
}

result<std::uint32_t> entry_node::data::pending(const std::string& queue) const
{
    std::uint32_t sum = 0;
    for (cells::cell_number number = 0; number < cells; ++number) {
        const auto heard = directory.owner(number);
        if (!heard || !heard->load.recordsCurrent)
            return fail(error_kind::owner_unknown, fmt::format("cell {} does not tell its pending jobs", number));
        const auto found = heard->load.pendingByQueue.find(queue);
        sum += found == heard->load.pendingByQueue.end() ? 0 : found->second;
    }
    return sum;
}

void entry_node::data::showMetrics(const std::shared_ptr<net::responder>& responder) const
{
    const auto cellFigures = owner.figures();
    const auto calls = store.counters();
    std::vector<metrics::counted_figure> figures { { "task_starts_total", {}, cellFigures.starts },
        { "jobs_lent_total", {}, cellFigures.lentJobs }, { "runs_lost_total", {}, cellFigures.lostRuns },
        { "jobs_ended_total", "completed", cellFigures.completedJobs }, { "jobs_ended_total", "failed", cellFigures.failedJobs },
        { "jobs_ended_total", "cancelled", cellFigures.cancelledJobs }, { "store_calls_total", "append", calls.appends },
        { "store_calls_total", "read", calls.reads }, { "store_calls_total", "refused", calls.refused },
        { "store_calls_total", "unanswered", calls.unanswered }, { "cell_owned", {}, member.isOwner() ? 1U : 0U },
        { "log_lines_dropped_total", {}, droppedLogLines() } };
    for (std::size_t failure = 0; failure < cells::orderFailures; ++failure)
        figures.push_back({ "start_failures_total", cells::nameOf(static_cast<cells::order_failure>(failure)),
            cellFigures.startFailures[failure] });
    net::http_response answer;
    answer.contentType = "text/plain; version=0.0.4";
    answer.body = metrics.text(figures);
    responder->reply(std::move(answer));
}

bool entry_node::data::isReady() const
{
    return !isDraining() && table.read()->version > 0 && member.storeReachable() && runTarget().has_value();
}

entry_node::entry_node(const platform::boot_settings& settings)
    : m_data(std::make_unique<data>(settings))
{
}

entry_node::~entry_node()
{
    m_data->stopping.store(true);
    if (m_data->ticker.joinable())
        m_data->ticker.join();
}

result<void> entry_node::start()
{
    if (auto started = m_data->beats.start(); !started)
        return started;
    if (auto started = m_data->peerService.start(); !started)
        return started;
    if (auto started = m_data->front.start(); !started)
        return started;
    if (auto started = m_data->readiness.start(); !started)
        return started;
    if (auto started = m_data->metricsServer.start(); !started)
        return started;
    m_data->configuration.start();
    m_data->directory.start();
    m_data->member.start();
    m_data->ticker = std::thread([this] { m_data->run(); });
    writeLog(log_level::info, "node", "started",
        { { "vm", m_data->settings.vm.value }, { "failure_domain", m_data->settings.failureDomain.value },
            { "store", m_data->settings.storeAddress } });
    return {};
}

void entry_node::shutDown()
{
    const auto began = std::chrono::steady_clock::now();
    writeLog(log_level::info, "node", "stops", { { "pending", fmt::to_string(m_data->front.pendingRequests()) } });
    m_data->draining.store(true);
    m_data->member.drain();
    const auto limit = m_data->settings.shutdownGrace - shutdownReserve;
    auto elapsed = [began] { return std::chrono::steady_clock::now() - began; };
    while (elapsed() < limit && (elapsed() < balancerDelay || m_data->front.pendingRequests() > 0 || m_data->member.isOwner()))
        std::this_thread::sleep_for(shutdownPoll);
    m_data->member.release();
    std::this_thread::sleep_for(releaseTime);
    m_data->router.stop();
    for (const auto& intake : m_data->intakes)
        intake->stop();
    m_data->front.stop();
    writeLog(log_level::info, "node", "stopped");
}

} // namespace coriandermount
