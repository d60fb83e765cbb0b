/// Limits and current usage of each plan on this VM.
#pragma once

#include <memory>
#include <optional>

#include "configuration/configuration.h"
#include "core/job.h"
#include "quota/shares.h"

namespace coriandermount::admission {

/// Index of a plan; it does not change while the VM runs.
enum class plan_index : std::uint32_t {};

struct plan_limits_options {
    /// Whether all jobs are refused until a configuration is received. Otherwise all customers share one plan without limits
    /// until then.
    bool requireConfiguration = false;
};

/// Number of tasks that a limit allows to run at the same time, and the limit.
struct concurrency_bound {
    /// Number of tasks; a fraction if the limit is not a multiple of what one task needs.
    double tasks = 0;
    /// Refusal that is caused by the limit.
    error_kind kind = error_kind::plan_concurrency_exceeded;
};

/// Checks jobs against the limits of their plan and tracks the usage by the plan's running tasks.
class plan_limits {
public:
    explicit plan_limits(plan_limits_options options);
    ~plan_limits();

    plan_limits(const plan_limits&) = delete;
    plan_limits& operator=(const plan_limits&) = delete;

    /// Replaces the configuration that is in force; usage and rates are kept.
    void adopt(std::shared_ptr<const configuration::snapshot> configuration);
    /// Replaces the shares of the plans' limits that this VM may use.
    void adopt(std::shared_ptr<const quota::share_snapshot> shares);

    /// Returns the log offset of the configuration in force; 0 if there is none.
    std::uint64_t configurationVersion() const;

    /// Returns the customer's plan; fails with `configuration_missing` or `unknown_customer`.
    result<plan_index> planOf(const customer_id& customer);

    /// Returns the id of a plan; the reference is valid as long as this object.
    const plan_id& idOf(plan_index plan) const;
    /// Returns the plan's weight in the division of slots; at least 1.
    std::uint32_t weightOf(plan_index plan) const;

    /// Returns an error if the job exceeds a limit that does not depend on current usage, so that a retry can't succeed;
    /// nothing otherwise.
    std::optional<error> findLimitViolation(plan_index plan, const job_request& job) const;

    /// Takes one token per task from the plan's rate limit, or returns `plan_rate_exceeded` and takes none.
    std::optional<error> consumeRateTokens(plan_index plan, std::size_t tasks, time_point now);

    /// Returns the limit that currently prevents one more such task from running, or nothing.
    std::optional<error_kind> reachedLimit(plan_index plan, const task_spec& task) const;

    /// Adds a started task to the plan's usage.
    void take(plan_index plan, const task_spec& task);
    /// Removes an ended task from the plan's usage.
    void release(plan_index plan, const task_spec& task);

    /// Returns the lowest limit on the number of such tasks that the plan may run at the same time on this VM; nothing if
    /// there is no limit.
    std::optional<concurrency_bound> concurrencyBoundOf(plan_index plan, const task_spec& task) const;

    /// Returns the longest run time that the plan allows a task; nothing if there is no limit.
    std::optional<std::chrono::milliseconds> maxRunTimeOf(plan_index plan) const;

    /// Returns the number of the plan's running tasks on this VM.
    std::uint32_t runningTasks(plan_index plan) const;

    /// Sets the fields of `demand` that report the usage by the plan's running tasks.
    void addUsageTo(plan_index plan, quota::plan_demand& demand) const;

    /// Returns the number of plans; every `plan_index` is below it.
    std::size_t plans() const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::admission
