// Measures the bytes and the CPU time of sharing slots and plans within one failure domain, by number of VMs, workers and plans.
// Time is virtual.
#include <map>
#include <memory>
#include <random>
#include <vector>

#include <fmt/format.h>

#include "quota/codec.h"
#include "quota/share_controller.h"

using namespace coriandermount;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t slots = 8;
constexpr double utilization = 0.8;
constexpr std::chrono::seconds warmUp { 12 };
constexpr std::chrono::seconds measurementTime { 20 };
constexpr std::chrono::milliseconds tickInterval { 10 };
constexpr std::chrono::milliseconds demandInterval { 100 };
constexpr std::uint32_t planTasks = 400;
/// Relative variation of the number of running tasks of a VM.
constexpr double fluctuation = 0.05;

struct domain_size {
    std::size_t vms;
    std::size_t workers;
    std::size_t plans;
};

struct entry_state {
    std::unique_ptr<quota::share_controller> controller;
    std::uint64_t shareNumber = 0;
    std::uint64_t bytes = 0;
    std::chrono::nanoseconds busy { 0 };
};

class domain {
public:
    explicit domain(const domain_size& size)
        : m_size(size)
        , m_vms(size.vms)
    {
        worker_table table;
        for (std::size_t index = 0; index < size.workers; ++index) {
            const worker_id name { fmt::format("worker-{:04}", index) };
            table.workers.push_back({ name, { "domain-1" }, "rack", "127.0.0.1:1", vm_state::live, slots, 64, 0, 0, 0, {} });
        }
        configuration::snapshot configuration;
        configuration.version = 1;
        for (std::size_t index = 0; index < size.plans; ++index)
            configuration.plans[planName(index)].concurrentTasks = planTasks;
        fleet_view view;
        for (std::size_t index = 0; index < size.vms; ++index)
            view.members.push_back({ vmName(index), { "domain-1" }, "rack", "127.0.0.1:1", 1, member_state::alive });
        for (std::size_t index = 0; index < size.vms; ++index) {
            m_vms[index].controller = std::make_unique<quota::share_controller>(quota::lease_times {}, 1, m_now);
            view.self = view.members[index];
            m_vms[index].controller->setWorkers(table, m_now);
            m_vms[index].controller->setConfiguration(configuration, m_now);
            m_vms[index].controller->setView(view, m_now);
        }
    }

    void run(std::chrono::seconds duration)
    {
        const time_point end = m_now + duration;
        while (m_now < end) {
            m_now += tickInterval;
            for (auto& content : std::exchange(m_network, {}))
                deliver(content);
            for (auto& vm : m_vms)
                tick(vm);
        }
    }

    void clearCounts()
    {
        for (auto& vm : m_vms) {
            vm.bytes = 0;
            vm.busy = 0ns;
        }
    }

    void print() const
    {
        const double seconds = static_cast<double>(measurementTime.count());
        double arbiterBytes = 0;
        double holderBytes = 0;
        double arbiterBusy = 0;
        double holderBusy = 0;
        for (const auto& vm : m_vms) {
            const double bytes = static_cast<double>(vm.bytes) / seconds;
            const double busy = std::chrono::duration<double>(vm.busy).count() / seconds * 100;
            (vm.controller->isArbiter() ? arbiterBytes : holderBytes) += bytes;
            (vm.controller->isArbiter() ? arbiterBusy : holderBusy) += busy;
        }
        const auto others = static_cast<double>(m_size.vms - 1);
        fmt::print("{:>4}{:>9}{:>7}{:>16.0f}{:>16.0f}{:>14.3f}{:>14.3f}\n", m_size.vms, m_size.workers, m_size.plans,
            arbiterBytes, holderBytes / others, arbiterBusy, holderBusy / others);
    }

private:
    static vm_id vmName(std::size_t index) { return { fmt::format("entry-{}", index) }; }
    static plan_id planName(std::size_t index) { return { fmt::format("plan-{:03}", index) }; }

    template <class Call> void measure(entry_state& vm, Call call)
    {
        const auto begin = std::chrono::steady_clock::now();
        auto messages = call();
        for (const auto& content : messages)
            vm.bytes += quota::encodeMessage(content).size();
        vm.busy += std::chrono::steady_clock::now() - begin;
        for (auto& content : messages)
            m_network.push_back(std::move(content));
    }

    void deliver(const quota::message& content)
    {
        const vm_id target = std::visit([](const auto& value) { return value.to; }, content);
        for (std::size_t index = 0; index < m_vms.size(); ++index) {
            entry_state& vm = m_vms[index];
            if (vmName(index) == target)
                measure(vm, [&] { return vm.controller->handle(content, m_now); });
        }
    }

    void tick(entry_state& vm)
    {
        measure(vm, [&] {
            if (m_now.time_since_epoch() % demandInterval == 0ms)
                vm.controller->setDemand(nextDemand(vm), m_now);
            return vm.controller->tick(m_now);
        });
    }

    quota::demand nextDemand(entry_state& vm)
    {
        std::uniform_real_distribution<double> variation(1 - fluctuation, 1 + fluctuation);
        const double mean = utilization * static_cast<double>(m_size.workers) * slots / static_cast<double>(m_size.vms);
        const quota::share_snapshot shares = vm.controller->snapshot(m_now);
        vm.controller->markPublished(++vm.shareNumber);
        quota::demand demand;
        demand.shareNumber = vm.shareNumber;
        auto remaining = static_cast<std::uint32_t>(mean * variation(m_random));
        for (const auto& [worker, count] : shares.slots) {
            const std::uint32_t used = std::min(remaining, count);
            demand.usedSlots[worker] = used;
            demand.runningTasks += used;
            remaining -= used;
        }
        demand.queuedTasks = remaining;
        const auto perPlan = static_cast<std::uint32_t>(mean / static_cast<double>(m_size.plans));
        for (std::size_t index = 0; index < m_size.plans; ++index)
            demand.plans[planName(index)].runningTasks = static_cast<std::uint32_t>(perPlan * variation(m_random));
        return demand;
    }

    domain_size m_size;
    std::vector<entry_state> m_vms;
    std::vector<quota::message> m_network;
    time_point m_now { 1000s };
    std::mt19937_64 m_random { 20261204 };
};

} // namespace

int main()
{
    fmt::print("{:>4}{:>9}{:>7}{:>16}{:>16}{:>14}{:>14}\n", "vms", "workers", "plans", "arbiter B/s", "holder B/s",
        "arbiter cpu%", "holder cpu%");
    for (const domain_size size : { domain_size { 3, 48, 4 }, { 3, 330, 110 }, { 8, 330, 110 }, { 16, 330, 110 } }) {
        domain measuredDomain(size);
        measuredDomain.run(warmUp);
        measuredDomain.clearCounts();
        measuredDomain.run(measurementTime);
        measuredDomain.print();
    }
    return 0;
}
