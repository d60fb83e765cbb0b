// Covers each row of the attribution table with the events that its condition needs.
#include <set>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "event_log/attribution.h"
#include "event_log/rules.h"

using namespace coriandermount;
using namespace std::chrono_literals;
using event_log::attribution_rule;
using event_log::event_kind;

namespace {

const wall_time noon { 1796385600000ms };

event_log::event answerWithError(error_kind kind, std::string subject = {})
{
    event_log::event fault;
    fault.kind = event_kind::job_answered;
    fault.at = noon;
    fault.problem = kind;
    fault.subject = std::move(subject);
    fault.job = job_key { { "kellari" }, "job-1", noon };
    return fault;
}

event_log::event refusalByLimit(std::string_view rule, std::string limit, std::string value)
{
    auto fault = answerWithError(error_kind::plan_concurrency_exceeded, "basic");
    fault.rule = rule;
    fault.limit = std::move(limit);
    fault.value = std::move(value);
    return fault;
}

event_log::event eventBefore(event_kind kind, std::string subject, std::chrono::milliseconds before = 14s)
{
    event_log::event entry;
    entry.kind = kind;
    entry.at = noon - before;
    entry.subject = std::move(subject);
    return entry;
}

event_log::event limitChange(std::string_view rule, std::string subject, std::string before, std::string after)
{
    auto entry = eventBefore(event_kind::limit_changed, std::move(subject));
    entry.rule = rule;
    entry.limit = std::move(before);
    entry.value = std::move(after);
    entry.configurationVersion = 812;
    entry.author = "nikos";
    return entry;
}

event_log::event endedTask(std::string worker, std::optional<error_kind> failure, std::chrono::milliseconds runTime = 100ms)
{
    auto entry = eventBefore(event_kind::task_answered, std::move(worker), 1s);
    entry.problem = failure;
    entry.elapsed = runTime;
    entry.elapsedPart = runTime;
    return entry;
}

/// Collects evidence and checks the attribution of a fault with it.
struct attribution_fixture {
    event_log::evidence context;

    attribution_fixture& with(const event_log::event& entry, int times = 1)
    {
        for (int count = 0; count < times; ++count)
            context.add(entry);
        return *this;
    }

    void expect(const event_log::event& fault, attribution_rule rule, const std::string& reason = {}) const
    {
        const auto found = event_log::attribute(fault, context);
        BOOST_TEST(event_log::rowOf(found.rule).name == event_log::rowOf(rule).name);
        BOOST_TEST(found.reason.find(reason) != std::string::npos, "\"" << found.reason << "\" lacks \"" << reason << "\"");
        BOOST_TEST(!found.remedy.empty());
        coveredRules().insert(rule);
    }

