// Tests that log lines of one kind are limited per second, and that the suppressed lines are counted.
#include <boost/test/unit_test.hpp>

#include "core/log_rate_limiter.h"

using namespace coriandermount;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(a_log_rate_limiter)

BOOST_AUTO_TEST_CASE(limits_the_lines_of_a_kind_per_second_and_reports_the_suppressed_ones)
{
    log_rate_limiter limiter(2);
    const time_point start(1h);
    BOOST_TEST(limiter.admit("refused", start).allowed);
    BOOST_TEST(limiter.admit("refused", start + 1ms).allowed);
    BOOST_TEST(!limiter.admit("refused", start + 2ms).allowed);
    BOOST_TEST(!limiter.admit("refused", start + 999ms).allowed);
    const auto next = limiter.admit("refused", start + 1s);
    BOOST_TEST(next.allowed);
    BOOST_TEST(next.suppressed == 2U);
    BOOST_TEST(limiter.admit("refused", start + 2s).suppressed == 0U);
}

BOOST_AUTO_TEST_CASE(limits_each_kind_separately)
{
    log_rate_limiter limiter(1);
    const time_point start(1h);
    BOOST_TEST(limiter.admit("refused", start).allowed);
    BOOST_TEST(limiter.admit("lent", start).allowed);
    BOOST_TEST(!limiter.admit("lent", start).allowed);
}

BOOST_AUTO_TEST_SUITE_END()
