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
#include "cells/orderly_stop.h"
#include "cells/vm_directory.h"
#include "core/guarded_call.h"
#include "core/log.h"
#include "core/rcu_value.h"
#include "core/skipped_input.h"
#include "jobs/configuration_gate.h"
#include "jobs/job_intake.h"
#include "jobs/job_service.h"
#include "jobs/store_contact.h"
#include "metrics/entry_metrics.h"
#include "net/datagram_socket.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "peers/http_peers.h"
#include "platform/client_api.h"
#include "platform/config_follower.h"
#include "platform/store_client.h"
#include "platform/worker_client.h"
#include "platform/worker_registry.h"

namespace coriandermount {

namespace {

    /// Time between ticks while this VM owns its cell or jobs wait for an owner, and otherwise.
    constexpr std::chrono::milliseconds tickInterval { 10 };
    constexpr std::chrono::milliseconds idleTickInterval { 40 };
    /// Time between checks for callers and VMs that have closed their connections.
    constexpr std::chrono::milliseconds disconnectCheckInterval { 50 };
    /// Timeout of a message to an owner that a caller has left.
    constexpr std::chrono::milliseconds withdrawTimeout { 400 };
    /// Timeout of a request to an owner for the state of a job or for a number of pending jobs.
    constexpr std::chrono::milliseconds stateTimeout { 400 };
    /// Added to the platform's bound for how long the state of a finished job can be queried.
    constexpr std::chrono::seconds retentionMargin { 60 };
    constexpr std::chrono::milliseconds shutdownPoll { 50 };
    /// Time to write to the store that the cell has no owner; covers several round trips to the store.
    constexpr std::chrono::milliseconds releaseDelay { 80 };

    /// Port of the metrics listener; must match deploy/system.toml, from which the platform takes it.
    constexpr std::uint16_t metricsPort = 9464;

    constexpr const char* stateMethod = "job.state";
    constexpr const char* pendingMethod = "queue.pending";
    constexpr const char* runMethod = "job.run";
    constexpr const char* withdrawMethod = "job.withdraw";
    /// Withdraws a request whose caller has its answer. Owners of earlier builds do not know it, and let the job go on.
    constexpr const char* withdrawAnsweredMethod = "job.withdraw_answered";
    constexpr const char* lentJobsMethod = "cell.lent";
    /// First word of the reply of an owner that does not know all its runs yet.
    constexpr const char* unknownRuns = "?";
    /// Last word of a request whose sender understands incomplete reports; earlier builds send none.
    constexpr const char* partialReports = "partial";
    constexpr const char* vmTopic = "keyed.vms";
    constexpr const char* cellTopic = "keyed.cells";
    constexpr const char* jobTopic = "keyed.jobs";

    /// Encodes an error as its name, followed by the milliseconds until a retry if they are known.
    std::string encodeError(const error& problem)
    {
        return problem.retryAfter ? fmt::format("{} {}", nameOf(problem.kind), problem.retryAfter->count())
                                  : std::string(nameOf(problem.kind));
    }

    /// Encodes a state as its number.
    std::string encodeState(const result<jobs::job_state>& state)
    {
        return state ? fmt::to_string(static_cast<int>(*state)) : encodeError(state.error());
    }

    std::string encodePending(const result<std::uint32_t>& pending)
    {
        return pending ? fmt::to_string(*pending) : encodeError(pending.error());
    }

    /// Returns the number that is all of `message`; empty if it is something else.
    std::optional<std::uint32_t> numberOf(const std::string& message)
    {
        std::uint32_t number = 0;
        const auto [end, problem] = std::from_chars(message.data(), message.data() + message.size(), number);
        const bool isNumber = problem == std::errc() && end == message.data() + message.size();
        return isNumber ? std::optional(number) : std::nullopt;
    }

    /// Decodes a message of `encodeError`. Returns `owner_unknown` for the name of an unknown error.
    error decodeError(const std::string& message)
    {
        constexpr std::int64_t longestRetryDelay = 60000;
        const auto space = message.find(' ');
        error decoded { findErrorKind(message.substr(0, space)).value_or(error_kind::owner_unknown), "reported by the cell owner",
            std::nullopt };
        std::int64_t delay = 0;
        if (space != std::string::npos
            && std::from_chars(message.data() + space + 1, message.data() + message.size(), delay).ec == std::errc())
            decoded.retryAfter = std::chrono::milliseconds(std::clamp<std::int64_t>(delay, 0, longestRetryDelay));
        return decoded;
    }

