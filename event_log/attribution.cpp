#include "event_log/attribution.h"

#include <array>

#include <fmt/format.h>

#include "event_log/rules.h"

namespace coriandermount::event_log {

namespace {

    using enum attribution_rule;

    /// Minimum number of ended tasks for a comparison between workers.
    constexpr unsigned minTasksToCompare = 3;
    /// A worker with at least this share of failed tasks counts as failing.
    constexpr double failingWorkerRate = 0.5;
    /// Other workers count as healthy up to this share of failed tasks.
    constexpr double healthyWorkerRate = 0.2;
    /// A run that is longer than the mean of other workers by more than this factor counts as slow.
    constexpr double slowRatio = 3;
    /// With this many unreachable workers the network is the likely cause.
    constexpr unsigned minUnreachableWorkers = 3;

    struct bound_rule {
        error_kind kind;
        std::string_view rule;
    };

    constexpr std::array boundRules = std::to_array<bound_rule>({
        { error_kind::plan_concurrency_exceeded, rules::planConcurrentTasks },
        { error_kind::plan_rate_exceeded, rules::planTasksPerSecond },
        { error_kind::plan_accelerators_exceeded, rules::planAccelerators },
        { error_kind::plan_memory_exceeded, rules::planMemory },
        { error_kind::run_time_above_plan, rules::planTaskRunTime },
        { error_kind::too_many_tasks, rules::planTasksPerJob },
    });

    std::string_view ruleOf(const event& fault)
    {
        if (!fault.rule.empty())
            return fault.rule;
        for (const auto& row : boundRules) {
            if (row.kind == fault.problem)
                return row.rule;
        }
        return {};
    }

    std::string timeDifference(wall_time earlier, wall_time later)
    {
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(later - earlier).count();
        return seconds >= 0 ? fmt::format("{} s before", seconds) : fmt::format("{} s after", -seconds);
    }

    attribution makeAttribution(attribution_rule rule, std::string reason, std::string remedy = {})
    {
        if (remedy.empty())
            remedy = rowOf(rule).remedy;
        return { rule, std::move(reason), std::move(remedy) };
    }

    std::string changeText(const limit_change& change, wall_time at)
    {
        return fmt::format("operator {} changed {} of \"{}\" from {} to {} in version {}, {}", change.author, change.rule,
            change.subject, change.before, change.after, change.version, timeDifference(change.at, at));
    }

    std::string demandText(const event& fault)
    {
        return fmt::format("\"{}\" allows {} as {}, the demand was {}", fault.subject, fault.limit, ruleOf(fault), fault.value);
    }

    attribution attributeBound(const event& fault, const evidence& context)
    {
        if (fault.rule.starts_with("share.")) {
            if (const auto* lost = context.findNear(event_kind::vm_suspected, fault.at))
                return makeAttribution(
                    domain_cut_off, fmt::format("{}; \"{}\" could not be reached", demandText(fault), lost->subject));
            return makeAttribution(share_not_delivered, demandText(fault));
        }
        const auto change = context.findLoweredLimit(ruleOf(fault), fault.subject, fault.at);
        if (!change)
            return makeAttribution(demand_above_plan, demandText(fault));
        const auto before = parseLeadingNumber(change->before);
        const auto demand = parseLeadingNumber(fault.value);
        const std::string reason = fmt::format("{}; {}", demandText(fault), changeText(*change, fault.at));
        if (demand && before && *before > 0 && *demand > *before)
            return makeAttribution(demand_above_both_limits, reason);
        return makeAttribution(limit_lowered, reason,
            fmt::format("with {} at {} the work would have been admitted; operators decide whether to restore that value",
                change->rule, change->before));
    }

    /// Returns the quoted part of a message, which is the name of the service, or the whole text if nothing is quoted.
    std::string quotedServiceOf(const std::string& text)
    {
        const std::size_t first = text.find('"');
        const std::size_t last = text.rfind('"');
        return first == last ? text : text.substr(first + 1, last - first - 1);
    }

    /// Returns whether a list of services includes `service`; an empty list includes all services.
    bool listContains(const std::string& list, const std::string& service)
    {
        return list.empty() || ("," + list + ",").find("," + service + ",") != std::string::npos;
    }

