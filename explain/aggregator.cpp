#include "explain/aggregator.h"

#include <condition_variable>
#include <deque>
#include <future>
#include <mutex>
#include <set>
#include <thread>

#include <fmt/format.h>

#include "event_log/stream_reader.h"
#include "explain/limit_changes.h"

namespace coriandermount::explain {

namespace {

    constexpr std::size_t maxWaitingQueries = 32;
    constexpr std::chrono::milliseconds peerTimeout { 1500 };
    constexpr std::chrono::milliseconds logTimeout { 2000 };
    constexpr std::chrono::milliseconds configurationPollInterval { 200 };
    /// Margin for differences between the VMs' clocks and for batches that are written late.
    constexpr std::chrono::seconds clockMargin { 60 };

    using peer_outcome = tl::expected<std::string, net::transport_error>;

    struct pending_peer_call {
        std::string name;
        std::future<peer_outcome> reply;
    };

    /// Replies and batches collected for one query.
    struct query_results {
        std::vector<journal_reply> replies;
        std::vector<event_log::batch> batches;
        event_log::explanation_sources sources;
    };

} // namespace

struct aggregator::data {
    aggregator_dependencies dependencies;
    std::mutex mutex;
    std::condition_variable queryArrived;
    std::deque<std::function<void()>> waitingQueries;
    bool stopping = false;
    std::shared_ptr<const configuration::snapshot> lastConfiguration;
    std::thread thread;

    explicit data(aggregator_dependencies givenDependencies)
        : dependencies(std::move(givenDependencies))
    {
    }

