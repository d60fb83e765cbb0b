// Tests limit changes, activity, fault totals, explanations and the status page, without sockets.
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "event_log/explanation.h"
#include "event_log/rules.h"
#include "explain/activity_history.h"
#include "explain/fault_totals.h"
#include "explain/limit_changes.h"
#include "explain/node_status.h"

using namespace coriandermount;
using namespace std::chrono_literals;
using event_log::event_kind;

namespace {

const wall_time noon { 1796385600000ms };

configuration::snapshot configurationWith(std::uint64_t version, std::uint32_t concurrentTasks)
{
    configuration::snapshot value;
    value.version = version;
    value.author = "nikos";
    value.customers[{ "kellari" }] = { "basic" };
    value.plans[{ "basic" }].concurrentTasks = concurrentTasks;
    value.plans[{ "basic" }].services = { { "echo" }, { "sleep" } };
    return value;
}

/// Builds the events of one job, with ascending times and sequence numbers.
class job_events {
public:
    const job_key key { { "kellari" }, "job-1", noon };

    event_log::event& add(event_kind kind, std::chrono::microseconds elapsed = 0us, std::chrono::microseconds elapsedPart = 0us)
    {
        auto& entry = events.emplace_back();
        entry.kind = kind;
        entry.job = key;
        entry.vm.value = "entry-1";
        entry.at = noon + std::chrono::milliseconds(events.size());
        entry.sequence = events.size();
        entry.elapsed = elapsed;
        entry.elapsedPart = elapsedPart;
        return entry;
    }

    std::vector<event_log::event> events;
};

} // namespace

BOOST_AUTO_TEST_SUITE(limit_changes)

BOOST_AUTO_TEST_CASE(records_one_event_for_each_change)
{
    auto before = configurationWith(811, 80);
    auto after = configurationWith(812, 40);
    after.plans[{ "basic" }].services = { { "echo" } };
    after.customers.clear();
    after.customers[{ "laulukaar" }] = { "basic" };
    const auto changes = explain::computeLimitChanges(before, after);
    BOOST_REQUIRE_EQUAL(changes.size(), 4U);
    BOOST_TEST(changes[0].rule == event_log::rules::planConcurrentTasks);
    BOOST_TEST(changes[0].limit == "80");
    BOOST_TEST(changes[0].value == "40");
    BOOST_TEST(changes[0].author == "nikos");
    BOOST_TEST(changes[0].configurationVersion == 812U);
    BOOST_TEST(changes[1].limit == "echo,sleep");
    BOOST_TEST(changes[2].subject == "kellari");
    BOOST_TEST(changes[2].value == "");
    BOOST_TEST(changes[3].subject == "laulukaar");
}