    attribution attributeService(const event& fault, const evidence& context)
    {
        const auto change = context.findLimitChange(rules::planServices, fault.subject, fault.at);
        if (change && listContains(change->before, quotedServiceOf(fault.value)))
            return makeAttribution(service_removed, changeText(*change, fault.at));
        return makeAttribution(
            service_not_bought, fmt::format("plan \"{}\" does not have service \"{}\"", fault.subject, fault.value));
    }

    attribution attributeCustomer(const event& fault, const evidence& context)
    {
        const std::string& customer = fault.job ? fault.job->customer.value : fault.subject;
        const auto change = context.findLimitChange(rules::customerPlan, customer, fault.at);
        if (change && change->after.empty())
            return makeAttribution(customer_removed, changeText(*change, fault.at));
        return makeAttribution(
            customer_never_listed, fmt::format("customer \"{}\" is not in any known configuration version", customer));
    }

    attribution attributeLateStart(const event& fault, const evidence& context, attribution_rule defaultRule)
    {
        const auto* log = context.findNear(event_kind::log_failed, fault.at);
        if (log && log->elapsed * 2 > fault.elapsed && fault.elapsed.count() > 0)
            return makeAttribution(slow_log,
                fmt::format("an operation on the log took {} ms of the {} ms", log->elapsed.count() / 1000,
                    fault.elapsed.count() / 1000));
        if (const auto* ejected = context.findNear(event_kind::worker_ejected, fault.at)) {
            return makeAttribution(capacity_lost_to_workers,
                fmt::format("worker \"{}\" was ejected, {}", ejected->subject, timeDifference(ejected->at, fault.at)));
        }
        for (const auto kind : { event_kind::vm_left, event_kind::vm_suspected }) {
            if (const auto* lost = context.findNear(kind, fault.at)) {
                return makeAttribution(capacity_lost_to_platform,
                    fmt::format("\"{}\" was lost, {}", lost->subject, timeDifference(lost->at, fault.at)));
            }
        }
        return makeAttribution(
            defaultRule, fmt::format("no worker or VM was lost within {} s; {}", failureWindow.count(), fault.value));
    }

    attribution attributeLongRun(const event& fault, const evidence& context)
    {
        const auto others = context.taskStatsOfOthers(fault.subject, fault.at);
        const auto limit = parseLeadingNumber(fault.limit);
        if (limit && others.ended >= minTasksToCompare) {
            const double mean = static_cast<double>(others.totalRun.count()) / others.ended;
            const double runTime = static_cast<double>(fault.elapsed.count());
            if (mean > 0 && runTime > slowRatio * mean) {
                return makeAttribution(worker_slower_than_others,
                    fmt::format("the task ran {:.0f} ms on worker \"{}\", {} tasks on others took {:.0f} ms on average",
                        runTime / 1000, fault.subject, others.ended, mean / 1000));
            }
            if (mean / 1000 > *limit) {
                return makeAttribution(time_limit_below_run_time,
                    fmt::format("the time limit is {} ms, {} tasks on other workers took {:.0f} ms on average", fault.limit,
                        others.ended, mean / 1000));
            }
        }
        return makeAttribution(run_longer_than_allowed,
            fmt::format("the time limit is {}; {} tasks ended on other workers within {} s", fault.limit, others.ended,
                failureWindow.count()));
    }

    bool failsMost(const worker_task_stats& stats)
    {
        return stats.ended >= minTasksToCompare && stats.failed >= failingWorkerRate * stats.ended;
    }

    std::optional<attribution> attributeFailingWorker(const event& fault, const evidence& context)
    {
        if (const auto* ejected = context.findNear(event_kind::worker_ejected, fault.at, fault.subject)) {
            return makeAttribution(worker_fails_all,
                fmt::format(
                    "worker \"{}\" was ejected, {}: {}", fault.subject, timeDifference(ejected->at, fault.at), ejected->value));
        }
        const auto own = context.taskStatsOf(fault.subject, fault.at);
        const auto others = context.taskStatsOfOthers(fault.subject, fault.at);
        const bool othersHealthy = others.ended >= minTasksToCompare && others.failed <= healthyWorkerRate * others.ended;
        if (!failsMost(own) || !othersHealthy)
            return std::nullopt;
        return makeAttribution(worker_fails_all,
            fmt::format("worker \"{}\" failed {} of {} tasks within {} s, other workers {} of {}", fault.subject, own.failed,
                own.ended, failureWindow.count(), others.failed, others.ended));
    }

