// Bounded log volume.
#include <boost/test/unit_test.hpp>

#include "core/log_rate_limiter.h"

using namespace coriandermount;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(a_log_budget)

BOOST_AUTO_TEST_CASE(lets_no_more_lines_of_a_kind_pass_in_a_second_and_tells_how_many_were_left_out)
{
    log_rate_limiter budget(2);
    const time_point start(1h);
    BOOST_TEST(budget.admit("refused", start).allowed);
    BOOST_TEST(budget.admit("refused", start + 1ms).allowed);
    BOOST_TEST(!budget.admit("refused", start + 2ms).allowed);
    BOOST_TEST(!budget.admit("refused", start + 999ms).allowed);
    const auto next = budget.admit("refused", start + 1s);
    BOOST_TEST(next.allowed);
    BOOST_TEST(next.suppressed == 2U);
    BOOST_TEST(budget.admit("refused", start + 2s).suppressed == 0U);
}

BOOST_AUTO_TEST_CASE(counts_each_kind_by_itself)
{
    log_rate_limiter budget(1);
    const time_point start(1h);
    BOOST_TEST(budget.admit("refused", start).allowed);
    BOOST_TEST(budget.admit("lent", start).allowed);
    BOOST_TEST(!budget.admit("lent", start).allowed);
}

BOOST_AUTO_TEST_SUITE_END()
