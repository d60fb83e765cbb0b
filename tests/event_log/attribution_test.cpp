// Each row of the attribution table, brought about by the evidence that it asks for.
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

event_log::event problem(error_kind kind, std::string subject = {})
{
    event_log::event fault;
    fault.kind = event_kind::job_answered;
    fault.at = noon;
    fault.problem = kind;
    fault.subject = std::move(subject);
    fault.job = job_key { { "kellari" }, "job-1", noon };
    return fault;
}

event_log::event refusedBound(std::string_view rule, std::string limit, std::string value)
{
    auto fault = problem(error_kind::plan_concurrency_exceeded, "basic");
    fault.rule = rule;
    fault.limit = std::move(limit);
    fault.value = std::move(value);
    return fault;
}

event_log::event happening(event_kind kind, std::string subject, std::chrono::milliseconds before = 14s)
{
    event_log::event entry;
    entry.kind = kind;
    entry.at = noon - before;
    entry.subject = std::move(subject);
    return entry;
}

event_log::event change(std::string_view rule, std::string subject, std::string before, std::string after)
{
    auto entry = happening(event_kind::limit_changed, std::move(subject));
    entry.rule = rule;
    entry.limit = std::move(before);
    entry.value = std::move(after);
    entry.configurationVersion = 812;
    entry.author = "nikos";
    return entry;
}

event_log::event endedTask(std::string worker, std::optional<error_kind> failure, std::chrono::milliseconds ran = 100ms)
{
    auto entry = happening(event_kind::task_answered, std::move(worker), 1s);
    entry.problem = failure;
    entry.elapsed = ran;
    entry.elapsedPart = ran;
    return entry;
}

/// Evidence and the fault that meets it.
struct story {
    event_log::evidence known;

    story& with(const event_log::event& entry, int times = 1)
    {
        for (int count = 0; count < times; ++count)
            known.add(entry);
        return *this;
    }

    void expect(const event_log::event& fault, attribution_rule rule, const std::string& reason = {}) const
    {
        const auto found = event_log::attribute(fault, known);
        BOOST_TEST(event_log::rowOf(found.rule).name == event_log::rowOf(rule).name);
        BOOST_TEST(found.reason.find(reason) != std::string::npos, "\"" << found.reason << "\" lacks \"" << reason << "\"");
        BOOST_TEST(!found.remedy.empty());
        shown().insert(rule);
    }