    attribution attributeTaskFailure(const event& fault, const evidence& context)
    {
        if (auto failing = attributeFailingWorker(fault, context))
            return *failing;
        return makeAttribution(single_task_failure,
            fmt::format("the task failed on worker \"{}\", which failed {} of {} tasks within {} s", fault.subject,
                context.taskStatsOf(fault.subject, fault.at).failed, context.taskStatsOf(fault.subject, fault.at).ended,
                failureWindow.count()));
    }

    attribution attributeConnection(const event& fault, const evidence& context)
    {
        const unsigned workers = context.countUnreachableWorkers(fault.at);
        if (workers >= minUnreachableWorkers) {
            return makeAttribution(many_workers_unreachable,
                fmt::format("{} workers could not be reached within {} s", workers, failureWindow.count()));
        }
        if (const auto* left = context.findNear(event_kind::vm_left, fault.at, fault.subject))
            return makeAttribution(
                workers_gone, fmt::format("the platform withdrew \"{}\", {}", fault.subject, timeDifference(left->at, fault.at)));
        return makeAttribution(worker_connection, fmt::format("only worker \"{}\" was affected: {}", fault.subject, fault.value));
    }

    attribution attributeNoWorker(const event& fault, const evidence& context)
    {
        if (const auto* ejected = context.findNear(event_kind::worker_ejected, fault.at))
            return makeAttribution(workers_ejected,
                fmt::format("worker \"{}\" was ejected, {}", ejected->subject, timeDifference(ejected->at, fault.at)));
        if (const auto* left = context.findNear(event_kind::vm_left, fault.at))
            return makeAttribution(
                workers_gone, fmt::format("\"{}\" left, {}", left->subject, timeDifference(left->at, fault.at)));
        return makeAttribution(service_never_offered, fault.value);
    }

    attribution attributeClaim(const event& fault, const evidence& context)
    {
        if (const auto* log = context.findNear(event_kind::log_failed, fault.at))
            return makeAttribution(
                log_failing, fmt::format("the log failed, {}: {}", timeDifference(log->at, fault.at), log->value));
        for (const auto kind : { event_kind::vm_suspected, event_kind::vm_left, event_kind::takeover }) {
            if (const auto* lost = context.findNear(kind, fault.at))
                return makeAttribution(
                    vm_lost, fmt::format("\"{}\" was lost, {}", lost->subject, timeDifference(lost->at, fault.at)));
        }
        return makeAttribution(claim_not_answered, fault.value);
    }

    attribution attributeMissingConfiguration(const event& fault, const evidence& context)
    {
        if (const auto* log = context.findNear(event_kind::log_failed, fault.at))
            return makeAttribution(
                log_failing, fmt::format("the log failed, {}: {}", timeDifference(log->at, fault.at), log->value));
        return makeAttribution(configuration_never_published, fault.value);
    }

    attribution attributeShutdown(const event& fault, const evidence& context)
    {
        if (const auto* stopped = context.findNear(event_kind::shutdown_started, fault.at, fault.vm.value))
            return makeAttribution(vm_drained, fmt::format("{}, {}", stopped->value, timeDifference(stopped->at, fault.at)));
        if (const auto* left = context.findNear(event_kind::vm_left, fault.at, fault.vm.value))
            return makeAttribution(
                vm_withdrawn, fmt::format("the platform listed the VM as leaving, {}", timeDifference(left->at, fault.at)));
        return makeAttribution(vm_drained, fault.value);
    }

} // namespace

namespace {

    attribution attributeProblem(const event& fault, const evidence& context);

} // namespace

attribution attribute(const event& fault, const evidence& context)
{
    switch (fault.kind) {
    case event_kind::worker_ejected:
        return makeAttribution(worker_fails_all, fmt::format("worker \"{}\" was ejected: {}", fault.subject, fault.value));
    case event_kind::takeover:
        return makeAttribution(vm_lost, fmt::format("another VM took over the keys of \"{}\"", fault.subject));
    case event_kind::lease_lapsed:
        return makeAttribution(holder_paused, fmt::format("the lease of \"{}\" expired", fault.subject));
    case event_kind::log_failed:
        return makeAttribution(log_failing, fault.value);
    case event_kind::configuration_rejected:
        return makeAttribution(attribution_rule::configuration_rejected, fault.value);
    case event_kind::entries_dropped:
        return makeAttribution(not_recorded, fmt::format("{} events were dropped", fault.value));
    default:
        return attributeProblem(fault, context);
    }
}

namespace {

