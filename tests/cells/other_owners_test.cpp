// Checks that an owner does not take a task as ended, or as never started, because it does not know what other owners did.
#include <boost/test/unit_test.hpp>

#include "tests/fakes/fleet_checks.h"

using namespace coriandermount;
using namespace coriandermount::fakes;
using namespace std::chrono_literals;

namespace {

/// Time after which a caller submits a job again that was not answered.
constexpr auto resubmissionDelay = 1300ms;

/// Two cells, the first of which is fully used and has given up a job at the time limit of its caller. The runs of that job go
/// on, because the workers have not received the stop orders.
struct job_that_was_given_up {
    job_that_was_given_up()
    {
        fleet.runFor(2s);
        home = fleet.owner(0);
        fleet.run(home, "long", 4, 4s);
        fleet.run(home, "given-up", 2, 5s, 600ms);
        fleet.runFor(100ms);
        setStopDelay(3s);
        fleet.runFor(resubmissionDelay);
        BOOST_REQUIRE(fleet.answers.size() == 1);
        BOOST_REQUIRE((rowOf(fleet.answers[0].answer.error().kind).result == outcome::may_have_run));
        BOOST_REQUIRE(fleet.counterValues(home).lentJobs == 0);
    }

    void setStopDelay(std::chrono::milliseconds delay)
    {
        for (unsigned number = 0; number < 3; ++number)
            fleet.workers.faults(cell_fleet::workerName(0, number)).orderDelay = delay;
    }

    cell_fleet fleet { 2, 3, 3 };
    std::string home;
};

} // namespace

BOOST_AUTO_TEST_SUITE(other_owners)

// Guards against a second start: the resubmitted job was lent to another cell while runs of its first submission went on here.
BOOST_FIXTURE_TEST_CASE(a_job_that_own_workers_may_still_run_is_not_lent, job_that_was_given_up)
{
    setStopDelay(0ms);
    fleet.run(home, "given-up", 2, 5s);
    fleet.runFor(10s);
    BOOST_TEST(fleet.answers.back().jobId == "given-up");
    BOOST_TEST(fleet.answers.back().answer.has_value());
    BOOST_TEST(fleet.counterValues(home).lentJobs == 0U);
    expectNoViolation(fleet);
}

BOOST_AUTO_TEST_SUITE_END()
