// Guards against callers that were taken on and are overtaken until they can't be served any more.
#include <array>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "cells/start_plan.h"

using namespace coriandermount;
using namespace coriandermount::cells;
using namespace std::chrono_literals;

namespace {

constexpr time_point now { 1h };

planned_job jobOf(
    std::uint32_t priority, std::chrono::milliseconds order, std::chrono::milliseconds service, std::chrono::milliseconds latest)
{
    return { { priority, now + order }, service, now + latest };
}

std::chrono::milliseconds waitAt(const start_plan& plan, const planned_job& job)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(plan.waitAt(plan.positionFor(job), now));
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_plan_of_starts)

BOOST_AUTO_TEST_CASE(lets_an_urgent_job_overtake_one_with_time)
{
    start_plan plan(now);
    plan.add(jobOf(1, 500ms, 100ms, 500ms));
    BOOST_TEST(waitAt(plan, jobOf(1, 50ms, 20ms, 50ms)).count() == 0);
}

BOOST_AUTO_TEST_CASE(keeps_a_job_that_has_no_time_left_in_its_place)
{
    start_plan plan(now);
    plan.add(jobOf(1, 10ms, 100ms, 10ms));
    plan.add(jobOf(1, 500ms, 100ms, 110ms));
    BOOST_TEST(waitAt(plan, jobOf(1, 50ms, 20ms, 50ms)).count() == 200);
}

BOOST_AUTO_TEST_CASE(lets_a_higher_priority_overtake_any_job)
{
    start_plan plan(now);
    plan.add(jobOf(2, 0ms, 100ms, 0ms));
    BOOST_TEST(waitAt(plan, jobOf(1, 500ms, 20ms, 500ms)).count() == 0);
}

BOOST_AUTO_TEST_CASE(expects_starts_at_points_in_time)
{
    start_plan plan(now);
    plan.add(jobOf(1, 0ms, 100ms, 1s));
    BOOST_TEST((plan.waitAt({ 1, now + 1ms }, now + 40ms) == 60ms));
    BOOST_TEST((plan.waitAt({ 1, now + 1ms }, now + 200ms) == 0ms));
    BOOST_TEST((plan.drainTime(now + 40ms) == 60ms));
}

BOOST_AUTO_TEST_CASE(breaks_no_promise_to_jobs_of_the_same_priority)
{
    const auto kept = [](const std::vector<std::array<std::uint8_t, 3>>& arrivals) {
        start_plan plan(now);
        std::vector<planned_job> taken;
        for (const auto& [order, service, slack] : arrivals) {
            planned_job job = jobOf(1, std::chrono::milliseconds(order), std::chrono::milliseconds(service),
                std::chrono::milliseconds(order + slack));
            job.position = plan.positionFor(job);
            if (now + plan.waitAt(job.position, now) > job.latestStart)
                continue;
            plan.add(job);
            taken.push_back(job);
        }
        for (const planned_job& job : taken) {
            // The last one at a position starts after all others there.
            const auto place = start_position { job.position.priority, job.position.order - time_point::duration(1) };
            RC_ASSERT(now + plan.waitAt(place, now) <= job.latestStart);
        }
    };
    BOOST_TEST(rc::check("no job that is taken on starts later than it was promised", kept));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_load_that_arrives)

BOOST_AUTO_TEST_CASE(is_known_by_priority_and_by_the_time_that_its_jobs_may_wait)
{
    arriving_load load;
    for (int number = 0; number < 4000; ++number)
        load.add({ 1, 60ms }, 1ms, now + number * 2ms);
    const time_point end = now + 8s;
    BOOST_TEST(load.ofPriority(1, end) > 0.45);
    BOOST_TEST(load.ofPriority(1, end) < 0.55);
    BOOST_TEST(load.abovePriority(1, end) == 0);
    BOOST_TEST(load.abovePriority(2, end) == load.ofPriority(1, end));
    BOOST_TEST(load.ofClass({ 1, 50ms }, end) == load.ofPriority(1, end));
    BOOST_TEST(load.ofClass({ 1, 500ms }, end) == 0);
    BOOST_TEST(load.ofPriority(1, end + 10s) < 0.01);
}

BOOST_AUTO_TEST_SUITE_END()
