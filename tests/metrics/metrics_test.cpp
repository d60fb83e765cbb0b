// Guards against reasons of refusals, failures and retries without a counter, and against a number of time series that grows with
// the number of plans.
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "metrics/metrics.h"

using namespace coriandermount;

namespace {

std::size_t countLinesStartingWith(const std::string& text, const std::string& prefix)
{
    std::size_t count = 0;
    for (std::size_t position = text.find("\n" + prefix); position != std::string::npos;
         position = text.find("\n" + prefix, position + 1))
        ++count;
    return count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_metrics)

BOOST_AUTO_TEST_CASE(count_each_refusal_and_failure)
{
    metrics::registry registry;
    for (const auto& row : errorTable()) {
        registry.count(row.kind);
        registry.countTaskFailure(row.kind);
        const std::string text = registry.expose();
        BOOST_TEST_CONTEXT(row.name)
        {
            const auto expected = fmt::format(
                "outcome=\"{}\",party=\"{}\",reason=\"{}\"}} 1", nameOf(row.result), nameOf(row.responsible), row.name);
            BOOST_TEST(text.find("coriandermount_errors_total{" + expected) != std::string::npos);
            BOOST_TEST(text.find(fmt::format("coriandermount_task_failures_total{{party=\"{}\",reason=\"{}\"}} 1",
                           nameOf(row.responsible), row.name))
                != std::string::npos);
        }
    }
}

BOOST_AUTO_TEST_CASE(count_each_decision)
{
    metrics::registry registry;
    const auto last = static_cast<int>(metrics::decision_counter::worker_probed);
    for (int value = 0; value <= last; ++value) {
        const auto counter = static_cast<metrics::decision_counter>(value);
        registry.count(counter);
        BOOST_TEST(
            registry.expose().find(fmt::format("coriandermount_decisions_total{{decision=\"{}\"}} 1", metrics::nameOf(counter)))
            != std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(bound_the_number_of_plan_series)
{
    metrics::registry registry;
    for (std::size_t plan = 0; plan < 3 * metrics::maxPlanSeries; ++plan) {
        registry.countPlanRefusal({ fmt::format("plan-{}", plan) }, error_kind::queue_full);
        registry.setPlanGauges({ fmt::format("plan-{}", plan) }, 1, 2, 3);
    }
    const std::string text = registry.expose();
    BOOST_TEST(countLinesStartingWith(text, "coriandermount_plan_refusals_total{") == metrics::maxPlanSeries + 1);
    BOOST_TEST(countLinesStartingWith(text, "coriandermount_plan_running_tasks{") == metrics::maxPlanSeries);
    BOOST_TEST(
        text.find(fmt::format("plan=\"(other)\",reason=\"queue_full\"}} {}", 2 * metrics::maxPlanSeries)) != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