    result<jobs::job_state> decodeState(const std::string& message)
    {
        const auto number = numberOf(message);
        if (number && *number <= static_cast<std::uint32_t>(jobs::job_state::cancelled))
            return static_cast<jobs::job_state>(*number);
        return tl::unexpected(decodeError(message));
    }

    result<std::uint32_t> decodePending(const std::string& message)
    {
        if (const auto number = numberOf(message))
            return *number;
        return tl::unexpected(decodeError(message));
    }

    /// Largest body of a request.
    constexpr std::size_t maxBodyBytes = std::size_t { 256 } * 1024;
    /// Largest body of a request to a listener whose requests need none.
    constexpr std::size_t maxUnusedBodyBytes = 1024;

    net::http_server_options listenerOptions(const std::string& listener)
    {
        net::http_server_options options;
        const auto colon = listener.rfind(':');
        options.address = listener.substr(0, colon);
        options.port = static_cast<std::uint16_t>(std::stoi(listener.substr(colon + 1)));
        options.threads = 1;
        options.maxBodyBytes = maxBodyBytes;
        options.dateHeader = false;
        return options;
    }

    /// Returns the options of a listener whose requests are accounted in `budget`.
    net::http_server_options clientListenerOptions(
        const std::string& listener, const std::shared_ptr<net::body_budget>& budget, std::size_t longestBody)
    {
        auto options = listenerOptions(listener);
        options.bodyBudget = budget;
        options.maxBodyBytes = longestBody;
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
        limits.remoteFactor = settings.remoteFactor;
        limits.hasEvacuations = settings.evacuationBound.has_value();
        limits.evacuationBound = settings.evacuationBound.value_or(limits.evacuationBound);
        return limits;
    }

    /// Returns the number of the cell of this VM: the position of its failure domain in the sorted list.
    cells::cell_number cellOf(const platform::boot_settings& settings)
    {
        const auto& domains = settings.failureDomains;
        return static_cast<cells::cell_number>(
            std::find(domains.begin(), domains.end(), settings.failureDomain.value) - domains.begin());
    }

    /// Returns a number that identifies this incarnation: the current wall-clock time.
    std::uint64_t newIncarnationNumber(const clock_source& clock)
    {
        return static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count());
    }

} // namespace

/// Implements the interfaces through which the parts of the VM use each other.
struct entry_node::data final : jobs::job_service, cells::heartbeat_link, cells::owner_link {
    platform::boot_settings settings;
    boot_clock_source clock;
    /// Number of the cell of this VM's failure domain.
    cells::cell_number cell;
    cells::cell_number cellCount;
    std::uint64_t incarnation;
    jobs::store_contact storeContact;
    net::http_client client;
    platform::store_client store;
    platform::worker_client workerLink;
    rcu_value<jobs::queue_table> table;
    jobs::configuration_gate gate;
    /// One intake per cell, indexed by cell number.
    std::vector<std::unique_ptr<jobs::job_intake>> intakes;
    cells::cell_owner owner;
    platform::config_follower configuration;
    platform::worker_registry workers;
    cells::cell_member member;
    cells::vm_directory directory;
    net::datagram_socket heartbeatSocket;
    peers::http_peer_link peerLink;
    peers::http_peer_service peerService;
    cells::job_router router;
    cells::fleet_neighbors neighbors;
    /// Shared by all listeners but that for other VMs, so that clients do not use up what those need.
    std::shared_ptr<net::body_budget> bodyBudget;
    net::http_server clientServer;
    net::http_server readinessServer;
    metrics::entry_metrics metrics;
    net::http_server metricsServer;
    std::atomic<bool> draining { false };
    std::atomic<bool> stopping { false };
    std::thread tickThread;
    time_point nextDisconnectCheck;

    explicit data(const platform::boot_settings& values);

