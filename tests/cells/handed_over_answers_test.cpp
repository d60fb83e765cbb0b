// Checks that an unstored job that was completed under one owner is not run again under the next one.
#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "tests/fakes/fleet_checks.h"

using namespace coriandermount;
using namespace coriandermount::fakes;
using namespace std::chrono_literals;

namespace {

/// Time after which a caller submits a job again that was not answered.
constexpr auto resubmissionDelay = 1300ms;

/// A cell whose owner has completed a job; the VM that the caller is connected to is lost before it has the answer.
struct unanswered_completed_job {
    unanswered_completed_job()
    {
        fleet.runFor(2s);
        owner = fleet.owner(0);
        for (unsigned number = 0; number < 4; ++number) {
            const std::string vm = cell_fleet::vmName(0, number);
            if (vm != owner)
                (caller.empty() ? caller : other) = vm;
        }
        fleet.run(caller, "a", 2, 300ms);
        fleet.runFor(100ms);
        fleet.kill(caller);
        fleet.runFor(300ms);
        BOOST_REQUIRE(runsOfJob() == 2);
    }

    std::ptrdiff_t runsOfJob() const
    {
        const auto& runs = fleet.workers.runs();
        return std::count_if(runs.begin(), runs.end(), [](const auto& run) { return run.task.jobId == "a"; });
    }

    cell_fleet fleet { 1, 4, 3 };
    std::string owner;
    std::string caller;
    std::string other;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_job_whose_caller_was_not_answered, unanswered_completed_job)

// Guards against a run that follows one that was done (issue 24): the owner that stopped took its list of ended jobs with it.
BOOST_AUTO_TEST_CASE(is_not_run_again_after_its_owner_has_handed_the_cell_over)
{
    fleet.drain(owner);
    fleet.runFor(resubmissionDelay);
    BOOST_REQUIRE(fleet.owner(0) != owner);
    fleet.run(other, "a", 2, 300ms);
    fleet.runFor(2s);
    BOOST_TEST(runsOfJob() == 2);
    BOOST_REQUIRE(fleet.answers.size() == 1);
    BOOST_TEST((fleet.answers[0].answer == jobs::job_state::completed));
    expectNoViolation(fleet);
}

BOOST_AUTO_TEST_SUITE_END()
