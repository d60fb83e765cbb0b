// Checks that no task runs twice at the same time and that no accepted job is lost, whatever faults VMs, workers and the store
// have.
#include <boost/test/unit_test.hpp>

#include "tests/fakes/fleet_checks.h"

using namespace coriandermount;
using namespace coriandermount::fakes;
using namespace std::chrono_literals;

namespace {

/// Returns the number of runs of a job that ended as done.
std::size_t doneRuns(const cell_fleet& fleet, const std::string& jobId)
{
    std::size_t done = 0;
    for (const auto& run : fleet.workers.runs())
        done += run.task.jobId == jobId && run.done ? 1 : 0;
    return done;
}

/// Returns a running VM of the failure domain that does not own its cell; empty if there is none.
std::string nonOwnerVm(const cell_fleet& fleet, unsigned domain, unsigned vms)
{
    for (unsigned number = 0; number < vms; ++number) {
        std::string name = cell_fleet::vmName(domain, number);
        if (fleet.isAlive(name) && fleet.owner(domain) != name)
            return name;
    }
    return {};
}

} // namespace

BOOST_AUTO_TEST_SUITE(at_most_once)

BOOST_AUTO_TEST_SUITE(without_faults)

BOOST_AUTO_TEST_CASE(a_caller_is_answered_when_its_job_ends)
{
    cell_fleet fleet(2, 2, 3);
    fleet.runFor(2s);
    fleet.run(nonOwnerVm(fleet, 0, 2), "a", 4, 100ms);
    fleet.runFor(1s);
    BOOST_REQUIRE(fleet.answers.size() == 1);
    BOOST_TEST((fleet.answers[0].answer == jobs::job_state::completed));
    BOOST_TEST(doneRuns(fleet, "a") == 4);
    expectNoViolation(fleet);
}

BOOST_AUTO_TEST_CASE(a_caller_is_answered_promptly_when_another_job_has_just_ended_on_the_worker)
{
    cell_fleet fleet(1, 1, 1);
    fleet.runFor(2s);
    fleet.run(fleet.owner(0), "first", 1, 100ms);
    fleet.run(fleet.owner(0), "second", 1, 112ms);
    fleet.runFor(1s);
    BOOST_REQUIRE(fleet.answers.size() == 2);
    const auto& last = fleet.workers.runs().back();
    // The owner polls the worker without a pause, so the answer takes one polling interval of the simulated worker and one
    // network trip.
    BOOST_TEST((fleet.answers[1].at - *last.end <= 7ms));
}

BOOST_AUTO_TEST_CASE(a_job_is_lent_when_only_another_cell_has_free_capacity)
{
    cell_fleet fleet(2, 2, 3);
    fleet.runFor(2s);
    fleet.run(fleet.owner(0), "long", 6, 5s);
    fleet.runFor(300ms);
    fleet.run(fleet.owner(0), "short", 2, 100ms);
    fleet.runFor(500ms);
    BOOST_REQUIRE(fleet.answers.size() == 1);
    BOOST_TEST(fleet.answers[0].jobId == "short");
    BOOST_TEST(fleet.counterValues(fleet.owner(0)).lentJobs == 1);
}

BOOST_AUTO_TEST_CASE(a_resubmission_to_another_vm_gets_the_same_answer)
{
    cell_fleet fleet(1, 3, 3);
    fleet.runFor(2s);
    fleet.run(cell_fleet::vmName(0, 0), "a", 2, 300ms);
    fleet.runFor(100ms);
    fleet.run(cell_fleet::vmName(0, 1), "a", 2, 300ms);
    fleet.runFor(1s);
    BOOST_TEST(fleet.answers.size() == 2);
    BOOST_TEST(doneRuns(fleet, "a") == 2);
    expectNoViolation(fleet);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_owner_fails)