    void run();
    bool enqueue(std::function<void()> task);
    void recordLimitChanges();
    void loadEvidence();
    std::vector<member> peersWithAddress() const;
    std::vector<failure_domain_id> domains() const;
    void queryPeers(const journal_query& query, query_results& results) const;
    void readStreams(wall_time since, query_results& results) const;
    query_results collect(const journal_query& query) const;
    result<event_log::explanation> explain(const job_key& job) const;
    fault_report countFaults(wall_time since) const;
};

void aggregator::data::run()
{
    loadEvidence();
    std::unique_lock lock(mutex);
    while (!stopping) {
        queryArrived.wait_for(lock, configurationPollInterval, [this] { return stopping || !waitingQueries.empty(); });
        auto queries = std::exchange(waitingQueries, {});
        lock.unlock();
        recordLimitChanges();
        for (const auto& task : queries)
            task();
        lock.lock();
    }
}

bool aggregator::data::enqueue(std::function<void()> task)
{
    {
        const std::scoped_lock lock(mutex);
        if (stopping || waitingQueries.size() >= maxWaitingQueries)
            return false;
        waitingQueries.push_back(std::move(task));
    }
    queryArrived.notify_one();
    return true;
}

void aggregator::data::recordLimitChanges()
{
    const auto current = dependencies.board.configuration.read();
    if (lastConfiguration && current->version == lastConfiguration->version)
        return;
    if (lastConfiguration && lastConfiguration->version > 0) {
        for (auto& change : computeLimitChanges(*lastConfiguration, *current))
            dependencies.journal.record(std::move(change));
    }
    lastConfiguration = current;
}

/// Reads from the log the events that were recorded before this VM started, and adds them as evidence.
void aggregator::data::loadEvidence()
{
    const auto contents = event_log::readStream(dependencies.log, event_log::journalStreamOf(dependencies.domain),
        dependencies.clock.wallNow() - event_log::limitChangeWindow, logTimeout);
    if (!contents)
        return;
    for (const auto& batch : contents->batches)
        dependencies.writer.addEvidence(batch.events);
}

std::vector<member> aggregator::data::peersWithAddress() const
{
    const auto fleet = dependencies.board.fleet.read();
    std::vector<member> peers = fleet->members;
    for (const auto& [domain, summary] : fleet->otherDomains)
        peers.insert(peers.end(), summary.contacts.begin(), summary.contacts.end());
    std::erase_if(peers, [this](const member& peer) { return peer.id == dependencies.vm || peer.peerAddress.empty(); });
    return peers;
}

std::vector<failure_domain_id> aggregator::data::domains() const
{
    std::vector<failure_domain_id> all { dependencies.domain };
    for (const auto& [domain, summary] : dependencies.board.fleet.read()->otherDomains)
        all.push_back(domain);
    return all;
}

void aggregator::data::queryPeers(const journal_query& query, query_results& results) const
{
    std::vector<pending_peer_call> calls;
    const std::string message = encodeQuery(query);
    for (const auto& peer : peersWithAddress()) {
        auto promise = std::make_shared<std::promise<peer_outcome>>();
        calls.push_back({ peer.id.value, promise->get_future() });
        dependencies.peers.call(peer.peerAddress, std::string(journalQueryMethod), message, peerTimeout,
            [promise](peer_outcome reply) { promise->set_value(std::move(reply)); });
    }
    const auto deadline = std::chrono::steady_clock::now() + peerTimeout;
    for (auto& peer : calls) {
        const bool inTime = peer.reply.wait_until(deadline) == std::future_status::ready;
        const auto text = inTime ? peer.reply.get() : peer_outcome(tl::unexpected<net::transport_error>(net::transport_error {}));
        auto reply = text ? decodeReply(*text) : result<journal_reply>(fail(error_kind::peer_unreachable));
        if (!reply) {
            results.sources.unresponsiveVms.push_back(peer.name);
            continue;
        }
        results.sources.vms.push_back(reply->vm.value);
        results.replies.push_back(std::move(*reply));
    }
}

void aggregator::data::readStreams(wall_time since, query_results& results) const
{
    for (const auto& domain : domains()) {
        const std::string stream = event_log::journalStreamOf(domain);
        auto contents = event_log::readStream(dependencies.log, stream, since, logTimeout);
        if (!contents) {
            results.sources.problems.push_back(
                fmt::format("log stream {} could not be read: {}", stream, contents.error().detail));
            continue;
        }
        results.sources.streams.push_back(stream);
        if (!contents->complete)
            results.sources.problems.push_back(fmt::format(
                "log stream {} is incomplete: it does not reach back to the requested time, or has too many records", stream));
        for (auto& batch : contents->batches)
            results.batches.push_back(std::move(batch));
    }
}

query_results aggregator::data::collect(const journal_query& query) const
{
    query_results results;
    results.sources.queriedVm = dependencies.vm;
    results.sources.vms.push_back(dependencies.vm.value);
    results.replies.push_back(
        answerQuery(query, dependencies.vm, dependencies.incarnation, dependencies.journal, dependencies.writer));
    queryPeers(query, results);
    readStreams(query.since, results);
    return results;
}

result<event_log::explanation> aggregator::data::explain(const job_key& job) const
{
    journal_query query;
    query.job = job;
    query.since = std::min(job.issuedAt, dependencies.clock.wallNow()) - event_log::limitChangeWindow - clockMargin;
    query_results results = collect(query);
    std::vector<event_log::event> events;
    std::vector<event_log::event> context;
    for (auto& reply : results.replies) {
        std::move(reply.events.begin(), reply.events.end(), std::back_inserter(events));
        std::move(reply.context.begin(), reply.context.end(), std::back_inserter(context));
    }
    for (auto& batch : results.batches) {
        for (auto& entry : batch.events) {
            context.push_back(entry);
            if (entry.job == job)
                events.push_back(std::move(entry));
        }
    }
    event_log::sortByTime(context);
    event_log::evidence evidenceNearJob;
    std::set<std::pair<vm_id, std::uint64_t>> added;
    for (const auto& entry : context) {
        if (added.emplace(entry.vm, entry.sequence).second)
            evidenceNearJob.add(entry);
    }
    return event_log::explain(job, std::move(events), evidenceNearJob, std::move(results.sources));
}

fault_report aggregator::data::countFaults(wall_time since) const
{
    journal_query query;
    query.since = since;
    query_results results = collect(query);
    fault_report report;
    report.since = since;
    report.until = dependencies.clock.wallNow();
    report.sources = std::move(results.sources);
    std::set<std::pair<vm_id, std::uint64_t>> repliedIncarnations;
    for (const auto& reply : results.replies) {
        repliedIncarnations.emplace(reply.vm, reply.incarnation);
        event_log::addCounts(report.counts, reply.counts, SIZE_MAX);
    }
    const auto firstMinute = std::chrono::floor<std::chrono::minutes>(since);
    for (auto& batch : results.batches) {
        // The reply of a VM already contains the counts of its current incarnation.
        if (repliedIncarnations.contains({ batch.vm, batch.incarnation }))
            continue;
        std::erase_if(batch.counts, [firstMinute](const auto& entry) { return entry.first.minute < firstMinute; });
        event_log::addCounts(report.counts, batch.counts, SIZE_MAX);
    }
    return report;
}

aggregator::aggregator(aggregator_dependencies dependencies)
    : m_data(std::make_unique<data>(std::move(dependencies)))
{
}

aggregator::~aggregator() { stop(); }

void aggregator::start()
{
    m_data->thread = std::thread([this] { m_data->run(); });
}

void aggregator::stop()
{
    {
        const std::scoped_lock lock(m_data->mutex);
        m_data->stopping = true;
    }
    m_data->queryArrived.notify_one();
    if (m_data->thread.joinable())
        m_data->thread.join();
}

void aggregator::explain(const job_key& job, const explain_completion& done)
{
    auto task = [this, job, done] { done(m_data->explain(job)); };
    if (!m_data->enqueue(std::move(task)))
        done(fail(error_kind::queue_full, fmt::format("{} queries are already waiting", maxWaitingQueries)));
}

void aggregator::reportFaults(wall_time since, const faults_completion& done)
{
    auto task = [this, since, done] { done(m_data->countFaults(since)); };
    if (!m_data->enqueue(std::move(task)))
        done(fail(error_kind::queue_full, fmt::format("{} queries are already waiting", maxWaitingQueries)));
}

std::string aggregator::answerPeerQuery(const std::string& message) const
{
    const auto query = decodeQuery(message);
    if (!query)
        return "{}";
    const auto& dependencies = m_data->dependencies;
    return encodeReply(answerQuery(*query, dependencies.vm, dependencies.incarnation, dependencies.journal, dependencies.writer));
}

} // namespace coriandermount::explain
