#include "claims/fleet_claims.h"

#include <condition_variable>
#include <mutex>
#include <thread>
#include <unordered_map>

#include "claims/claim_core.h"
#include "claims/message_codec.h"
#include "claims/peer_batcher.h"
#include "core/log.h"

namespace coriandermount::claims {

namespace {

    constexpr std::chrono::milliseconds tickInterval { 10 };
    constexpr std::chrono::milliseconds fleetReadInterval { 100 };
    constexpr std::size_t logReadLimit = 1000;

    using messages_by_address = std::map<std::string, std::vector<message>>;

    messages_by_address groupByAddress(std::vector<outgoing_message>& messages)
    {
        messages_by_address groups;
        for (auto& entry : messages)
            groups[entry.address].push_back(std::move(entry.body));
        return groups;
    }

    fleet_contacts contactsOf(const fleet_view& view)
    {
        fleet_contacts contacts;
        for (const auto& other : view.members)
            contacts.ownDomain.push_back({ other.id, other.peerAddress, other.state == member_state::leaving });
        for (const auto& [id, summary] : view.otherDomains) {
            domain_contacts domain { id, {} };
            for (const auto& other : summary.contacts)
                domain.addresses.push_back(other.peerAddress);
            contacts.otherDomains.push_back(std::move(domain));
        }
        return contacts;
    }

} // namespace

struct fleet_claims::data : std::enable_shared_from_this<data> {
    fleet_claims_dependencies dependencies;
    claim_core_options options;
    std::string stream;
    mutable std::mutex mutex;
    std::condition_variable wake;
    bool stopping = false;
    std::unique_ptr<claim_core> core;
    std::unique_ptr<peer_batcher> batcher;
    std::unordered_map<caller_token, completion> callers;
    std::uint64_t nextToken = 1;
    answer_codec codec;
    /// Offset at which the next read of the log begins.
    platform::log_offset nextOffset = 0;
    /// Views from the earlier pages of a log read that takes several pages.
    std::vector<claim_view> pendingViews;
    /// Whether the log still held its first record when it was read for the first time.
    bool logComplete = false;
    bool readInFlight = false;
    std::thread thread;

    data(fleet_claims_dependencies givenDependencies, claim_core_options givenOptions, answer_codec givenCodec)
        : dependencies(givenDependencies)
        , options(std::move(givenOptions))
        , stream("claims." + options.domain.value)
        , codec(std::move(givenCodec))
    {
    }

    input_time now() const { return { dependencies.clock.now(), dependencies.clock.wallNow() }; }

