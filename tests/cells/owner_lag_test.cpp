// An owner is to know that it lags, and not to take the slowness of workers or of the network for its own.
#include <boost/test/unit_test.hpp>

#include "cells/owner_lag.h"

using namespace coriandermount;
using namespace std::chrono_literals;

namespace {

struct measured_lag {
    /// Ticks every `tickGap` and handles answers of age `answerAge` every 5 ms for `duration`.
    void pass(std::chrono::milliseconds duration, std::chrono::milliseconds tickGap, std::chrono::milliseconds answerAge)
    {
        for (const time_point end = now + duration; now < end; now += 5ms) {
            if (now >= nextTick) {
                lag.noteTick(now);
                nextTick = now + tickGap;
            }
            lag.noteAnswer(now, answerAge);
        }
    }

    cells::owner_lag lag;
    time_point now { 1h };
    time_point nextTick = now;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(lag_of_an_owner, measured_lag)

BOOST_AUTO_TEST_CASE(is_none_while_ticks_come_in_time)
{
    pass(1s, 10ms, 4ms);
    BOOST_TEST(lag.value(now).count() == 0);
}

// Guards against jobs that are refused because the workers are slow.
BOOST_AUTO_TEST_CASE(is_not_the_slowness_of_workers)
{
    pass(1s, 10ms, 4ms);
    pass(1s, 10ms, 400ms);
    BOOST_TEST(lag.value(now).count() == 0);
    pass(1s, 30ms, 400ms);
    BOOST_TEST(lag.value(now).count() <= 40);
}

// Guards against jobs that are refused because of a single pause.
BOOST_AUTO_TEST_CASE(is_not_a_single_pause)
{
    pass(1s, 10ms, 4ms);
    now += 500ms;
    lag.noteTick(now);
    BOOST_TEST(lag.value(now).count() == 0);
}

BOOST_AUTO_TEST_CASE(is_the_lateness_of_ticks)
{
    pass(1s, 10ms, 4ms);
    pass(1s, 250ms, 4ms);
    BOOST_TEST(lag.value(now).count() >= 150);
    BOOST_TEST(lag.value(now).count() <= 250);
}

// Guards against an owner whose ticks get their turn while its answers wait.
BOOST_AUTO_TEST_CASE(is_the_age_of_answers_that_grows_with_the_lateness_of_ticks)
{
    pass(1s, 10ms, 4ms);
    pass(1s, 80ms, 200ms);
    BOOST_TEST(lag.value(now).count() >= 150);
    BOOST_TEST(lag.value(now).count() <= 200);
}

BOOST_AUTO_TEST_CASE(ends_with_its_cause)
{
    pass(1s, 10ms, 4ms);
    pass(1s, 250ms, 600ms);
    pass(300ms, 10ms, 4ms);
    BOOST_TEST(lag.value(now).count() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
