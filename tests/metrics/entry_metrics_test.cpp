// Guards against refusals of which nobody can tell whether they came early or late.
#include <boost/test/unit_test.hpp>

#include "metrics/entry_metrics.h"

using namespace coriandermount;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(the_metrics_of_an_entry_vm)

BOOST_AUTO_TEST_CASE(tell_how_much_of_a_callers_time_had_passed_at_an_error)
{
    metrics::entry_metrics metrics;
    metrics.recordAnswer(std::nullopt, 400ms, 1500ms);
    metrics.recordAnswer(error_kind::overloaded, 30ms, 1500ms);
    metrics.recordAnswer(error_kind::overloaded, 1400ms, 1500ms);
    const std::string text = metrics.serialize({});
    const std::string series = "coriandermount_error_time_used_ratio_bucket{reason=\"overloaded\",le=\"";
    BOOST_TEST(text.find(series + "0.1\"} 1\n") != std::string::npos);
    BOOST_TEST(text.find(series + "0.9\"} 1\n") != std::string::npos);
    BOOST_TEST(text.find(series + "1\"} 2\n") != std::string::npos);
    BOOST_TEST(text.find("coriandermount_error_time_used_ratio_bucket{reason=\"ok\"") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(tell_why_and_when_an_owner_refused_jobs)
{
    const metrics::entry_metrics metrics;
    const std::string text
        = metrics.serialize({ { "jobs_refused_by_time_used_total", "expected_too_late", 3, "up_to_10_percent" } });
    BOOST_TEST(
        text.find(
            "coriandermount_jobs_refused_by_time_used_total{reason=\"expected_too_late\",time_used=\"up_to_10_percent\"} 3\n")
        != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