BOOST_AUTO_TEST_CASE(records_no_event_without_a_change)
{
    BOOST_TEST(explain::computeLimitChanges(configurationWith(811, 80), configurationWith(812, 80)).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(time_breakdown_of_a_job, job_events)

BOOST_AUTO_TEST_CASE(follows_the_task_that_ended_last)
{
    add(event_kind::job_received);
    add(event_kind::job_claimed, 700us);
    add(event_kind::job_dispatched, 100us);
    add(event_kind::job_admitted);
    add(event_kind::task_placed, 200us).task = 0;
    add(event_kind::task_placed, 50000us).task = 1;
    add(event_kind::task_answered, 10000us, 9000us).task = 0;
    add(event_kind::task_answered, 20000us, 19000us).task = 1;
    add(event_kind::job_answered, 70900us, 100us);
    const auto time = event_log::computeTimeBreakdown(events);
    BOOST_REQUIRE(time);
    BOOST_TEST(time->claim.count() == 700);
    BOOST_TEST(time->dispatch.count() == 200);
    BOOST_TEST(time->queue.count() == 50000);
    BOOST_TEST(time->network.count() == 1000);
    BOOST_TEST(time->worker.count() == 19000);
    BOOST_TEST(time->unaccounted.count() == 0);
    BOOST_TEST(*time->task == 1U);
}

BOOST_AUTO_TEST_CASE(counts_failed_starts_as_network_and_not_as_queue)
{
    add(event_kind::job_dispatched);
    add(event_kind::job_admitted);
    add(event_kind::task_placed, 1000us).task = 0;
    add(event_kind::task_retried, 3000us).task = 0;
    add(event_kind::task_placed, 6000us).task = 0;
    add(event_kind::task_answered, 5000us, 4000us).task = 0;
    add(event_kind::job_answered, 11000us);
    const auto time = event_log::computeTimeBreakdown(events);
    BOOST_TEST(time->queue.count() == 3000);
    BOOST_TEST(time->network.count() == 4000);
    BOOST_TEST(time->worker.count() == 4000);
    BOOST_TEST(time->unaccounted.count() == 0);
}

BOOST_AUTO_TEST_CASE(counts_a_job_that_never_started_as_queue_time)
{
    add(event_kind::job_claimed, 500us);
    add(event_kind::job_dispatched, 100us);
    add(event_kind::job_admitted);
    add(event_kind::job_answered, 100000us, 50us).problem = error_kind::deadline_passed_before_start;
    const auto time = event_log::computeTimeBreakdown(events);
    BOOST_TEST(time->queue.count() == 99350);
    BOOST_TEST(time->unaccounted.count() == 0);
}

BOOST_AUTO_TEST_CASE(is_absent_while_the_job_is_open)
{
    add(event_kind::job_received);
    BOOST_TEST(!event_log::computeTimeBreakdown(events).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(job_explanation, job_events)

BOOST_AUTO_TEST_CASE(removes_duplicates_from_memory_and_log)
{
    add(event_kind::job_received);
    add(event_kind::job_answered, 1000us);
    auto duplicated = events;
    duplicated.insert(duplicated.end(), events.begin(), events.end());
    const auto found = event_log::explain(key, duplicated, {}, {});
    BOOST_REQUIRE(found);
    BOOST_TEST(found->steps.size() == 2U);
    BOOST_TEST((found->result == outcome::done));
}

BOOST_AUTO_TEST_CASE(merges_the_answer_with_its_cause)
{
    auto& refused = add(event_kind::job_refused);
    refused.problem = error_kind::plan_concurrency_exceeded;
    refused.subject = "basic";
    refused.rule = event_log::rules::planConcurrentTasks;
    refused.limit = "40";
    refused.value = "41";
    add(event_kind::job_answered, 1000us).problem = error_kind::plan_concurrency_exceeded;
    event_log::event change;
    change.kind = event_kind::limit_changed;
    change.at = noon - 14s;
    change.subject = "basic";
    change.rule = event_log::rules::planConcurrentTasks;
    change.limit = "80";
    change.value = "40";
    change.author = "nikos";
    change.configurationVersion = 812;
    event_log::evidence known;
    known.add(change);
    const auto found = event_log::explain(key, events, known, {});
    BOOST_REQUIRE(found);
    BOOST_REQUIRE(found->fault);
    BOOST_TEST((found->fault->responsible() == party::operators));
    const auto text = event_log::explanationText(*found);
    BOOST_TEST(text.find("operator nikos changed plan.concurrent_tasks of \"basic\" from 80 to 40 in version 812, 14 s before")
        != std::string::npos);
    BOOST_TEST(text.find("with plan.concurrent_tasks at 80 the work would have been admitted") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(counts_the_queried_sources_for_an_unknown_job)
{
    const auto found = event_log::explain(key, {}, {}, { { "entry-1" }, { "entry-1" }, { "entry-2" }, { "journal.a" }, {} });
    BOOST_REQUIRE(!found);
    BOOST_TEST(found.error().detail.find("1 VMs did not answer") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(shortens_only_the_text_form)
{
    for (std::uint32_t task = 0; task < 260; ++task)
        add(event_kind::task_placed, 1us).task = task;
    const auto found = event_log::explain(key, events, {}, {});
    BOOST_TEST(event_log::explanationText(*found).find("... 200 more") != std::string::npos);
    BOOST_TEST(found->steps.size() == 260U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(vm_status)

BOOST_AUTO_TEST_CASE(converts_totals_to_values_per_second)
{
    explain::activity_history history;
    history.sample(noon, { 10, 5, 0, 0 }, 3);
    history.sample(noon + 500ms, { 15, 9, 0, 0 }, 4);
    history.sample(noon + 1000ms, { 30, 20, 2, 1 }, 7);
    for (int second = 2; second < 400; ++second)
        history.sample(noon + std::chrono::seconds(second), { 30, 20, 2, 1 }, 0);
    const auto seconds = history.seconds();
    BOOST_TEST(seconds.size() == explain::activity_history::keptSeconds);
    explain::activity_history shortHistory;
    shortHistory.sample(noon, { 10, 5, 0, 0 }, 3);
    shortHistory.sample(noon + 1s, { 30, 20, 2, 1 }, 7);
    BOOST_REQUIRE_EQUAL(shortHistory.seconds().size(), 1U);
    BOOST_TEST(shortHistory.seconds()[0].arrivals == 20U);
    BOOST_TEST(shortHistory.seconds()[0].starts == 15U);
    BOOST_TEST(shortHistory.seconds()[0].queued == 7U);
}

BOOST_AUTO_TEST_CASE(escapes_names_in_the_status_page)
{
    explain::node_status status;
    status.vm.value = "<script>";
    status.configurationAuthor = "a&b";
    status.workers = std::make_shared<const worker_table>();
    status.fleet = std::make_shared<const fleet_view>();
    status.demand = std::make_shared<const quota::demand>();
    status.shares = std::make_shared<const quota::share_snapshot>();
    status.seconds = { { noon, 5, 4, 1, 0, 2 }, { noon + 1s, 50, 40, 1, 0, 20 } };
    event_log::fault_key key;
    key.rule = event_log::attribution_rule::worker_fails_all;
    status.faults[key] = 12;
    const auto page = explain::statusPage(status);
    BOOST_TEST(page.find("<script>") == std::string::npos);
    BOOST_TEST(page.find("&lt;script&gt;") != std::string::npos);
    BOOST_TEST(page.find("a&amp;b") != std::string::npos);
    BOOST_TEST(page.find("<polyline") != std::string::npos);
    BOOST_TEST(page.find("<td>worker</td>") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(computes_totals_and_the_dispatcher_share)
{
    event_log::fault_counts counts;
    event_log::fault_key key;
    key.rule = event_log::attribution_rule::own_fault;
    key.customer.value = "kellari";
    counts[key] = 1;
    key.rule = event_log::attribution_rule::demand_above_plan;
    counts[key] = 3;
    const auto totals = explain::computeTotals(counts);
    BOOST_TEST(totals.total == 4U);
    BOOST_TEST(totals.parties.at("caller") == 3U);
    BOOST_TEST(totals.customers.at("kellari") == 4U);
    BOOST_TEST(totals.dispatcherShare() == 0.25);
}

BOOST_AUTO_TEST_SUITE_END()
