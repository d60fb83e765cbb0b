// Checks that a lent job that another cell has completed is not run again by the next owner of its home cell.
#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "tests/fakes/fleet_checks.h"

using namespace coriandermount;
using namespace coriandermount::fakes;
using namespace std::chrono_literals;

namespace {

/// Two cells, the first of which has lent a job of two tasks to the second. The caller is connected to a VM that owns neither.
struct lent_job {
    lent_job()
    {
        fleet.runFor(2s);
        home = fleet.owner(0);
        other = fleet.owner(1);
        for (unsigned number = 0; number < 3 && caller.empty(); ++number)
            caller = home == cell_fleet::vmName(0, number) ? std::string() : cell_fleet::vmName(0, number);
        fleet.run(home, "long", 6, 900ms);
        fleet.runFor(300ms);
        fleet.run(caller, "lent", 2, 300ms);
        fleet.runFor(100ms);
        BOOST_REQUIRE(fleet.counterValues(home).lentJobs == 1);
    }

    /// Expects that each task of the lent job ran once and that the caller was told that the job is completed.
    void expectCompletedOnce()
    {
        const auto& runs = fleet.workers.runs();
        BOOST_TEST(std::count_if(runs.begin(), runs.end(), [](const auto& run) { return run.task.jobId == "lent"; }) == 2);
        const auto answer = std::find_if(
            fleet.answers.begin(), fleet.answers.end(), [](const auto& received) { return received.jobId == "lent"; });
        BOOST_REQUIRE((answer != fleet.answers.end()));
        BOOST_TEST((answer->answer == jobs::job_state::completed));
        expectNoViolation(fleet);
    }

    cell_fleet fleet { 2, 3, 3 };
    std::string home;
    std::string other;
    std::string caller;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_completed_lent_job, lent_job)

// Guards against a run that follows one that was done (issue 24): the other cell reported only jobs that had not ended.
BOOST_AUTO_TEST_CASE(is_not_run_again_by_the_next_owner_of_the_home_cell)
{
    fleet.kill(home);
    fleet.runFor(4s);
    BOOST_REQUIRE(fleet.owner(0) != home);
    expectCompletedOnce();
}

// Guards against a run that follows one that was done: the list of ended jobs that the owner of the other cell handed over did
// not name their home cells, so that its successor did not report them to the next owner of the home cell.
BOOST_AUTO_TEST_CASE(is_not_run_again_when_the_owners_of_both_cells_change)
{
    fleet.kill(home);
    fleet.runFor(300ms);
    fleet.drain(other);
    fleet.runFor(4s);
    BOOST_REQUIRE(fleet.owner(0) != home);
    BOOST_REQUIRE(fleet.owner(1) != other);
    expectCompletedOnce();
}

BOOST_AUTO_TEST_SUITE_END()
