#include "tests/fakes/virtual_workers.h"

#include <algorithm>
#include <memory>
#include <utility>

#include <fmt/format.h>

namespace coriandermount::fakes {

using namespace cells;

namespace {

    constexpr std::chrono::milliseconds oneWayLatency { 1 };
    constexpr std::chrono::milliseconds maxLease { 1000 };
    constexpr std::chrono::milliseconds pollCheckInterval { 5 };
    constexpr std::chrono::milliseconds leaseCheckInterval { 50 };

    /// Returns the time after which the sender gives up.
    std::chrono::milliseconds timeoutOf(std::chrono::milliseconds answerLimit)
    {
        return answerLimit.count() > 0 ? answerLimit : orderTimeout;
    }

    template <class Answer>
    void failWithoutAnswer(virtual_loop& loop, std::chrono::milliseconds timeout, const worker_link::completion<Answer>& done)
    {
        loop.after(timeout, [done] { done(tl::unexpected(order_failure::no_answer)); });
    }

} // namespace

worker_registration virtual_workers::add(const std::string& id, const std::string& domain, std::int64_t cpuMillis)
{
    worker& added = m_workers[id];
    added.registration = { { id }, id, { "service" }, { domain }, false, { cpuMillis, 1 << 20, 0 }, {},
        m_loop.wallNow().time_since_epoch().count() };
    added.bootTime = m_loop.now();
    added.leaseEnd = m_loop.now();
    return added.registration;
}

worker_registration virtual_workers::restart(const std::string& id)
{
    if (m_timeline)
        m_timeline->note(id + " restarts");
    worker& current = m_workers.at(id);
    for (const auto& [task, run] : current.running)
        m_runs[run.index].end = m_loop.now();
    const worker_faults faults = current.faults;
    const std::uint64_t boot = current.boot + 1;
    const worker_registration before = current.registration;
    current = {};
    current.registration = before;
    current.registration.bootTime = std::max(before.bootTime + 1, m_loop.wallNow().time_since_epoch().count());
    current.faults = faults;
    current.boot = boot;
    current.bootTime = m_loop.now();
    current.leaseEnd = m_loop.now();
    return current.registration;
}

void virtual_workers::crash(const std::string& id)
{
    worker& current = m_workers.at(id);
    if (current.down)
        return;
    if (m_timeline)
        m_timeline->note(id + " crashes");
    m_crashes.push_back({ current.registration.id, m_loop.now() });
    for (const auto& [task, run] : current.running) {
        m_runs[run.index].end = m_loop.now();
        m_runs[run.index].crashed = true;
    }
    current.running.clear();
    current.down = true;
    current.crashedAt = m_loop.now();
    ++current.boot;
    if (m_restartsAfterCrash)
        m_loop.after(m_downtime, [this, id] { m_renamesAfterCrash ? replace(id) : (void)restart(id); });
}

void virtual_workers::replace(const std::string& id)
{
    const worker_registration before = m_workers.at(id).registration;
    const std::string next = id + "'";
    add(next, before.failureDomain.value, before.capacity.cpuMillis);
    m_workers.at(next).registration.address = before.address;
}

std::size_t virtual_workers::crashesUnder(const task_key& task) const
{
    return static_cast<std::size_t>(std::count_if(
        m_runs.begin(), m_runs.end(), [&task](const recorded_run& run) { return run.task == task && run.crashed; }));
}

void virtual_workers::scheduleCrash(const worker& current, const start_order& order)
{
    const auto deadly = m_deadlyTasks.find(order.task);
    if (deadly == m_deadlyTasks.end())
        return;
    if (deadly->second.count() == 0) {
        crash(current.registration.id.value);
        return;
    }
    m_loop.after(deadly->second, [this, id = current.registration.id.value, boot = current.boot, order] {
        const worker& target = m_workers.at(id);
        const auto found = target.running.find(order.task);
        if (target.boot == boot && found != target.running.end() && found->second.attempt == order.attempt)
            crash(id);
    });
}

std::vector<worker_registration> virtual_workers::registrations(const std::string& domain) const
{
    std::vector<worker_registration> listed;
    for (const auto& [id, current] : m_workers) {
        if (current.registration.failureDomain.value == domain && isRegistered(current))
            listed.push_back(current.registration);
    }
    return listed;
}

std::vector<worker_id> virtual_workers::unregistered(const std::string& domain) const
{
    std::vector<worker_id> missing;
    for (const auto& [id, current] : m_workers) {
        if (current.registration.failureDomain.value == domain && !isRegistered(current))
            missing.push_back(current.registration.id);
    }
    return missing;
}

bool virtual_workers::isRegistered(const worker& current) const
{
    return !current.down || !m_silenceUntilUnregistered || m_loop.now() < current.crashedAt + *m_silenceUntilUnregistered;
}

int virtual_workers::percentOf(const recorded_run& run, bool hangs) const
{
    constexpr std::chrono::milliseconds perPercent { 20 };
    return hangs ? 0 : static_cast<int>((m_loop.now() - run.start) / perPercent) % 100;
}

worker_time virtual_workers::workerTimeOf(const worker& current) const
{
    return std::chrono::duration_cast<worker_time>(m_loop.now() - current.bootTime);
}

void virtual_workers::extendLease(worker& current, worker_time until)
{
    if (m_loop.now() >= current.leaseEnd)
        current.lastLapse = current.leaseEnd;
    const time_point requestedEnd = current.bootTime + until;
    current.leaseEnd = std::max(current.leaseEnd, std::min(requestedEnd, m_loop.now() + maxLease));
}

void virtual_workers::noteEvent(const worker& current, const task_key& task, std::uint64_t attempt, std::string_view what) const
{
    if (m_timeline)
        m_timeline->note(
            task.jobId, fmt::format("task {}: attempt {} on {} {}", task.index, attempt, current.registration.id.value, what));
}

void virtual_workers::recordStart(worker& current, const start_order& order)
{
    noteEvent(current, order.task, order.attempt, "starts");
    for (const auto& run : m_runs) {
        if (run.task == order.task && !run.end)
            m_violations.push_back(fmt::format("{}.{} has two concurrent runs", run.task.jobId, run.task.index));
    }
    current.running[order.task] = { order.attempt, m_runs.size(), 0 };
    m_runs.push_back({ order.task, current.registration.id, order.attempt, m_loop.now(), std::nullopt, false });
}

tl::expected<order_answer, order_failure> virtual_workers::executeOrder(worker& current, const start_order& order)
{
    if (order.token < current.token)
        return tl::unexpected(order_failure::fenced);
    current.token = order.token;
    if (order.leaseEnd <= workerTimeOf(current))
        return tl::unexpected(order_failure::too_late);
    extendLease(current, order.leaseEnd);
    const auto running = current.running.find(order.task);
    if (running != current.running.end() && running->second.attempt == order.attempt && !running->second.stopping)
        return order_answer { workerTimeOf(current) };
    if (running != current.running.end() || order.attempt <= current.highestAttempts[order.task])
        return tl::unexpected(order_failure::attempt_too_old);
    recordStart(current, order);
    scheduleCrash(current, order);
    if (!current.faults.hangs) {
        const auto duration = std::chrono::milliseconds(current.faults.failsAll ? 10 : std::stoi(order.payload));
        m_loop.after(duration, [this, id = current.registration.id.value, boot = current.boot, order] {
            worker& target = m_workers.at(id);
            const auto found = target.running.find(order.task);
            if (target.boot != boot || found == target.running.end() || found->second.attempt != order.attempt
                || found->second.stopping)
                return;
            // A run that the end of the lease kills can't end as done any more, although its end is noticed late.
            const auto ownEnd = target.faults.failsAll ? run_end_reason::failed : run_end_reason::done;
            finish(target, order.task, m_loop.now() >= target.leaseEnd ? run_end_reason::lapsed : ownEnd);
        });
    }
    checkLease(current);
    return order_answer { workerTimeOf(current) };
}

void virtual_workers::checkLease(worker& current)
{
    m_loop.after(leaseCheckInterval, [this, id = current.registration.id.value, boot = current.boot] {
        worker& target = m_workers.at(id);
        if (target.boot != boot || target.running.empty())
            return;
        if (m_loop.now() >= target.leaseEnd) {
            while (!target.running.empty())
                finish(target, target.running.begin()->first, run_end_reason::lapsed);
            return;
        }
        checkLease(target);
    });
}

void virtual_workers::finish(worker& current, const task_key& task, run_end_reason endReason)
{
    const active_run run = current.running.at(task);
    current.running.erase(task);
    current.highestAttempts[task] = std::max(current.highestAttempts[task], run.attempt);
    m_runs[run.index].end = m_loop.now();
    m_runs[run.index].done = endReason == run_end_reason::done;
    noteEvent(current, task, run.attempt, fmt::format("ends: {}", nameOf(endReason)));
    current.endedRuns.emplace(current.lastEndNumber + 1, run.index);
    current.ended.push_back({ ++current.lastEndNumber, task, run.attempt, endReason, {} });
    current.mostUnacknowledged = std::max(current.mostUnacknowledged, current.ended.size());
}

void virtual_workers::acknowledgeEnds(worker& current, std::uint64_t acknowledged)
{
    for (const auto& ended : current.ended) {
        recorded_run& run = m_runs[current.endedRuns.at(ended.number)];
        const bool lapsed = m_loop.now() >= current.leaseEnd || current.lastLapse >= *run.end;
        run.noted = run.noted || (ended.number <= acknowledged && !lapsed);
    }
    std::erase_if(current.ended, [acknowledged](const ended_task& ended) { return ended.number <= acknowledged; });
}

std::vector<task_key> virtual_workers::startsAfterNotedEnd() const
{
    std::vector<task_key> found;
    for (const auto& before : m_runs) {
        if (!before.done || !before.noted)
            continue;
        const bool startedAgain = std::any_of(m_runs.begin(), m_runs.end(),
            [&before](const recorded_run& run) { return run.task == before.task && run.start >= *before.end; });
        if (startedAgain)
            found.push_back(before.task);
    }
    return found;
}

void virtual_workers::endRuns(const std::string& id, run_end_reason reason)
{
    worker& current = m_workers.at(id);
    while (!current.running.empty())
        finish(current, current.running.begin()->first, reason);
}

tl::expected<order_answer, order_failure> virtual_workers::refuseOrder(
    worker& current, const start_order& order, order_failure refusal)
{
    // A start that is refused for want of room extends the lease; the other refusals have no effect.
    if (refusal == order_failure::no_room && order.token >= current.token) {
        current.token = order.token;
        extendLease(current, order.leaseEnd);
    }
    return tl::unexpected(refusal);
}

tl::expected<order_answer, order_failure> virtual_workers::executeStop(worker& current, const stop_order& order)
{
    if (order.token < current.token)
        return tl::unexpected(order_failure::fenced);
    current.token = order.token;
    noteEvent(current, order.task, order.attempt, "gets a stop");
    const order_answer answer { workerTimeOf(current) };
    const auto found = current.running.find(order.task);
    if (found != current.running.end() && found->second.attempt <= order.attempt && !found->second.stopping)
        endStoppedRun(current, order.task, found->second);
    current.highestAttempts[order.task] = std::max(current.highestAttempts[order.task], order.attempt);
    return answer;
}

void virtual_workers::endStoppedRun(worker& current, const task_key& task, active_run& stopped)
{
    if (current.faults.stopTime.count() == 0) {
        finish(current, task, run_end_reason::stopped);
        return;
    }
    stopped.stopping = true;
    m_loop.after(current.faults.stopTime, [this, id = current.registration.id.value, boot = current.boot, task] {
        worker& target = m_workers.at(id);
        const auto found = target.running.find(task);
        if (target.boot == boot && found != target.running.end() && found->second.stopping)
            finish(target, task, run_end_reason::stopped);
    });
}

order_transport virtual_workers::nextTransport(
    const worker& current, worker_path& path, std::deque<order_transport>& scripted) const
{
    if (current.faults.partitioned)
        return order_transport::requestLost();
    if (refusesConnections(current))
        return order_transport::refused(order_failure::connection_refused);
    if (current.down)
        return order_transport::notSent();
    if (current.faults.orderDelay.count() > 0)
        return order_transport::delayed(current.faults.orderDelay);
    if (scripted.empty())
        return path.nextOrder();
    const order_transport next = scripted.front();
    scripted.pop_front();
    return next;
}

void virtual_workers::deliver(const worker_id& id, const order_transport& transport, std::chrono::milliseconds timeout,
    std::function<tl::expected<order_answer, order_failure>(worker&)> execute, worker_link::completion<order_answer> done)
{
    const bool answered = transport.isAnswered();
    if (!answered) {
        const auto failure = transport.connected ? order_failure::no_answer : order_failure::not_sent;
        m_loop.after(timeout, [done, failure] { done(tl::unexpected(failure)); });
    }
    if (!transport.connected || !transport.arrivesAfter)
        return;
    m_loop.after(*transport.arrivesAfter + oneWayLatency,
        [this, id, transport, timeout, answered, execute = std::move(execute), done = std::move(done),
            boot = m_workers.at(id.value).boot] {
            worker& current = m_workers.at(id.value);
            if (transport.refusal == order_failure::connection_refused) {
                done(tl::unexpected(order_failure::connection_refused));
                return;
            }
            if (current.boot != boot) {
                if (answered)
                    failWithoutAnswer<order_answer>(m_loop, timeout, done);
                return;
            }
            const auto answer = execute(current);
            if (answered && current.down)
                failWithoutAnswer<order_answer>(m_loop, timeout, done);
            else if (answered)
                m_loop.after(*transport.answerAfter + oneWayLatency, [done, answer] { done(answer); });
        });
}

void virtual_workers::start(const worker_id& id, const start_order& order, const worker_link::completion<order_answer>& done)
{
    worker& target = m_workers.at(id.value);
    const order_transport transport = nextTransport(target, target.faults.path, target.faults.nextStarts);
    if (!transport.isAnswered())
        noteEvent(target, order.task, order.attempt, "will not answer a start");
    const auto execute = [this, order, refusal = transport.refusal](worker& current) {
        return refusal ? refuseOrder(current, order, *refusal) : executeOrder(current, order);
    };
    deliver(id, transport, timeoutOf(order.answerLimit), execute, done);
}

void virtual_workers::stop(const worker_id& id, const stop_order& order, const worker_link::completion<order_answer>& done)
{
    worker& target = m_workers.at(id.value);
    const order_transport transport = nextTransport(target, target.faults.path, target.faults.nextStops);
    if (!transport.isAnswered())
        noteEvent(target, order.task, order.attempt, "will not answer a stop");
    const auto execute
        = [this, order, refusal = transport.refusal](worker& current) -> tl::expected<order_answer, order_failure> {
        if (refusal)
            return tl::unexpected(*refusal);
        return executeStop(current, order);
    };
    deliver(id, transport, timeoutOf(order.answerLimit), execute, done);
}

void virtual_workers::poll(const worker_id& id, const poll_order& order, const worker_link::completion<poll_answer>& done)
{
    worker& target = m_workers.at(id.value);
    const order_transport transport = target.faults.partitioned ? order_transport::requestLost() : target.faults.path.nextPoll();
    const auto timeout = order.answerLimit.count() > 0 ? order.wait + order.answerLimit : orderTimeout;
    if (!transport.connected || !transport.arrivesAfter) {
        failWithoutAnswer<poll_answer>(m_loop, timeout, done);
        return;
    }
    auto answered = std::make_shared<bool>(false);
    const auto once = [answered, done](const tl::expected<poll_answer, order_failure>& answer) {
        if (!std::exchange(*answered, true))
            done(answer);
    };
    if (!transport.isAnswered())
        failWithoutAnswer<poll_answer>(m_loop, timeout, once);
    m_loop.after(*transport.arrivesAfter + oneWayLatency,
        [this, id, order, once, boot = target.boot] { executePoll(id, order, boot, once); });
}

void virtual_workers::executePoll(
    const worker_id& id, poll_order order, std::uint64_t boot, const worker_link::completion<poll_answer>& done)
{
    worker& current = m_workers.at(id.value);
    if (refusesConnections(current)) {
        m_loop.after(oneWayLatency, [done] { done(tl::unexpected(order_failure::connection_refused)); });
        return;
    }
    if (current.faults.partitioned || current.down) {
        failWithoutAnswer<poll_answer>(m_loop, timeoutOf(order.answerLimit), done);
        return;
    }
    if (order.token < current.token) {
        m_loop.after(oneWayLatency, [done] { done(tl::unexpected(order_failure::fenced)); });
        return;
    }
    current.token = order.token;
    if (order.extendsLease && current.boot == boot)
        extendLease(current, order.leaseEnd);
    if (current.boot == boot)
        acknowledgeEnds(current, order.acknowledged);
    if (order.wait.count() > 0 && current.ended.empty()) {
        order.wait = std::max(order.wait - pollCheckInterval, std::chrono::milliseconds(0));
        order.extendsLease = false;
        m_loop.after(pollCheckInterval, [this, id, order, boot, done] { executePoll(id, order, boot, done); });
        return;
    }
    if (current.faults.losesPollAnswers || current.faults.path.losesAnswers()) {
        failWithoutAnswer<poll_answer>(m_loop, timeoutOf(order.answerLimit), done);
        return;
    }
    const std::size_t listed = std::min(current.ended.size(), mostListedEnds);
    poll_answer answer { workerTimeOf(current), current.registration.bootTime, {},
        { current.ended.begin(), current.ended.begin() + static_cast<std::ptrdiff_t>(listed) }, listed == current.ended.size() };
    for (const auto& [task, run] : current.running) {
        if (!run.stopping)
            answer.running.push_back({ task, run.attempt, {}, percentOf(m_runs[run.index], current.faults.hangs) });
    }
    m_loop.after(oneWayLatency, [done, answer] { done(answer); });
}

} // namespace coriandermount::fakes