    /// Rows that any case has brought about.
    static std::set<attribution_rule>& shown()
    {
        static std::set<attribution_rule> rules;
        return rules;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(the_attribution_table, story)

BOOST_AUTO_TEST_CASE(names_the_caller_for_its_requests)
{
    expect(problem(error_kind::malformed_request), attribution_rule::request_invalid);
    expect(problem(error_kind::job_conflict), attribution_rule::job_id_reused);
    expect(problem(error_kind::job_id_expired), attribution_rule::job_id_too_old);
    expect(problem(error_kind::job_id_from_future), attribution_rule::job_id_too_old);
    expect(problem(error_kind::job_unknown), attribution_rule::job_not_known);
    expect(problem(error_kind::task_too_large), attribution_rule::task_never_fits);
    expect(problem(error_kind::too_many_tasks), attribution_rule::task_never_fits);
    expect(problem(error_kind::task_quarantined), attribution_rule::task_fails_everywhere);
    expect(problem(error_kind::cancelled_while_running), attribution_rule::caller_cancelled);
}

BOOST_AUTO_TEST_SUITE(for_a_plans_bound)

BOOST_FIXTURE_TEST_CASE(names_the_caller_when_the_bound_was_not_lowered, story)
{
    expect(refusedBound(event_log::rules::planConcurrentTasks, "40", "41"), attribution_rule::demand_above_plan, "40");
    with(change(event_log::rules::planConcurrentTasks, "basic", "20", "40"));
    expect(refusedBound(event_log::rules::planConcurrentTasks, "40", "41"), attribution_rule::demand_above_plan);
    with(change(event_log::rules::planConcurrentTasks, "large", "400", "100"));
    expect(refusedBound(event_log::rules::planConcurrentTasks, "40", "41"), attribution_rule::demand_above_plan);
}

BOOST_FIXTURE_TEST_CASE(names_the_operator_who_lowered_it, story)
{
    with(change(event_log::rules::planConcurrentTasks, "basic", "80", "40"));
    expect(refusedBound(event_log::rules::planConcurrentTasks, "40", "41"), attribution_rule::limit_lowered,
        "operator nikos changed plan.concurrent_tasks of \"basic\" from 80 to 40 in version 812, 14 s before");
}

BOOST_FIXTURE_TEST_CASE(names_the_operator_who_set_a_bound_where_there_was_none, story)
{
    with(change(event_log::rules::planConcurrentTasks, "basic", "0", "40"));
    expect(refusedBound(event_log::rules::planConcurrentTasks, "40", "41"), attribution_rule::limit_lowered);
}

BOOST_FIXTURE_TEST_CASE(names_the_caller_when_the_earlier_bound_was_too_low_as_well, story)
{
    with(change(event_log::rules::planConcurrentTasks, "basic", "80", "40"));
    expect(refusedBound(event_log::rules::planConcurrentTasks, "40", "90"), attribution_rule::demand_above_both_limits);
}

BOOST_FIXTURE_TEST_CASE(names_the_caller_when_the_change_is_long_ago, story)
{
    auto old = change(event_log::rules::planConcurrentTasks, "basic", "80", "40");
    old.at = noon - 20min;
    with(old);
    expect(refusedBound(event_log::rules::planConcurrentTasks, "40", "41"), attribution_rule::demand_above_plan);
}

BOOST_FIXTURE_TEST_CASE(names_the_dispatcher_when_only_its_share_was_used_up, story)
{
    expect(refusedBound("share.concurrent_tasks", "10", "11"), attribution_rule::share_not_delivered);
}

BOOST_FIXTURE_TEST_CASE(names_the_platform_when_the_share_was_cut_off, story)
{
    with(happening(event_kind::vm_suspected, "entry-2"));
    expect(refusedBound("share.concurrent_tasks", "10", "11"), attribution_rule::domain_cut_off, "entry-2");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(for_services_and_customers)

BOOST_FIXTURE_TEST_CASE(names_the_operator_who_took_them_away, story)
{
    auto fault = problem(error_kind::service_not_in_plan, "basic");
    fault.value = "licence-check";
    expect(fault, attribution_rule::service_not_bought);
    with(change(event_log::rules::planServices, "basic", "licence-check,title-lookup", "title-lookup"));
    expect(fault, attribution_rule::service_removed, "nikos");
    with(change(event_log::rules::customerPlan, "kellari", "basic", ""));
    expect(problem(error_kind::unknown_customer), attribution_rule::customer_removed, "version 812");
}

BOOST_FIXTURE_TEST_CASE(does_not_know_for_a_customer_that_was_never_listed, story)
{
    expect(problem(error_kind::unknown_customer), attribution_rule::customer_never_listed);
    expect(problem(error_kind::no_such_service), attribution_rule::service_never_offered);
    BOOST_TEST(!event_log::rowOf(attribution_rule::customer_never_listed).responsible);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(for_work_that_can_not_start_in_time)

BOOST_FIXTURE_TEST_CASE(names_the_caller_or_the_dispatcher_when_nothing_was_lost, story)
{
    expect(problem(error_kind::deadline_unreachable), attribution_rule::demand_above_capacity);
    expect(problem(error_kind::queue_full), attribution_rule::demand_above_capacity);
    expect(problem(error_kind::deadline_passed_before_start), attribution_rule::late_after_admission);
}

BOOST_FIXTURE_TEST_CASE(names_the_worker_or_the_platform_that_was_lost, story)
{
    story ejected;
    ejected.with(happening(event_kind::worker_ejected, "worker-7"));
    ejected.expect(problem(error_kind::queue_full), attribution_rule::capacity_lost_to_workers, "worker-7");
    ejected.expect(problem(error_kind::no_worker), attribution_rule::workers_ejected, "worker-7");
    story left;
    left.with(happening(event_kind::vm_left, "worker-8"));
    left.expect(problem(error_kind::deadline_passed_before_start), attribution_rule::capacity_lost_to_platform, "worker-8");
    left.expect(problem(error_kind::no_worker), attribution_rule::workers_gone, "worker-8");
    expect(problem(error_kind::no_worker), attribution_rule::service_never_offered);
}

BOOST_FIXTURE_TEST_CASE(names_the_platform_for_a_slow_log, story)
{
    auto slow = happening(event_kind::log_failed, "journal.a");
    slow.elapsed = 800ms;
    with(slow);
    auto fault = problem(error_kind::deadline_passed_before_start);
    fault.elapsed = 1000ms;
    expect(fault, attribution_rule::slow_log, "800 ms of the 1000 ms");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(for_failed_tasks)

BOOST_FIXTURE_TEST_CASE(names_a_worker_that_fails_what_others_do_not, story)
{
    with(endedTask("worker-1", error_kind::task_failed), 5).with(endedTask("worker-2", std::nullopt), 20);
    expect(problem(error_kind::task_failed, "worker-1"), attribution_rule::worker_fails_all, "failed 5 of 5");
}

BOOST_FIXTURE_TEST_CASE(does_not_know_after_a_single_failure, story)
{
    with(endedTask("worker-1", error_kind::task_failed)).with(endedTask("worker-1", std::nullopt), 5);
    expect(problem(error_kind::task_failed, "worker-1"), attribution_rule::single_task_failure);
}

BOOST_FIXTURE_TEST_CASE(does_not_blame_a_worker_while_all_fail, story)
{
    with(endedTask("worker-1", error_kind::task_failed), 5).with(endedTask("worker-2", error_kind::task_failed), 5);
    expect(problem(error_kind::task_failed, "worker-1"), attribution_rule::single_task_failure);
}

BOOST_FIXTURE_TEST_CASE(names_one_unreachable_worker_but_the_platform_for_many, story)
{
    with(endedTask("worker-1", error_kind::worker_unreachable));
    expect(problem(error_kind::worker_unreachable, "worker-1"), attribution_rule::worker_connection);
    with(endedTask("worker-2", error_kind::worker_lost)).with(endedTask("worker-3", error_kind::worker_unreachable));
    expect(problem(error_kind::worker_unreachable, "worker-1"), attribution_rule::many_workers_unreachable);
}

BOOST_FIXTURE_TEST_CASE(names_the_worker_for_its_answers, story)
{
    expect(problem(error_kind::worker_refused, "worker-1"), attribution_rule::worker_answer);
    expect(problem(error_kind::worker_answer_invalid, "worker-1"), attribution_rule::worker_answer);
}

BOOST_FIXTURE_TEST_CASE(compares_a_long_run_with_other_workers, story)
{
    auto fault = problem(error_kind::deadline_passed_while_running, "worker-1");
    fault.limit = "1000";
    fault.elapsed = 1000ms;
    expect(fault, attribution_rule::run_longer_than_allowed);
    story slow;
    slow.with(endedTask("worker-2", std::nullopt, 100ms), 5);
    slow.expect(fault, attribution_rule::worker_slower_than_others);
    story longer;
    longer.with(endedTask("worker-2", std::nullopt, 1500ms), 5);
    longer.expect(fault, attribution_rule::time_limit_below_run_time);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(for_the_platform)

BOOST_FIXTURE_TEST_CASE(names_it_for_lost_vms_networks_and_logs, story)
{
    expect(problem(error_kind::claim_owner_lost), attribution_rule::vm_lost);
    expect(problem(error_kind::home_unreachable), attribution_rule::domain_cut_off);
    expect(problem(error_kind::log_answer_lost), attribution_rule::log_failing);
    expect(happening(event_kind::log_failed, "journal.a"), attribution_rule::log_failing);
    expect(happening(event_kind::takeover, "entry-2"), attribution_rule::vm_lost);
}

BOOST_FIXTURE_TEST_CASE(tells_a_failing_log_from_an_undecided_claim, story)
{
    expect(problem(error_kind::claim_unavailable), attribution_rule::claim_not_answered);
    with(happening(event_kind::log_failed, "journal.a"));
    expect(problem(error_kind::claim_unavailable), attribution_rule::log_failing);
    expect(problem(error_kind::configuration_missing), attribution_rule::log_failing);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(for_operators)

BOOST_FIXTURE_TEST_CASE(names_them_for_what_they_publish_and_stop, story)
{
    expect(problem(error_kind::publish_conflict), attribution_rule::operators_raced);
    expect(problem(error_kind::configuration_invalid), attribution_rule::configuration_rejected);
    expect(problem(error_kind::configuration_missing), attribution_rule::configuration_never_published);
    expect(problem(error_kind::settings_invalid), attribution_rule::settings_wrong);
    expect(problem(error_kind::shutdown_limit_reached), attribution_rule::stopped_before_the_end);
    auto fault = problem(error_kind::shutting_down);
    fault.vm.value = "entry-1";
    expect(fault, attribution_rule::vm_drained);
    with(happening(event_kind::vm_left, "entry-1"));
    expect(fault, attribution_rule::vm_withdrawn);
    with(happening(event_kind::shutdown_started, "entry-1"));
    expect(fault, attribution_rule::vm_drained, "14 s before");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(for_the_dispatcher)

BOOST_FIXTURE_TEST_CASE(names_itself_for_its_own_faults, story)
{
    expect(problem(error_kind::internal_error), attribution_rule::own_fault);
    expect(problem(error_kind::answer_dropped), attribution_rule::answer_not_kept);
    with(happening(event_kind::log_failed, "journal.a")).with(happening(event_kind::worker_ejected, "worker-1"));
    expect(problem(error_kind::internal_error), attribution_rule::own_fault);
}

BOOST_FIXTURE_TEST_CASE(does_not_know_whether_a_pause_was_its_own, story)
{
    expect(happening(event_kind::lease_lapsed, "entry-1"), attribution_rule::holder_paused);
    expect(happening(event_kind::entries_dropped, ""), attribution_rule::not_recorded);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(has_a_case_for_every_row_here)
{
    for (const auto& row : event_log::attributionTable())
        BOOST_TEST(shown().contains(row.rule), row.name << " is brought about by no case");
}

BOOST_AUTO_TEST_CASE(answers_for_every_kind_of_error)
{
    for (const auto& row : errorTable()) {
        const auto found = event_log::attribute(problem(row.kind), known);
        BOOST_TEST((found.rule != attribution_rule::own_fault || row.kind == error_kind::internal_error), row.name);
    }
}

BOOST_AUTO_TEST_SUITE_END()
