// Compares policies for sharing the slots of 48 workers among 3 entry VMs in virtual time: refused starts, response time over run
// time, and messages per task.
//
// The lease policy uses the real share controllers; workers, queues and clock are simulated.
#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include <fmt/format.h>

#include "quota/share_controller.h"

using namespace coriandermount;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t vmCount = 3;
constexpr std::size_t workerCount = 48;
constexpr std::uint32_t slots = 8;
constexpr double utilization = 0.8;
constexpr std::chrono::milliseconds meanRunTime { 320 };
/// Time without tasks at the start, in which the arbiter is elected.
constexpr std::chrono::seconds electionTime { 8 };
constexpr std::chrono::seconds warmUp { 10 };
constexpr std::chrono::seconds measurementTime { 60 };
/// Interval at which the shares of the demand rotate among the VMs.
constexpr std::chrono::seconds demandRotation { 2 };
constexpr std::chrono::milliseconds gossipInterval { 100 };
constexpr std::chrono::milliseconds demandInterval { 20 };
constexpr std::chrono::milliseconds tickInterval { 10 };
constexpr double demandShares[] = { 0.6, 0.3, 0.1 };

enum class policy { fixed_shares, random_with_retry, two_choices, leases };

struct task {
    time_point arrived;
    std::chrono::milliseconds runTime;
};

struct entry_state {
    std::deque<task> queue;
    std::vector<std::uint32_t> used = std::vector<std::uint32_t>(workerCount);
    std::vector<std::uint32_t> usedByOthers = std::vector<std::uint32_t>(workerCount);
    std::uint32_t running = 0;
    std::unique_ptr<quota::share_controller> controller;
    quota::share_snapshot shares;
    std::vector<std::uint32_t> leased = std::vector<std::uint32_t>(workerCount);
};

struct task_end {
    time_point endsAt;
    std::size_t vm;
    std::size_t worker;

    bool operator<(const task_end& other) const { return endsAt > other.endsAt; }
};

struct policy_result {
    std::uint64_t starts = 0;
    std::uint64_t refused = 0;
    std::uint64_t controlMessages = 0;
    std::vector<double> slowdowns;
};

vm_id vmName(std::size_t index) { return { fmt::format("entry-{}", index) }; }

worker_id workerName(std::size_t index) { return { fmt::format("worker-{:03}", index) }; }

class simulation {
public:
    explicit simulation(policy kind)
        : m_policy(kind)
    {
        if (kind == policy::leases)
            addControllers();
    }

    policy_result run()
    {
        const time_point work = m_now + electionTime;
        const time_point begin = work + warmUp;
        const time_point end = begin + measurementTime;
        while (m_now < end) {
            m_now += 1ms;
            m_counting = m_now >= begin;
            endTasks();
            if (m_now >= work)
                addArrivals();
            exchangeState();
            for (std::size_t vm = 0; vm < vmCount; ++vm)
                placeTasks(vm);
        }
        return std::move(m_result);
    }

private:
    void addControllers()
    {
        worker_table table;
        for (std::size_t index = 0; index < workerCount; ++index)
            table.workers.push_back({ workerName(index), { "domain-1" }, "rack", "127.0.0.1:1", coriandermount::vm_state::live,
                slots, 64, 0, 0, 0, {} });
        fleet_view view;
        for (std::size_t index = 0; index < vmCount; ++index)
            view.members.push_back({ vmName(index), { "domain-1" }, "rack", "127.0.0.1:1", 1, member_state::alive });
        for (std::size_t index = 0; index < vmCount; ++index) {
            auto& controller = m_vms[index].controller;
            controller = std::make_unique<quota::share_controller>(quota::lease_times {}, 1, m_now);
            view.self = view.members[index];
            controller->setWorkers(table, m_now);
            controller->setView(view, m_now);
        }
    }

