/// Decides who caused a fault, by a closed table.
#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "core/error.h"
#include "event_log/event.h"
#include "event_log/evidence.h"

namespace coriandermount::event_log {

/// Rows of the table; docs/design/attribution.md explains each.
enum class attribution_rule {
    request_invalid,
    job_id_reused,
    job_id_too_old,
    job_not_known,
    limit_lowered,
    demand_above_both_limits,
    demand_above_plan,
    share_not_delivered,
    service_removed,
    customer_removed,
    customer_never_listed,
    service_not_bought,
    task_never_fits,
    task_fails_everywhere,
    caller_cancelled,
    capacity_lost_to_workers,
    capacity_lost_to_platform,
    demand_above_capacity,
    time_limit_below_run_time,
    slow_log,
    late_after_admission,
    run_longer_than_allowed,
    worker_fails_all,
    worker_slower_than_others,
    single_task_failure,
    worker_connection,
    worker_answer,
    many_workers_unreachable,
    workers_gone,
    workers_ejected,
    service_never_offered,
    log_failing,
    vm_lost,
    domain_cut_off,
    claim_not_answered,
    operators_raced,
    configuration_rejected,
    configuration_never_published,
    settings_wrong,
    vm_drained,
    vm_withdrawn,
    stopped_before_the_end,
    holder_paused,
    not_recorded,
    answer_not_kept,
    own_fault,
};

/// One row: when it applies and whom it names.
struct attribution_row {
    attribution_rule rule;
    std::string_view name;
    /// Nothing where the answer is "not known".
    std::optional<party> responsible;
    /// When the row applies.
    std::string_view condition;
    /// Whose move it is, and which.
    std::string_view remedy;
};

std::span<const attribution_row> attributionTable();
const attribution_row& rowOf(attribution_rule rule);
std::optional<attribution_rule> attributionRuleNamed(std::string_view name);

/// What was decided about one fault.
struct attribution {
    attribution_rule rule = attribution_rule::own_fault;
    /// The facts that led to the row.
    std::string reason;
    /// What would have helped, with the values of this case.
    std::string remedy;

    std::optional<party> responsible() const { return rowOf(rule).responsible; }
};

/// Attributes a fault: an event with a problem. `known` holds what happened around it.
attribution attribute(const event& fault, const evidence& known);

/// Returns the table as Markdown, for docs/design/attribution.md.
std::string attributionTableMarkdown();

} // namespace coriandermount::event_log