    /// Rules that at least one test case has checked.
    static std::set<attribution_rule>& coveredRules()
    {
        static std::set<attribution_rule> rules;
        return rules;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(attribution_table, attribution_fixture)

BOOST_AUTO_TEST_CASE(attributes_invalid_requests_to_the_caller)
{
    expect(answerWithError(error_kind::malformed_request), attribution_rule::request_invalid);
    expect(answerWithError(error_kind::job_conflict), attribution_rule::job_id_reused);
    expect(answerWithError(error_kind::job_id_expired), attribution_rule::job_id_too_old);
    expect(answerWithError(error_kind::job_id_from_future), attribution_rule::job_id_too_old);
    expect(answerWithError(error_kind::job_unknown), attribution_rule::job_not_known);
    expect(answerWithError(error_kind::task_too_large), attribution_rule::task_never_fits);
    expect(answerWithError(error_kind::too_many_tasks), attribution_rule::task_never_fits);
    expect(answerWithError(error_kind::task_quarantined), attribution_rule::task_fails_everywhere);
    expect(answerWithError(error_kind::cancelled_while_running), attribution_rule::caller_cancelled);
}

BOOST_AUTO_TEST_SUITE(plan_limits)

BOOST_FIXTURE_TEST_CASE(attributes_to_the_caller_if_the_limit_was_not_lowered, attribution_fixture)
{
    expect(refusalByLimit(event_log::rules::planConcurrentTasks, "40", "41"), attribution_rule::demand_above_plan, "40");
    with(limitChange(event_log::rules::planConcurrentTasks, "basic", "20", "40"));
    expect(refusalByLimit(event_log::rules::planConcurrentTasks, "40", "41"), attribution_rule::demand_above_plan);
    with(limitChange(event_log::rules::planConcurrentTasks, "large", "400", "100"));
    expect(refusalByLimit(event_log::rules::planConcurrentTasks, "40", "41"), attribution_rule::demand_above_plan);
}

BOOST_FIXTURE_TEST_CASE(attributes_to_operators_if_the_limit_was_lowered, attribution_fixture)
{
    with(limitChange(event_log::rules::planConcurrentTasks, "basic", "80", "40"));
    expect(refusalByLimit(event_log::rules::planConcurrentTasks, "40", "41"), attribution_rule::limit_lowered,
        "operator nikos changed plan.concurrent_tasks of \"basic\" from 80 to 40 in version 812, 14 s before");
}

BOOST_FIXTURE_TEST_CASE(attributes_to_operators_if_a_limit_was_added, attribution_fixture)
{
    with(limitChange(event_log::rules::planConcurrentTasks, "basic", "0", "40"));
    expect(refusalByLimit(event_log::rules::planConcurrentTasks, "40", "41"), attribution_rule::limit_lowered);
}

BOOST_FIXTURE_TEST_CASE(attributes_to_the_caller_if_the_previous_limit_was_exceeded_too, attribution_fixture)
{
    with(limitChange(event_log::rules::planConcurrentTasks, "basic", "80", "40"));
    expect(refusalByLimit(event_log::rules::planConcurrentTasks, "40", "90"), attribution_rule::demand_above_both_limits);
}

BOOST_FIXTURE_TEST_CASE(ignores_limit_changes_outside_the_window, attribution_fixture)
{
    auto old = limitChange(event_log::rules::planConcurrentTasks, "basic", "80", "40");
    old.at = noon - 20min;
    with(old);
    expect(refusalByLimit(event_log::rules::planConcurrentTasks, "40", "41"), attribution_rule::demand_above_plan);
}

BOOST_FIXTURE_TEST_CASE(attributes_an_exhausted_share_to_the_dispatcher, attribution_fixture)
{
    expect(refusalByLimit("share.concurrent_tasks", "10", "11"), attribution_rule::share_not_delivered);
}

BOOST_FIXTURE_TEST_CASE(attributes_an_exhausted_share_to_the_platform_if_a_vm_is_suspected, attribution_fixture)
{
    with(eventBefore(event_kind::vm_suspected, "entry-2"));
    expect(refusalByLimit("share.concurrent_tasks", "10", "11"), attribution_rule::domain_cut_off, "entry-2");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(services_and_customers)

BOOST_FIXTURE_TEST_CASE(attributes_removals_to_operators, attribution_fixture)
{
    auto fault = answerWithError(error_kind::service_not_in_plan, "basic");
    fault.value = "licence-check";
    expect(fault, attribution_rule::service_not_bought);
    with(limitChange(event_log::rules::planServices, "basic", "licence-check,title-lookup", "title-lookup"));
    expect(fault, attribution_rule::service_removed, "nikos");
    with(limitChange(event_log::rules::customerPlan, "kellari", "basic", ""));
    expect(answerWithError(error_kind::unknown_customer), attribution_rule::customer_removed, "version 812");
}

BOOST_FIXTURE_TEST_CASE(has_no_party_for_names_that_were_never_listed, attribution_fixture)
{
    expect(answerWithError(error_kind::unknown_customer), attribution_rule::customer_never_listed);
    expect(answerWithError(error_kind::no_such_service), attribution_rule::service_never_offered);
    BOOST_TEST(!event_log::rowOf(attribution_rule::customer_never_listed).responsible);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(late_starts)

BOOST_FIXTURE_TEST_CASE(attributes_to_the_caller_or_the_dispatcher_without_lost_capacity, attribution_fixture)
{
    expect(answerWithError(error_kind::deadline_unreachable), attribution_rule::demand_above_capacity);
    expect(answerWithError(error_kind::queue_full), attribution_rule::demand_above_capacity);
    expect(answerWithError(error_kind::deadline_passed_before_start), attribution_rule::late_after_admission);
}

BOOST_FIXTURE_TEST_CASE(attributes_lost_capacity_to_the_worker_or_the_platform, attribution_fixture)
{
    attribution_fixture ejected;
    ejected.with(eventBefore(event_kind::worker_ejected, "worker-7"));
    ejected.expect(answerWithError(error_kind::queue_full), attribution_rule::capacity_lost_to_workers, "worker-7");
    ejected.expect(answerWithError(error_kind::no_worker), attribution_rule::workers_ejected, "worker-7");
    attribution_fixture left;
    left.with(eventBefore(event_kind::vm_left, "worker-8"));
    left.expect(
        answerWithError(error_kind::deadline_passed_before_start), attribution_rule::capacity_lost_to_platform, "worker-8");
    left.expect(answerWithError(error_kind::no_worker), attribution_rule::workers_gone, "worker-8");
    expect(answerWithError(error_kind::no_worker), attribution_rule::service_never_offered);
}

BOOST_FIXTURE_TEST_CASE(attributes_a_slow_log_to_the_platform, attribution_fixture)
{
    auto slow = eventBefore(event_kind::log_failed, "journal.a");
    slow.elapsed = 800ms;
    with(slow);
    auto fault = answerWithError(error_kind::deadline_passed_before_start);
    fault.elapsed = 1000ms;
    expect(fault, attribution_rule::slow_log, "800 ms of the 1000 ms");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(failed_tasks)

BOOST_FIXTURE_TEST_CASE(attributes_to_a_worker_that_fails_while_others_succeed, attribution_fixture)
{
    with(endedTask("worker-1", error_kind::task_failed), 5).with(endedTask("worker-2", std::nullopt), 20);
    expect(answerWithError(error_kind::task_failed, "worker-1"), attribution_rule::worker_fails_all, "failed 5 of 5");
}

BOOST_FIXTURE_TEST_CASE(has_no_party_for_a_single_failure, attribution_fixture)
{
    with(endedTask("worker-1", error_kind::task_failed)).with(endedTask("worker-1", std::nullopt), 5);
    expect(answerWithError(error_kind::task_failed, "worker-1"), attribution_rule::single_task_failure);
}

BOOST_FIXTURE_TEST_CASE(does_not_attribute_to_a_worker_if_all_workers_fail, attribution_fixture)
{
    with(endedTask("worker-1", error_kind::task_failed), 5).with(endedTask("worker-2", error_kind::task_failed), 5);
    expect(answerWithError(error_kind::task_failed, "worker-1"), attribution_rule::single_task_failure);
}

BOOST_FIXTURE_TEST_CASE(attributes_one_unreachable_worker_to_it_and_many_to_the_platform, attribution_fixture)
{
    with(endedTask("worker-1", error_kind::worker_unreachable));
    expect(answerWithError(error_kind::worker_unreachable, "worker-1"), attribution_rule::worker_connection);
    with(endedTask("worker-2", error_kind::worker_lost)).with(endedTask("worker-3", error_kind::worker_unreachable));
    expect(answerWithError(error_kind::worker_unreachable, "worker-1"), attribution_rule::many_workers_unreachable);
}

BOOST_FIXTURE_TEST_CASE(attributes_refusals_and_invalid_answers_to_the_worker, attribution_fixture)
{
    expect(answerWithError(error_kind::worker_refused, "worker-1"), attribution_rule::worker_answer);
    expect(answerWithError(error_kind::worker_answer_invalid, "worker-1"), attribution_rule::worker_answer);
}

BOOST_FIXTURE_TEST_CASE(compares_a_timed_out_run_with_other_workers, attribution_fixture)
{
    auto fault = answerWithError(error_kind::deadline_passed_while_running, "worker-1");
    fault.limit = "1000";
    fault.elapsed = 1000ms;
    expect(fault, attribution_rule::run_longer_than_allowed);
    attribution_fixture slow;
    slow.with(endedTask("worker-2", std::nullopt, 100ms), 5);
    slow.expect(fault, attribution_rule::worker_slower_than_others);
    attribution_fixture longer;
    longer.with(endedTask("worker-2", std::nullopt, 1500ms), 5);
    longer.expect(fault, attribution_rule::time_limit_below_run_time);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(platform_faults)

BOOST_FIXTURE_TEST_CASE(attributes_lost_vms_networks_and_logs_to_the_platform, attribution_fixture)
{
    expect(answerWithError(error_kind::claim_owner_lost), attribution_rule::vm_lost);
    expect(answerWithError(error_kind::home_unreachable), attribution_rule::domain_cut_off);
    expect(answerWithError(error_kind::log_answer_lost), attribution_rule::log_failing);
    expect(eventBefore(event_kind::log_failed, "journal.a"), attribution_rule::log_failing);
    expect(eventBefore(event_kind::takeover, "entry-2"), attribution_rule::vm_lost);
}

BOOST_FIXTURE_TEST_CASE(distinguishes_a_failing_log_from_an_undecided_claim, attribution_fixture)
{
    expect(answerWithError(error_kind::claim_unavailable), attribution_rule::claim_not_answered);
    with(eventBefore(event_kind::log_failed, "journal.a"));
    expect(answerWithError(error_kind::claim_unavailable), attribution_rule::log_failing);
    expect(answerWithError(error_kind::configuration_missing), attribution_rule::log_failing);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(operator_actions)

BOOST_FIXTURE_TEST_CASE(attributes_publications_settings_and_shutdowns, attribution_fixture)
{
    expect(answerWithError(error_kind::publish_conflict), attribution_rule::operators_raced);
    expect(answerWithError(error_kind::configuration_invalid), attribution_rule::configuration_rejected);
    expect(answerWithError(error_kind::configuration_missing), attribution_rule::configuration_never_published);
    expect(answerWithError(error_kind::settings_invalid), attribution_rule::settings_wrong);
    expect(answerWithError(error_kind::shutdown_limit_reached), attribution_rule::stopped_before_the_end);
    auto fault = answerWithError(error_kind::shutting_down);
    fault.vm.value = "entry-1";
    expect(fault, attribution_rule::vm_drained);
    with(eventBefore(event_kind::vm_left, "entry-1"));
    expect(fault, attribution_rule::vm_withdrawn);
    with(eventBefore(event_kind::shutdown_started, "entry-1"));
    expect(fault, attribution_rule::vm_drained, "14 s before");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(dispatcher_faults)

BOOST_FIXTURE_TEST_CASE(attributes_internal_errors_to_the_dispatcher, attribution_fixture)
{
    expect(answerWithError(error_kind::internal_error), attribution_rule::own_fault);
    expect(answerWithError(error_kind::answer_dropped), attribution_rule::answer_not_kept);
    with(eventBefore(event_kind::log_failed, "journal.a")).with(eventBefore(event_kind::worker_ejected, "worker-1"));
    expect(answerWithError(error_kind::internal_error), attribution_rule::own_fault);
}

BOOST_FIXTURE_TEST_CASE(has_no_party_for_expired_leases_and_dropped_events, attribution_fixture)
{
    expect(eventBefore(event_kind::lease_lapsed, "entry-1"), attribution_rule::holder_paused);
    expect(eventBefore(event_kind::entries_dropped, ""), attribution_rule::not_recorded);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(every_row_is_covered_by_a_test_case)
{
    for (const auto& row : event_log::attributionTable())
        BOOST_TEST(coveredRules().contains(row.rule), row.name << " is not covered by any test case");
}

BOOST_AUTO_TEST_CASE(every_error_kind_has_a_row)
{
    for (const auto& row : errorTable()) {
        const auto found = event_log::attribute(answerWithError(row.kind), context);
        BOOST_TEST((found.rule != attribution_rule::own_fault || row.kind == error_kind::internal_error), row.name);
    }
}

BOOST_AUTO_TEST_SUITE_END()
