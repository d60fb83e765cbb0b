#include "tests/fakes/share_fleet.h"

#include <algorithm>
#include <map>
#include <queue>

#include <fmt/format.h>

namespace coriandermount::fakes {

using namespace std::chrono_literals;

namespace {

    constexpr std::chrono::milliseconds step { 5 };
    constexpr std::chrono::milliseconds clockStart { 1000000 };
    const plan_id plan { "plan" };

    struct virtual_vm {
        member self;
        std::unique_ptr<quota::share_controller> controller;
        double clockRate = 1;
        bool dead = false;
        time_point pausedUntil;
        std::uint32_t demand = 0;
        quota::share_snapshot shares;
        std::map<worker_id, std::uint32_t> used;
        std::multimap<time_point, worker_id> running;
        std::vector<quota::message> undelivered;
        std::map<std::size_t, time_point> lastHeardAt;
        std::uint64_t startedTasks = 0;
    };

    struct packet {
        time_point due;
        std::uint64_t number = 0;
        std::size_t to = 0;
        quota::message content;

        bool operator>(const packet& other) const { return std::tie(due, number) > std::tie(other.due, other.number); }
    };

} // namespace

struct share_fleet::data {
    share_fleet_options options;
    std::mt19937_64 random;
    time_point now { clockStart };
    std::vector<virtual_vm> vms;
    std::set<std::pair<std::size_t, std::size_t>> blockedLinks;
    std::priority_queue<packet, std::vector<packet>, std::greater<>> network;
    std::uint64_t packets = 0;
    configuration::snapshot configuration;
    worker_table workers;
    std::vector<std::string> violations;
    std::uint32_t planLimit = 0;
    /// Limits that were replaced, with the times until which VMs may still use them.
    std::vector<std::pair<time_point, std::uint32_t>> earlierLimits;

    double randomFraction() { return std::uniform_real_distribution<double>(0, 1)(random); }
    bool canReach(std::size_t from, std::size_t to) const { return !vms[from].dead && !blockedLinks.contains({ from, to }); }
    bool isRunning(const virtual_vm& vm) const { return !vm.dead && now >= vm.pausedUntil; }
    time_point localTime(const virtual_vm& vm) const
    {
        const auto elapsed = std::chrono::duration<double, std::nano>(now.time_since_epoch()) * vm.clockRate;
        return time_point(std::chrono::duration_cast<std::chrono::nanoseconds>(elapsed));
    }
    void start(std::size_t index, std::uint64_t incarnation);
    fleet_view viewOf(std::size_t index);
    void send(std::size_t from, std::vector<quota::message> messages);
    void deliver();
    void runVm(std::size_t index);
    void runTasks(virtual_vm& vm);
    void checkLimits();
    quota::share_snapshot usable(const virtual_vm& vm) const;
};

void share_fleet::data::start(std::size_t index, std::uint64_t incarnation)
{
    virtual_vm& vm = vms[index];
    vm.dead = false;
    vm.self.incarnation = incarnation;
    vm.controller = std::make_unique<quota::share_controller>(quota::lease_times {}, incarnation, localTime(vm));
    vm.controller->setWorkers(workers, localTime(vm));
    vm.controller->setConfiguration(configuration, localTime(vm));
    vm.shares = {};
    vm.used.clear();
    vm.running.clear();
    vm.undelivered.clear();
}

fleet_view share_fleet::data::viewOf(std::size_t index)
{
    virtual_vm& vm = vms[index];
    fleet_view view;
    view.self = vm.self;
    for (std::size_t other = 0; other < vms.size(); ++other) {
        if (other == index || (isRunning(vms[other]) && canReach(other, index)))
            vm.lastHeardAt[other] = now;
        const bool seen = vm.lastHeardAt.contains(other) && now - vm.lastHeardAt[other] < options.failureDetectionTime;
        const failure_domain_id domain = vms[other].self.domain;
        if (domain == vm.self.domain) {
            if (seen)
                view.members.push_back(vms[other].self);
            continue;
        }
        auto& summary = view.otherDomains[domain];
        summary.domain = domain;
        if (!seen)
            continue;
        summary.contacts.push_back(vms[other].self);
        summary.reachable = true;
        ++summary.liveVms;
        summary.freeSlots = options.workersPerDomain * options.slots;
    }
    return view;
}

void share_fleet::data::send(std::size_t from, std::vector<quota::message> messages)
{
    for (auto& content : messages) {
        const vm_id target = std::visit([](const auto& value) { return value.to; }, content);
        for (std::size_t to = 0; to < vms.size(); ++to) {
            if (vms[to].self.id != target)
                continue;
            ++packets;
            if (randomFraction() < options.loss)
                continue;
            const auto baseDelay = vms[to].self.domain == vms[from].self.domain ? options.delay : options.domainDelay;
            const int copies = randomFraction() < options.duplication ? 2 : 1;
            for (int copy = 0; copy < copies; ++copy) {
                const double delayFactor = options.loss > 0 && randomFraction() < options.loss ? 400 : 1 + randomFraction();
                const auto delay = std::chrono::duration_cast<std::chrono::nanoseconds>(baseDelay * delayFactor);
                network.push({ now + delay, packets * 2 + static_cast<std::uint64_t>(copy), to, content });
            }
        }
    }
}

void share_fleet::data::deliver()
{
    while (!network.empty() && network.top().due <= now) {
        const packet next = network.top();
        network.pop();
        const vm_id sender = std::visit([](const auto& value) { return value.from; }, next.content);
        const auto from = static_cast<std::size_t>(
            std::find_if(vms.begin(), vms.end(), [&sender](const virtual_vm& vm) { return vm.self.id == sender; }) - vms.begin());
        virtual_vm& vm = vms[next.to];
        if (vm.dead || blockedLinks.contains({ from, next.to }))
            continue;
        if (!isRunning(vm)) {
            vm.undelivered.push_back(next.content);
            continue;
        }
        send(next.to, vm.controller->handle(next.content, localTime(vm)));
    }
}

void share_fleet::data::runTasks(virtual_vm& vm)
{
    while (!vm.running.empty() && vm.running.begin()->first <= now) {
        const worker_id worker = vm.running.begin()->second;
        vm.running.erase(vm.running.begin());
        if (--vm.used[worker] == 0)
            vm.used.erase(worker);
    }
    const quota::share_snapshot usableNow = usable(vm);
    const auto share = usableNow.plans.find(plan);
    const std::uint32_t bound
        = planLimit == 0 ? vm.demand : std::min(vm.demand, share == usableNow.plans.end() ? 0 : share->second.concurrentTasks);
    for (const auto& [worker, slots] : usableNow.slots) {
        while (vm.running.size() < bound && vm.used[worker] < slots) {
            ++vm.used[worker];
            ++vm.startedTasks;
            const auto range = (options.maxRunTime - options.minRunTime).count() + 1;
            vm.running.emplace(
                now + options.minRunTime + std::chrono::milliseconds(random() % static_cast<std::uint64_t>(range)), worker);
        }
    }
    std::erase_if(vm.used, [](const auto& used) { return used.second == 0; });
}

void share_fleet::data::runVm(std::size_t index)
{
    virtual_vm& vm = vms[index];
    if (!isRunning(vm))
        return;
    for (auto& message : std::exchange(vm.undelivered, {}))
        send(index, vm.controller->handle(message, localTime(vm)));
    vm.controller->setView(viewOf(index), localTime(vm));
    runTasks(vm);
    quota::demand demand;
    demand.usedSlots = vm.used;
    demand.runningTasks = static_cast<std::uint32_t>(vm.running.size());
    demand.queuedTasks = vm.demand > demand.runningTasks ? vm.demand - demand.runningTasks : 0;
    demand.shareNumber = vm.shares.number;
    auto& planDemand = demand.plans[plan];
    planDemand.runningTasks = demand.runningTasks;
    planDemand.queuedTasks = demand.queuedTasks;
    vm.controller->setDemand(demand, localTime(vm));
    send(index, vm.controller->tick(localTime(vm)));
    quota::share_snapshot next = vm.controller->snapshot(localTime(vm));
    next.number = vm.shares.number + 1;
    vm.controller->markPublished(next.number);
    vm.shares = std::move(next);
}

quota::share_snapshot share_fleet::data::usable(const virtual_vm& vm) const
{
    return vm.dead || localTime(vm) >= vm.shares.validUntil ? quota::share_snapshot {} : vm.shares;
}

void share_fleet::data::checkLimits()
{
    std::map<worker_id, std::uint32_t> slots;
    std::uint32_t tasks = 0;
    for (const auto& vm : vms) {
        const quota::share_snapshot current = usable(vm);
        for (const auto& [worker, count] : current.slots)
            slots[worker] += count;
        if (const auto share = current.plans.find(plan); share != current.plans.end())
            tasks += share->second.concurrentTasks;
    }
    for (const auto& [worker, count] : slots) {
        if (count > options.slots)
            violations.push_back(fmt::format("{} usable slots, capacity {}, worker {}, at {} ms", count, options.slots,
                worker.value, (now.time_since_epoch() - clockStart) / 1ms));
    }
    std::erase_if(earlierLimits, [this](const auto& earlier) { return now >= earlier.first; });
    std::uint32_t limit = planLimit;
    for (const auto& [until, earlier] : earlierLimits)
        limit = std::max(limit, earlier);
    if (planLimit > 0 && tasks > limit)
        violations.push_back(fmt::format(
            "{} usable tasks of the plan, limit {}, at {} ms", tasks, limit, (now.time_since_epoch() - clockStart) / 1ms));
}

share_fleet::share_fleet(const share_fleet_options& options)
    : m_data(std::make_unique<data>())
{
    m_data->options = options;
    m_data->random.seed(options.seed);
    m_data->configuration.version = 1;
    m_data->configuration.plans[plan].concurrentTasks = options.planConcurrency;
    m_data->planLimit = options.planConcurrency;
    for (unsigned domain = 0; domain < options.domains; ++domain) {
        const failure_domain_id name { fmt::format("domain-{}", domain + 1) };
        for (unsigned index = 0; index < options.workersPerDomain; ++index) {
            worker_info worker;
            worker.id.value = fmt::format("worker-{}-{:03}", domain + 1, index + 1);
            worker.domain = name;
            worker.address = "127.0.0.1:1";
            worker.slots = options.slots;
            m_data->workers.workers.push_back(worker);
        }
        for (unsigned index = 0; index < options.vmsPerDomain; ++index) {
            virtual_vm vm;
            vm.self.id.value = fmt::format("entry-{}-{}", domain + 1, index + 1);
            vm.self.domain = name;
            vm.self.peerAddress = vm.self.id.value;
            vm.clockRate = 1 + options.drift * (2 * m_data->randomFraction() - 1);
            m_data->vms.push_back(std::move(vm));
        }
    }
    for (std::size_t index = 0; index < m_data->vms.size(); ++index)
        m_data->start(index, 1);
}

share_fleet::~share_fleet() = default;

void share_fleet::run(std::chrono::milliseconds duration)
{
    const time_point end = m_data->now + duration;
    while (m_data->now < end) {
        m_data->now += step;
        m_data->deliver();
        for (std::size_t index = 0; index < m_data->vms.size(); ++index)
            m_data->runVm(index);
        m_data->checkLimits();
    }
}

void share_fleet::setDemand(std::size_t vm, std::uint32_t tasks) { m_data->vms.at(vm).demand = tasks; }

void share_fleet::setPlanConcurrency(std::uint32_t tasks)
{
    const quota::lease_times times;
    m_data->earlierLimits.emplace_back(m_data->now + quota::longestLease(times) + 1s, m_data->planLimit);
    m_data->planLimit = tasks;
    m_data->configuration.plans[plan].concurrentTasks = tasks;
    ++m_data->configuration.version;
    for (auto& vm : m_data->vms) {
        if (!vm.dead)
            vm.controller->setConfiguration(m_data->configuration, m_data->localTime(vm));
    }
}

void share_fleet::kill(std::size_t vm) { m_data->vms.at(vm).dead = true; }

void share_fleet::restart(std::size_t vm) { m_data->start(vm, m_data->vms.at(vm).self.incarnation + 1); }

void share_fleet::pause(std::size_t vm, std::chrono::milliseconds duration)
{
    m_data->vms.at(vm).pausedUntil = m_data->now + duration;
}

void share_fleet::blockLink(std::size_t from, std::size_t to) { m_data->blockedLinks.emplace(from, to); }

void share_fleet::isolate(std::size_t vm)
{
    for (std::size_t other = 0; other < size(); ++other) {
        blockLink(vm, other);
        blockLink(other, vm);
    }
}

void share_fleet::isolateDomain(unsigned domain)
{
    const auto inside = [this, domain](std::size_t vm) { return vm / m_data->options.vmsPerDomain == domain; };
    for (std::size_t a = 0; a < size(); ++a) {
        for (std::size_t b = 0; b < size(); ++b) {
            if (inside(a) != inside(b))
                blockLink(a, b);
        }
    }
}

void share_fleet::heal() { m_data->blockedLinks.clear(); }

void share_fleet::disableLossAndDuplication()
{
    m_data->options.loss = 0;
    m_data->options.duplication = 0;
}

std::size_t share_fleet::size() const { return m_data->vms.size(); }

std::uint32_t share_fleet::running(std::size_t vm) const { return static_cast<std::uint32_t>(m_data->vms.at(vm).running.size()); }

std::uint32_t share_fleet::usableSlots(std::size_t vm) const
{
    std::uint32_t count = 0;
    for (const auto& [worker, slots] : m_data->usable(m_data->vms.at(vm)).slots)
        count += slots;
    return count;
}

std::uint32_t share_fleet::usablePlan(std::size_t vm) const
{
    const auto current = m_data->usable(m_data->vms.at(vm));
    const auto share = current.plans.find(plan);
    return share == current.plans.end() ? 0 : share->second.concurrentTasks;
}

std::uint32_t share_fleet::totalUsableSlots() const
{
    std::uint32_t count = 0;
    for (std::size_t vm = 0; vm < size(); ++vm)
        count += usableSlots(vm);
    return count;
}

std::uint32_t share_fleet::totalUsablePlan() const
{
    std::uint32_t count = 0;
    for (std::size_t vm = 0; vm < size(); ++vm)
        count += usablePlan(vm);
    return count;
}

std::uint32_t share_fleet::totalRunning() const
{
    std::uint32_t count = 0;
    for (std::size_t vm = 0; vm < size(); ++vm)
        count += running(vm);
    return count;
}

const std::vector<std::string>& share_fleet::violations() const { return m_data->violations; }

std::uint64_t share_fleet::sentMessages() const { return m_data->packets; }

std::size_t share_fleet::arbiterCount() const
{
    return static_cast<std::size_t>(std::count_if(
        m_data->vms.begin(), m_data->vms.end(), [](const virtual_vm& vm) { return !vm.dead && vm.controller->isArbiter(); }));
}

std::uint64_t share_fleet::startedTasks(std::size_t vm) const { return m_data->vms.at(vm).startedTasks; }

} // namespace coriandermount::fakes