BOOST_AUTO_TEST_CASE(a_new_owner_takes_over_within_a_second_and_adopts_its_runs)
{
    cell_fleet fleet(1, 3, 3);
    fleet.runFor(2s);
    const std::string owner = fleet.owner(0);
    fleet.run(nonOwnerVm(fleet, 0, 3), "a", 4, 1500ms);
    fleet.runFor(200ms);
    fleet.kill(owner);
    fleet.runFor(1s);
    BOOST_TEST(!fleet.owner(0).empty());
    fleet.runFor(2s);
    BOOST_REQUIRE(fleet.answers.size() == 1);
    BOOST_TEST((fleet.answers[0].answer == jobs::job_state::completed));
    BOOST_TEST(doneRuns(fleet, "a") == 4);
    expectNoViolation(fleet);
}

BOOST_AUTO_TEST_CASE(a_stored_job_continues_after_a_power_loss_of_all_vms)
{
    cell_fleet fleet(1, 2, 3);
    fleet.runFor(2s);
    fleet.store(cell_fleet::vmName(0, 0), "a", 4, 100ms);
    fleet.runFor(20ms);
    BOOST_REQUIRE(fleet.stored.size() == 1);
    for (unsigned number = 0; number < 2; ++number)
        fleet.kill(cell_fleet::vmName(0, number));
    fleet.runFor(1s);
    for (unsigned number = 0; number < 2; ++number)
        fleet.start(cell_fleet::vmName(0, number));
    fleet.runFor(3s);
    BOOST_TEST((fleet.state(0, "a") == jobs::job_state::completed));
    expectNoViolation(fleet);
}

BOOST_AUTO_TEST_CASE(a_lent_job_is_not_started_again)
{
    // Guards against a second start: the job was resubmitted to the new owner before the other cells had reported which jobs
    // they run.
    cell_fleet fleet(2, 3, 3);
    fleet.runFor(2s);
    const std::string owner = fleet.owner(0);
    const std::string caller = nonOwnerVm(fleet, 0, 3);
    fleet.run(caller, "long", 6, 1200ms);
    fleet.runFor(300ms);
    fleet.run(caller, "lent", 2, 2500ms);
    fleet.runFor(100ms);
    BOOST_TEST(fleet.counterValues(owner).lentJobs == 1);
    fleet.drain(owner);
    fleet.runFor(30ms);
    fleet.kill(owner);
    fleet.runFor(5s);
    BOOST_TEST(doneRuns(fleet, "lent") == 2);
    expectNoViolation(fleet);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_owner_is_stopped)

BOOST_AUTO_TEST_CASE(lent_jobs_are_found_while_the_owner_of_the_other_cell_changes_too)
{
    // Guards against a second start: the new owner of the home cell started a lent job whose runs the new owner of the other
    // cell had not found yet, while the earlier home owner kept resubmitting the job.
    for (auto pause = 0ms; pause < 120ms; pause += 6ms) {
        cell_fleet fleet(2, 3, 3);
        fleet.runFor(2s);
        const std::string home = fleet.owner(0);
        const std::string other = fleet.owner(1);
        const std::string caller = nonOwnerVm(fleet, 0, 3);
        fleet.run(caller, "long", 6, 900ms);
        fleet.runFor(300ms);
        fleet.run(caller, "lent", 3, 800ms);
        fleet.runFor(400ms);
        BOOST_REQUIRE(fleet.counterValues(home).lentJobs == 1);
        fleet.drain(other);
        fleet.runFor(pause);
        fleet.drain(home);
        fleet.runFor(4s);
        BOOST_TEST(fleet.answers.size() == 2);
        expectNoViolation(fleet);
    }
}

BOOST_AUTO_TEST_CASE(a_run_on_a_worker_that_is_not_registered_with_the_successor_is_not_repeated)
{
    // Registrations of workers that expire while the store is down reappear only seconds after the store is back, so a new
    // owner may not see a worker that still runs a task.
    cell_fleet fleet(1, 2, 3);
    fleet.runFor(2s);
    const std::string owner = fleet.owner(0);
    fleet.run(nonOwnerVm(fleet, 0, 2), "a", 1, 900ms);
    fleet.runFor(100ms);
    fleet.unlistWorker(fleet.workers.runs().front().worker.value);
    fleet.drain(owner);
    fleet.runFor(5s);
    BOOST_TEST(fleet.owner(0) != owner);
    expectNoViolation(fleet);
}

