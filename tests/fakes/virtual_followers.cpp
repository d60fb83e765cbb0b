#include "tests/fakes/virtual_followers.h"

namespace coriandermount::fakes {

using namespace configuration;

namespace {

    constexpr std::chrono::milliseconds tickInterval { 100 };
    constexpr std::chrono::milliseconds gossipInterval { 500 };
    constexpr std::chrono::milliseconds peerLatency { 2 };
    constexpr std::chrono::milliseconds logLatency { 5 };
    constexpr std::chrono::milliseconds answerTimeout { 1000 };

} // namespace

virtual_followers::virtual_followers(std::size_t count, std::uint64_t seed, follower_options options)
    : m_options(options)
    , m_vms(count)
    , m_random(seed)
{
    for (std::size_t vm = 0; vm < count; ++vm)
        restart(vm);
}

void virtual_followers::restart(std::size_t vm)
{
    m_vms[vm].follower = std::make_unique<follower>(m_options);
    ++m_vms[vm].incarnation;
    scheduleFor(vm, std::chrono::milliseconds(m_random() % 100), [this, vm] { tick(vm); });
    scheduleFor(vm, std::chrono::milliseconds(m_random() % 500), [this, vm] { gossip(vm); });
}

void virtual_followers::kill(std::size_t vm)
{
    m_vms[vm].follower.reset();
    ++m_vms[vm].incarnation;
}

void virtual_followers::heal()
{
    m_logUnavailable = false;
    m_dropAppendAnswers = false;
    for (std::size_t vm = 0; vm < m_vms.size(); ++vm) {
        m_vms[vm].partitionedFromLog = false;
        m_vms[vm].partitionedFromPeers = false;
        if (!isRunning(vm))
            restart(vm);
    }
}

void virtual_followers::schedule(std::chrono::milliseconds delay, std::function<void()> action)
{
    m_queue.push({ m_time + delay, m_order++, std::move(action) });
}

void virtual_followers::scheduleFor(std::size_t vm, std::chrono::milliseconds delay, std::function<void()> action)
{
    schedule(delay, [this, vm, incarnation = m_vms[vm].incarnation, action = std::move(action)] {
        if (m_vms[vm].incarnation == incarnation)
            action();
    });
}

void virtual_followers::tick(std::size_t vm)
{
    handle(vm, poll_tick { static_cast<unsigned>(vm) });
    scheduleFor(vm, tickInterval, [this, vm] { tick(vm); });
}

void virtual_followers::gossip(std::size_t vm)
{
    const std::size_t peer = m_random() % m_vms.size();
    if (peer != vm && isRunning(peer) && !m_vms[vm].partitionedFromPeers && !m_vms[peer].partitionedFromPeers) {
        const follower& from = *m_vms[peer].follower;
        handle(vm, peer_revision_received { from.current()->version, from.digest(), std::to_string(peer) });
    }
    scheduleFor(vm, gossipInterval, [this, vm] { gossip(vm); });
}

void virtual_followers::handle(std::size_t vm, const follower_event& event)
{
    const auto before = m_vms[vm].follower->current();
    const follower_actions actions = m_vms[vm].follower->handle(event, time_point(m_time));
    auto last = before;
    for (const auto& action : actions) {
        if (const auto* change = std::get_if<snapshot_adopted>(&action)) {
            if (!isNewer(*change->current, *last))
                ++m_regressions;
            last = change->current;
        }
        perform(vm, action);
    }
    if (last != m_vms[vm].follower->current())
        ++m_regressions;
}

void virtual_followers::perform(std::size_t vm, const follower_action& action)
{
    const bool logUnreachable = m_logUnavailable || m_vms[vm].partitionedFromLog;
    if (const auto* read = std::get_if<read_log>(&action)) {
        scheduleFor(vm, logLatency, [this, vm, logUnreachable, read = *read] {
            if (logUnreachable)
                handle(vm, log_read_completed { fail(error_kind::log_unavailable) });
            else
                handle(vm, log_read_completed { m_log.read(read.from, read.limit) });
        });
    } else if (const auto* append = std::get_if<append_record>(&action)) {
        m_copiesAppended += append->body.find("\"version\"") == std::string::npos ? 0 : 1;
        // The record is appended even when the VM has been stopped in the meantime.
        schedule(logLatency, [this, vm, logUnreachable, incarnation = m_vms[vm].incarnation, append = *append] {
            append_completed ended { append.recordId, fail(error_kind::log_unavailable) };
            std::chrono::milliseconds wait { 0 };
            if (!logUnreachable) {
                ended.offset = m_log.append(append.body);
                if (m_dropAppendAnswers) {
                    ended.offset = fail(error_kind::log_answer_lost);
                    wait = answerTimeout;
                }
            }
            if (m_vms[vm].incarnation == incarnation)
                scheduleFor(vm, wait, [this, vm, ended] { handle(vm, ended); });
        });
    } else if (const auto* fetch = std::get_if<fetch_from_peer>(&action)) {
        ++m_peerFetches;
        const std::size_t peer = std::stoul(fetch->peerAddress);
        scheduleFor(vm, peerLatency, [this, vm, peer] {
            peer_fetch_completed answer;
            if (isRunning(peer) && !m_vms[vm].partitionedFromPeers && !m_vms[peer].partitionedFromPeers)
                answer.state = m_vms[peer].follower->stateForPeer();
            handle(vm, answer);
        });
    } else if (const auto* skip = std::get_if<record_rejected>(&action)) {
        m_vms[vm].rejectedRecords.push_back(skip->entry);
    } else if (const auto* ended = std::get_if<publish_completed>(&action)) {
        m_results.push_back(ended->outcome);
    }
}

void virtual_followers::publish(std::size_t vm, const std::string& author, const std::string& customer, const std::string& plan)
{
    snapshot candidate = *current(vm);
    candidate.basedOn = candidate.version;
    candidate.version = 0;
    candidate.author = author;
    candidate.reason = "test";
    candidate.recordId = author + "-" + std::to_string(m_nextRecord++);
    candidate.plans.try_emplace({ plan });
    candidate.customers[{ customer }] = { plan };
    publish(vm, std::move(candidate));
}

void virtual_followers::publish(std::size_t vm, snapshot candidate)
{
    handle(vm, publish_requested { publication_id { m_nextRecord++ }, std::move(candidate), false });
}

void virtual_followers::publishAgain(std::size_t vm, snapshot candidate)
{
    handle(vm, publish_requested { publication_id { m_nextRecord++ }, std::move(candidate), true });
}

void virtual_followers::run(std::chrono::milliseconds duration)
{
    const auto end = m_time + duration;
    while (!m_queue.empty() && m_queue.top().at <= end) {
        const scheduled next = m_queue.top();
        m_queue.pop();
        m_time = next.at;
        next.action();
    }
    m_time = end;
}

bool virtual_followers::allAgree() const
{
    const snapshot* first = nullptr;
    for (const auto& vm : m_vms) {
        if (!vm.follower)
            continue;
        if (first && *vm.follower->current() != *first)
            return false;
        first = vm.follower->current().get();
    }
    return true;
}

} // namespace coriandermount::fakes
