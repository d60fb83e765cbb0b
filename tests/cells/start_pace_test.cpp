// Limit on the starts of an owner that lags.
#include <boost/test/unit_test.hpp>

#include "cells/start_pace.h"

using namespace coriandermount;
using namespace std::chrono_literals;

namespace {

struct paced_owner {
    /// Sends and answers a start every `interval` for `duration`, with the given lag.
    void pass(std::chrono::milliseconds duration, std::chrono::milliseconds interval, std::chrono::milliseconds lag, bool held)
    {
        time_point nextStart = now;
        for (const time_point end = now + duration; now < end; now += 1ms) {
            if (now >= nextStart) {
                pace.noteStart();
                pace.noteEnd(now, true);
                nextStart = now + interval;
            }
            if (held && pace.isLimited())
                pace.noteHeld(now);
            pace.update(now, lag);
        }
    }

    cells::start_pace pace;
    time_point now { 1h };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(pace_of_starts, paced_owner)

BOOST_AUTO_TEST_CASE(has_no_limit_without_lag)
{
    pass(1s, 5ms, 0ms, false);
    for (int number = 0; number < 10000; ++number)
        pace.noteStart();
    BOOST_TEST(!pace.isLimited());
    BOOST_TEST(pace.hasRoom());
    BOOST_TEST(pace.timeUntilDone(1000).count() == 0);
}

BOOST_AUTO_TEST_CASE(is_what_the_owner_gets_done)
{
    pass(1s, 5ms, 150ms, true);
    BOOST_TEST(pace.isLimited());
    BOOST_TEST(pace.startsPerSecond() > 180);
    BOOST_TEST(pace.startsPerSecond() < 220);
    BOOST_TEST(pace.timeFor(100).count() > 450000);
    BOOST_TEST(pace.timeFor(100).count() < 550000);
    int sent = 0;
    for (; pace.hasRoom(); ++sent)
        pace.noteStart();
    BOOST_TEST(sent >= 8);
    BOOST_TEST(sent <= 20);
}

// Guards against a limit that falls with the load: the next jobs would be refused although there is processor time.
BOOST_AUTO_TEST_CASE(does_not_follow_the_load)
{
    pass(1s, 5ms, 150ms, true);
    pass(600ms, 50ms, 0ms, false);
    BOOST_TEST(pace.startsPerSecond() > 180);
}

BOOST_AUTO_TEST_CASE(ends_once_nothing_has_had_to_wait)
{
    pass(1s, 5ms, 150ms, true);
    pass(1200ms, 5ms, 0ms, false);
    BOOST_TEST(!pace.isLimited());
}

BOOST_AUTO_TEST_SUITE_END()