    cells::vm_registration registration() const;
    cells::vm_incarnation identity() const { return { settings.vm, incarnation, settings.processorMillis }; }
    cells::heartbeat ownHeartbeat() const;
    /// Returns the owner of this VM's cell; nothing while no owner is known.
    std::optional<cells::run_target> runTarget() const;
    /// Returns the cell that stores the job: a hash of its id.
    cells::cell_number homeCellOf(const std::string& jobId) const;
    void addPeerMethods();
    void addRunMethods();
    void addLentJobsMethod();
    /// Withdraws the requests of callers and VMs that have closed their connections.
    void checkDisconnects();
    void onDatagram(const std::string& datagram);
    /// Ticks all parts until `stopping` is set.
    void runTickLoop();

    std::shared_ptr<const jobs::queue_table> queues() const override { return table.read(); }
    bool holdUntilConfigured(std::size_t bytes, std::function<void()> resume) override
    {
        return gate.hold(bytes, std::move(resume));
    }
    std::uint64_t submit(jobs::job work, const jobs::queue_rules& rules, std::chrono::milliseconds timeLeft,
        std::function<void(result<jobs::job_state>)> done) override;
    void withdraw(std::uint64_t submission) override { router.withdraw(submission); }
    void cancel(const std::string& jobId, std::function<void(result<void>)> done) override;
    void state(const std::string& jobId, std::function<void(result<jobs::job_state>)> done) override;
    void pending(const std::string& queue, cells::pending_completion done) override
    {
        neighbors.countPending(queue, std::move(done));
    }
    void noteAnswer(
        std::optional<error_kind> problem, std::chrono::microseconds took, std::chrono::milliseconds callerTimeout) override
    {
        metrics.recordAnswer(problem, took, callerTimeout);
    }
    void replyWithMetrics(const std::shared_ptr<net::responder>& responder) const;
    bool isReady() const override;
    bool isDraining() const override { return draining.load(std::memory_order_relaxed); }
    void send(const std::string& address, const std::string& datagram) override { heartbeatSocket.send(address, datagram); }
    void run(const std::string& address, const jobs::run_request& request, cells::job_completion done) override;
    void withdraw(const std::string& address, const std::string& jobId, const jobs::request_id& request,
        cells::withdrawal_reason reason) override;
    void sendKeepAlive(const std::string& address, const cells::keep_alive& current) override
    {
        heartbeatSocket.send(address, cells::encode(current));
    }
    void queryLentJobs(const std::string& address, jobs::lender home, std::function<void(cells::lent_report)> done) override;
    void queryPending(const std::string& address, const std::string& queue, cells::pending_completion done) override;
};

entry_node::data::data(const platform::boot_settings& values)
    : settings(values)
    , cell(cellOf(values))
    , cellCount(static_cast<cells::cell_number>(values.failureDomains.size()))
    , incarnation(newIncarnationNumber(clock))
    , storeContact(clock)
    , client(clientOptions(values))
    , store(client, values.storeAddress, storeContact)
    , workerLink(client)
    , gate(clock)
    , owner(store, workerLink, clock, { jobTopic, cell }, cellSettings(values))
    , configuration(store, clock, table,
          { values.failureDomains, [this](const cells::evacuation_state& state) { owner.setEvacuations(state); } })
    , workers(store, clock, owner, values.failureDomain)
    , member(store, clock, owner, workers, { cellTopic, cell }, cell, identity())
    , directory(store, *this, clock, { vmTopic, 0 }, registration(), [this] { return ownHeartbeat(); })
    , heartbeatSocket(values.address, values.firstPeerPort, [this](const std::string& datagram) { onDatagram(datagram); })
    , peerLink(client)
    , peerService(listenerOptions(fmt::format("{}:{}", values.address, values.firstPeerPort)))
    , router(clock, owner, *this, [this] { return runTarget(); })
    , neighbors(clock, owner, *this, directory, cell, cellCount)
    , bodyBudget(std::make_shared<net::body_budget>(net::bodyBudgetLimits(values.memoryBytes, maxBodyBytes)))
    , clientServer(platform::clientServerOptions(clientListenerOptions(values.clientListener, bodyBudget, maxBodyBytes)),
          platform::clientHandler(*this))
    , readinessServer(
          clientListenerOptions(values.readyListener, bodyBudget, maxUnusedBodyBytes), platform::readinessHandler(*this))
    , metricsServer(clientListenerOptions(fmt::format("{}:{}", values.address, metricsPort), bodyBudget, maxUnusedBodyBytes),
          [this](const net::http_request&, const std::shared_ptr<net::responder>& responder) { replyWithMetrics(responder); })
{
    for (cells::cell_number number = 0; number < cellCount; ++number)
        intakes.push_back(
            std::make_unique<jobs::job_intake>(store, clock, jobs::record_stream { jobTopic, number }, storeContact));
    member.onOwnershipChange([this] { directory.sendHeartbeatOnNextTick(); });
    owner.setNeighbors(neighbors);
    addPeerMethods();
}

