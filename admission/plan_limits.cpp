#include "admission/plan_limits.h"

#include <algorithm>
#include <deque>
#include <map>
#include <vector>

#include <fmt/format.h>

#include "admission/token_bucket.h"

namespace coriandermount::admission {

namespace {

    struct usage {
        std::uint32_t tasks = 0;
        std::uint32_t accelerators = 0;
        std::uint32_t memoryMegabytes = 0;
    };

    struct plan_state {
        plan_id id;
        configuration::plan_limits limits;
        /// Part of the limits that this VM may use; equal to the limits until shares are received.
        quota::plan_share share;
        usage used;
        token_bucket rate;
    };

    /// A `limit` of 0 stands for no limit.
    bool exceeds(std::uint32_t limit, std::uint32_t share, std::uint32_t used, std::uint32_t requested)
    {
        return limit > 0 && requested > 0 && used + requested > share;
    }

    /// Plan of all customers until a configuration is received.
    const plan_id unconfiguredPlan { "unconfigured" };

    std::size_t at(plan_index plan) { return static_cast<std::size_t>(plan); }

    error makeError(error_kind kind, std::string detail) { return { kind, std::move(detail), std::nullopt }; }

} // namespace

struct plan_limits::data {
    plan_limits_options options;
    std::shared_ptr<const configuration::snapshot> configuration;
    std::shared_ptr<const quota::share_snapshot> shares;
    std::deque<plan_state> plans;
    std::map<plan_id, plan_index> numbers;

