#include "event_log/attribution.h"

#include <array>

#include <fmt/format.h>

namespace coriandermount::event_log {

namespace {

    using enum attribution_rule;

    constexpr std::optional<party> notKnown = std::nullopt;

    constexpr std::array rows = std::to_array<attribution_row>({
        { request_invalid, "request_invalid", party::caller, "the request is invalid",
            "the caller corrects the request; the detail names the field" },
        { job_id_reused, "job_id_reused", party::caller, "the job id was already used for a job with other content",
            "the caller uses a new id for each job" },
        { job_id_too_old, "job_id_too_old", party::caller, "the issue time lies outside the resubmission window",
            "the caller issues a new id, or corrects its clock" },
        { job_not_known, "job_not_known", party::caller, "an answer was requested, but no claim of the job id is known",
            "the caller checks customer, job id and issue time" },
        { limit_lowered, "limit_lowered", party::operators,
            "a configuration version of the last 15 minutes lowered the limit, and the demand was within the previous limit",
            "operators restore the limit, or agree on the lower limit with the customer" },
        { demand_above_both_limits, "demand_above_both_limits", party::caller,
            "a configuration version of the last 15 minutes lowered the limit, but the demand is above the previous limit too",
            "the caller spreads its work, or buys a larger plan" },
        { demand_above_plan, "demand_above_plan", party::caller, "the demand is above the plan's limit, which was not lowered",
            "the caller spreads its work, or buys a larger plan" },
        { share_not_delivered, "share_not_delivered", party::dispatcher,
            "the VM's share of the plan was exhausted, but the plan's limit was not",
            "none; the dispatcher must redistribute shares faster" },
        { service_removed, "service_removed", party::operators,
            "a configuration version of the last 15 minutes removed the service from the plan",
            "operators restore the service, or inform the customer" },
        { customer_removed, "customer_removed", party::operators,
            "a configuration version of the last 15 minutes removed the customer",
            "operators restore the customer, or inform it" },
        { customer_never_listed, "customer_never_listed", notKnown,
            "the customer is not in any known configuration version: its name may be wrong, or operators have not added it",
            "the caller checks the name; operators check the list of customers" },
        { service_not_bought, "service_not_bought", party::caller,
            "the plan does not include the service, which was not removed in the last 15 minutes",
            "the caller buys a plan with the service" },
        { task_never_fits, "task_never_fits", party::caller,
            "a task needs more than the largest worker has, or a job exceeds a fixed limit",
            "the caller makes tasks or jobs smaller" },
        { task_fails_everywhere, "task_fails_everywhere", party::caller,
            "tasks with the same content failed on several healthy workers", "the caller corrects the task" },
        { caller_cancelled, "caller_cancelled", party::caller, "the caller cancelled the job", "none" },
        { capacity_lost_to_workers, "capacity_lost_to_workers", party::worker,
            "the job could not start in time, and workers were ejected within 30 s of the fault",
            "the platform replaces the ejected workers" },
        { capacity_lost_to_platform, "capacity_lost_to_platform", party::platform,
            "the job could not start in time, and VMs or workers were lost within 30 s of the fault",
            "the platform replaces the lost VMs" },
        { demand_above_capacity, "demand_above_capacity", party::caller,
            "the job could not start in time, and no worker or VM was lost within 30 s of the fault",
            "the caller allows more time or spreads its work; operators who sold more capacity than exists add workers" },
        { time_limit_below_run_time, "time_limit_below_run_time", party::caller,
            "the time limit is shorter than the mean run time of tasks on other workers", "the caller allows more time" },
        { slow_log, "slow_log", party::platform, "an operation on the platform's log took more than half of the job's time",
            "the platform repairs the log" },
        { late_after_admission, "late_after_admission", party::dispatcher,
            "the job was admitted but not started in time, and no worker or VM was lost within 30 s of the fault",
            "none; the dispatcher admitted more than it could start" },
        { run_longer_than_allowed, "run_longer_than_allowed", notKnown,
            "the task ran longer than allowed, and a comparison with other workers does not show the cause",
            "the caller compares the run time on other workers" },
        { worker_fails_all, "worker_fails_all", party::worker,
            "the worker failed most of its tasks within 30 s of the fault, while other workers did not, or it was ejected",
            "the platform replaces the worker" },
        { worker_slower_than_others, "worker_slower_than_others", party::worker,
            "the task ran longer than allowed, and over three times as long as tasks on other workers",
            "the platform checks the worker" },
        { single_task_failure, "single_task_failure", notKnown,
            "a task failed on a worker that did not fail most of its tasks: the task or the worker may be at fault",
            "the caller submits it under a new id if it may run twice; a failure on another worker then points to the task" },
        { worker_connection, "worker_connection", party::worker,
            "the connection to one worker failed, while other workers were reachable", "the platform checks the worker" },
        { worker_answer, "worker_answer", party::worker, "the worker refused a task, or its answer is invalid",
            "the platform checks the worker's version" },
        { many_workers_unreachable, "many_workers_unreachable", party::platform,
            "three or more workers could not be reached within 30 s", "the platform checks the network" },
        { workers_gone, "workers_gone", party::platform, "workers were removed from the platform's list",
            "the platform provides workers again" },
        { workers_ejected, "workers_ejected", party::worker, "all workers of the service are ejected",
            "the platform replaces the ejected workers" },
        { service_never_offered, "service_never_offered", notKnown,
            "no worker was ever listed for the service: its name may be wrong, or no worker was set up for it",
            "the caller checks the service's name; operators check the workers" },
        { log_failing, "log_failing", party::platform, "the platform's log failed or lost an answer",
            "the platform repairs the log" },
        { vm_lost, "vm_lost", party::platform, "the VM that held the job was lost",
            "the caller checks in its own records whether the work was done before it issues a new id" },
        { domain_cut_off, "domain_cut_off", party::platform, "another VM or failure domain can't be reached",
            "the platform repairs the network; job ids that a VM issues never depend on another domain" },
        { claim_not_answered, "claim_not_answered", party::dispatcher,
            "a claim was not decided, although neither the log nor a VM failed within 30 s of the fault",
            "none; the dispatcher must decide claims" },
        { operators_raced, "operators_raced", party::operators, "another operator published a configuration first",
            "the operator compares the versions and publishes again, based on the newest one" },
        { configuration_rejected, "configuration_rejected", party::operators, "the configuration violates a rule",
            "the operator corrects the configuration; the detail names the rule" },
        { configuration_never_published, "configuration_never_published", party::operators,
            "no configuration is known, and the log did not fail", "operators publish a configuration" },
        { settings_wrong, "settings_wrong", party::operators, "a setting is invalid", "operators correct the settings" },
        { vm_drained, "vm_drained", party::operators, "operators drain or stop the VM", "the caller submits to another VM" },
        { vm_withdrawn, "vm_withdrawn", party::platform, "the platform lists the VM as leaving",
            "the caller submits to another VM" },
        { stopped_before_the_end, "stopped_before_the_end", party::operators,
            "the VM was stopped, and the job did not end within the shutdown limit", "operators raise shutdown.limit_ms" },
        { holder_paused, "holder_paused", notKnown,
            "a lease expired at its holder: the VM was paused, or its dispatcher was overloaded",
            "operators check the VM's processor usage at the time of the fault" },
        { not_recorded, "not_recorded", notKnown, "the journal dropped events because its memory was full",
            "operators raise journal.memory_kilobytes" },
        { answer_not_kept, "answer_not_kept", party::dispatcher,
            "the job ended, but its answer was discarded before it was requested again",
            "the caller requests the answer sooner; operators raise claims.answer_megabytes" },
        { own_fault, "own_fault", party::dispatcher, "the dispatcher failed, or no other row applies",
            "none; report the fault with the output of `coriandermount explain`" },
    });

    constexpr bool rowsMatchEnumOrder()
    {
        for (std::size_t i = 0; i < rows.size(); ++i) {
            if (static_cast<std::size_t>(rows[i].rule) != i)
                return false;
        }
        return rows.size() == static_cast<std::size_t>(own_fault) + 1;
    }
    static_assert(rowsMatchEnumOrder(), "each rule needs exactly one row, in order");

} // namespace

std::span<const attribution_row> attributionTable() { return rows; }

const attribution_row& rowOf(attribution_rule rule) { return rows[static_cast<std::size_t>(rule)]; }

std::optional<attribution_rule> findAttributionRule(std::string_view name)
{
    for (const auto& row : rows) {
        if (row.name == name)
            return row.rule;
    }
    return std::nullopt;
}

std::string attributionTableMarkdown()
{
    std::string page = "| Rule | Party | Applies when | Remedy |\n| --- | --- | --- | --- |\n";
    for (const auto& row : rows) {
        page += fmt::format("| `{}` | {} | {} | {} |\n", row.name, row.responsible ? nameOf(*row.responsible) : "not known",
            row.condition, row.remedy);
    }
    return page;
}

} // namespace coriandermount::event_log
