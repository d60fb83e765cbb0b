// Checks when trials of suspected tasks may start.
#include <boost/test/unit_test.hpp>

#include "cells/trial_gate.h"

using namespace coriandermount;
using namespace coriandermount::cells;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(a_trial_gate)

BOOST_AUTO_TEST_CASE(lets_one_trial_start_at_a_time_and_none_beside_losses_of_workers)
{
    const time_point now { 1h };
    trial_gate gate;
    BOOST_TEST(gate.isOpen(now));
    gate.noteStart({ { "worker" }, 1, now });
    BOOST_TEST(gate.isOn({ "worker" }));
    BOOST_TEST(!gate.isOpen(now + 10s));
    gate.noteEnd();
    BOOST_TEST(gate.isOpen(now + 10ms));
    gate.noteFall(now + 20ms);
    BOOST_TEST(!gate.isOpen(now + 100ms));
    BOOST_TEST(gate.isOpen(now + 150ms));
}

// Guards against sound jobs that wait without end while workers are lost all the time.
BOOST_AUTO_TEST_CASE(opens_after_a_while_although_workers_are_lost_all_the_time)
{
    const time_point now { 1h };
    trial_gate gate;
    gate.noteStart({ { "worker" }, 1, now });
    gate.noteEnd();
    for (auto passed = 0ms; passed < 1s; passed += 50ms) {
        gate.noteFall(now + passed);
        BOOST_TEST(!gate.isOpen(now + passed));
    }
    BOOST_TEST(gate.isOpen(now + 1s));
}

BOOST_AUTO_TEST_SUITE_END()