    void endTasks()
    {
        while (!m_taskEnds.empty() && m_taskEnds.front().endsAt <= m_now) {
            std::pop_heap(m_taskEnds.begin(), m_taskEnds.end());
            const task_end done = m_taskEnds.back();
            m_taskEnds.pop_back();
            --m_vms[done.vm].used[done.worker];
            --m_vms[done.vm].running;
            --m_busy[done.worker];
        }
    }

    void addArrivals()
    {
        const double perStep = utilization * workerCount * slots / static_cast<double>(meanRunTime.count());
        const auto turn = static_cast<std::size_t>(m_now.time_since_epoch() / demandRotation);
        for (std::size_t vm = 0; vm < vmCount; ++vm) {
            std::poisson_distribution<int> arrivals(perStep * demandShares[(vm + turn) % vmCount]);
            for (int left = arrivals(m_random); left > 0; --left)
                m_vms[vm].queue.push_back({ m_now, runTime() });
        }
    }

    std::chrono::milliseconds runTime()
    {
        std::exponential_distribution<double> extraTime(1.0 / static_cast<double>(meanRunTime.count() - 50));
        return 50ms + std::chrono::milliseconds(static_cast<int>(extraTime(m_random)));
    }

    void exchangeState()
    {
        if (m_policy == policy::two_choices && m_now.time_since_epoch() % gossipInterval == 0ms) {
            for (std::size_t worker = 0; worker < workerCount; ++worker) {
                for (auto& vm : m_vms)
                    vm.usedByOthers[worker] = m_busy[worker] - vm.used[worker];
            }
            countControlMessages(vmCount * (vmCount - 1));
        }
        if (m_policy != policy::leases)
            return;
        for (auto& content : std::exchange(m_network, {}))
            deliver(content);
        for (std::size_t vm = 0; vm < vmCount; ++vm)
            tickController(vm);
    }

    void deliver(const quota::message& content)
    {
        const vm_id target = std::visit([](const auto& value) { return value.to; }, content);
        for (std::size_t vm = 0; vm < vmCount; ++vm) {
            if (vmName(vm) == target)
                send(m_vms[vm].controller->handle(content, m_now));
        }
    }

    void tickController(std::size_t index)
    {
        entry_state& vm = m_vms[index];
        if (m_now.time_since_epoch() % demandInterval == 0ms)
            reportDemand(vm);
        if (m_now.time_since_epoch() % tickInterval != 0ms)
            return;
        send(vm.controller->tick(m_now));
        quota::share_snapshot next = vm.controller->snapshot(m_now);
        next.number = vm.shares.number + 1;
        vm.controller->markPublished(next.number);
        vm.shares = std::move(next);
        std::fill(vm.leased.begin(), vm.leased.end(), 0);
        for (std::size_t worker = 0; worker < workerCount; ++worker) {
            const auto found = vm.shares.slots.find(workerName(worker));
            vm.leased[worker] = found == vm.shares.slots.end() ? 0 : found->second;
        }
    }

    void reportDemand(entry_state& vm)
    {
        quota::demand demand;
        for (std::size_t worker = 0; worker < workerCount; ++worker) {
            if (vm.used[worker] > 0)
                demand.usedSlots[workerName(worker)] = vm.used[worker];
        }
        demand.runningTasks = vm.running;
        demand.queuedTasks = static_cast<std::uint32_t>(vm.queue.size());
        demand.shareNumber = vm.shares.number;
        vm.controller->setDemand(demand, m_now);
    }

    void send(std::vector<quota::message> messages)
    {
        countControlMessages(messages.size());
        for (auto& content : messages)
            m_network.push_back(std::move(content));
    }

    void countControlMessages(std::size_t messages) { m_result.controlMessages += m_counting ? messages : 0; }

    /// Returns the slots of the worker that are free as far as the VM knows.
    std::uint32_t estimatedFreeSlots(std::size_t index, std::size_t worker) const
    {
        const entry_state& vm = m_vms[index];
        std::uint32_t bound = slots;
        if (m_policy == policy::fixed_shares)
            bound = slots / vmCount + ((worker + index) % vmCount < slots % vmCount ? 1 : 0);
        if (m_policy == policy::two_choices)
            bound = slots > vm.usedByOthers[worker] ? slots - vm.usedByOthers[worker] : 0;
        if (m_policy == policy::leases)
            bound = vm.leased[worker];
        return bound > vm.used[worker] ? bound - vm.used[worker] : 0;
    }

