// Tests that a pause of the process is told from its usual rhythm.
#include <boost/test/unit_test.hpp>

#include "core/pause_monitor.h"

using namespace coriandermount;
using namespace std::chrono_literals;

namespace {

struct running_process {
    void runFor(std::chrono::milliseconds duration)
    {
        for (const time_point end = now + duration; now < end; now += 10ms)
            BOOST_TEST(monitor.noteRunning(now).count() == 0);
    }

    time_point now { 1h };
    pause_monitor monitor;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_pause_monitor, running_process)

BOOST_AUTO_TEST_CASE(reports_no_pause_of_a_process_that_runs)
{
    runFor(2s);
    BOOST_TEST(!monitor.isSettling(now));
    now += pause_monitor::shortestPause - 20ms;
    BOOST_TEST(monitor.noteRunning(now).count() == 0);
    BOOST_TEST(!monitor.isSettling(now));
}

BOOST_AUTO_TEST_CASE(reports_a_pause_once_and_settles)
{
    runFor(1s);
    now += 3s;
    BOOST_TEST((monitor.noteRunning(now) >= 3s));
    BOOST_TEST(monitor.isSettling(now));
    const time_point resumed = now;
    runFor(pause_monitor::settleTime - 10ms);
    BOOST_TEST(monitor.isSettling(resumed + pause_monitor::settleTime - 1ms));
    BOOST_TEST(!monitor.isSettling(resumed + pause_monitor::settleTime));
}

BOOST_AUTO_TEST_CASE(ignores_a_time_that_was_read_before_the_pause)
{
    runFor(1s);
    const time_point before = now;
    now += 3s;
    (void)monitor.noteRunning(now);
    BOOST_TEST(monitor.noteRunning(before).count() == 0);
    BOOST_TEST(monitor.noteRunning(now + 1ms).count() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