    plan_state& stateOf(plan_index plan) { return plans[at(plan)]; }
    plan_index numberOf(const plan_id& id);
    void refreshLimits(plan_state& plan) const;
    quota::plan_share shareOf(const plan_state& plan) const;
    bool configured() const { return configuration && configuration->version > 0; }
};

plan_limits::plan_limits(plan_limits_options options)
    : m_data(std::make_unique<data>())
{
    m_data->options = options;
}

plan_limits::~plan_limits() = default;

plan_index plan_limits::data::numberOf(const plan_id& id)
{
    const auto [entry, added] = numbers.try_emplace(id, plan_index { static_cast<std::uint32_t>(plans.size()) });
    if (added) {
        plans.emplace_back().id = id;
        refreshLimits(plans.back());
    }
    return entry->second;
}

quota::plan_share plan_limits::data::shareOf(const plan_state& plan) const
{
    const auto& limits = plan.limits;
    const quota::plan_share planLimits { limits.concurrentTasks, limits.tasksPerSecond, limits.accelerators,
        limits.memoryMegabytes };
    if (!shares)
        return planLimits;
    const auto found = shares->plans.find(plan.id);
    if (found == shares->plans.end())
        return {};
    // A share that was computed from an older configuration must not exceed the limits in force.
    const quota::plan_share& ownShare = found->second;
    return { std::min(ownShare.concurrentTasks, planLimits.concurrentTasks),
        std::min(ownShare.tasksPerSecond, planLimits.tasksPerSecond), std::min(ownShare.accelerators, planLimits.accelerators),
        std::min(ownShare.memoryMegabytes, planLimits.memoryMegabytes) };
}

void plan_limits::data::refreshLimits(plan_state& plan) const
{
    plan.limits = {};
    if (configured()) {
        if (const auto found = configuration->plans.find(plan.id); found != configuration->plans.end())
            plan.limits = found->second;
    }
    plan.share = shareOf(plan);
}

void plan_limits::adopt(std::shared_ptr<const configuration::snapshot> configuration)
{
    m_data->configuration = std::move(configuration);
    for (auto& plan : m_data->plans)
        m_data->refreshLimits(plan);
}

void plan_limits::adopt(std::shared_ptr<const quota::share_snapshot> shares)
{
    m_data->shares = std::move(shares);
    for (auto& plan : m_data->plans)
        plan.share = m_data->shareOf(plan);
}

std::uint64_t plan_limits::configurationVersion() const { return m_data->configured() ? m_data->configuration->version : 0; }

result<plan_index> plan_limits::planOf(const customer_id& customer)
{
    if (!m_data->configured()) {
        if (m_data->options.requireConfiguration)
            return fail(error_kind::configuration_missing,
                "no configuration has been received, and admission.require_configuration is set");
        return m_data->numberOf(unconfiguredPlan);
    }
    const auto plan = m_data->configuration->planOf(customer);
    if (!plan)
        return tl::unexpected<error>(plan.error());
    return m_data->numberOf(*plan);
}

const plan_id& plan_limits::idOf(plan_index plan) const { return m_data->stateOf(plan).id; }

std::uint32_t plan_limits::weightOf(plan_index plan) const
{
    return std::max<std::uint32_t>(1, m_data->stateOf(plan).limits.weight);
}

std::optional<error> plan_limits::findLimitViolation(plan_index plan, const job_request& job) const
{
    const auto& limits = m_data->stateOf(plan).limits;
    if (limits.tasksPerJob > 0 && job.tasks.size() > limits.tasksPerJob) {
        return makeError(error_kind::too_many_tasks,
            fmt::format("the job has {} tasks, the plan allows {}", job.tasks.size(), limits.tasksPerJob));
    }
    for (const auto& task : job.tasks) {
        if (!limits.services.empty() && !limits.services.contains(task.service))
            return makeError(
                error_kind::service_not_in_plan, fmt::format("the plan does not include service \"{}\"", task.service.value));
        if (limits.taskRunTime.count() > 0 && task.declaredRunTime > limits.taskRunTime) {
            return makeError(error_kind::run_time_above_plan,
                fmt::format("the declared run time is {} ms, the plan allows {} ms", task.declaredRunTime.count(),
                    limits.taskRunTime.count()));
        }
        if (limits.accelerators > 0 && task.accelerators > limits.accelerators) {
            return makeError(error_kind::task_above_plan,
                fmt::format("the task needs {} accelerators, the plan allows {}", task.accelerators, limits.accelerators));
        }
        if (limits.memoryMegabytes > 0 && task.memoryMegabytes > limits.memoryMegabytes) {
            return makeError(error_kind::task_above_plan,
                fmt::format("the task needs {} MB, the plan allows {} MB", task.memoryMegabytes, limits.memoryMegabytes));
        }
    }
    return std::nullopt;
}

std::optional<error> plan_limits::consumeRateTokens(plan_index plan, std::size_t tasks, time_point now)
{
    plan_state& state = m_data->stateOf(plan);
    if (state.limits.tasksPerSecond == 0)
        return std::nullopt;
    // A job is admitted as a whole, so the bucket has to hold enough tokens for the largest job.
    const double jobSize = state.limits.tasksPerJob > 0 ? state.limits.tasksPerJob : static_cast<double>(maxTasksPerJob);
    const double rate = state.share.tasksPerSecond;
    state.rate.configure(rate, std::max(rate, jobSize), now);
    if (state.rate.take(static_cast<double>(tasks), now))
        return std::nullopt;
    error problem = makeError(error_kind::plan_rate_exceeded,
        fmt::format("the job has {} tasks, {:.0f} tokens are left at a rate of {} tasks per second on this VM", tasks,
            state.rate.tokens(), state.share.tasksPerSecond));
    problem.retryAfter = state.rate.timeUntil(static_cast<double>(tasks));
    return problem;
}

std::optional<error_kind> plan_limits::reachedLimit(plan_index plan, const task_spec& task) const
{
    const plan_state& state = m_data->stateOf(plan);
    if (exceeds(state.limits.concurrentTasks, state.share.concurrentTasks, state.used.tasks, 1))
        return error_kind::plan_concurrency_exceeded;
    if (exceeds(state.limits.accelerators, state.share.accelerators, state.used.accelerators, task.accelerators))
        return error_kind::plan_accelerators_exceeded;
    if (exceeds(state.limits.memoryMegabytes, state.share.memoryMegabytes, state.used.memoryMegabytes, task.memoryMegabytes))
        return error_kind::plan_memory_exceeded;
    return std::nullopt;
}

void plan_limits::take(plan_index plan, const task_spec& task)
{
    usage& used = m_data->stateOf(plan).used;
    ++used.tasks;
    used.accelerators += task.accelerators;
    used.memoryMegabytes += task.memoryMegabytes;
}

void plan_limits::release(plan_index plan, const task_spec& task)
{
    usage& used = m_data->stateOf(plan).used;
    --used.tasks;
    used.accelerators -= task.accelerators;
    used.memoryMegabytes -= task.memoryMegabytes;
}

std::optional<concurrency_bound> plan_limits::concurrencyBoundOf(plan_index plan, const task_spec& task) const
{
    const plan_state& state = m_data->stateOf(plan);
    std::optional<concurrency_bound> lowest;
    const auto consider = [&lowest](std::uint32_t limit, std::uint32_t share, std::uint32_t perTask, error_kind kind) {
        if (limit == 0 || perTask == 0)
            return;
        const double tasks = static_cast<double>(share) / perTask;
        if (!lowest || tasks < lowest->tasks)
            lowest = concurrency_bound { tasks, kind };
    };
    consider(state.limits.concurrentTasks, state.share.concurrentTasks, 1, error_kind::plan_concurrency_exceeded);
    consider(state.limits.accelerators, state.share.accelerators, task.accelerators, error_kind::plan_accelerators_exceeded);
    consider(state.limits.memoryMegabytes, state.share.memoryMegabytes, task.memoryMegabytes, error_kind::plan_memory_exceeded);
    return lowest;
}

std::optional<std::chrono::milliseconds> plan_limits::maxRunTimeOf(plan_index plan) const
{
    const auto limit = m_data->stateOf(plan).limits.taskRunTime;
    return limit.count() == 0 ? std::nullopt : std::optional(limit);
}

std::uint32_t plan_limits::runningTasks(plan_index plan) const { return m_data->stateOf(plan).used.tasks; }

void plan_limits::addUsageTo(plan_index plan, quota::plan_demand& demand) const
{
    const usage& used = m_data->stateOf(plan).used;
    demand.runningTasks = used.tasks;
    demand.accelerators = used.accelerators;
    demand.memoryMegabytes = used.memoryMegabytes;
}

std::size_t plan_limits::plans() const { return m_data->plans.size(); }

} // namespace coriandermount::admission
