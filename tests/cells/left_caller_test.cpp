// Checks that the runs of callers that have left end before these can submit their jobs again, whatever is lost: answers of
// workers, owners, and what owners know of callers.
#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "tests/fakes/fleet_checks.h"
#include "tests/fakes/resubmitting_callers.h"

using namespace coriandermount;
using namespace coriandermount::fakes;
using namespace std::chrono_literals;

namespace {

/// A failure domain with a job whose caller waits at a VM that does not own the cell.
struct left_caller {
    left_caller()
    {
        fleet.runFor(2s);
        home = fleet.owner(0);
        entry = home == cell_fleet::vmName(0, 0) ? cell_fleet::vmName(0, 1) : cell_fleet::vmName(0, 0);
        fleet.run(entry, "a", 2, 4s, 20s);
        fleet.runFor(200ms);
    }

    void awaitNextOwner()
    {
        const auto limit = fleet.loop.now() + 3s;
        while (fleet.loop.now() < limit && (fleet.owner(0).empty() || fleet.owner(0) == home))
            fleet.runFor(1ms);
    }

    std::ptrdiff_t runsAtWork() const
    {
        const auto& runs = fleet.workers.runs();
        return std::count_if(runs.begin(), runs.end(), [](const auto& run) { return !run.end; });
    }

    std::ptrdiff_t runsAtWorkOf(const std::string& jobId) const
    {
        const auto& runs = fleet.workers.runs();
        return std::count_if(runs.begin(), runs.end(), [&jobId](const auto& run) { return run.task.jobId == jobId && !run.end; });
    }

    /// Polls and starts reach the worker, stops do not, and no answer arrives.
    void loseAllAnswers(const std::string& worker)
    {
        auto& faults = fleet.workers.faults(worker);
        faults.losesPollAnswers = true;
        faults.nextStops.assign(20, order_transport::requestLost());
    }

    void loseAllStops()
    {
        for (unsigned number = 0; number < 3; ++number)
            fleet.workers.faults(cell_fleet::workerName(0, number)).nextStops.assign(100, order_transport::requestLost());
    }

    cell_fleet fleet { 2, 3, 3 };
    std::string home;
    std::string entry;
};

} // namespace

BOOST_AUTO_TEST_SUITE(at_most_once)

BOOST_FIXTURE_TEST_SUITE(when_a_caller_has_left_and_the_owner_changes, left_caller)