    template <class Input> bool processInput(Input input);
    std::vector<message> receive(const std::vector<message>& messages, const std::string& sender);
    void carryOut(outputs out, const std::string& replyTo, std::vector<message>* reply);
    void append(const claim_view& view);
    void readLog();
    void onLogRead(result<platform::log_batch> batch, time_point sentAt);
    void run();
};

/// Processes one input of the state machine under the lock and carries out the resulting actions. Returns false if the
/// service is not running.
template <class Input> bool fleet_claims::data::processInput(Input input)
{
    outputs out;
    {
        const std::scoped_lock lock(mutex);
        if (stopping || !core)
            return false;
        out = input(*core);
    }
    carryOut(std::move(out), {}, nullptr);
    return true;
}

void fleet_claims::data::carryOut(outputs out, const std::string& replyTo, std::vector<message>* reply)
{
    for (auto& [address, messages] : groupByAddress(out.messages)) {
        if (reply && address == replyTo)
            *reply = std::move(messages);
        else
            batcher->send(address, std::move(messages));
    }
    for (const auto& view : out.appends)
        append(view);
    if (out.readLog)
        readLog();
    for (auto& decision : out.decisions) {
        completion done;
        {
            const std::scoped_lock lock(mutex);
            auto node = callers.extract(decision.token);
            if (node)
                done = std::move(node.mapped());
        }
        if (done)
            done(std::move(decision.decision));
    }
}

std::vector<message> fleet_claims::data::receive(const std::vector<message>& messages, const std::string& sender)
{
    std::vector<message> reply;
    outputs combined;
    {
        const std::scoped_lock lock(mutex);
        if (stopping || !core)
            return reply;
        const input_time at = now();
        for (const auto& entry : messages) {
            outputs out = core->receive(entry, at);
            std::move(out.messages.begin(), out.messages.end(), std::back_inserter(combined.messages));
            std::move(out.decisions.begin(), out.decisions.end(), std::back_inserter(combined.decisions));
        }
    }
    carryOut(std::move(combined), sender, &reply);
    return reply;
}

void fleet_claims::data::append(const claim_view& view)
{
    writeLog(log_level::info, "claims", "claim view proposed",
        { { "vm", options.self.id.value }, { "view", std::to_string(view.number) },
            { "members", std::to_string(view.members.size()) } });
    // The log is read back in any case: only its order of records decides which view got the number, and a failed append may
    // have stored the record.
    dependencies.log.append(
        stream, encodeView(view), [self = shared_from_this()](const result<platform::log_offset>&) { self->readLog(); });
}

void fleet_claims::data::readLog()
{
    platform::log_offset from = 0;
    {
        const std::scoped_lock lock(mutex);
        if (stopping || readInFlight)
            return;
        readInFlight = true;
        from = nextOffset;
    }
    dependencies.log.read(stream, from, logReadLimit,
        [self = shared_from_this(), sentAt = dependencies.clock.now()](
            result<platform::log_batch> batch) { self->onLogRead(std::move(batch), sentAt); });
}

void fleet_claims::data::onLogRead(result<platform::log_batch> batch, time_point sentAt)
{
    bool more = false;
    std::vector<claim_view> views;
    bool complete = false;
    {
        const std::scoped_lock lock(mutex);
        readInFlight = false;
        if (!batch)
            return;
        if (nextOffset == 0)
            logComplete = batch->firstKept <= platform::firstOffset;
        for (const auto& record : batch->records) {
            nextOffset = record.offset + 1;
            if (auto view = decodeView(record.body))
                pendingViews.push_back(std::move(*view));
            else
                writeLog(log_level::warning, "claims", "malformed claim view record skipped",
                    { { "stream", stream }, { "offset", std::to_string(record.offset) }, { "reason", view.error().detail } });
        }
        nextOffset = std::max(nextOffset, batch->firstKept);
        more = nextOffset < batch->end && !batch->records.empty();
        complete = logComplete;
        if (!more)
            views.swap(pendingViews);
    }
    if (more)
        readLog();
    else
        processInput([&](claim_core& target) { return target.applyLogRecords(views, complete, sentAt, now()); });
}

void fleet_claims::data::run()
{
    time_point nextFleetRead {};
    while (true) {
        {
            std::unique_lock lock(mutex);
            wake.wait_for(lock, tickInterval, [this] { return stopping; });
            if (stopping)
                return;
            if (dependencies.clock.now() >= nextFleetRead) {
                core->setFleet(contactsOf(*dependencies.board.fleet.read()));
                nextFleetRead = dependencies.clock.now() + fleetReadInterval;
            }
        }
        processInput([this](claim_core& target) { return target.tick(now()); });
    }
}

fleet_claims::fleet_claims(fleet_claims_dependencies dependencies, claim_core_options options, answer_codec codec)
    : m_data(std::make_shared<data>(dependencies, std::move(options), std::move(codec)))
{
}

fleet_claims::~fleet_claims() { stop(); }

void fleet_claims::registerMethods(peers::peer_service& service)
{
    service.addMethod(std::string(peerMethod),
        [state = m_data.get()](const std::string& text, const peers::peer_service::reply_function& reply) {
            auto batch = decodeBatch(text);
            std::vector<message> messages;
            if (batch)
                messages = state->receive(batch->messages, batch->from);
            reply(encodeBatch({ state->options.self.address, std::move(messages) }));
        });
}

void fleet_claims::start(const std::string& peerAddress)
{
    {
        const std::scoped_lock lock(m_data->mutex);
        m_data->options.self.address = peerAddress;
        m_data->core = std::make_unique<claim_core>(m_data->options, m_data->codec);
        m_data->core->setFleet(contactsOf(*m_data->dependencies.board.fleet.read()));
        m_data->batcher = std::make_unique<peer_batcher>(m_data->dependencies.link, peerAddress,
            [state = m_data.get()](const std::vector<message>& messages) { state->receive(messages, {}); });
    }
    m_data->thread = std::thread([state = m_data.get()] { state->run(); });
}

void fleet_claims::stop()
{
    {
        const std::scoped_lock lock(m_data->mutex);
        m_data->stopping = true;
    }
    m_data->wake.notify_one();
    if (m_data->batcher)
        m_data->batcher->stop();
    if (m_data->thread.joinable())
        m_data->thread.join();
}

void fleet_claims::claim(const claim_request& request, completion done)
{
    const bool accepted = m_data->processInput([&](claim_core& target) {
        const caller_token token { m_data->nextToken++ };
        m_data->callers.emplace(token, std::move(done));
        return target.submit(request, token, m_data->now());
    });
    if (!accepted)
        done(fail(error_kind::shutting_down, "the claim service is not running"));
}

void fleet_claims::finish(const job_answer& answer)
{
    m_data->processInput([&](claim_core& target) { return target.finish(answer, m_data->now()); });
}

void fleet_claims::release(const job_answer& answer)
{
    m_data->processInput([&](claim_core& target) { return target.release(answer, m_data->now()); });
}

void fleet_claims::awaitAnswer(const job_key& key, answer_completion done)
{
    const bool accepted = m_data->processInput([&](claim_core& target) {
        const caller_token token { m_data->nextToken++ };
        m_data->callers.emplace(token, [done](result<claim_decision> decision) {
            done(decision.map([](const claim_decision& value) { return value.answer.value_or(job_answer {}); }));
        });
        return target.awaitAnswer(key, token, m_data->now());
    });
    if (!accepted)
        done(fail(error_kind::job_unknown, "the claim service is not running"));
}

std::vector<std::string> fleet_claims::issueIds(std::size_t count)
{
    const std::scoped_lock lock(m_data->mutex);
    std::vector<std::string> ids;
    ids.reserve(count);
    for (std::size_t index = 0; index < count && m_data->core; ++index)
        ids.push_back(m_data->core->issueId(m_data->now()));
    return ids;
}

bool fleet_claims::serving() const
{
    const std::scoped_lock lock(m_data->mutex);
    return m_data->core && m_data->core->serving(m_data->now());
}

} // namespace coriandermount::claims
