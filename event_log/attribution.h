/// Attributes faults to the responsible party by a fixed table of rules.
#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "core/error.h"
#include "event_log/event.h"
#include "event_log/evidence.h"

namespace coriandermount::event_log {

/// Rules of the attribution table; docs/design/attribution.md explains each of them. The names are written to the log.
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

/// One row of the attribution table.
struct attribution_row {
    attribution_rule rule;
    std::string_view name;
    /// Party that the rule names; nothing where the party can't be determined.
    std::optional<party> responsible;
    /// Condition under which the row applies, as text for the documentation.
    std::string_view condition;
    /// Action that ends the fault, and the party that has to take it.
    std::string_view remedy;
};

/// Returns all rows in the order of `attribution_rule`; they are valid until the program ends.
std::span<const attribution_row> attributionTable();

/// Returns the row of a rule.
const attribution_row& rowOf(attribution_rule rule);

/// Returns the rule with that name, or nothing for an unknown name.
std::optional<attribution_rule> findAttributionRule(std::string_view name);

/// Result of the attribution of one fault.
struct attribution {
    attribution_rule rule = attribution_rule::own_fault;
    /// Facts on which the rule was chosen.
    std::string reason;
    /// Action that ends the fault, with the values of this case where they are known.
    std::string remedy;

    /// Returns the party of the rule; nothing where it can't be determined.
    std::optional<party> responsible() const { return rowOf(rule).responsible; }
};

/// Attributes a fault, which is an event with a `problem` or of a kind such as `takeover`. `context` holds the events near it.
attribution attribute(const event& fault, const evidence& context);

/// Returns the table as Markdown, for docs/design/attribution.md and docs/operations/refusals.md.
std::string attributionTableMarkdown();

} // namespace coriandermount::event_log