// Guards against runs that go on beside a resubmission because an owner that hands its cell over forgets that their caller has
// left (issue 44).
BOOST_AUTO_TEST_CASE(its_runs_are_stopped_before_the_cell_is_handed_over)
{
    fleet.disconnectCaller(entry, "a");
    fleet.runFor(150ms);
    fleet.kill(entry);
    fleet.drain(home);
    awaitNextOwner();
    fleet.runFor(50ms);
    BOOST_TEST(runsAtWork() == 0);
    expectNoViolation(fleet);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(when_a_caller_has_left_and_its_runs_have_to_end, left_caller)

// Guards against runs that go on beside a resubmission because the leases of silent workers are extended, and their stops are
// lost (issue 50).
BOOST_AUTO_TEST_CASE(its_runs_end_with_their_leases_before_it_can_submit_the_job_again)
{
    fleet.disconnectCaller(entry, "a");
    fleet.runFor(500ms);
    for (unsigned number = 0; number < 3; ++number)
        loseAllAnswers(cell_fleet::workerName(0, number));
    fleet.runFor(resubmitting_callers::retransmissionDelay - 500ms);
    BOOST_TEST(runsAtWork() == 0);
}

// Guards against runs that go on beside a resubmission because the leases that a lost owner granted outlast its callers (issue
// 50).
BOOST_AUTO_TEST_CASE(its_runs_end_although_the_owner_is_lost_before_it_stops_them)
{
    fleet.run(home, "b", 1, 4s, 20s);
    fleet.runFor(200ms);
    fleet.disconnectCaller(home, "b");
    fleet.runFor(540ms);
    for (unsigned number = 0; number < 3; ++number)
        fleet.kill(cell_fleet::vmName(0, number));
    fleet.runFor(resubmitting_callers::retransmissionDelay - 540ms);
    BOOST_TEST(runsAtWorkOf("b") == 0);
}

// Guards against runs that the next owner keeps for too long, because it waits for the lost one to submit their jobs (issue 50).
BOOST_AUTO_TEST_CASE(its_runs_are_stopped_by_the_next_owner_although_nobody_tells_it_of_the_caller)
{
    fleet.run(home, "b", 1, 4s, 20s);
    fleet.runFor(200ms);
    fleet.disconnectCaller(home, "b");
    fleet.runFor(450ms);
    fleet.kill(home);
    fleet.runFor(resubmitting_callers::retransmissionDelay - 450ms);
    BOOST_TEST(runsAtWorkOf("b") == 0);
}

// Guards against runs that go on beside a resubmission because an owner that takes a cell over extends leases that the one before
// had limited, and the workers carry out no stop (issue 53).
BOOST_AUTO_TEST_CASE(its_runs_end_in_time_although_the_cell_is_handed_over)
{
    loseAllStops();
    fleet.disconnectCaller(entry, "a");
    fleet.runFor(700ms);
    fleet.drain(home);
    fleet.runFor(resubmitting_callers::retransmissionDelay - 700ms);
    BOOST_TEST(fleet.owner(0) != home);
    BOOST_TEST(runsAtWork() == 0);
}

// Guards against the same if the caller's VM, which owns the cell, is lost (issue 53).
BOOST_AUTO_TEST_CASE(its_runs_end_in_time_although_its_vm_is_lost_with_the_cell)
{
    loseAllStops();
    fleet.run(home, "b", 1, 4s, 20s);
    fleet.runFor(200ms);
    fleet.disconnectCaller(home, "b");
    fleet.runFor(480ms);
    fleet.kill(home);
    fleet.runFor(resubmitting_callers::retransmissionDelay - 480ms);
    BOOST_TEST(runsAtWorkOf("b") == 0);
}

// Guards against runs of other jobs that end with a limited lease, because nobody stops the run that limits it while other tasks
// of its job wait and an earlier owner may have started them (issue 50).
BOOST_AUTO_TEST_CASE(the_runs_beside_go_on_if_other_tasks_of_its_job_wait)
{
    fleet.run(entry, "beside", 1, 20s, 20s);
    fleet.run(entry, "wide", 5, 20s, 20s);
    fleet.runFor(200ms);
    fleet.kill(home);
    awaitNextOwner();
    fleet.runFor(300ms);
    BOOST_REQUIRE(runsAtWorkOf("wide") == 3);
    fleet.disconnectCaller(entry, "wide");
    fleet.runFor(resubmitting_callers::retransmissionDelay);
    BOOST_TEST(runsAtWorkOf("wide") == 0);
    fleet.runFor(500ms);
    const auto& runs = fleet.workers.runs();
    BOOST_TEST(std::count_if(runs.begin(), runs.end(), [](const auto& run) { return run.task.jobId == "beside"; }) == 1);
    expectNoViolation(fleet);
}

// Guards against runs that end although their caller has returned before they had to.
BOOST_AUTO_TEST_CASE(the_runs_of_a_caller_that_has_returned_go_on)
{
    fleet.disconnectCaller(entry, "a");
    fleet.runFor(300ms);
    fleet.run(entry, "a", 2, 4s, 20s);
    fleet.runFor(3s);
    BOOST_TEST(runsAtWork() == 2);
    expectNoViolation(fleet);
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

/// A job whose caller waits at the owner of its home cell, and that another cell runs because the workers of the home cell are
/// occupied.
struct lent_job_caller {
    lent_job_caller()
    {
        fleet.runFor(2s);
        home = fleet.owner(0);
        fleet.run(home, "long", 6, 20s, 30s);
        fleet.runFor(100ms);
        fleet.run(home, "lent", 2, 8s, 15s);
        fleet.runFor(300ms);
        BOOST_REQUIRE(runsAtWork() == 2);
    }

    std::ptrdiff_t runsAtWork() const
    {
        const auto& runs = fleet.workers.runs();
        return std::count_if(runs.begin(), runs.end(),
            [](const auto& run) { return run.task.jobId == "lent" && run.worker.value.starts_with("worker1") && !run.end; });
    }

    cell_fleet fleet { 2, 3, 3 };
    std::string home;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(when_the_home_cell_of_a_lent_job_gets_another_owner, lent_job_caller)

// Guards against runs that go on in the other cell beside a resubmission, because nobody tells it that the caller was lost
// together with the owner of the home cell (issue 50).
BOOST_AUTO_TEST_CASE(its_runs_are_stopped_if_its_caller_was_lost_with_the_owner)
{
    fleet.kill(home);
    fleet.runFor(resubmitting_callers::retransmissionDelay);
    BOOST_TEST(runsAtWork() == 0);
    expectNoViolation(fleet);
}

// Guards against lent jobs that are ended although a caller has submitted them to the other cell as well.
BOOST_AUTO_TEST_CASE(its_runs_go_on_if_a_caller_waits_in_the_other_cell)
{
    fleet.run(cell_fleet::vmName(1, 0), "lent", 2, 8s, 15s);
    fleet.runFor(50ms);
    fleet.kill(home);
    fleet.runFor(3s);
    BOOST_TEST(runsAtWork() == 2);
    expectNoViolation(fleet);
}

// Guards against lent jobs that are ended although their callers wait.
BOOST_AUTO_TEST_CASE(its_runs_go_on_if_its_caller_waits_at_another_vm)
{
    const auto entry = home == cell_fleet::vmName(0, 0) ? cell_fleet::vmName(0, 1) : cell_fleet::vmName(0, 0);
    fleet.run(entry, "lent", 2, 8s, 15s);
    fleet.runFor(50ms);
    fleet.kill(home);
    fleet.runFor(3s);
    BOOST_TEST(runsAtWork() == 2);
    expectNoViolation(fleet);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
