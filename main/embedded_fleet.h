/// Nodes, and stand-ins for the platform and the workers, in one process; for development and tests.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "main/node.h"
#include "standins/network_faults.h"
#include "standins/platform_server.h"
#include "standins/worker_server.h"

namespace coriandermount {

/// Size and settings of an `embedded_fleet`.
struct embedded_fleet_options {
    unsigned domains = 1;
    unsigned nodesPerDomain = 1;
    unsigned workersPerDomain = 4;
    unsigned slotsPerWorker = 8;
    /// Services that every worker offers.
    std::vector<std::string> services { "sleep", "echo" };
    standins::platform_server_options platform;
    /// Settings of every node. Failure domain, rack, platform address and quota wait times are replaced, with several nodes also
    /// VM ids and ports.
    settings::values settings;
};

/// Runs the nodes and stand-ins, which communicate over the loopback interface. The destructor stops all of them. Not
/// thread-safe.
class embedded_fleet {
public:
    explicit embedded_fleet(embedded_fleet_options options);
    ~embedded_fleet();

    embedded_fleet(const embedded_fleet&) = delete;
    embedded_fleet& operator=(const embedded_fleet&) = delete;

    /// Starts the workers, the platform and the nodes, and waits until every node is ready. Fails with `no_worker` when a node is
    /// not ready within 10 s.
    result<void> start();

    std::size_t nodeCount() const;

    /// Returns a node. Nodes are numbered domain by domain; a killed node must not be accessed.
    node& entry(std::size_t index = 0);

    /// Stops a node without draining, like the death of its VM.
    void killNode(std::size_t index);

    /// Starts a node again on a new port without any of its earlier state, lists it, and waits until every node is ready.
    result<void> restartNode(std::size_t index);

    /// Starts a node that has the peer address of node `seed` in its settings, and waits until every node is ready. The
    /// platform's list stays as it is.
    result<void> startNodeWithSeed(std::size_t index, std::size_t seed);

    /// Blocks the peer links between two nodes in both directions.
    void partitionNodes(std::size_t first, std::size_t second);

    /// Blocks the peer links between all nodes of two failure domains in both directions.
    void partitionDomains(unsigned first, unsigned second);

    /// Ends all partitions.
    void heal();

    standins::platform_server& platform();

    /// Returns a worker. Workers are numbered domain by domain.
    standins::worker_server& worker(std::size_t index);
    std::size_t workerCount() const;

    /// Builds the platform's list of the workers and of the nodes that are running.
    platform::vm_listing listing() const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount
