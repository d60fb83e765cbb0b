/// Nodes with stand-ins for the platform and the workers in one process, for development and tests.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "main/node.h"
#include "standins/network_faults.h"
#include "standins/platform_server.h"
#include "standins/worker_server.h"

namespace coriandermount {

struct embedded_fleet_options {
    unsigned domains = 1;
    unsigned nodesPerDomain = 1;
    unsigned workersPerDomain = 4;
    unsigned slotsPerWorker = 8;
    /// Services that every worker offers.
    std::vector<std::string> services { "sleep", "echo" };
    standins::platform_server_options platform;
    /// Settings of every node; names and addresses are filled in.
    settings::values settings;
};

class embedded_fleet {
public:
    explicit embedded_fleet(embedded_fleet_options options);
    ~embedded_fleet();

    embedded_fleet(const embedded_fleet&) = delete;
    embedded_fleet& operator=(const embedded_fleet&) = delete;

    /// Starts all parts and waits until every node is ready.
    result<void> start();

    std::size_t nodeCount() const;

    /// Nodes are numbered domain by domain; a stopped node can't be accessed.
    node& entry(std::size_t index = 0);

    /// Ends a node without draining, as when its VM dies.
    void killNode(std::size_t index);

    /// Starts a node anew, with nothing remembered, on a new port.
    result<void> restartNode(std::size_t index);

    /// Starts a node that knows the address of another one besides the platform, and waits until it is ready.
    result<void> startNodeWithSeed(std::size_t index, std::size_t seed);

    /// Cuts the peer links between two nodes in both directions.
    void partitionNodes(std::size_t first, std::size_t second);

    /// Cuts the peer links between two domains.
    void partitionDomains(unsigned first, unsigned second);

    /// Ends all cuts.
    void heal();

    standins::platform_server& platform();

    /// Workers are numbered domain by domain.
    standins::worker_server& worker(std::size_t index);
    std::size_t workerCount() const;

    /// Builds the list of VMs as they are now.
    platform::vm_listing listing() const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount
