#include "main/node.h"

#include <thread>

#include <fmt/format.h>

#include "blackboard/blackboard.h"
#include "claims/fleet_claims.h"
#include "configuration/configuration_controller.h"
#include "core/clock.h"
#include "core/log.h"
#include "dispatch/dispatcher.h"
#include "event_log/journal.h"
#include "explain/journal_service.h"
#include "explain/status_service.h"
#include "front/api.h"
#include "front/configuration_routes.h"
#include "front/fleet_routes.h"
#include "front/job_codec.h"
#include "front/job_id_route.h"
#include "front/operator_routes.h"
#include "front/status_routes.h"
#include "main/claim_options.h"
#include "main/engine_options.h"
#include "main/fleet_options.h"
#include "metrics/metrics.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "peers/http_peers.h"
#include "platform/http_platform.h"
#include "quota/share_service.h"
#include "workers/http_worker_link.h"

namespace coriandermount {

namespace {

    constexpr std::chrono::milliseconds drainPollInterval { 10 };
    constexpr std::string_view anyAddress = "0.0.0.0";
    constexpr std::size_t bytesPerKilobyte = 1024;
    constexpr std::chrono::milliseconds journalFlushTimeout { 1000 };

    std::shared_ptr<net::body_budget> callerBodyBudget(const settings::values& settings)
    {
        const std::size_t memoryBytes = static_cast<std::size_t>(settings.memoryMegabytes) * bytesPerKilobyte * bytesPerKilobyte;
        return std::make_shared<net::body_budget>(
            net::bodyBudgetLimits(memoryBytes, static_cast<std::size_t>(settings.maxBodyBytes)));
    }

    net::http_server_options callerListenerOptions(
        const settings::values& settings, const std::shared_ptr<net::body_budget>& budget)
    {
        net::http_server_options options;
        options.address = settings.listenAddress;
        options.port = static_cast<std::uint16_t>(settings.listenPort);
        options.threads = static_cast<unsigned>(settings.httpThreads);
        options.maxConnections = static_cast<unsigned>(settings.maxConnections);
        options.maxBodyBytes = static_cast<std::size_t>(settings.maxBodyBytes);
        options.bodyBudget = budget;
        return options;
    }

    /// Binds control traffic to the address of the peer listener, unless that listens on all addresses.
    net::http_client_options controlClientOptions(const settings::values& settings)
    {
        net::http_client_options options;
        if (settings.peerAddress != anyAddress)
            options.sourceAddress = settings.peerAddress;
        return options;
    }

    net::http_server_options peerListenerOptions(const settings::values& settings)
    {
        net::http_server_options options;
        options.address = settings.peerAddress;
        options.port = static_cast<std::uint16_t>(settings.peerPort);
        options.threads = 1;
        options.dateHeader = false;
        return options;
    }

    quota::lease_times leaseTimes(const settings::values& settings)
    {
        quota::lease_times times;
        times.startupVoteDelay = settings.quotaStartWait;
        times.withholdingPeriod = settings.quotaWithholding;
        return times;
    }

} // namespace

struct node::data {
    settings::values settings;
    system_clock_source systemClock;
    const clock_source& clock;
    blackboard board;
    metrics::registry metrics;
    event_log::memory_journal journal;
    // The threads of the clients call into the dispatcher and the claims. The clients are held by pointer, so that `stop` can
    // end these threads before the members are destroyed.
    std::unique_ptr<net::http_client> workerClient = std::make_unique<net::http_client>();
    std::unique_ptr<net::http_client> controlClient = std::make_unique<net::http_client>(controlClientOptions(settings));
    workers::http_worker_link workerLink;
    peers::http_peer_link httpPeerLink;
    std::unique_ptr<peers::peer_link> wrappedPeerLink;
    peers::peer_link& peerLink;
    platform::http_vm_list vmList;
    platform::http_log log;
    claims::fleet_claims claims;
    dispatch::dispatcher dispatcher;
    peers::http_peer_service peerService;
    fleet::fleet_controller fleet;
    configuration::configuration_controller configuration;
    quota::share_service shares;
    front::api api;
    std::shared_ptr<net::body_budget> bodyBudget;
    net::http_server server;
    explain::journal_service journalService;
    explain::status_service statusService;

