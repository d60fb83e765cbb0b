/// The closed list of error kinds, and the table that maps each kind to a response.
#pragma once

#include <chrono>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace coriandermount {

/// Every refusal and failure that is reported to a caller, an operator or a peer.
enum class error_kind {
    malformed_request,
    payload_too_large,
    body_memory_exceeded,
    not_found,
    method_not_allowed,
    job_conflict,
    job_unknown,
    job_id_expired,
    job_id_from_future,
    unknown_customer,
    service_not_in_plan,
    no_such_service,
    job_kind_unsupported,
    too_many_tasks,
    task_too_large,
    run_time_above_plan,
    task_above_plan,
    plan_rate_exceeded,
    plan_concurrency_exceeded,
    plan_accelerators_exceeded,
    plan_memory_exceeded,
    queue_full,
    deadline_unreachable,
    deadline_passed_before_start,
    deadline_passed_while_running,
    no_worker,
    cancelled_before_start,
    cancelled_while_running,
    worker_refused,
    worker_unreachable,
    worker_lost,
    worker_answer_invalid,
    task_failed,
    task_quarantined,
    lease_expired,
    claim_unavailable,
    owner_unknown,
    overloaded,
    claim_owner_lost,
    home_unreachable,
    answer_dropped,
    peer_unreachable,
    log_unavailable,
    log_answer_lost,
    log_position_taken,
    log_epoch_fenced,
    log_records_expired,
    log_full,
    publish_conflict,
    publish_unknown,
    configuration_invalid,
    configuration_missing,
    settings_invalid,
    shutting_down,
    shutdown_limit_reached,
    internal_error,
};

/// What is known about the execution of a request at the time of the response.
enum class outcome {
    done,
    /// It is certain that nothing was executed.
    not_run,
    /// Execution can't be ruled out: some or all of the request may have been executed.
    may_have_run,
};

/// The party that has to act to prevent the error from recurring.
enum class party {
    caller,
    operators,
    platform,
    worker,
    dispatcher,
};

/// One row of the error table: how an error kind is reported.
struct error_row {
    error_kind kind;
    std::string_view name;
    int httpStatus;
    outcome result;
    party responsible;
    /// Whether the unchanged request may succeed later.
    bool retryable;
    std::string_view message;
};

/// An error kind with the values that explain this occurrence.
struct error {
    error_kind kind = error_kind::internal_error;
    /// Names the offending value and its bound.
    std::string detail;
    /// Time after which a retry may succeed; set for retryable refusals only.
    std::optional<std::chrono::milliseconds> retryAfter;
};

/// Holds a value, or the error that prevented it.
template <class T> using result = tl::expected<T, error>;

/// Returns all rows of the error table, in the order of `error_kind`.
std::span<const error_row> errorTable();

/// Returns the row of `kind` in the error table.
const error_row& rowOf(error_kind kind);

/// Returns the error kind whose name on the wire is `name`, or nothing if there is none.
std::optional<error_kind> findErrorKind(std::string_view name);

/// Returns the name that is used on the wire and in logs.
std::string_view nameOf(error_kind kind);
/// Returns the name that is used on the wire and in logs.
std::string_view nameOf(outcome value);
/// Returns the name that is used on the wire and in logs.
std::string_view nameOf(party value);

/// Builds the error side of a `result`.
tl::unexpected<error> fail(error_kind kind, std::string detail = {});

} // namespace coriandermount
