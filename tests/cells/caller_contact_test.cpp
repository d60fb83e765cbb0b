// Checks that an owner runs the tasks of callers only while the VMs that these wait at are heard.
#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "tests/fakes/fleet_checks.h"
#include "tests/fakes/resubmitting_callers.h"

using namespace coriandermount;
using namespace coriandermount::fakes;
using namespace std::chrono_literals;

namespace {

/// A failure domain of three workers, each with room for two tasks, and a VM at which callers wait that does not own the cell.
struct remote_caller {
    remote_caller()
    {
        fleet.runFor(2s);
        home = fleet.owner(0);
        entry = home == cell_fleet::vmName(0, 0) ? cell_fleet::vmName(0, 1) : cell_fleet::vmName(0, 0);
    }

    /// Cuts a VM off from the other VMs and from the store, so that it does not claim the cell.
    void cutOff(const std::string& vm)
    {
        fleet.setStoreFault(vm, store_fault::refuses_requests);
        fleet.setPartitioned(vm, true);
    }

    void reconnect(const std::string& vm)
    {
        fleet.setStoreFault(vm, store_fault::none);
        fleet.setPartitioned(vm, false);
    }

    void loseAllStops()
    {
        for (unsigned number = 0; number < 3; ++number)
            fleet.workers.faults(cell_fleet::workerName(0, number)).nextStops.assign(100, order_transport::requestLost());
    }

    std::ptrdiff_t runsAtWorkOf(const std::string& jobId) const
    {
        const auto& runs = fleet.workers.runs();
        return std::count_if(runs.begin(), runs.end(), [&jobId](const auto& run) { return run.task.jobId == jobId && !run.end; });
    }

    std::ptrdiff_t startsSince(time_point since) const
    {
        const auto& runs = fleet.workers.runs();
        return std::count_if(runs.begin(), runs.end(), [since](const auto& run) { return run.start >= since; });
    }

    bool isCompleted(const std::string& jobId) const
    {
        return std::any_of(fleet.answers.begin(), fleet.answers.end(),
            [&jobId](const auto& answer) { return answer.jobId == jobId && answer.answer == jobs::job_state::completed; });
    }

    cell_fleet fleet { 2, 3, 3 };
    std::string home;
    std::string entry;
};

} // namespace

BOOST_AUTO_TEST_SUITE(at_most_once)

BOOST_FIXTURE_TEST_SUITE(when_the_vm_of_a_caller_is_cut_off_from_the_owner, remote_caller)

// Guards against runs that go on beside a resubmission because the withdrawal of their caller is lost with the path to the owner
// (issue 53).
BOOST_AUTO_TEST_CASE(its_runs_end_before_the_caller_can_submit_the_job_again)
{
    fleet.run(entry, "a", 2, 4s, 20s);
    fleet.runFor(500ms);
    BOOST_REQUIRE(runsAtWorkOf("a") == 2);
    cutOff(entry);
    fleet.runFor(20ms);
    fleet.disconnectCaller(entry, "a");
    fleet.runFor(resubmitting_callers::retransmissionDelay);
    BOOST_TEST(runsAtWorkOf("a") == 0);
}

// Guards against the same if workers carry out no stop (issue 53).
BOOST_AUTO_TEST_CASE(its_runs_end_although_the_workers_carry_out_no_stop)
{
    fleet.run(entry, "a", 2, 4s, 20s);
    fleet.runFor(500ms);
    loseAllStops();
    cutOff(entry);
    fleet.runFor(20ms);
    fleet.disconnectCaller(entry, "a");
    fleet.runFor(resubmitting_callers::retransmissionDelay);
    BOOST_TEST(runsAtWorkOf("a") == 0);
}