    data(const settings::values& initialSettings, const node_overrides& overrides);

    fleet::fleet_listener fleetListener();
    configuration::configuration_listener configurationListener();
    /// Stops accepting new work; open jobs continue. Calls after the first one have no effect.
    void drain();
    /// Waits for open jobs up to the shutdown limit; returns whether all have ended.
    bool waitForJobs() const;
    void stop();
};

node::data::data(const settings::values& initialSettings, const node_overrides& overrides)
    : settings(initialSettings)
    , clock(overrides.clock ? *overrides.clock : systemClock)
    , journal(
          clock, { initialSettings.vmId }, static_cast<std::size_t>(initialSettings.journalMemoryKilobytes) * bytesPerKilobyte)
    , workerLink(*workerClient)
    , httpPeerLink(*controlClient)
    , wrappedPeerLink(overrides.wrapPeerLink ? overrides.wrapPeerLink(httpPeerLink) : nullptr)
    , peerLink(wrappedPeerLink ? *wrappedPeerLink : httpPeerLink)
    , vmList(*controlClient, initialSettings.platformAddress, { initialSettings.failureDomain }, initialSettings.platformTimeout)
    , log(*controlClient, initialSettings.platformAddress, initialSettings.platformTimeout)
    , claims({ clock, board, peerLink, log }, claimOptions(initialSettings, clock), { front::encodeAnswer, front::decodeAnswer })
    , dispatcher({ clock, board, claims, workerLink, journal, metrics, { initialSettings.vmId } }, engineOptions(initialSettings))
    , peerService(peerListenerOptions(initialSettings))
    , fleet({ clock, peerLink, peerService, vmList, board, journal, metrics }, fleetOptions(initialSettings, clock),
          fleetListener())
    , configuration(
          { clock, log, peerLink, peerService, journal, metrics }, followerOptions(initialSettings), configurationListener())
    , shares({ clock, peerLink, peerService, board }, leaseTimes(initialSettings),
          [this](const std::shared_ptr<const quota::share_snapshot>& current) {
              dispatcher.post(dispatch::shares_changed { current });
          })
    , api({ clock, board, claims, dispatcher, metrics, journal })
    , bodyBudget(callerBodyBudget(initialSettings))
    , server(callerListenerOptions(initialSettings, bodyBudget),
          [this](const net::http_request& request, const std::shared_ptr<net::responder>& responder) {
              api.handle(request, responder);
          })
    , journalService({ clock, board, journal, log, peerLink, { initialSettings.vmId }, { initialSettings.failureDomain },
                         static_cast<std::size_t>(initialSettings.journalLogBytesPerSecond) },
          peerService)
    , statusService({ clock, board, journal, journalService.writer(), metrics, { initialSettings.vmId },
          [this] { return dispatcher.openJobs(); } })
{
    metrics.addCounterSource("coriandermount_control_calls_total", "Calls to peers and the platform",
        [this] { return static_cast<double>(controlClient->traffic().calls); });
    metrics.addCounterSource("coriandermount_control_sent_bytes_total", "Bytes of calls to peers and the platform",
        [this] { return static_cast<double>(controlClient->traffic().sentBytes); });
    metrics.addCounterSource("coriandermount_control_received_bytes_total", "Bytes of replies from peers and the platform",
        [this] { return static_cast<double>(controlClient->traffic().receivedBytes); });
    for (std::size_t reason = 0; reason < net::bodyRefusalCount; ++reason) {
        metrics.addCounterSource(
            fmt::format("coriandermount_request_bodies_{}_total", net::nameOf(static_cast<net::body_refusal>(reason))),
            "Request bodies that were refused for this reason",
            [budget = bodyBudget, reason] { return static_cast<double>(budget->refusals().at(reason)); });
    }
    claims.registerMethods(peerService);
    front::addJobIdRoute(api, claims, clock);
    front::addFleetRoutes(api, board, fleet);
    front::addOperatorRoutes(api, clock, journalService.journalAggregator());
    front::addStatusRoutes(api, statusService);
    front::addConfigurationRoutes(api, configuration);
}

fleet::fleet_listener node::data::fleetListener()
{
    fleet::fleet_listener listener;
    listener.onWorkersChanged = [this] { dispatcher.post(dispatch::workers_changed { board.workers.read() }); };
    listener.onMarkedLeaving = [this] { drain(); };
    listener.onConfigurationMismatch = [this](const fleet::configuration_revision& revision, const std::string& peerAddress) {
        configuration.handlePeerRevision(revision.version, revision.digest, peerAddress);
    };
    listener.otherSubsystemsReady = [this] { return configuration.hasSynced() && shares.ready(); };
    return listener;
}

configuration::configuration_listener node::data::configurationListener()
{
    configuration::configuration_listener listener;
    listener.onAdopted = [this](const std::shared_ptr<const configuration::snapshot>& current) {
        board.configuration.publish(current);
        dispatcher.post(dispatch::configuration_changed { current });
    };
    listener.onRevisionChanged = [this](std::uint64_t version, std::uint32_t digest) {
        fleet.setConfiguration({ version, digest });
    };
    listener.ownCopyRank = [this] { return copyRank(*board.fleet.read()); };
    return listener;
}

void node::data::drain()
{
    if (!board.draining.exchange(true))
        dispatcher.post(dispatch::drain_requested {});
}

bool node::data::waitForJobs() const
{
    const time_point deadline = clock.now() + settings.shutdownLimit;
    const auto hasOpenJobs = [this] { return dispatcher.openJobs() > 0 || server.pendingRequests() > 0; };
    while (hasOpenJobs() && clock.now() < deadline)
        std::this_thread::sleep_for(drainPollInterval);
    return !hasOpenJobs();
}

void node::data::stop()
{
    server.stop();
    shares.stop();
    peerService.stop();
    statusService.stop();
    journalService.stop();
    configuration.stop();
    fleet.stop();
    claims.stop();
    dispatcher.stop();
    workerClient.reset();
    controlClient.reset();
}

node::node(const settings::values& settings, const node_overrides& overrides)
    : m_data(std::make_unique<data>(settings, overrides))
{
}

node::~node() { m_data->stop(); }

result<void> node::start()
{
    if (auto listening = m_data->peerService.start(); !listening)
        return listening;
    m_data->claims.start(fmt::format("{}:{}", m_data->settings.peerAddress, peerPort()));
    if (auto listening = m_data->server.start(); !listening)
        return listening;
    m_data->shares.start();
    m_data->fleet.start(peerPort());
    m_data->journalService.start();
    m_data->statusService.start();
    m_data->configuration.start();
    writeLog(log_level::info, "node", "listening",
        { { "vm", m_data->settings.vmId }, { "address", m_data->settings.listenAddress },
            { "port", fmt::format("{}", port()) } });
    return {};
}

bool node::shutDown()
{
    m_data->drain();
    m_data->fleet.leave();
    const bool finished = m_data->waitForJobs();
    writeLog(finished ? log_level::info : log_level::warning, "node", "stopped",
        { { "vm", m_data->settings.vmId }, { "unfinished_jobs", fmt::format("{}", m_data->dispatcher.openJobs()) } });
    m_data->journalService.flush(journalFlushTimeout);
    m_data->stop();
    return finished;
}

std::uint16_t node::port() const { return m_data->server.port(); }

std::uint16_t node::peerPort() const { return m_data->peerService.port(); }

bool node::ready() const { return m_data->board.ready.load(); }

} // namespace coriandermount
