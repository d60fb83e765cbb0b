// Tests of the order in which waiting tasks are served.
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "dispatch/task_queues.h"

using namespace coriandermount;
using namespace coriandermount::dispatch;
using admission::plan_index;

namespace {

const queue_lane defaultLane {};

time_point after(std::uint32_t milliseconds) { return time_point(std::chrono::milliseconds(milliseconds)); }

bool acceptAll(const queue_lane&) { return true; }

/// Removes the next task, charges `work` to its plan and returns its entry.
queue_head serve(task_queues& queues, double work)
{
    const queue_head head = *queues.next(acceptAll);
    queues.pop(head.plan, head.lane);
    queues.withdraw(head.plan, head.lane, 1);
    queues.charge(head.plan, work);
    return head;
}

void push(task_queues& queues, std::uint32_t plan, double weight, std::uint32_t deadline, std::uint64_t serial)
{
    queues.push(plan_index { plan }, weight, defaultLane, { after(deadline), job_serial { serial }, 0 }, 1);
}

} // namespace

BOOST_AUTO_TEST_SUITE(waiting_tasks)

BOOST_AUTO_TEST_CASE(of_one_plan_are_served_by_deadline)
{
    BOOST_TEST(rc::check([](const std::vector<std::uint16_t>& deadlines) {
        task_queues queues;
        for (std::size_t job = 0; job < deadlines.size(); ++job)
            push(queues, 0, 1, deadlines[job], job);
        time_point last {};
        for (std::size_t job = 0; job < deadlines.size(); ++job) {
            const auto head = serve(queues, 1);
            RC_ASSERT(head.entry.deadline >= last);
            last = head.entry.deadline;
        }
        RC_ASSERT(queues.queued() == 0U);
        RC_ASSERT(!queues.next(acceptAll));
    }));
}

BOOST_AUTO_TEST_CASE(of_several_plans_are_served_by_weight)
{
    BOOST_TEST(rc::check([] {
        const auto weights = *rc::gen::container<std::vector<std::uint32_t>>(4, rc::gen::inRange(1U, 9U));
        constexpr unsigned tasks = 400;
        task_queues queues;
        double sum = 0;
        for (std::uint32_t plan = 0; plan < weights.size(); ++plan) {
            sum += weights[plan];
            for (unsigned job = 0; job < tasks; ++job)
                push(queues, plan, weights[plan], job, job);
        }
        std::vector<double> served(weights.size());
        for (unsigned count = 0; count < tasks; ++count)
            served[static_cast<std::size_t>(serve(queues, 1).plan)] += 1;
        for (std::size_t plan = 0; plan < weights.size(); ++plan) {
            const double entitled = tasks * weights[plan] / sum;
            RC_ASSERT(std::abs(served[plan] - entitled) <= static_cast<double>(weights.size()));
        }
    }));
}

BOOST_AUTO_TEST_CASE(of_a_plan_that_was_idle_share_equally_with_a_busy_plan)
{
    task_queues queues;
    constexpr std::uint64_t jobs = 100;
    for (std::uint64_t job = 0; job < jobs; ++job)
        push(queues, 0, 1, 1, job);
    for (std::uint64_t job = 0; job < jobs / 2; ++job)
        serve(queues, 1);
    for (std::uint64_t job = 0; job < jobs; ++job)
        push(queues, 1, 1, 2, job);
    unsigned ofIdle = 0;
    constexpr unsigned servedTasks = 20;
    for (unsigned count = 0; count < servedTasks; ++count)
        ofIdle += serve(queues, 1).plan == plan_index { 1 } ? 1 : 0;
    BOOST_TEST(ofIdle >= servedTasks / 2 - 1);
    BOOST_TEST(ofIdle <= servedTasks / 2 + 1);
}

BOOST_AUTO_TEST_CASE(that_were_blocked_are_served_after_unblock)
{
    task_queues queues;
    push(queues, 0, 1, 1, 1);
    queues.block(plan_index { 0 }, defaultLane);
    BOOST_TEST(!queues.next(acceptAll));
    queues.unblock(plan_index { 0 });
    BOOST_TEST(queues.next(acceptAll).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