    attribution attributeProblem(const event& fault, const evidence& context)
    {
        switch (fault.problem.value_or(error_kind::internal_error)) {
        case error_kind::malformed_request:
        case error_kind::payload_too_large:
        case error_kind::body_memory_exceeded:
        case error_kind::not_found:
        case error_kind::method_not_allowed:
        case error_kind::job_kind_unsupported:
            return makeAttribution(request_invalid, fault.value);
        case error_kind::job_conflict:
            return makeAttribution(job_id_reused, fault.value);
        case error_kind::job_id_expired:
        case error_kind::job_id_from_future:
            return makeAttribution(job_id_too_old, fault.value);
        case error_kind::job_unknown:
            return makeAttribution(job_not_known, fault.value);
        case error_kind::unknown_customer:
            return attributeCustomer(fault, context);
        case error_kind::service_not_in_plan:
            return attributeService(fault, context);
        case error_kind::no_such_service:
            return makeAttribution(service_never_offered, fault.value);
        case error_kind::task_too_large:
            return makeAttribution(task_never_fits, fault.value);
        case error_kind::too_many_tasks:
            if (fault.rule != rules::planTasksPerJob)
                return makeAttribution(task_never_fits, fault.value);
            return attributeBound(fault, context);
        case error_kind::run_time_above_plan:
        case error_kind::task_above_plan:
        case error_kind::plan_rate_exceeded:
        case error_kind::plan_concurrency_exceeded:
        case error_kind::plan_accelerators_exceeded:
        case error_kind::plan_memory_exceeded:
            return attributeBound(fault, context);
        case error_kind::queue_full:
        case error_kind::overloaded:
        case error_kind::deadline_unreachable:
            return attributeLateStart(fault, context, demand_above_capacity);
        case error_kind::deadline_passed_before_start:
            return attributeLateStart(fault, context, late_after_admission);
        case error_kind::deadline_passed_while_running:
        case error_kind::lease_expired:
            return attributeLongRun(fault, context);
        case error_kind::no_worker:
            return attributeNoWorker(fault, context);
        case error_kind::cancelled_before_start:
        case error_kind::cancelled_while_running:
            return makeAttribution(caller_cancelled, fault.value);
        case error_kind::worker_refused:
        case error_kind::worker_answer_invalid:
            return makeAttribution(worker_answer, fmt::format("worker \"{}\": {}", fault.subject, fault.value));
        case error_kind::worker_unreachable:
        case error_kind::worker_lost:
            return attributeConnection(fault, context);
        case error_kind::task_failed:
            return attributeTaskFailure(fault, context);
        case error_kind::task_quarantined:
            return makeAttribution(task_fails_everywhere, fault.value);
        case error_kind::claim_unavailable:
            return attributeClaim(fault, context);
        case error_kind::claim_owner_lost:
        case error_kind::owner_unknown:
        case error_kind::log_epoch_fenced:
        case error_kind::log_position_taken:
            return makeAttribution(vm_lost, fault.value);
        case error_kind::home_unreachable:
        case error_kind::peer_unreachable:
            return makeAttribution(domain_cut_off, fault.value);
        case error_kind::log_unavailable:
        case error_kind::log_answer_lost:
        case error_kind::log_records_expired:
        case error_kind::log_full:
        case error_kind::publish_unknown:
            return makeAttribution(log_failing, fault.value);
        case error_kind::publish_conflict:
            return makeAttribution(operators_raced, fault.value);
        case error_kind::configuration_invalid:
            return makeAttribution(attribution_rule::configuration_rejected, fault.value);
        case error_kind::configuration_missing:
            return attributeMissingConfiguration(fault, context);
        case error_kind::settings_invalid:
            return makeAttribution(settings_wrong, fault.value);
        case error_kind::shutting_down:
            return attributeShutdown(fault, context);
        case error_kind::answer_dropped:
            return makeAttribution(answer_not_kept, fault.value);
        case error_kind::shutdown_limit_reached:
            return makeAttribution(stopped_before_the_end, fault.value);
        case error_kind::internal_error:
            break;
        default:
            return makeAttribution(own_fault, fmt::format("no attribution rule covers the error \"{}\"", nameOf(*fault.problem)));
        }
        return makeAttribution(own_fault, fault.value);
    }

} // namespace

} // namespace coriandermount::event_log
