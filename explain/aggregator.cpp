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

    constexpr std::size_t mostQuestions = 32;
    constexpr std::chrono::milliseconds peerTimeout { 1500 };
    constexpr std::chrono::milliseconds logTimeout { 2000 };
    constexpr std::chrono::milliseconds configurationPollInterval { 200 };
    /// Room for clocks that differ and for batches that are written late.
    constexpr std::chrono::seconds clockMargin { 60 };

    using peer_outcome = tl::expected<std::string, net::transport_error>;

    struct asked_peer {
        std::string name;
        std::future<peer_outcome> reply;
    };

    /// Everything that was found out for one question.
    struct findings {
        std::vector<journal_reply> replies;
        std::vector<event_log::batch> batches;
        event_log::explanation_sources sources;
    };

} // namespace

struct aggregator::data {
    aggregator_dependencies parts;
    std::mutex mutex;
    std::condition_variable arrived;
    std::deque<std::function<void()>> questions;
    bool stopping = false;
    std::shared_ptr<const configuration::snapshot> seen;
    std::thread thread;

    explicit data(aggregator_dependencies given)
        : parts(std::move(given))
    {
    }

    void run();
    bool post(std::function<void()> question);
    void noteLimitChanges();
    void learnEvidence();
    std::vector<member> peersToAsk() const;
    std::vector<failure_domain_id> domains() const;
    void askPeers(const journal_query& query, findings& found) const;
    void readStreams(wall_time since, findings& found) const;
    findings investigate(const journal_query& query) const;
    result<event_log::explanation> explain(const job_key& job) const;
    fault_report countFaults(wall_time since) const;
};

void aggregator::data::run()
{
    learnEvidence();
    std::unique_lock lock(mutex);
    while (!stopping) {
        arrived.wait_for(lock, configurationPollInterval, [this] { return stopping || !questions.empty(); });
        auto waiting = std::exchange(questions, {});
        lock.unlock();
        noteLimitChanges();
        for (const auto& question : waiting)
            question();
        lock.lock();
    }
}

bool aggregator::data::post(std::function<void()> question)
{
    {
        const std::scoped_lock lock(mutex);
        if (stopping || questions.size() >= mostQuestions)
            return false;
        questions.push_back(std::move(question));
    }
    arrived.notify_one();
    return true;
}

void aggregator::data::noteLimitChanges()
{
    const auto current = parts.board.configuration.read();
    if (seen && current->version == seen->version)
        return;
    if (seen && seen->version > 0) {
        for (auto& change : limitChanges(*seen, *current))
            parts.journal.record(std::move(change));
    }
    seen = current;
}

/// A VM that was just started learns from the log which limits were changed before.
void aggregator::data::learnEvidence()
{
    const auto contents = event_log::readStream(
        parts.log, event_log::journalStreamOf(parts.domain), parts.clock.wallNow() - event_log::limitChangeWindow, logTimeout);
    if (!contents)
        return;
    for (const auto& batch : contents->batches)
        parts.writer.addEvidence(batch.events);
}

std::vector<member> aggregator::data::peersToAsk() const
{
    const auto fleet = parts.board.fleet.read();
    std::vector<member> peers = fleet->members;
    for (const auto& [domain, summary] : fleet->otherDomains)
        peers.insert(peers.end(), summary.contacts.begin(), summary.contacts.end());
    std::erase_if(peers, [this](const member& peer) { return peer.id == parts.vm || peer.peerAddress.empty(); });
    return peers;
}

std::vector<failure_domain_id> aggregator::data::domains() const
{
    std::vector<failure_domain_id> all { parts.domain };
    for (const auto& [domain, summary] : parts.board.fleet.read()->otherDomains)
        all.push_back(domain);
    return all;
}

void aggregator::data::askPeers(const journal_query& query, findings& found) const
{
    std::vector<asked_peer> asked;
    const std::string message = encodeQuery(query);
    for (const auto& peer : peersToAsk()) {
        auto promise = std::make_shared<std::promise<peer_outcome>>();
        asked.push_back({ peer.id.value, promise->get_future() });
        parts.peers.call(peer.peerAddress, std::string(journalQueryMethod), message, peerTimeout,
            [promise](peer_outcome reply) { promise->set_value(std::move(reply)); });
    }
    const auto limit = std::chrono::steady_clock::now() + peerTimeout;
    for (auto& peer : asked) {
        const bool answered = peer.reply.wait_until(limit) == std::future_status::ready;
        const auto text
            = answered ? peer.reply.get() : peer_outcome(tl::unexpected<net::transport_error>(net::transport_error {}));
        auto reply = text ? decodeReply(*text) : result<journal_reply>(fail(error_kind::peer_unreachable));
        if (!reply) {
            found.sources.unresponsiveVms.push_back(peer.name);
            continue;
        }
        found.sources.vms.push_back(reply->vm.value);
        found.replies.push_back(std::move(*reply));
    }
}

