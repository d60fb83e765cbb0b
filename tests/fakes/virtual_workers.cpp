#include "tests/fakes/virtual_workers.h"

#include <algorithm>

#include <fmt/format.h>

namespace coriandermount::fakes {

using namespace cells;

namespace {

    constexpr std::chrono::milliseconds oneWayLatency { 1 };
    constexpr std::chrono::milliseconds orderTimeout { 120 };
    constexpr std::chrono::milliseconds maxLease { 1000 };
    constexpr std::chrono::milliseconds pollCheckInterval { 5 };
    constexpr std::chrono::milliseconds leaseCheckInterval { 50 };

    template <class Answer> void failWithoutAnswer(virtual_loop& loop, const worker_link::completion<Answer>& done)
    {
        loop.after(orderTimeout, [done] { done(tl::unexpected(order_failure::no_answer)); });
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

std::vector<worker_registration> virtual_workers::registrations(const std::string& domain) const
{
    std::vector<worker_registration> listed;
    for (const auto& [id, current] : m_workers) {
        if (current.registration.failureDomain.value == domain)
            listed.push_back(current.registration);
    }
    return listed;
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
    const time_point requestedEnd = current.bootTime + until;
    current.leaseEnd = std::max(current.leaseEnd, std::min(requestedEnd, m_loop.now() + maxLease));
}

void virtual_workers::recordStart(worker& current, const start_order& order)
{
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
    if (running != current.running.end() && running->second.attempt == order.attempt)
        return order_answer { workerTimeOf(current) };
    if (running != current.running.end() || order.attempt <= current.highestAttempts[order.task])
        return tl::unexpected(order_failure::attempt_too_old);
    recordStart(current, order);
    if (!current.faults.hangs) {
        const auto duration = std::chrono::milliseconds(current.faults.failsAll ? 10 : std::stoi(order.payload));
        m_loop.after(duration, [this, id = current.registration.id.value, boot = current.boot, order] {
            worker& target = m_workers.at(id);
            const auto found = target.running.find(order.task);
            if (target.boot == boot && found != target.running.end() && found->second.attempt == order.attempt)
                finish(target, order.task, target.faults.failsAll ? run_end_reason::failed : run_end_reason::done);
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
    current.ended.push_back({ ++current.lastEndNumber, task, run.attempt, endReason, {} });
}

void virtual_workers::start(const worker_id& id, const start_order& order, const worker_link::completion<order_answer>& done)
{
    const worker_faults faults = m_workers.at(id.value).faults;
    const bool answered = !faults.partitioned && faults.orderDelay.count() == 0;
    if (!faults.partitioned) {
        m_loop.after(faults.orderDelay + oneWayLatency, [this, id, order, done, answered, boot = m_workers.at(id.value).boot] {
            worker& current = m_workers.at(id.value);
            if (current.boot != boot)
                return;
            const auto answer = executeOrder(current, order);
            if (answered)
                m_loop.after(oneWayLatency, [done, answer] { done(answer); });
        });
    }
    if (!answered)
        failWithoutAnswer<order_answer>(m_loop, done);
}

void virtual_workers::stop(const worker_id& id, const stop_order& order, const worker_link::completion<order_answer>& done)
{
    const worker_faults faults = m_workers.at(id.value).faults;
    const bool answered = !faults.partitioned && faults.orderDelay.count() == 0;
    if (!faults.partitioned) {
        m_loop.after(faults.orderDelay + oneWayLatency, [this, id, order, done, answered, boot = m_workers.at(id.value).boot] {
            worker& current = m_workers.at(id.value);
            if (current.boot != boot)
                return;
            tl::expected<order_answer, order_failure> answer = order_answer { workerTimeOf(current) };
            if (order.token < current.token) {
                answer = tl::unexpected(order_failure::fenced);
            } else {
                current.token = order.token;
                const auto found = current.running.find(order.task);
                if (found != current.running.end() && found->second.attempt <= order.attempt)
                    finish(current, order.task, run_end_reason::stopped);
                current.highestAttempts[order.task] = std::max(current.highestAttempts[order.task], order.attempt);
            }
            if (answered)
                m_loop.after(oneWayLatency, [done, answer] { done(answer); });
        });
    }
    if (!answered)
        failWithoutAnswer<order_answer>(m_loop, done);
}

void virtual_workers::poll(const worker_id& id, const poll_order& order, const worker_link::completion<poll_answer>& done)
{
    const worker_faults faults = m_workers.at(id.value).faults;
    if (faults.partitioned) {
        failWithoutAnswer<poll_answer>(m_loop, done);
        return;
    }
    m_loop.after(oneWayLatency, [this, id, order, done, boot = m_workers.at(id.value).boot] {
        worker& current = m_workers.at(id.value);
        if (order.token < current.token) {
            m_loop.after(oneWayLatency, [done] { done(tl::unexpected(order_failure::fenced)); });
            return;
        }
        current.token = order.token;
        if (order.extendsLease && current.boot == boot)
            extendLease(current, order.leaseEnd);
        std::erase_if(current.ended, [&order](const ended_task& ended) { return ended.number <= order.acknowledged; });
        if (order.wait.count() > 0 && current.ended.empty()) {
            poll_order rest = order;
            rest.wait = std::max(order.wait - pollCheckInterval, std::chrono::milliseconds(0));
            rest.extendsLease = false;
            m_loop.after(pollCheckInterval - oneWayLatency, [this, id, rest, done] { poll(id, rest, done); });
            return;
        }
        poll_answer answer { workerTimeOf(current), current.registration.bootTime, {}, current.ended };
        for (const auto& [task, run] : current.running)
            answer.running.push_back({ task, run.attempt, {}, percentOf(m_runs[run.index], current.faults.hangs) });
        m_loop.after(oneWayLatency, [done, answer] { done(answer); });
    });
}

} // namespace coriandermount::fakes
