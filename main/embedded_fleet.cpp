#include "main/embedded_fleet.h"

#include <algorithm>
#include <thread>

#include <fmt/format.h>

namespace coriandermount {

namespace {

    constexpr unsigned workersPerRack = 6;
    constexpr std::uint32_t workerCores = 16;
    constexpr std::uint32_t workerMemoryMegabytes = 32 * 1024;
    // A new fleet needs only short quota wait times, because no earlier VM can hold a lease.
    constexpr std::chrono::milliseconds shortQuotaStartWait { 200 };
    constexpr std::chrono::milliseconds shortQuotaWithholding { 500 };
    constexpr std::chrono::milliseconds readyPollInterval { 5 };
    constexpr std::chrono::seconds readyTimeout { 10 };

    std::string domainName(std::size_t domain) { return fmt::format("domain-{}", domain + 1); }

} // namespace

struct embedded_fleet::data {
    embedded_fleet_options options;
    standins::network_faults faults;
    std::unique_ptr<standins::platform_server> platform;
    std::vector<std::unique_ptr<standins::worker_server>> workers;
    std::vector<std::unique_ptr<node>> nodes;

    std::size_t domainOfNode(std::size_t index) const { return index / options.nodesPerDomain; }
    settings::values settingsOf(std::size_t index) const;
    result<void> startWorkers();
    result<void> startNode(std::size_t index, const std::string& seeds = {});
    result<void> waitUntilReady() const;
    worker_info describeWorker(std::size_t index) const;
    entry_vm_info describeNode(std::size_t index) const;
    std::string peerAddressOf(std::size_t index) const { return fmt::format("127.0.0.1:{}", nodes[index]->peerPort()); }
};

settings::values embedded_fleet::data::settingsOf(std::size_t index) const
{
    settings::values settings = options.settings;
    if (options.domains * options.nodesPerDomain > 1) {
        settings.vmId = fmt::format("entry-{}", index + 1);
        settings.listenPort = 0;
        settings.peerPort = 0;
    }
    settings.failureDomain = domainName(domainOfNode(index));
    settings.rack = fmt::format("rack-{}", index % options.nodesPerDomain + 1);
    settings.platformAddress = fmt::format("127.0.0.1:{}", platform->port());
    settings.quotaStartWait = shortQuotaStartWait;
    settings.quotaWithholding = shortQuotaWithholding;
    return settings;
}

result<void> embedded_fleet::data::startWorkers()
{
    for (unsigned index = 0; index < options.workersPerDomain * options.domains; ++index) {
        standins::worker_server_options server;
        server.slots = options.slotsPerWorker;
        auto& worker = workers.emplace_back(std::make_unique<standins::worker_server>(server));
        if (auto started = worker->start(); !started)
            return started;
    }
    return {};
}

result<void> embedded_fleet::data::startNode(std::size_t index, const std::string& seeds)
{
    settings::values settings = settingsOf(index);
    settings.peerSeeds = seeds;
    node_overrides overrides;
    overrides.wrapPeerLink = [this, vm = settings.vmId](peers::peer_link& link) -> std::unique_ptr<peers::peer_link> {
        return std::make_unique<standins::faulty_peer_link>(link, faults, vm);
    };
    nodes[index] = std::make_unique<node>(settings, std::move(overrides));
    return nodes[index]->start();
}

result<void> embedded_fleet::data::waitUntilReady() const
{
    const auto deadline = std::chrono::steady_clock::now() + readyTimeout;
    const auto isReady = [](const std::unique_ptr<node>& entry) { return !entry || entry->ready(); };
    while (!std::all_of(nodes.begin(), nodes.end(), isReady)) {
        if (std::chrono::steady_clock::now() > deadline)
            return fail(error_kind::no_worker, fmt::format("a node was not ready within {} s", readyTimeout.count()));
        std::this_thread::sleep_for(readyPollInterval);
    }
    return {};
}

worker_info embedded_fleet::data::describeWorker(std::size_t index) const
{
    worker_info worker;
    worker.id.value = fmt::format("worker-{:03}", index + 1);
    worker.domain.value = domainName(index / options.workersPerDomain);
    worker.rack = fmt::format("rack-{}", index / workersPerRack + 1);
    worker.address = fmt::format("127.0.0.1:{}", workers[index]->port());
    worker.slots = options.slotsPerWorker;
    worker.cores = workerCores;
    worker.memoryMegabytes = workerMemoryMegabytes;
    for (const auto& service : options.services)
        worker.services.push_back({ service });
    return worker;
}

entry_vm_info embedded_fleet::data::describeNode(std::size_t index) const
{
    const settings::values settings = settingsOf(index);
    entry_vm_info vm;
    vm.id.value = settings.vmId;
    vm.domain.value = settings.failureDomain;
    vm.rack = settings.rack;
    vm.peerAddress = peerAddressOf(index);
    return vm;
}

embedded_fleet::embedded_fleet(embedded_fleet_options options)
    : m_data(std::make_unique<data>())
{
    m_data->options = std::move(options);
}

embedded_fleet::~embedded_fleet() = default;

result<void> embedded_fleet::start()
{
    if (auto started = m_data->startWorkers(); !started)
        return started;
    m_data->platform = std::make_unique<standins::platform_server>(m_data->options.platform);
    if (auto started = m_data->platform->start(); !started)
        return started;
    m_data->nodes.resize(static_cast<std::size_t>(m_data->options.domains) * m_data->options.nodesPerDomain);
    for (std::size_t index = 0; index < m_data->nodes.size(); ++index) {
        if (auto started = m_data->startNode(index); !started)
            return started;
    }
    m_data->platform->setListing(listing());
    return m_data->waitUntilReady();
}

std::size_t embedded_fleet::nodeCount() const { return m_data->nodes.size(); }

node& embedded_fleet::entry(std::size_t index) { return *m_data->nodes.at(index); }

void embedded_fleet::killNode(std::size_t index) { m_data->nodes.at(index).reset(); }

result<void> embedded_fleet::restartNode(std::size_t index)
{
    if (auto started = m_data->startNode(index); !started)
        return started;
    m_data->platform->setListing(listing());
    return m_data->waitUntilReady();
}

result<void> embedded_fleet::startNodeWithSeed(std::size_t index, std::size_t seed)
{
    if (auto started = m_data->startNode(index, m_data->peerAddressOf(seed)); !started)
        return started;
    return m_data->waitUntilReady();
}

void embedded_fleet::partitionNodes(std::size_t first, std::size_t second)
{
    m_data->faults.blockLink(m_data->settingsOf(first).vmId, m_data->peerAddressOf(second));
    m_data->faults.blockLink(m_data->settingsOf(second).vmId, m_data->peerAddressOf(first));
}

void embedded_fleet::partitionDomains(unsigned first, unsigned second)
{
    for (std::size_t a = 0; a < m_data->nodes.size(); ++a) {
        for (std::size_t b = 0; b < m_data->nodes.size(); ++b) {
            if (m_data->domainOfNode(a) == first && m_data->domainOfNode(b) == second && m_data->nodes[a] && m_data->nodes[b])
                partitionNodes(a, b);
        }
    }
}

void embedded_fleet::heal() { m_data->faults.heal(); }

standins::platform_server& embedded_fleet::platform() { return *m_data->platform; }

standins::worker_server& embedded_fleet::worker(std::size_t index) { return *m_data->workers.at(index); }

std::size_t embedded_fleet::workerCount() const { return m_data->workers.size(); }

platform::vm_listing embedded_fleet::listing() const
{
    platform::vm_listing listing;
    for (std::size_t index = 0; index < m_data->workers.size(); ++index)
        listing.workers.push_back(m_data->describeWorker(index));
    for (std::size_t index = 0; index < m_data->nodes.size(); ++index) {
        if (m_data->nodes[index])
            listing.entryVms.push_back(m_data->describeNode(index));
    }
    return listing;
}

} // namespace coriandermount
