#include "core/error.h"

#include <array>

namespace coriandermount {

namespace {

    using enum error_kind;
    using enum outcome;

    constexpr bool retryable = true;
    constexpr bool notRetryable = false;

    constexpr std::array rows = std::to_array<error_row>({
        { malformed_request, "malformed_request", 400, not_run, party::caller, notRetryable, "the request is malformed" },
        { payload_too_large, "payload_too_large", 413, not_run, party::caller, notRetryable,
            "the request is larger than allowed" },
        { body_memory_exceeded, "body_memory_exceeded", 503, not_run, party::caller, retryable,
            "the memory for request bodies is used up" },
        { error_kind::not_found, "not_found", 404, not_run, party::caller, notRetryable, "no resource exists at this path" },
        { method_not_allowed, "method_not_allowed", 405, not_run, party::caller, notRetryable,
            "this path does not support this method" },
        { job_conflict, "job_conflict", 409, not_run, party::caller, notRetryable, "the job id belongs to another submission" },
        { job_unknown, "job_unknown", 404, may_have_run, party::caller, notRetryable, "no job with this id is known" },
        { job_id_expired, "job_id_expired", 410, may_have_run, party::caller, notRetryable,
            "the job id is older than the resubmission window" },
        { job_id_from_future, "job_id_from_future", 400, not_run, party::caller, notRetryable,
            "the issue time of the job id lies in the future" },
        { unknown_customer, "unknown_customer", 403, not_run, party::operators, notRetryable,
            "no plan is configured for the customer" },
        { service_not_in_plan, "service_not_in_plan", 403, not_run, party::caller, notRetryable,
            "the plan does not include the service" },
        { no_such_service, "no_such_service", 422, not_run, party::caller, notRetryable, "no worker offers the service" },
        { job_kind_unsupported, "job_kind_unsupported", 503, not_run, party::dispatcher, notRetryable,
            "jobs of this kind are not supported" },
        { too_many_tasks, "too_many_tasks", 422, not_run, party::caller, notRetryable, "the job has more tasks than allowed" },
        { task_too_large, "task_too_large", 422, not_run, party::caller, notRetryable, "no worker is large enough for the task" },
        { run_time_above_plan, "run_time_above_plan", 422, not_run, party::caller, notRetryable,
            "the declared run time is above the plan's limit" },
        { task_above_plan, "task_above_plan", 422, not_run, party::caller, notRetryable,
            "the task needs more than the plan's limits allow" },
        { plan_rate_exceeded, "plan_rate_exceeded", 429, not_run, party::caller, retryable,
            "the plan's limit on the task rate is reached" },
        { plan_concurrency_exceeded, "plan_concurrency_exceeded", 429, not_run, party::caller, retryable,
            "the plan's limit on concurrent tasks is reached" },
        { plan_accelerators_exceeded, "plan_accelerators_exceeded", 429, not_run, party::caller, retryable,
            "the plan's limit on accelerators is reached" },
        { plan_memory_exceeded, "plan_memory_exceeded", 429, not_run, party::caller, retryable,
            "the plan's limit on memory is reached" },
        { queue_full, "queue_full", 503, not_run, party::caller, retryable, "the queue is full" },
        { deadline_unreachable, "deadline_unreachable", 503, not_run, party::caller, retryable,
            "the predicted wait is longer than the deadline allows" },
        { deadline_passed_before_start, "deadline_passed_before_start", 504, not_run, party::dispatcher, retryable,
            "the deadline passed before the first start" },
        { deadline_passed_while_running, "deadline_passed_while_running", 504, may_have_run, party::worker, notRetryable,
            "the deadline passed while tasks were running" },
        { no_worker, "no_worker", 503, not_run, party::platform, retryable, "no live worker offers the service" },
        { cancelled_before_start, "cancelled_before_start", 409, not_run, party::caller, notRetryable,
            "the job was cancelled before its first start" },
        { cancelled_while_running, "cancelled_while_running", 409, may_have_run, party::caller, notRetryable,
            "the job was cancelled while tasks were running" },
        { worker_refused, "worker_refused", 502, not_run, party::worker, retryable, "the worker refused the task" },
        { worker_unreachable, "worker_unreachable", 502, not_run, party::worker, retryable,
            "no connection to the worker could be established" },
        { worker_lost, "worker_lost", 502, may_have_run, party::worker, notRetryable,
            "the connection to the worker was lost after the task was sent" },
        { worker_answer_invalid, "worker_answer_invalid", 502, may_have_run, party::worker, notRetryable,
            "the worker's answer could not be decoded" },
        { task_failed, "task_failed", 502, may_have_run, party::worker, notRetryable, "the task failed on the worker" },
        { task_quarantined, "task_quarantined", 422, not_run, party::caller, notRetryable,
            "tasks like this one failed on several healthy workers" },
        { lease_expired, "lease_expired", 504, may_have_run, party::worker, notRetryable,
            "the lease expired before the worker answered" },
        { claim_unavailable, "claim_unavailable", 503, not_run, party::dispatcher, retryable, "the job id could not be claimed" },
        { owner_unknown, "owner_unknown", 503, may_have_run, party::dispatcher, retryable,
            "the VM that owns the job is unreachable" },
        { overloaded, "overloaded", 429, not_run, party::platform, retryable, "the workers can't finish the job in time" },
        { claim_owner_lost, "claim_owner_lost", 503, may_have_run, party::platform, notRetryable,
            "the VM that held the job id was lost" },
        { home_unreachable, "home_unreachable", 503, may_have_run, party::platform, retryable,
            "the home failure domain of the job id is unreachable" },
        { answer_dropped, "answer_dropped", 410, may_have_run, party::dispatcher, notRetryable,
            "the job ended, but its answer is no longer kept" },
        { peer_unreachable, "peer_unreachable", 503, may_have_run, party::platform, retryable, "the peer VM did not answer" },
        { log_unavailable, "log_unavailable", 503, not_run, party::platform, retryable,
            "the platform's log did not accept the record" },
        { log_answer_lost, "log_answer_lost", 503, may_have_run, party::platform, retryable,
            "the response of the platform's log was lost" },
        { log_position_taken, "log_position_taken", 409, not_run, party::dispatcher, retryable,
            "the end of the platform's log is not at the expected position" },
        { log_epoch_fenced, "log_epoch_fenced", 409, not_run, party::dispatcher, notRetryable,
            "the platform's log has seen a higher epoch of this writer" },
        { log_records_expired, "log_records_expired", 410, not_run, party::platform, retryable,
            "the platform's log no longer keeps these records" },
        { log_full, "log_full", 503, not_run, party::platform, retryable, "the platform's log has no space left" },
        { publish_conflict, "publish_conflict", 409, not_run, party::operators, notRetryable,
            "another configuration was published first" },
        { publish_unknown, "publish_unknown", 503, may_have_run, party::platform, retryable,
            "it is not known whether the configuration was published" },
        { configuration_invalid, "configuration_invalid", 422, not_run, party::operators, notRetryable,
            "the configuration violates a rule" },
        { configuration_missing, "configuration_missing", 503, not_run, party::operators, retryable,
            "no configuration has been received yet" },
        { settings_invalid, "settings_invalid", 500, not_run, party::operators, notRetryable, "the settings violate a rule" },
        { shutting_down, "shutting_down", 503, not_run, party::operators, retryable, "the VM accepts no new work" },
        { shutdown_limit_reached, "shutdown_limit_reached", 503, may_have_run, party::operators, notRetryable,
            "the VM stopped before the job ended" },
        { internal_error, "internal_error", 500, may_have_run, party::dispatcher, notRetryable,
            "an internal error occurred in the dispatcher" },
    });

