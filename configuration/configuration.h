/// Configuration of customers and plans: the plan of each customer, and the limits of each plan.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "core/error.h"
#include "core/types.h"

namespace coriandermount::configuration {

/// Limits of a plan; 0 means no limit.
struct plan_limits {
    /// Share of capacity relative to other plans while demand exceeds capacity.
    std::uint32_t weight = 1;
    std::uint32_t tasksPerSecond = 0;
    std::uint32_t concurrentTasks = 0;
    std::uint32_t accelerators = 0;
    std::uint32_t memoryMegabytes = 0;
    std::uint32_t tasksPerJob = 0;
    /// Longest run time of a task.
    std::chrono::milliseconds taskRunTime { 0 };
    /// Services that the plan includes; empty for all.
    std::set<service_id> services;

    friend bool operator==(const plan_limits&, const plan_limits&) = default;
};

/// One version of the configuration.
struct snapshot {
    /// Version number, strictly increasing with every accepted record. Equals the record's log offset unless the log's tail was
    /// truncated; 0 while no configuration has been learned.
    std::uint64_t version = 0;
    /// Version that the author started from.
    std::uint64_t basedOn = 0;
    /// Time of the publication, by the clock of the VM that received it.
    wall_time publishedAt {};
    std::string author;
    std::string reason;
    /// Identifies the record independently of its offset.
    std::string recordId;
    std::map<customer_id, plan_id> customers;
    std::map<plan_id, plan_limits> plans;

    /// Returns the plan of a customer. Fails with `configuration_missing` while no configuration has been learned and with
    /// `unknown_customer` when the customer is not listed.
    result<plan_id> planOf(const customer_id& customer) const;

    friend bool operator==(const snapshot&, const snapshot&) = default;
};

/// Returns whether `candidate` may replace `current`: VMs only ever adopt a newer configuration. Two records with the same
/// version, which a truncated tail of the log can cause, are ordered by their record ids, so that all VMs converge on the same
/// one.
bool isNewer(const snapshot& candidate, const snapshot& current);

} // namespace coriandermount::configuration