void entry_node::data::addPeerMethods()
{
    peerService.addMethod(stateMethod, [this](const std::string& jobId, const peers::peer_service::reply_function& reply) {
        owner.awaitState(jobId, [reply](const result<jobs::job_state>& state) { reply(encodeState(state)); });
    });
    peerService.addMethod(pendingMethod, [this](const std::string& queue, const peers::peer_service::reply_function& reply) {
        reply(encodePending(owner.pending(queue)));
    });
    addRunMethods();
    addLentJobsMethod();
}

void entry_node::data::addRunMethods()
{
    peerService.addWatchedMethod(runMethod,
        [this](const std::string& message, const peers::peer_service::reply_function& reply,
            const peers::peer_service::disconnect_setter& onDisconnect) {
            auto request = jobs::decodeRunRequest(message);
            if (!request) {
                reply(encodeState(tl::unexpected(request.error())));
                return;
            }
            // A cell that lends a job gets another owner if it loses the one that called, and that owner submits the job again.
            if (!request->lentBy)
                onDisconnect([this, jobId = request->accepted.work.id, id = request->id] { owner.withdraw(jobId, id); });
            owner.run(std::move(*request), [reply](const result<jobs::job_state>& state) { reply(encodeState(state)); });
        });
    const auto addWithdrawal = [this](const char* method, cells::withdrawal_reason reason) {
        peerService.addMethod(
            method, [this, reason](const std::string& message, const peers::peer_service::reply_function& reply) {
                jobs::request_id request;
                std::string jobId;
                std::istringstream text(message);
                text >> request.sender >> request.number;
                std::getline(text >> std::ws, jobId);
                owner.withdraw(jobId, request, reason);
                reply({});
            });
    };
    addWithdrawal(withdrawMethod, cells::withdrawal_reason::caller_left);
    addWithdrawal(withdrawAnsweredMethod, cells::withdrawal_reason::answered);
}

void entry_node::data::addLentJobsMethod()
{
    peerService.addMethod(lentJobsMethod, [this](const std::string& message, const peers::peer_service::reply_function& reply) {
        jobs::lender home;
        std::string version;
        std::istringstream(message) >> home.cell >> home.epoch >> version;
        const auto report = owner.jobsLentBy(home);
        if (report.complete)
            reply(fmt::format("{}", fmt::join(report.jobIds, " ")));
        else if (version == partialReports)
            reply(fmt::format("{} {}", unknownRuns, fmt::join(report.jobIds, " ")));
        else
            reply(unknownRuns);
    });
}

cells::vm_registration entry_node::data::registration() const
{
    return { identity(), fmt::format("{}:{}", settings.address, settings.firstPeerPort), settings.failureDomain };
}

cells::heartbeat entry_node::data::ownHeartbeat() const
{
    return { settings.vm, incarnation, isDraining(), member.storeReachable(), { member.view() }, settings.processorMillis };
}

void entry_node::data::onDatagram(const std::string& datagram)
{
    if (cells::isKeepAlive(datagram)) {
        if (const auto current = cells::decodeKeepAlive(datagram))
            owner.noteKeepAlive(*current);
        else
            reportSkippedInput("node", "keep-alive", {}, current.error().detail);
        return;
    }
    const auto current = cells::decodeHeartbeat(datagram);
    if (!current) {
        reportSkippedInput("node", "heartbeat", {}, current.error().detail);
        return;
    }
    directory.onHeartbeat(*current);
    member.onHeartbeat(*current);
}

std::optional<cells::run_target> entry_node::data::runTarget() const
{
    if (member.isOwner())
        return cells::run_target { true, {}, member.epoch() };
    const auto remoteOwner = directory.owner(cell);
    if (!remoteOwner)
        return std::nullopt;
    return cells::run_target { false, remoteOwner->address, remoteOwner->epoch };
}

cells::cell_number entry_node::data::homeCellOf(const std::string& jobId) const
{
    return static_cast<cells::cell_number>(XXH3_64bits(jobId.data(), jobId.size()) % cellCount);
}

void entry_node::data::runTickLoop()
{
    while (!stopping.load()) {
        const bool isServing = owner.isServing();
        runGuarded("node", [this] {
            configuration.tick(clock.now());
            gate.tick(table.read()->version > 0);
            storeContact.tick(store, { vmTopic, 0 });
            for (const auto& intake : intakes)
                intake->tick();
        });
        runGuarded("node", [this] {
            member.setHeartbeatScope(directory.heartbeatScope());
            member.tick();
            directory.tick();
        });
        runGuarded("node", [this] { checkDisconnects(); });
        runGuarded("node", [this] {
            owner.tick();
            router.tick();
            neighbors.tick();
        });
        std::this_thread::sleep_for(
            isServing || router.waiting() > 0 || table.read()->version == 0 ? tickInterval : idleTickInterval);
    }
}

void entry_node::data::checkDisconnects()
{
    const auto now = clock.now();
    if (now < nextDisconnectCheck)
        return;
    nextDisconnectCheck = now + disconnectCheckInterval;
    clientServer.checkDisconnects();
    peerService.checkDisconnects();
}

