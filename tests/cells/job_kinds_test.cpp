// Checks gangs, whose tasks start and end together, and long-running tasks, which run until their job is cancelled.
#include <algorithm>
#include <map>
#include <set>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "tests/fakes/fleet_checks.h"

using namespace coriandermount;
using namespace coriandermount::fakes;
using namespace std::chrono_literals;

namespace {

jobs::step plainStep(std::uint32_t tasks)
{
    jobs::step definition;
    definition.taskCount = tasks;
    definition.need = { 7000, 64, 0 };
    return definition;
}

jobs::step gangStep(std::uint32_t tasks)
{
    jobs::step definition = plainStep(tasks);
    definition.gang = true;
    return definition;
}

jobs::step tightlyCoupledStep(std::uint32_t tasks)
{
    jobs::step definition = gangStep(tasks);
    definition.tightlyCoupled = true;
    return definition;
}

/// Time after its last run within which the platform requires a long-running task to run again: 6 s and 3 s of grace.
constexpr auto restartLimit = 9s;

jobs::step longRunningStep(std::uint32_t tasks)
{
    jobs::step definition = plainStep(tasks);
    definition.longRunning = true;
    return definition;
}

/// Returns the runs of one job, grouped by attempt.
std::map<std::uint64_t, std::vector<recorded_run>> runsByAttempt(const cell_fleet& fleet, const std::string& jobId)
{
    std::map<std::uint64_t, std::vector<recorded_run>> found;
    for (const auto& run : fleet.workers.runs()) {
        if (run.task.jobId == jobId)
            found[run.attempt].push_back(run);
    }
    return found;
}

/// Puts the workers of a domain into two racks, `r-0` and `r-1`, by turns.
void useTwoRacks(cell_fleet& fleet, unsigned workers)
{
    for (unsigned number = 0; number < workers; ++number)
        fleet.workers.setLabels(cell_fleet::workerName(0, number), { "a", fmt::format("r-{}", number % 2) });
}

/// Returns the racks on which the runs of a job were started.
std::set<std::string> racksOf(const cell_fleet& fleet, const std::string& jobId)
{
    std::set<std::string> racks;
    for (const auto& run : fleet.workers.runs()) {
        for (const auto& worker : fleet.workers.registrations("0")) {
            if (run.task.jobId == jobId && worker.id == run.worker)
                racks.insert(worker.labels.back());
        }
    }
    return racks;
}

/// Returns the number of tasks of a job that are running.
std::size_t runningTasks(const cell_fleet& fleet, const std::string& jobId)
{
    std::set<std::uint32_t> tasks;
    for (const auto& run : fleet.workers.runs()) {
        if (run.task.jobId == jobId && !run.end)
            tasks.insert(run.task.index);
    }
    return tasks.size();
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_gang)

BOOST_AUTO_TEST_CASE(starts_all_members_under_one_attempt)
{
    cell_fleet fleet(1, 2, 3);
    fleet.runFor(2s);
    fleet.store(cell_fleet::vmName(0, 0), "a", gangStep(4), 200ms);
    fleet.runFor(1s);
    const auto runs = runsByAttempt(fleet, "a");
    BOOST_REQUIRE(runs.size() == 1U);
    BOOST_TEST(runs.begin()->second.size() == 4U);
    BOOST_TEST((fleet.state(0, "a") == jobs::job_state::completed));
}

BOOST_AUTO_TEST_CASE(does_not_start_while_only_some_members_can_be_placed)
{
    cell_fleet fleet(1, 2, 3);
    fleet.runFor(2s);
    fleet.store(cell_fleet::vmName(0, 0), "other", 3, 1s);
    fleet.runFor(100ms);
    fleet.store(cell_fleet::vmName(0, 0), "a", gangStep(5), 200ms);
    fleet.runFor(500ms);
    BOOST_TEST(runsByAttempt(fleet, "a").empty());
    fleet.runFor(2s);
    BOOST_TEST((fleet.state(0, "a") == jobs::job_state::completed));
}

BOOST_AUTO_TEST_CASE(restarts_all_members_when_one_is_lost)
{
    cell_fleet fleet(1, 2, 3);
    fleet.runFor(2s);
    fleet.store(cell_fleet::vmName(0, 0), "a", gangStep(4), 2s);
    fleet.runFor(500ms);
    fleet.workers.restart(fleet.workers.runs().front().worker.value);
    fleet.runFor(8s);
    BOOST_TEST((fleet.state(0, "a") == jobs::job_state::completed));
    for (const auto& [attempt, runs] : runsByAttempt(fleet, "a"))
        BOOST_TEST(runs.size() == 4U);
    expectNoViolation(fleet);
}

BOOST_AUTO_TEST_CASE(keeps_running_under_a_new_owner)
{
    cell_fleet fleet(1, 3, 3);
    fleet.runFor(2s);
    fleet.store(cell_fleet::vmName(0, 0), "a", gangStep(4), 4s);
    fleet.runFor(500ms);
    fleet.kill(fleet.owner(0));
    fleet.runFor(6s);
    BOOST_TEST(runsByAttempt(fleet, "a").size() == 1U);
    BOOST_TEST((fleet.state(0, "a") == jobs::job_state::completed));
    expectNoViolation(fleet);
}

BOOST_AUTO_TEST_CASE(fails_after_as_many_attempts_as_one_task_may_have)
{
    cell_fleet fleet(1, 2, 1);
    fleet.runFor(2s);
    fleet.workers.faults(cell_fleet::workerName(0, 0)).failsAll = true;
    fleet.store(cell_fleet::vmName(0, 0), "a", gangStep(2), 200ms);
    fleet.runFor(20s);
    BOOST_TEST((fleet.state(0, "a") == jobs::job_state::failed));
    BOOST_TEST(runsByAttempt(fleet, "a").size() == 3U);
}

BOOST_AUTO_TEST_SUITE(that_is_tightly_coupled)

BOOST_AUTO_TEST_CASE(waits_for_a_rack_that_is_busy)
{
    cell_fleet fleet(1, 2, 4);
    useTwoRacks(fleet, 4);
    fleet.runFor(2s);
    jobs::step spread = plainStep(4);
    spread.maxPerWorker = 1;
    fleet.store(cell_fleet::vmName(0, 0), "other", spread, 1s);
    fleet.runFor(100ms);
    fleet.store(cell_fleet::vmName(0, 0), "a", tightlyCoupledStep(4), 200ms);
    fleet.runFor(500ms);
    BOOST_TEST(runsByAttempt(fleet, "a").empty());
    fleet.runFor(2s);
    BOOST_TEST((fleet.state(0, "a") == jobs::job_state::completed));
    BOOST_TEST(racksOf(fleet, "a").size() == 1U);
}

// Guards against a lost job (issue 2, review/13): after a loss of workers a gang fitted into no single rack any more and waited
// beside idle workers, although it may run on several racks.
BOOST_AUTO_TEST_CASE(takes_several_racks_when_each_has_lost_a_worker)
{
    cell_fleet fleet(1, 2, 6);
    useTwoRacks(fleet, 6);
    fleet.workers.neverRestartAfterCrash();
    fleet.workers.unregisterAfterCrash(3s);
    fleet.runFor(2s);
    fleet.store(cell_fleet::vmName(0, 0), "before", tightlyCoupledStep(6), 200ms);
    fleet.runFor(1s);
    BOOST_TEST(racksOf(fleet, "before").size() == 1U);
    fleet.workers.crash(cell_fleet::workerName(0, 0));
    fleet.workers.crash(cell_fleet::workerName(0, 1));
    fleet.runFor(8s);
    fleet.store(cell_fleet::vmName(0, 0), "a", tightlyCoupledStep(6), 200ms);
    fleet.runFor(2s);
    BOOST_TEST((fleet.state(0, "a") == jobs::job_state::completed));
    BOOST_TEST(racksOf(fleet, "a").size() == 2U);
    expectNoViolation(fleet);
}

BOOST_AUTO_TEST_CASE(takes_several_racks_when_long_running_tasks_leave_no_room_in_one)
{
    cell_fleet fleet(1, 2, 4);
    useTwoRacks(fleet, 4);
    fleet.runFor(2s);
    jobs::step spread = longRunningStep(4);
    spread.maxPerWorker = 1;
    fleet.store(cell_fleet::vmName(0, 0), "other", spread, 60s);
    fleet.runFor(1s);
    fleet.store(cell_fleet::vmName(0, 0), "a", tightlyCoupledStep(4), 200ms);
    fleet.runFor(2s);
    BOOST_TEST((fleet.state(0, "a") == jobs::job_state::completed));
    expectNoViolation(fleet);
}

BOOST_AUTO_TEST_CASE(is_not_treated_as_stalled_while_several_racks_slow_it_down)
{
    cell_fleet fleet(1, 2, 4);
    useTwoRacks(fleet, 4);
    fleet.runFor(2s);
    for (unsigned number = 0; number < 4; ++number)
        fleet.workers.faults(cell_fleet::workerName(0, number)).hangs = true;
    fleet.store(cell_fleet::vmName(0, 0), "a", tightlyCoupledStep(6), 400ms);
    fleet.runFor(3s);
    BOOST_TEST(runsByAttempt(fleet, "a").size() == 1U);
    BOOST_TEST(runningTasks(fleet, "a") == 6U);
    fleet.runFor(1500ms);
    BOOST_TEST(runningTasks(fleet, "a") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_long_running_task)

BOOST_AUTO_TEST_CASE(is_restarted_after_any_end)
{
    cell_fleet fleet(1, 2, 3);
    fleet.runFor(2s);
    fleet.store(cell_fleet::vmName(0, 0), "a", longRunningStep(3), 300ms);
    fleet.runFor(5s);
    BOOST_TEST(fleet.workers.runs().size() > 12U);
    BOOST_TEST((fleet.state(0, "a") == jobs::job_state::running));
    expectNoViolation(fleet);
}

BOOST_AUTO_TEST_CASE(is_not_treated_as_stalled)
{
    cell_fleet fleet(1, 2, 3);
    fleet.runFor(2s);
    for (unsigned number = 0; number < 3; ++number)
        fleet.workers.faults(cell_fleet::workerName(0, number)).hangs = true;
    fleet.store(cell_fleet::vmName(0, 0), "a", longRunningStep(3), 300ms);
    fleet.runFor(10s);
    BOOST_TEST(fleet.workers.runs().size() == 3U);
}

BOOST_AUTO_TEST_CASE(is_placed_before_jobs_that_end)
{
    cell_fleet fleet(1, 2, 3);
    fleet.runFor(2s);
    for (unsigned number = 0; number < 6; ++number)
        fleet.store(cell_fleet::vmName(0, 0), "short" + std::to_string(number), 6, 400ms);
    fleet.runFor(100ms);
    fleet.store(cell_fleet::vmName(0, 0), "a", longRunningStep(3), 60s);
    fleet.runFor(1s);
    BOOST_TEST(runningTasks(fleet, "a") == 3U);
}

// Guards against a lost job (issue 2, review/3): after two crashes of its workers the job was shown as failed, although such a
// task has to be started again however it ends.
BOOST_AUTO_TEST_CASE(is_restarted_after_each_crash_of_its_worker)
{
    cell_fleet fleet(1, 2, 4);
    fleet.runFor(2s);
    fleet.store(cell_fleet::vmName(0, 0), "a", longRunningStep(1), 300s);
    for (int crash = 0; crash < 5; ++crash) {
        fleet.runFor(restartLimit);
        BOOST_REQUIRE(runningTasks(fleet, "a") == 1U);
        fleet.workers.crash(fleet.workers.runs().back().worker.value);
    }
    fleet.runFor(restartLimit);
    BOOST_TEST(runningTasks(fleet, "a") == 1U);
    BOOST_TEST((fleet.state(0, "a") == jobs::job_state::running));
    expectNoViolation(fleet);
}

// Guards against a late restart (issue 2, review/3): after the second loss the task waited until it was known whether its workers
// had crashed, for up to 10 s.
BOOST_AUTO_TEST_CASE(is_restarted_in_time_when_its_workers_never_return)
{
    cell_fleet fleet(1, 2, 6);
    fleet.workers.neverRestartAfterCrash();
    fleet.runFor(2s);
    fleet.store(cell_fleet::vmName(0, 0), "a", longRunningStep(1), 300s);
    for (int crash = 0; crash < 3; ++crash) {
        fleet.runFor(restartLimit);
        BOOST_REQUIRE(runningTasks(fleet, "a") == 1U);
        fleet.workers.crash(fleet.workers.runs().back().worker.value);
    }
    fleet.runFor(restartLimit);
    BOOST_TEST(runningTasks(fleet, "a") == 1U);
    expectNoViolation(fleet);
}

// Guards against a task that is never started again (issue 2, review/8): it waited for the end of another task of its job, which
// lasts as well, on the only worker that was reserved for the two.
BOOST_AUTO_TEST_CASE(is_restarted_in_time_beside_another_one_whose_worker_crashed)
{
    cell_fleet fleet(1, 2, 8);
    fleet.workers.refuseConnectionsAfterCrash();
    fleet.runFor(2s);
    jobs::step definition = longRunningStep(4);
    definition.maxPerWorker = 1;
    fleet.store(cell_fleet::vmName(0, 0), "a", definition, 300s);
    fleet.runFor(5s);
    BOOST_REQUIRE(runningTasks(fleet, "a") == 4U);
    fleet.workers.crash(fleet.workers.runs()[0].worker.value);
    fleet.workers.crash(fleet.workers.runs()[1].worker.value);
    fleet.runFor(restartLimit);
    BOOST_TEST(runningTasks(fleet, "a") == 4U);
    expectNoViolation(fleet);
}

// Guards against a reservation that puts tasks of one job, which ran on several workers, on one.
BOOST_AUTO_TEST_CASE(is_not_restarted_on_the_same_worker_as_another_one)
{
    cell_fleet fleet(1, 2, 8);
    fleet.workers.refuseConnectionsAfterCrash();
    fleet.runFor(2s);
    fleet.store(cell_fleet::vmName(0, 0), "a", longRunningStep(2), 300s);
    fleet.runFor(5s);
    BOOST_REQUIRE(runningTasks(fleet, "a") == 2U);
    fleet.workers.crash(fleet.workers.runs()[0].worker.value);
    fleet.workers.crash(fleet.workers.runs()[1].worker.value);
    fleet.runFor(restartLimit);
    const auto& runs = fleet.workers.runs();
    BOOST_REQUIRE(runs.size() == 4U);
    BOOST_TEST(runs[2].worker.value != runs[3].worker.value);
}

// Guards against tasks that all crash workers at a time, again and again, because they last.
BOOST_AUTO_TEST_CASE(is_held_back_if_it_crashes_workers_beside_another_one_that_does)
{
    constexpr std::uint32_t tasks = 3;
    cell_fleet fleet(1, 2, 8);
    fleet.workers.refuseConnectionsAfterCrash();
    fleet.runFor(2s);
    for (std::uint32_t index = 0; index < tasks; ++index)
        fleet.workers.makeDeadly({ "a", 0, 0, index });
    fleet.store(cell_fleet::vmName(0, 0), "a", longRunningStep(tasks), 300s);
    fleet.runFor(30s);
    const auto first = fleet.workers.runs().size();
    fleet.runFor(30s);
    const auto& runs = fleet.workers.runs();
    BOOST_REQUIRE(runs.size() > first + 1);
    for (auto number = first + 1; number < runs.size(); ++number)
        BOOST_TEST((runs[number].worker == runs[number - 1].worker || runs[number].start > *runs[number - 1].end));
    expectNoViolation(fleet);
}

BOOST_AUTO_TEST_CASE(is_restarted_by_the_next_owner_after_crashes_of_its_workers)
{
    cell_fleet fleet(1, 2, 4);
    fleet.runFor(2s);
    fleet.store(cell_fleet::vmName(0, 0), "a", longRunningStep(1), 300s);
    for (int crash = 0; crash < 4; ++crash) {
        fleet.runFor(restartLimit);
        BOOST_REQUIRE(runningTasks(fleet, "a") == 1U);
        fleet.workers.crash(fleet.workers.runs().back().worker.value);
    }
    fleet.runFor(3s);
    fleet.kill(fleet.owner(0));
    fleet.runFor(restartLimit);
    BOOST_TEST(runningTasks(fleet, "a") == 1U);
    BOOST_TEST((fleet.state(0, "a") == jobs::job_state::running));
    expectNoViolation(fleet);
}

BOOST_AUTO_TEST_CASE(ends_when_its_job_is_cancelled)
{
    cell_fleet fleet(1, 2, 3);
    fleet.runFor(2s);
    fleet.store(cell_fleet::vmName(0, 0), "a", longRunningStep(3), 60s);
    fleet.runFor(1s);
    fleet.kill(fleet.owner(0));
    fleet.runFor(2s);
    BOOST_TEST(runningTasks(fleet, "a") == 3U);
    fleet.cancel(cell_fleet::vmName(0, fleet.isAlive(cell_fleet::vmName(0, 0)) ? 0 : 1), "a");
    fleet.runFor(1s);
    BOOST_TEST(runningTasks(fleet, "a") == 0U);
    BOOST_TEST((fleet.state(0, "a") == jobs::job_state::cancelled));
}

BOOST_AUTO_TEST_SUITE_END()
