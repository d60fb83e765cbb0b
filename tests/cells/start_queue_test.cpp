// Checks what the queue of waiting jobs tells about them without a look at each.
#include <list>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "cells/start_queue.h"

using namespace coriandermount;
using namespace coriandermount::cells;
using namespace std::chrono_literals;

namespace {

struct queued_jobs {
    open_job& add(unsigned number, bool stored, time_point order, queue_part part = queue_part::ready)
    {
        open_job& job = all.emplace_back();
        job.accepted.work.id = fmt::format("job{}", number);
        job.accepted.work.answeredAtEnd = !stored;
        job.accepted.priority = 1;
        jobs::step step;
        step.need.cpuMillis = 2000;
        step.estimate = 100ms;
        job.accepted.work.steps.push_back(step);
        job.steps.push_back({ std::vector<task_state>(3), { 2, 1, 0 } });
        job.startOrder = order;
        job.objective = order;
        queue.put(job, part);
        return job;
    }

    std::list<open_job> all;
    start_queue queue;
    const time_point now { 1h };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_start_queue, queued_jobs)

BOOST_AUTO_TEST_CASE(sums_up_stored_jobs_whose_places_are_close_to_each_other)
{
    for (unsigned number = 0; number < 100; ++number)
        add(number, true, now + number * 1ms);
    add(100, false, now);
    BOOST_TEST(queue.size() == 101U);
    BOOST_TEST(queue.unstored().size() == 1U);
    BOOST_REQUIRE(queue.storedWork().size() == 1U);
    const auto& group = queue.storedWork().begin()->second;
    BOOST_TEST(group.jobs == 100U);
    BOOST_TEST(group.tasks == 300U);
    BOOST_TEST(group.work == 100 * 600000);
    BOOST_TEST(queue.workByPriority()[1] == 101 * 600000);
}

BOOST_AUTO_TEST_CASE(follows_the_work_that_is_left)
{
    open_job& job = add(0, true, now);
    job.steps[0].waiting.pop_back();
    queue.put(job, queue_part::suspected);
    BOOST_TEST((queue.partOf(rankOf(job)) == queue_part::suspected));
    BOOST_TEST(queue.jobs(queue_part::ready).empty());
    BOOST_TEST(queue.storedWork().begin()->second.work == 400000);
    queue.remove(rankOf(job));
    BOOST_TEST(queue.isEmpty());
    BOOST_TEST(queue.storedWork().empty());
    BOOST_TEST(queue.workByPriority()[1] == 0);
}

BOOST_AUTO_TEST_CASE(forecasts_no_start_of_a_job_that_is_held)
{
    add(0, true, now, queue_part::held);
    BOOST_TEST(queue.storedWork().empty());
    BOOST_TEST(queue.workByPriority()[1] == 600000);
    BOOST_TEST(queue.takeOverdue(now + 1h, 10).empty());
}

BOOST_AUTO_TEST_CASE(names_no_more_overdue_jobs_than_asked_for)
{
    for (unsigned number = 0; number < 3; ++number)
        add(number, true, now);
    BOOST_TEST(queue.takeOverdue(now + 1s, 2).size() == 2U);
    BOOST_TEST(queue.takeOverdue(now + 1s, 2).size() == 1U);
}

BOOST_AUTO_TEST_CASE(names_each_overdue_job_once)
{
    add(0, true, now);
    add(1, true, now + 10s);
    add(2, false, now);
    BOOST_TEST(queue.takeOverdue(now + 1s, 10) == std::vector<std::string> { "job0" }, boost::test_tools::per_element());
    BOOST_TEST(queue.takeOverdue(now + 1s, 10).empty());
}

BOOST_AUTO_TEST_SUITE_END()
