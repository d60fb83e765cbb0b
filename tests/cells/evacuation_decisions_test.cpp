// Checks the decisions about evacuated cells without a network: until when tasks may start, how the capacity of cells and workers
// comes back, and which cell takes a job.
#include <boost/test/unit_test.hpp>

#include "cells/evacuation.h"

using namespace coriandermount;
using namespace coriandermount::cells;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(an_evacuation)

BOOST_AUTO_TEST_SUITE(without_a_network)

BOOST_AUTO_TEST_CASE(started_jobs_may_go_on_for_a_part_of_the_bound)
{
    // Guards against starts after the bound by an owner that has learned of the request late, as it counts from the last reading
    // that did not contain it.
    cell_evacuation evacuation(5s);
    const time_point lastRead(10s);
    BOOST_TEST(evacuation.update(true, lastRead, lastRead + 2s));
    BOOST_TEST(!evacuation.update(true, lastRead + 2s, lastRead + 3s));
    BOOST_TEST(evacuation.allowsStartedJobs(lastRead + 3400ms));
    BOOST_TEST(!evacuation.allowsStartedJobs(lastRead + 3500ms));
    BOOST_TEST((evacuation.phase(lastRead + 3600ms) == evacuation_phase::evacuated));
}

BOOST_AUTO_TEST_CASE(nothing_starts_after_a_first_reading_that_shows_the_request)
{
    // Guards against a new boot that takes a request of any age for a new one.
    cell_evacuation evacuation(5s);
    const time_point firstRead(10s);
    BOOST_TEST(evacuation.update(true, std::nullopt, firstRead));
    BOOST_TEST(!evacuation.allowsStartedJobs(firstRead));
}

BOOST_AUTO_TEST_CASE(a_cell_that_returns_gets_its_capacity_back_over_the_ramp)
{
    cell_evacuation evacuation(5s);
    const time_point begin(10s);
    evacuation.update(true, begin, begin);
    evacuation.update(false, begin + 7s, begin + 8s);
    BOOST_TEST(evacuation.usableShare(begin + 8s) == returnShare);
    BOOST_TEST(evacuation.usableShare(begin + 9s) > 0.5);
    BOOST_TEST(evacuation.usableShare(begin + 9s) < 0.6);
    BOOST_TEST(evacuation.usableShare(begin + 10s) == 1.0);
    BOOST_TEST((evacuation.phase(begin + 9s) == evacuation_phase::returning));
}

BOOST_AUTO_TEST_CASE(a_cold_worker_gets_more_as_it_warms_up)
{
    // Guards against a returning domain whose workers are counted with a capacity that they do not have yet.
    worker_warmup warmup;
    const time_point begin(10s);
    BOOST_TEST(warmup.usableShare(begin) == 1.0);
    warmup.note(4s, begin);
    BOOST_TEST(warmup.usableShare(begin) < 0.3);
    warmup.note(2s, begin + 2s);
    const double half = warmup.usableShare(begin + 2s);
    BOOST_TEST(half > 0.5);
    BOOST_TEST(half < 0.7);
    BOOST_TEST(warmup.usableShare(begin + 4s) == 1.0);
}

BOOST_AUTO_TEST_CASE(a_job_goes_to_the_cell_with_most_room_and_else_to_the_shortest_queue)
{
    // Guards against moved load that is put on a cell with a queue while another one is idle.
    BOOST_TEST(!chooseRelocationTarget({}, 8000).has_value());
    BOOST_TEST(*chooseRelocationTarget({ { 1, 20000, 0ms }, { 2, 40000, 0ms }, { 3, 0, 0ms } }, 8000) == 2U);
    BOOST_TEST(*chooseRelocationTarget({ { 1, 4000, 30ms }, { 2, 0, 200ms } }, 8000) == 1U);
    BOOST_TEST(*chooseRelocationTarget({ { 1, 0, 300ms }, { 2, 0, 200ms } }, 8000) == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
