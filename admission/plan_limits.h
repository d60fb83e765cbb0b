/// What each plan may use on this VM, and what it uses.
#pragma once

#include <memory>
#include <optional>

#include "configuration/configuration.h"
#include "core/job.h"
#include "quota/shares.h"

namespace coriandermount::admission {

/// Number of a plan; the same plan keeps it as long as the VM runs.
enum class plan_index : std::uint32_t {};

struct plan_limits_options {
    /// Refuses all jobs while no configuration has been learned; else all customers then share one plan
    /// without limits.
    bool requireConfiguration = false;
};

/// Number of tasks that a limit lets run at once.
struct concurrency_bound {
    double tasks = 0;
    error_kind kind = error_kind::plan_concurrency_exceeded;
};

/// Checks jobs against their plan and accounts for the plan's running tasks.
class plan_limits {
public:
    explicit plan_limits(plan_limits_options options);
    ~plan_limits();

    plan_limits(const plan_limits&) = delete;
    plan_limits& operator=(const plan_limits&) = delete;

    void adopt(std::shared_ptr<const configuration::snapshot> configuration);
    void adopt(std::shared_ptr<const quota::share_snapshot> shares);

    /// Log offset of the configuration in force; 0 while there is none.
    std::uint64_t configurationVersion() const;

    /// Returns the customer's plan; fails with `configuration_missing` or `unknown_customer`.
    result<plan_index> planOf(const customer_id& customer);

    const plan_id& idOf(plan_index plan) const;
    std::uint32_t weightOf(plan_index plan) const;

    /// Says which limit the job breaks for good, or nothing.
    std::optional<error> violation(plan_index plan, const job_request& job) const;

    /// Takes the job's tasks out of the plan's rate, or fails with `plan_rate_exceeded` and takes nothing.
    std::optional<error> consumeRateTokens(plan_index plan, std::size_t tasks, time_point now);

    /// Returns the limit that keeps the plan from running one more such task at present, or nothing.
    std::optional<error_kind> reachedLimit(plan_index plan, const task_spec& task) const;

    void take(plan_index plan, const task_spec& task);
    void release(plan_index plan, const task_spec& task);

    /// Returns how many such tasks the plan may run at once on this VM and which limit says so; nothing for no limit.
    std::optional<concurrency_bound> concurrencyBoundOf(plan_index plan, const task_spec& task) const;

    /// Longest run time of one task; nothing for no limit.
    std::optional<std::chrono::milliseconds> maxRunTimeOf(plan_index plan) const;

    std::uint32_t runningTasks(plan_index plan) const;

    /// Adds what the plan has running to its demand.
    void addUsageTo(plan_index plan, quota::plan_demand& demand) const;

    std::size_t plans() const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::admission