void aggregator::data::readStreams(wall_time since, findings& found) const
{
    for (const auto& domain : domains()) {
        const std::string stream = event_log::journalStreamOf(domain);
        auto contents = event_log::readStream(parts.log, stream, since, logTimeout);
        if (!contents) {
            found.sources.problems.push_back(fmt::format("stream {} could not be read: {}", stream, contents.error().detail));
            continue;
        }
        found.sources.streams.push_back(stream);
        if (!contents->complete)
            found.sources.problems.push_back(fmt::format("stream {} does not reach back far enough", stream));
        for (auto& batch : contents->batches)
            found.batches.push_back(std::move(batch));
    }
}

findings aggregator::data::investigate(const journal_query& query) const
{
    findings found;
    found.sources.queriedVm = parts.vm;
    found.sources.vms.push_back(parts.vm.value);
    found.replies.push_back(answerQuery(query, parts.vm, parts.incarnation, parts.journal, parts.writer));
    askPeers(query, found);
    readStreams(query.since, found);
    return found;
}

result<event_log::explanation> aggregator::data::explain(const job_key& job) const
{
    journal_query query;
    query.job = job;
    query.since = std::min(job.issuedAt, parts.clock.wallNow()) - event_log::limitChangeWindow - clockMargin;
    findings found = investigate(query);
    std::vector<event_log::event> events;
    std::vector<event_log::event> context;
    for (auto& reply : found.replies) {
        std::move(reply.events.begin(), reply.events.end(), std::back_inserter(events));
        std::move(reply.context.begin(), reply.context.end(), std::back_inserter(context));
    }
    for (auto& batch : found.batches) {
        for (auto& entry : batch.events) {
            context.push_back(entry);
            if (entry.job == job)
                events.push_back(std::move(entry));
        }
    }
    event_log::sortByTime(context);
    event_log::evidence known;
    std::set<std::pair<vm_id, std::uint64_t>> added;
    for (const auto& entry : context) {
        if (added.emplace(entry.vm, entry.sequence).second)
            known.add(entry);
    }
    return event_log::explain(job, std::move(events), known, std::move(found.sources));
}

fault_report aggregator::data::countFaults(wall_time since) const
{
    journal_query query;
    query.since = since;
    findings found = investigate(query);
    fault_report report;
    report.since = since;
    report.until = parts.clock.wallNow();
    report.sources = std::move(found.sources);
    std::set<std::pair<vm_id, std::uint64_t>> answered;
    for (const auto& reply : found.replies) {
        answered.emplace(reply.vm, reply.incarnation);
        event_log::addCounts(report.counts, reply.counts, SIZE_MAX);
    }
    const auto firstMinute = std::chrono::floor<std::chrono::minutes>(since);
    for (auto& batch : found.batches) {
        // What a VM still knows is in its reply already.
        if (answered.contains({ batch.vm, batch.incarnation }))
            continue;
        std::erase_if(batch.counts, [firstMinute](const auto& entry) { return entry.first.minute < firstMinute; });
        event_log::addCounts(report.counts, batch.counts, SIZE_MAX);
    }
    return report;
}

aggregator::aggregator(aggregator_dependencies parts)
    : m_data(std::make_unique<data>(std::move(parts)))
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
    m_data->arrived.notify_one();
    if (m_data->thread.joinable())
        m_data->thread.join();
}

void aggregator::explain(const job_key& job, const explain_completion& done)
{
    auto question = [this, job, done] { done(m_data->explain(job)); };
    if (!m_data->post(std::move(question)))
        done(fail(error_kind::queue_full, fmt::format("{} questions wait already", mostQuestions)));
}

void aggregator::reportFaults(wall_time since, const faults_completion& done)
{
    auto question = [this, since, done] { done(m_data->countFaults(since)); };
    if (!m_data->post(std::move(question)))
        done(fail(error_kind::queue_full, fmt::format("{} questions wait already", mostQuestions)));
}

std::string aggregator::answerPeerQuery(const std::string& message) const
{
    const auto query = decodeQuery(message);
    if (!query)
        return "{}";
    const auto& parts = m_data->parts;
    return encodeReply(answerQuery(*query, parts.vm, parts.incarnation, parts.journal, parts.writer));
}

} // namespace coriandermount::explain
