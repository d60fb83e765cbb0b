// Checks when trials of suspected tasks may start.
#include <boost/test/unit_test.hpp>

#include "cells/trial_gate.h"

using namespace coriandermount;
using namespace coriandermount::cells;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(a_trial_gate)

BOOST_AUTO_TEST_CASE(lets_few_trials_run_at_a_time_and_none_start_beside_losses_of_other_workers)
{
    const time_point now { 1h };
    const worker_id first { "first" };
    trial_gate gate;
    BOOST_TEST(gate.isOpen(10, now));
    gate.noteStart(first, { 1, now });
    BOOST_TEST(!gate.isOpen(10, now));
    BOOST_TEST(gate.isOpen(16, now));
    gate.noteFall(first, now + 10ms);
    gate.noteEnd(first);
    BOOST_TEST(gate.isOpen(10, now + 10ms));
    gate.noteFall({ "other" }, now + 60ms);
    BOOST_TEST(!gate.isOpen(10, now + 100ms));
    BOOST_TEST(gate.isOpen(10, now + 160ms));
}

// Guards against sound jobs that wait without end while workers are lost all the time.
BOOST_AUTO_TEST_CASE(opens_once_a_second_although_workers_are_lost_all_the_time)
{
    const time_point now { 1h };
    const worker_id worker { "worker" };
    trial_gate gate;
    gate.noteStart(worker, { 1, now });
    gate.noteEnd(worker);
    for (auto passed = 50ms; passed < 1s; passed += 50ms) {
        gate.noteFall({ "other" }, now + passed);
        BOOST_TEST(!gate.isOpen(10, now + passed));
    }
    BOOST_TEST(gate.isOpen(10, now + 1s));
}

BOOST_AUTO_TEST_SUITE_END()
