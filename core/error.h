/// The closed list of error kinds and the table from kind to answer.
#pragma once

#include <chrono>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace coriandermount {

/// Every refusal and failure that a caller, operator or peer can be told.
enum class error_kind {
    malformed_request,
    payload_too_large,
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

/// What is known about the execution of a request when it is answered.
enum class outcome {
    done,
    /// Proved that nothing was executed.
    not_run,
    /// Nothing is proved; some or all of it may have been executed.
    may_have_run,
};

/// Who has to act so that the error does not occur again.
enum class party {
    caller,
    operators,
    platform,
    worker,
    dispatcher,
};

/// One row of the table from kind to answer.
struct error_row {
    error_kind kind;
    std::string_view name;
    int httpStatus;
    outcome result;
    party responsible;
    /// Whether the same request may succeed later without a change.
    bool retryable;
    std::string_view message;
};

/// An error with the values that explain it.
struct error {
    error_kind kind = error_kind::internal_error;
    /// Names the value and the bound that it met.
    std::string detail;
    /// When a retry may succeed; set for retryable refusals.
    std::optional<std::chrono::milliseconds> retryAfter;
};

template <class T> using result = tl::expected<T, error>;

/// Returns all rows, in the order of `error_kind`.
std::span<const error_row> errorTable();

/// Returns the row of `kind`.
const error_row& rowOf(error_kind kind);

/// Returns the kind with that name, or nothing.
std::optional<error_kind> findErrorKind(std::string_view name);

std::string_view nameOf(error_kind kind);
std::string_view nameOf(outcome value);
std::string_view nameOf(party value);

/// Builds the unexpected side of a `result`.
tl::unexpected<error> fail(error_kind kind, std::string detail = {});

} // namespace coriandermount