// Guards against leases that last longer because the withdrawal comes late, when its VM runs again (issue 53).
BOOST_AUTO_TEST_CASE(its_runs_end_in_time_although_its_vm_was_frozen_when_it_left)
{
    for (const auto pause : { 150ms, 250ms, 350ms, 450ms, 550ms, 650ms, 750ms }) {
        BOOST_TEST_CONTEXT("a pause of " << pause.count() << " ms")
        {
            remote_caller frozen;
            frozen.fleet.run(frozen.entry, "a", 2, 4s, 20s);
            frozen.fleet.runFor(500ms);
            frozen.loseAllStops();
            frozen.fleet.freeze(frozen.entry);
            frozen.fleet.disconnectCaller(frozen.entry, "a");
            frozen.fleet.runFor(pause);
            frozen.fleet.thaw(frozen.entry);
            frozen.fleet.runFor(resubmitting_callers::retransmissionDelay - pause);
            BOOST_TEST(frozen.runsAtWorkOf("a") == 0);
        }
    }
}

// Guards against leases that last longer because the deadline of the caller comes after it was last heard (issue 53).
BOOST_AUTO_TEST_CASE(its_runs_end_in_time_although_its_deadline_passes)
{
    fleet.run(entry, "a", 2, 4s, 1100ms);
    fleet.runFor(500ms);
    loseAllStops();
    cutOff(entry);
    fleet.disconnectCaller(entry, "a");
    fleet.runFor(resubmitting_callers::retransmissionDelay);
    BOOST_TEST(runsAtWorkOf("a") == 0);
}

// Guards against keep-alives that an owner reads after it was frozen, and that are older than the loss of the caller (issue 53).
BOOST_AUTO_TEST_CASE(its_runs_end_in_time_although_the_owner_was_frozen)
{
    fleet.run(entry, "a", 2, 4s, 20s);
    fleet.runFor(500ms);
    loseAllStops();
    fleet.freeze(home);
    fleet.runFor(110ms);
    cutOff(entry);
    fleet.disconnectCaller(entry, "a");
    fleet.runFor(400ms);
    fleet.thaw(home);
    fleet.runFor(resubmitting_callers::retransmissionDelay - 400ms);
    BOOST_TEST(runsAtWorkOf("a") == 0);
}

// Guards against starts for callers that nobody has heard of for a second (issue 53).
BOOST_AUTO_TEST_CASE(none_of_its_waiting_tasks_start)
{
    fleet.run(entry, "wide", 24, 300ms, 20s);
    fleet.runFor(350ms);
    BOOST_REQUIRE(runsAtWorkOf("wide") > 0);
    cutOff(entry);
    fleet.runFor(20ms);
    fleet.disconnectCaller(entry, "wide");
    fleet.runFor(500ms);
    const auto since = fleet.loop.now();
    fleet.runFor(3s);
    BOOST_TEST(startsSince(since) == 0);
    BOOST_TEST(runsAtWorkOf("wide") == 0);
}

// Guards against a job that starts again once the path is back, because the withdrawal was lost with the path (issue 53).
BOOST_AUTO_TEST_CASE(its_tasks_stay_ended_after_the_path_is_back)
{
    fleet.run(entry, "a", 2, 4s, 20s);
    fleet.runFor(500ms);
    cutOff(entry);
    fleet.runFor(20ms);
    fleet.disconnectCaller(entry, "a");
    fleet.runFor(2s);
    reconnect(entry);
    const auto since = fleet.loop.now();
    fleet.runFor(3s);
    BOOST_TEST(startsSince(since) == 0);
    BOOST_TEST(runsAtWorkOf("a") == 0);
}

// Guards against work that is thrown away because the path is gone for a moment.
BOOST_AUTO_TEST_CASE(its_runs_go_on_if_the_path_is_back_soon)
{
    fleet.run(entry, "a", 2, 4s, 20s);
    fleet.runFor(500ms);
    cutOff(entry);
    fleet.runFor(400ms);
    reconnect(entry);
    fleet.runFor(4s);
    BOOST_TEST(isCompleted("a"));
    BOOST_TEST(fleet.workers.runs().size() == 2);
}

