// Tests how long a VM that was told to stop goes on.
#include <boost/test/unit_test.hpp>

#include "cells/orderly_stop.h"

using namespace coriandermount;
using namespace coriandermount::cells;
using namespace std::chrono_literals;

namespace {

const time_point start(1h);

} // namespace

BOOST_AUTO_TEST_SUITE(an_orderly_stop)

BOOST_AUTO_TEST_CASE(goes_on_until_the_load_balancer_has_noticed)
{
    const orderly_stop stop(start, 6000ms);
    BOOST_TEST(!stop.mayEnd(start + 2500ms, 0, false));
    BOOST_TEST(stop.mayEnd(start + 2600ms, 0, false));
}

BOOST_AUTO_TEST_CASE(goes_on_while_callers_wait_or_the_cell_is_owned)
{
    const orderly_stop stop(start, 6000ms);
    BOOST_TEST(!stop.mayEnd(start + 4s, 1, false));
    BOOST_TEST(!stop.mayEnd(start + 4s, 0, true));
}

BOOST_AUTO_TEST_CASE(ends_before_the_grace_period_and_leaves_time_to_hand_the_cell_over)
{
    const orderly_stop stop(start, 6000ms);
    BOOST_TEST(stop.mayEnd(start + 5400ms, 1, true));
    BOOST_TEST((stop.preferenceLimit() > start + 4500ms));
    BOOST_TEST((stop.preferenceLimit() <= start + 5000ms));
}

// Guards against callers that are answered so late that no later owner can be told of their jobs.
BOOST_AUTO_TEST_CASE(answers_all_callers_before_it_has_to_end)
{
    const orderly_stop stop(start, 6000ms);
    BOOST_TEST(!stop.mayEnd(stop.answerLimit() + 200ms, 1, false));
    BOOST_TEST((stop.answerLimit() > start + 4500ms));
}

BOOST_AUTO_TEST_SUITE_END()
