// Checks that a lent job whose end the home cell did not learn is not started a second time while another cell runs it.
#include <boost/test/unit_test.hpp>

#include "tests/fakes/fleet_checks.h"

using namespace coriandermount;
using namespace coriandermount::fakes;
using namespace std::chrono_literals;

namespace {

/// Time after which a caller submits a job again that was not answered.
constexpr auto resubmissionDelay = 1300ms;

/// Two cells, the first of which has lent a job to the second. The caller has been told that the job may have run. The runs go
/// on because the workers execute the stop orders only seconds later.
struct unanswered_lent_job {
    unanswered_lent_job()
    {
        fleet.runFor(2s);
        home = fleet.owner(0);
        fleet.run(home, "long", 6, 900ms);
        fleet.runFor(300ms);
        fleet.run(home, "lent", 2, 5s, 600ms);
        fleet.runFor(100ms);
        BOOST_REQUIRE(fleet.counterValues(home).lentJobs == 1);
        for (unsigned number = 0; number < 3; ++number)
            fleet.workers.faults(cell_fleet::workerName(1, number)).orderDelay = 3s;
        fleet.runFor(500ms);
        BOOST_REQUIRE(fleet.answers.size() == 1);
        BOOST_REQUIRE((rowOf(fleet.answers[0].answer.error().kind).result == outcome::may_have_run));
    }

    void resubmit()
    {
        for (unsigned number = 0; number < 3; ++number)
            fleet.workers.faults(cell_fleet::workerName(1, number)).orderDelay = 0ms;
        fleet.run(fleet.owner(0), "lent", 2, 5s);
        fleet.runFor(10s);
    }

    bool isCompleted() const { return fleet.answers.back().jobId == "lent" && fleet.answers.back().answer; }

    cell_fleet fleet { 2, 3, 3 };
    std::string home;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(an_unanswered_lent_job, unanswered_lent_job)

BOOST_AUTO_TEST_CASE(is_sent_to_the_same_cell_when_it_is_submitted_again)
{
    // Guards against a second start: the home cell forgot the job after the time limit of its caller and started it itself.
    fleet.runFor(resubmissionDelay);
    resubmit();
    BOOST_TEST(isCompleted());
    expectNoViolation(fleet);
}

BOOST_AUTO_TEST_CASE(is_reported_to_the_next_owner_of_the_home_cell)
{
    // Guards against a second start: the other cell did not report runs that it had failed to stop, because their job had ended.
    fleet.drain(home);
    fleet.runFor(resubmissionDelay);
    BOOST_REQUIRE(fleet.owner(0) != home);
    resubmit();
    BOOST_TEST(isCompleted());
    expectNoViolation(fleet);
}

BOOST_AUTO_TEST_SUITE_END()