    std::size_t chooseWorker(std::size_t vm)
    {
        std::uniform_int_distribution<std::size_t> any(0, workerCount - 1);
        const std::size_t first = any(m_random);
        if (m_policy == policy::random_with_retry)
            return first;
        if (m_policy == policy::two_choices) {
            const std::size_t second = any(m_random);
            return estimatedFreeSlots(vm, first) >= estimatedFreeSlots(vm, second) ? first : second;
        }
        std::size_t best = first;
        for (std::size_t worker = 0; worker < workerCount; ++worker) {
            if (estimatedFreeSlots(vm, worker) > estimatedFreeSlots(vm, best))
                best = worker;
        }
        return best;
    }

    void placeTasks(std::size_t index)
    {
        entry_state& vm = m_vms[index];
        // A refused task goes back to the queue; each queued task is tried at most once per step.
        for (std::size_t tries = vm.queue.size(); tries > 0; --tries) {
            const std::size_t worker = chooseWorker(index);
            if (estimatedFreeSlots(index, worker) == 0) {
                if (m_policy == policy::two_choices || m_policy == policy::random_with_retry)
                    continue;
                return;
            }
            const task next = vm.queue.front();
            vm.queue.pop_front();
            m_result.starts += m_counting ? 1 : 0;
            if (m_busy[worker] >= slots) {
                m_result.refused += m_counting ? 1 : 0;
                vm.queue.push_back(next);
                continue;
            }
            ++m_busy[worker];
            ++vm.used[worker];
            ++vm.running;
            m_taskEnds.push_back({ m_now + next.runTime, index, worker });
            std::push_heap(m_taskEnds.begin(), m_taskEnds.end());
            const std::chrono::duration<double, std::milli> waited = m_now - next.arrived;
            if (m_counting)
                m_result.slowdowns.push_back(1 + waited.count() / static_cast<double>(next.runTime.count()));
        }
    }

    policy m_policy;
    std::mt19937_64 m_random { 20261204 };
    time_point m_now { 1000s };
    bool m_counting = false;
    std::vector<entry_state> m_vms = std::vector<entry_state>(vmCount);
    std::vector<std::uint32_t> m_busy = std::vector<std::uint32_t>(workerCount);
    std::vector<task_end> m_taskEnds;
    std::vector<quota::message> m_network;
    policy_result m_result;
};

double quantile(std::vector<double>& values, double share)
{
    const auto position = values.begin() + static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), position, values.end());
    return *position;
}

void printRow(const char* name, policy kind)
{
    policy_result row = simulation(kind).run();
    const auto done = static_cast<double>(row.slowdowns.size());
    const double messages = (2 * static_cast<double>(row.starts) + static_cast<double>(row.controlMessages)) / done;
    fmt::print("{:<28}{:>10}{:>11.2f}{:>9.3f}{:>9.3f}{:>10.3f}{:>9.3f}\n", name, row.slowdowns.size(),
        100 * static_cast<double>(row.refused) / static_cast<double>(row.starts), quantile(row.slowdowns, 0.5),
        quantile(row.slowdowns, 0.99), quantile(row.slowdowns, 0.999), messages);
}

} // namespace

int main()
{
    fmt::print("{:<28}{:>10}{:>11}{:>9}{:>9}{:>10}{:>9}\n", "policy", "tasks", "refused %", "p50", "p99", "p99.9", "msg/task");
    printRow("fixed shares", policy::fixed_shares);
    printRow("random, retry when refused", policy::random_with_retry);
    printRow("two choices, gossip 100 ms", policy::two_choices);
    printRow("slot leases", policy::leases);
    return 0;
}