    constexpr bool rowsMatchEnumOrder()
    {
        for (std::size_t i = 0; i < rows.size(); ++i) {
            if (static_cast<std::size_t>(rows[i].kind) != i)
                return false;
        }
        return rows.size() == static_cast<std::size_t>(internal_error) + 1;
    }
    static_assert(rowsMatchEnumOrder(), "the table needs exactly one row for each error kind, in the order of the enum");

} // namespace

std::span<const error_row> errorTable() { return rows; }

const error_row& rowOf(error_kind kind) { return rows[static_cast<std::size_t>(kind)]; }

std::optional<error_kind> findErrorKind(std::string_view name)
{
    for (const auto& row : rows) {
        if (row.name == name)
            return row.kind;
    }
    return std::nullopt;
}

std::string_view nameOf(error_kind kind) { return rowOf(kind).name; }

std::string_view nameOf(outcome value)
{
    constexpr std::array<std::string_view, 3> names { "done", "not_run", "may_have_run" };
    return names[static_cast<std::size_t>(value)];
}

std::string_view nameOf(party value)
{
    constexpr std::array<std::string_view, 5> names { "caller", "operator", "platform", "worker", "dispatcher" };
    return names[static_cast<std::size_t>(value)];
}

tl::unexpected<error> fail(error_kind kind, std::string detail)
{
    return tl::unexpected<error>(error { kind, std::move(detail), std::nullopt });
}

} // namespace coriandermount