BOOST_AUTO_TEST_CASE(the_cell_is_kept_while_the_store_is_slow)
{
    // Stopping the VMs one after another while the store was slow left a cell without an owner for six seconds.
    cell_fleet fleet(1, 2, 3);
    fleet.runFor(2s);
    const std::string owner = fleet.owner(0);
    fleet.records.setAnswerTime(600ms);
    fleet.drain(owner);
    fleet.runFor(3s);
    BOOST_TEST(fleet.owner(0) == owner);
    fleet.records.setAnswerTime(4ms);
    fleet.runFor(3s);
    BOOST_TEST(!fleet.owner(0).empty());
    BOOST_TEST(fleet.owner(0) != owner);
}

BOOST_AUTO_TEST_CASE(the_cell_is_kept_until_another_vm_can_take_over)
{
    // Stopping the VMs one after another left a cell without an owner for two seconds.
    cell_fleet fleet(1, 2, 3);
    fleet.runFor(2s);
    const std::string owner = fleet.owner(0);
    const std::string next = nonOwnerVm(fleet, 0, 2);
    fleet.drain(next);
    fleet.runFor(300ms);
    fleet.drain(owner);
    fleet.runFor(300ms);
    BOOST_TEST(fleet.owner(0) == owner);
    fleet.kill(next);
    fleet.start(next);
    fleet.runFor(1500ms);
    BOOST_TEST(fleet.owner(0) == next);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_owner_is_slow)

BOOST_AUTO_TEST_CASE(a_late_lent_job_does_not_run_after_the_successor_has_queried_lent_jobs)
{
    cell_fleet fleet(2, 3, 3);
    fleet.runFor(2s);
    const std::string slow = fleet.owner(0);
    fleet.run(slow, "long", 6, 800ms);
    fleet.runFor(100ms);
    fleet.setCallDelay(slow, 3s);
    fleet.run(slow, "a", 2, 2s);
    fleet.run(nonOwnerVm(fleet, 0, 3), "b", 2, 2s);
    fleet.runFor(50ms);
    BOOST_TEST(fleet.counterValues(slow).lentJobs > 0);
    fleet.setPartitioned(slow, true);
    fleet.runFor(10s);
    expectNoViolation(fleet);
}

BOOST_AUTO_TEST_CASE(a_late_refusal_is_not_returned_after_the_successor_received_the_job)
{
    cell_fleet fleet(1, 3, 3);
    fleet.runFor(2s);
    const std::string slow = fleet.owner(0);
    fleet.setCallDelay(slow, 1s);
    fleet.run(nonOwnerVm(fleet, 0, 3), "full", 6, 1200ms);
    fleet.run(nonOwnerVm(fleet, 0, 3), "a", 2, 2s, 5s);
    fleet.runFor(400ms);
    fleet.drain(slow);
    fleet.runFor(8s);
    for (const auto& received : fleet.answers) {
        const bool refused = !received.answer && rowOf(received.answer.error().kind).result == outcome::not_run;
        BOOST_TEST((!refused || doneRuns(fleet, received.jobId) == 0), received.jobId);
    }
    expectNoViolation(fleet);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_owner_is_partitioned)

BOOST_AUTO_TEST_CASE(no_orders_are_sent_after_another_vm_owns_the_cell)
{
    cell_fleet fleet(1, 3, 3);
    fleet.runFor(2s);
    const std::string owner = fleet.owner(0);
    fleet.run(nonOwnerVm(fleet, 0, 3), "a", 4, 3s);
    fleet.runFor(200ms);
    fleet.setPartitioned(owner, true);
    fleet.setStoreFault(owner, store_fault::drops_requests);
    fleet.runFor(8s);
    BOOST_TEST(fleet.owner(0) != owner);
    BOOST_TEST(doneRuns(fleet, "a") == 4);
    expectNoViolation(fleet);
}