std::uint64_t entry_node::data::submit(jobs::job work, const jobs::queue_rules& rules, std::chrono::milliseconds timeLeft,
    std::function<void(result<jobs::job_state>)> done)
{
    const bool answeredAtEnd = work.answeredAtEnd;
    const auto objective = jobs::objectiveOf(work, rules);
    jobs::accepted_job accepted { std::move(work), rules.service, rules.priority, rules.maxAttempts, objective, clock.wallNow() };
    if (answeredAtEnd) {
        return router.run({ std::move(accepted), false, timeLeft }, std::move(done));
    }
    intakes[homeCellOf(accepted.work.id)]->store(accepted, [done = std::move(done)](const result<void>& stored) {
        done(stored ? result<jobs::job_state>(jobs::job_state::queued) : tl::unexpected(stored.error()));
    });
    return 0;
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

void entry_node::data::withdraw(
    const std::string& address, const std::string& jobId, const jobs::request_id& request, cells::withdrawal_reason reason)
{
    const char* method = reason == cells::withdrawal_reason::answered ? withdrawAnsweredMethod : withdrawMethod;
    peerLink.call(
        address, method, fmt::format("{} {} {}", request.sender, request.number, jobId), withdrawTimeout, [](const auto&) {});
}

void entry_node::data::queryLentJobs(const std::string& address, jobs::lender home, std::function<void(cells::lent_report)> done)
{
    peerLink.call(address, lentJobsMethod, fmt::format("{} {} {}", home.cell, home.epoch, partialReports),
        cells::lentJobsAnswerLimit, [done = std::move(done)](const auto& reply) {
            cells::lent_report report;
            report.complete = reply.has_value();
            std::istringstream text(reply ? std::string(*reply) : std::string());
            for (std::string word; text >> word;) {
                if (word == unknownRuns)
                    report.complete = false;
                else
                    report.jobIds.push_back(word);
            }
            done(std::move(report));
        });
}

void entry_node::data::queryPending(const std::string& address, const std::string& queue, cells::pending_completion done)
{
    peerLink.call(address, pendingMethod, queue, stateTimeout, [done = std::move(done)](const auto& reply) {
        if (reply)
            done(decodePending(*reply));
        else
            done(fail(error_kind::owner_unknown, reply.error().message));
    });
}

void entry_node::data::cancel(const std::string& jobId, std::function<void(result<void>)> done)
{
    intakes[homeCellOf(jobId)]->cancel(jobId, std::move(done));
}

void entry_node::data::state(const std::string& jobId, std::function<void(result<jobs::job_state>)> done)
{
    const auto homeCell = homeCellOf(jobId);
    if (homeCell == cell && member.isOwner()) {
        owner.awaitState(jobId, std::move(done));
        return;
    }
    const auto remoteOwner = directory.owner(homeCell);
    if (!remoteOwner) {
        done(fail(error_kind::owner_unknown, fmt::format("no reachable owner is known for cell {}", homeCell)));
        return;
    }
    peerLink.call(remoteOwner->address, stateMethod, jobId, stateTimeout, [done = std::move(done)](const auto& reply) {
        if (reply)
            done(decodeState(*reply));
        else
            done(fail(error_kind::owner_unknown, reply.error().message));
    });
}

void entry_node::data::replyWithMetrics(const std::shared_ptr<net::responder>& responder) const
{
    const auto cellCounters = owner.counterValues();
    const auto calls = store.counters();
    const auto [evacuationPhase, runsLeft] = owner.evacuation();
    std::vector<metrics::metric_sample> samples { { "task_starts_total", {}, cellCounters.starts },
        { "jobs_given_up_total", {}, cellCounters.jobsGivenUp }, { "long_passes_total", {}, cellCounters.longPasses },
        { "forecast_visits_total", {}, cellCounters.forecastVisits },
        { "lost_workers_heard_again_total", {}, cellCounters.lostWorkersHeardAgain }, { "pauses_total", {}, cellCounters.pauses },
        { "jobs_lent_total", {}, cellCounters.lentJobs }, { "jobs_relocated_total", {}, cellCounters.relocatedJobs },
        { "relocations_refused_total", {}, cellCounters.relocationsRefused },
        { "cell_evacuation_phase", {}, static_cast<std::uint64_t>(evacuationPhase) }, { "cell_runs", {}, runsLeft },
        { "jobs_out_of_contact_total", {}, cellCounters.jobsOutOfContact },
        { "jobs_ended_total", "completed", cellCounters.completedJobs },
        { "jobs_ended_total", "failed", cellCounters.failedJobs },
        { "jobs_ended_total", "cancelled", cellCounters.cancelledJobs }, { "store_calls_total", "append", calls.appends },
        { "store_calls_total", "read", calls.reads }, { "store_calls_total", "refused", calls.refused },
        { "store_calls_total", "unanswered", calls.unanswered }, { "cell_owned", {}, member.isOwner() ? 1U : 0U },
        { "owner_lag_milliseconds", {}, static_cast<std::uint64_t>(owner.lag().count()) },
        { "incomplete_end_lists_total", {}, cellCounters.incompleteEndLists },
        { "runs_found_again_total", {}, cellCounters.runsFoundAgain }, { "log_lines_dropped_total", {}, droppedLogLines() },
        { "unexpected_errors_total", {}, unexpectedErrors() }, { "skipped_inputs_total", {}, skippedInputs() } };
    for (std::size_t reason = 0; reason < cells::refusalReasonCount; ++reason)
        samples.push_back({ "jobs_refused_total", cells::nameOf(static_cast<cells::refusal_reason>(reason)),
            cellCounters.refusedJobs[reason] });
    for (std::size_t reason = 0; reason < cells::refusalReasonCount; ++reason) {
        for (std::size_t bound = 0; bound < cells::timeUsedBoundCount; ++bound)
            samples.push_back({ "jobs_refused_by_time_used_total", cells::nameOf(static_cast<cells::refusal_reason>(reason)),
                cellCounters.refusedByTimeUsed[reason][bound], cells::nameOfTimeUsed(bound) });
    }
    for (std::size_t outcome = 0; outcome < cells::withdrawalOutcomeCount; ++outcome)
        samples.push_back({ "jobs_withdrawn_total", cells::nameOf(static_cast<cells::withdrawal_outcome>(outcome)),
            cellCounters.withdrawnJobs[outcome] });
    const auto abandoned = router.abandonedJobs();
    for (std::size_t reason = 0; reason < abandoned.size(); ++reason)
        samples.push_back(
            { "jobs_abandoned_total", cells::nameOf(static_cast<cells::abandon_reason>(reason)), abandoned[reason] });
    for (std::size_t outcome = 0; outcome < cells::orphanOutcomeCount; ++outcome)
        samples.push_back({ "orphaned_runs_total", cells::nameOf(static_cast<cells::orphan_outcome>(outcome)),
            cellCounters.orphanedRuns[outcome] });
    for (std::size_t bound = 0; bound < cellCounters.resolvedStarts.size(); ++bound)
        samples.push_back(
            { "unanswered_starts_resolved_total", cells::nameOfResolution(bound), cellCounters.resolvedStarts[bound] });
    for (std::size_t failure = 0; failure < cells::orderFailureCount; ++failure)
        samples.push_back({ "start_failures_total", cells::nameOf(static_cast<cells::order_failure>(failure)),
            cellCounters.startFailures[failure] });
    for (std::size_t decision = 0; decision < cells::startDecisionCount; ++decision)
        samples.push_back({ "start_decisions_total", cells::nameOf(static_cast<cells::start_decision>(decision)),
            cellCounters.startDecisions[decision] });
    for (std::size_t observation = 0; observation < cells::crashObservationCount; ++observation)
        samples.push_back({ "worker_crashes_total", cells::nameOf(static_cast<cells::crash_observation>(observation)),
            cellCounters.workerCrashes[observation] });
    for (std::size_t proof = 0; proof < cells::runEndProofCount; ++proof)
        samples.push_back(
            { "runs_lost_total", cells::nameOf(static_cast<cells::run_end_proof>(proof)), cellCounters.lostRuns[proof] });
    const auto refusedBodies = bodyBudget->refusals();
    for (std::size_t reason = 0; reason < refusedBodies.size(); ++reason)
        samples.push_back(
            { "request_bodies_refused_total", net::nameOf(static_cast<net::body_refusal>(reason)), refusedBodies[reason] });
    samples.push_back({ "request_body_bytes", {}, bodyBudget->claimedBytes() });
    net::http_response response;
    response.contentType = "text/plain; version=0.0.4";
    response.body = metrics.serialize(samples);
    responder->reply(std::move(response));
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
    if (m_data->tickThread.joinable())
        m_data->tickThread.join();
}

result<void> entry_node::start()
{
    if (auto started = m_data->heartbeatSocket.start(); !started)
        return started;
    if (auto started = m_data->peerService.start(); !started)
        return started;
    if (auto started = m_data->clientServer.start(); !started)
        return started;
    if (auto started = m_data->readinessServer.start(); !started)
        return started;
    if (auto started = m_data->metricsServer.start(); !started)
        return started;
    m_data->configuration.start();
    m_data->directory.start();
    m_data->member.start();
    m_data->tickThread = std::thread([this] { m_data->runTickLoop(); });
    writeLog(log_level::info, "node", "started",
        { { "vm", m_data->settings.vm.value }, { "failure_domain", m_data->settings.failureDomain.value },
            { "store", m_data->settings.storeAddress } });
    return {};
}

void entry_node::shutDown()
{
    const cells::orderly_stop stop(m_data->clock.now(), m_data->settings.shutdownGrace);
    writeLog(log_level::info, "node", "shutting down", { { "pending", fmt::to_string(m_data->clientServer.pendingRequests()) } });
    m_data->draining.store(true);
    m_data->router.endBy(stop.answerLimit());
    m_data->member.drain(stop.preferenceLimit());
    const auto openRequests = [this] { return m_data->clientServer.pendingRequests() + m_data->router.unsettledWithdrawals(); };
    while (!stop.mayEnd(m_data->clock.now(), openRequests(), m_data->member.isOwner()))
        std::this_thread::sleep_for(shutdownPoll);
    m_data->member.release();
    std::this_thread::sleep_for(releaseDelay);
    m_data->router.stop();
    for (const auto& intake : m_data->intakes)
        intake->stop();
    m_data->clientServer.stop();
    writeLog(log_level::info, "node", "stopped");
}

} // namespace coriandermount