// Guards against jobs that are given up although their caller waits until the path is back.
BOOST_AUTO_TEST_CASE(a_caller_that_waits_until_the_path_is_back_is_served)
{
    fleet.run(entry, "a", 2, 3s, 20s);
    fleet.runFor(200ms);
    cutOff(entry);
    fleet.runFor(1500ms);
    reconnect(entry);
    fleet.runFor(4s);
    BOOST_TEST(isCompleted("a"));
    expectNoViolation(fleet);
}

// Guards against jobs that never go on, because the owner has forgotten their requests when the path is back (issue 53).
BOOST_AUTO_TEST_CASE(a_caller_that_waits_for_long_until_the_path_is_back_is_served)
{
    fleet.run(entry, "a", 2, 3s, 20s);
    fleet.runFor(200ms);
    cutOff(entry);
    fleet.runFor(7s);
    reconnect(entry);
    fleet.runFor(4s);
    BOOST_TEST(isCompleted("a"));
    expectNoViolation(fleet);
}

// Guards against other runs that end with the lease that the runs of a lost caller limit.
BOOST_AUTO_TEST_CASE(the_runs_of_other_callers_go_on)
{
    fleet.run(home, "beside", 2, 5s, 20s);
    fleet.run(entry, "a", 4, 5s, 20s);
    fleet.runFor(500ms);
    cutOff(entry);
    fleet.runFor(5s);
    BOOST_TEST(isCompleted("beside"));
    const auto& runs = fleet.workers.runs();
    BOOST_TEST(std::count_if(runs.begin(), runs.end(), [](const auto& run) { return run.task.jobId == "beside"; }) == 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(when_a_vm_is_cut_off_from_the_others_but_not_from_the_store, remote_caller)

// Guards against a takeover by a VM that misses the heartbeats of all others and takes that for the loss of the owner (found with
// issue 53).
BOOST_AUTO_TEST_CASE(it_does_not_take_the_cell_from_an_owner_that_serves)
{
    fleet.run(home, "beside", 2, 3s, 20s);
    fleet.runFor(500ms);
    fleet.setPartitioned(entry, true);
    fleet.runFor(4s);
    BOOST_TEST(fleet.owner(0) == home);
    BOOST_TEST(isCompleted("beside"));
    BOOST_TEST(fleet.workers.runs().size() == 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(when_the_owner_of_a_lent_job_is_cut_off, remote_caller)

// Guards against runs in the other cell that go on until the deadline of a caller that nobody there hears of (issue 53).
BOOST_AUTO_TEST_CASE(its_runs_end_before_the_caller_can_submit_the_job_again)
{
    fleet.run(home, "long", 6, 20s, 30s);
    fleet.runFor(100ms);
    fleet.run(home, "lent", 2, 8s, 15s);
    fleet.runFor(500ms);
    BOOST_REQUIRE(runsAtWorkOf("lent") == 2);
    cutOff(home);
    fleet.runFor(20ms);
    fleet.disconnectCaller(home, "lent");
    fleet.runFor(resubmitting_callers::retransmissionDelay);
    BOOST_TEST(runsAtWorkOf("lent") == 0);
}

// Guards against the same if the VM of the caller is cut off from the owner of its cell, which lends the job (issue 53).
BOOST_AUTO_TEST_CASE(its_runs_end_if_the_vm_of_the_caller_is_cut_off_from_its_home)
{
    fleet.run(home, "long", 6, 20s, 30s);
    fleet.runFor(100ms);
    fleet.run(entry, "lent", 2, 8s, 15s);
    fleet.runFor(500ms);
    BOOST_REQUIRE(runsAtWorkOf("lent") == 2);
    cutOff(entry);
    fleet.runFor(20ms);
    fleet.disconnectCaller(entry, "lent");
    fleet.runFor(resubmitting_callers::retransmissionDelay);
    BOOST_TEST(runsAtWorkOf("lent") == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