BOOST_AUTO_TEST_CASE(another_vm_takes_over_when_only_the_owner_has_lost_the_store)
{
    cell_fleet fleet(1, 3, 3);
    fleet.runFor(2s);
    const std::string owner = fleet.owner(0);
    fleet.setStoreFault(owner, store_fault::refuses_requests);
    fleet.runFor(6s);
    BOOST_TEST(fleet.owner(0) != owner);
    expectNoViolation(fleet);
}

BOOST_AUTO_TEST_CASE(the_owner_continues_when_all_vms_lose_the_store)
{
    cell_fleet fleet(1, 3, 3);
    fleet.runFor(2s);
    const std::string owner = fleet.owner(0);
    for (unsigned number = 0; number < 3; ++number)
        fleet.setStoreFault(cell_fleet::vmName(0, number), store_fault::drops_requests);
    fleet.runFor(5s);
    fleet.run(nonOwnerVm(fleet, 0, 3), "a", 2, 100ms);
    fleet.runFor(1s);
    BOOST_TEST(fleet.owner(0) == owner);
    BOOST_TEST(fleet.answers.size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_workers_fail)

BOOST_AUTO_TEST_CASE(late_orders_start_no_task_twice)
{
    cell_fleet fleet(1, 2, 3);
    fleet.runFor(2s);
    fleet.workers.faults(cell_fleet::workerName(0, 0)).orderDelay = 3s;
    for (int number = 0; number < 5; ++number)
        fleet.run(fleet.owner(0), std::to_string(number), 3, 200ms);
    fleet.runFor(8s);
    BOOST_TEST(fleet.answers.size() == 5);
    expectNoViolation(fleet);
}

BOOST_AUTO_TEST_CASE(runs_of_an_unreachable_worker_restart_elsewhere_after_their_leases_expire)
{
    cell_fleet fleet(1, 2, 3);
    fleet.runFor(2s);
    fleet.run(fleet.owner(0), "a", 6, 800ms);
    fleet.runFor(100ms);
    fleet.workers.faults(cell_fleet::workerName(0, 1)).partitioned = true;
    fleet.runFor(5s);
    BOOST_REQUIRE(fleet.answers.size() == 1);
    BOOST_TEST((fleet.answers[0].answer == jobs::job_state::completed));
    expectNoViolation(fleet);
}

BOOST_AUTO_TEST_CASE(a_job_that_was_given_up_restarts_only_after_its_runs_have_ended)
{
    cell_fleet fleet(1, 2, 3);
    fleet.runFor(2s);
    fleet.run(fleet.owner(0), "a", 1, 2s, 300ms);
    fleet.runFor(200ms);
    fleet.workers.faults(fleet.workers.runs()[0].worker.value).partitioned = true;
    fleet.runFor(150ms);
    fleet.run(fleet.owner(0), "a", 1, 2s);
    fleet.runFor(6s);
    BOOST_TEST(fleet.answers.size() == 2);
    expectNoViolation(fleet);
}

BOOST_AUTO_TEST_CASE(a_worker_that_fails_every_run_fails_no_job)
{
    cell_fleet fleet(1, 2, 4);
    fleet.runFor(2s);
    fleet.workers.faults(cell_fleet::workerName(0, 0)).failsAll = true;
    for (int number = 0; number < 20; ++number) {
        fleet.run(fleet.owner(0), std::to_string(number), 2, 100ms);
        fleet.runFor(150ms);
    }
    fleet.runFor(1s);
    BOOST_REQUIRE(fleet.answers.size() == 20);
    for (const auto& received : fleet.answers)
        BOOST_TEST((received.answer == jobs::job_state::completed));
}

BOOST_AUTO_TEST_CASE(a_stalled_run_is_restarted_elsewhere)
{
    cell_fleet fleet(1, 2, 3);
    fleet.runFor(2s);
    for (unsigned number = 0; number < 2; ++number)
        fleet.workers.faults(cell_fleet::workerName(0, number)).hangs = true;
    fleet.run(fleet.owner(0), "a", 2, 100ms);
    fleet.runFor(4s);
    BOOST_REQUIRE(fleet.answers.size() == 1);
    BOOST_TEST((fleet.answers[0].answer == jobs::job_state::completed));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
