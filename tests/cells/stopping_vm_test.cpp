// Checks that a VM that is told to stop leaves no run behind for a caller that it could not answer: the caller submits the job
// again, maybe in another failure domain, whose VMs do not know of the run.
#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "tests/fakes/fleet_checks.h"
#include "tests/fakes/resubmitting_callers.h"

using namespace coriandermount;
using namespace coriandermount::fakes;
using namespace std::chrono_literals;

namespace {

/// Two failure domains. Callers of the first one use a VM that does not own the cell, and that is told to stop.
struct stopping_vm {
    stopping_vm()
    {
        fleet.runFor(2s);
        home = fleet.owner(0);
        entry = home == cell_fleet::vmName(0, 0) ? cell_fleet::vmName(0, 1) : cell_fleet::vmName(0, 0);
        other = fleet.owner(1);
    }

    void tellToStop() { fleet.restartOrderly(entry, 10s); }

    /// Returns the first answer to a job, or null.
    const result<jobs::job_state>* answerTo(const std::string& jobId) const
    {
        const auto found
            = std::find_if(fleet.answers.begin(), fleet.answers.end(), [&](const auto& answer) { return answer.jobId == jobId; });
        return found == fleet.answers.end() ? nullptr : &found->answer;
    }

    /// Runs on until the caller at the stopping VM has its answer or has lost its connection.
    void awaitAnswerOrLoss(const std::string& jobId)
    {
        while (fleet.isAlive(entry) && !answerTo(jobId))
            fleet.runFor(1ms);
    }

    /// Submits a job again in the other failure domain, as a caller does that was answered or lost its connection at `lostAt`.
    void submitAgainElsewhere(const std::string& jobId, time_point lostAt)
    {
        const auto sinceLoss = std::chrono::duration_cast<std::chrono::milliseconds>(fleet.loop.now() - lostAt);
        fleet.runFor(resubmitting_callers::retransmissionDelay - sinceLoss);
        fleet.run(other, jobId, 2, 8s, 20s);
        fleet.runFor(10s);
    }

    cell_fleet fleet { 2, 3, 3 };
    std::string home;
    std::string entry;
    std::string other;
};

} // namespace

BOOST_AUTO_TEST_SUITE(at_most_once)

BOOST_FIXTURE_TEST_SUITE(when_the_vm_of_a_caller_is_told_to_stop, stopping_vm)

// Guards against two runs at a time of a job that a stopping VM abandoned and whose owner was lost after the VM had ended, when
// nobody could tell the next owner of it (issue 44).
BOOST_AUTO_TEST_CASE(an_abandoned_job_does_not_run_beside_its_resubmission_when_the_owner_is_lost_after_the_vm)
{
    fleet.run(entry, "a", 2, 8s, 20s);
    tellToStop();
    awaitAnswerOrLoss("a");
    const auto answeredAt = fleet.loop.now();
    while (fleet.isAlive(entry))
        fleet.runFor(1ms);
    fleet.runFor(400ms);
    fleet.kill(home);
    submitAgainElsewhere("a", answeredAt);
    expectNoViolation(fleet);
}

// Guards against two runs at a time of an abandoned job whose owner was lost before it had stopped the run (issue 44).
BOOST_AUTO_TEST_CASE(an_abandoned_job_does_not_run_beside_its_resubmission_when_the_owner_is_lost_before_the_vm)
{
    fleet.run(entry, "a", 2, 8s, 20s);
    tellToStop();
    awaitAnswerOrLoss("a");
    const auto answeredAt = fleet.loop.now();
    fleet.runFor(400ms);
    fleet.kill(home);
    submitAgainElsewhere("a", answeredAt);
    expectNoViolation(fleet);
}

// Guards against jobs that a stopping VM accepts although it can't wait for their end (issue 44).
BOOST_AUTO_TEST_CASE(a_job_that_can_not_end_before_the_vm_is_refused_at_once_and_never_starts)
{
    fleet.run(entry, "keeps the VM open", 1, 8s, 20s);
    tellToStop();
    fleet.runFor(4s);
    fleet.run(entry, "a", 2, 2s);
    fleet.runFor(10ms);
    const auto* refusal = answerTo("a");
    BOOST_REQUIRE(refusal);
    BOOST_REQUIRE(!refusal->has_value());
    BOOST_TEST((refusal->error().kind == error_kind::shutting_down));
    BOOST_TEST(refusal->error().retryAfter.has_value());
    fleet.runFor(5s);
    BOOST_TEST(fleet.counterValues(home).starts == 1U);
}

// Guards against runs that go on for half a second for a caller that has its answer (issue 44).
BOOST_AUTO_TEST_CASE(the_runs_of_an_abandoned_job_are_stopped_at_once)
{
    fleet.run(entry, "a", 2, 8s, 20s);
    tellToStop();
    awaitAnswerOrLoss("a");
    fleet.runFor(100ms);
    BOOST_REQUIRE(fleet.workers.runs().size() == 2U);
    for (const auto& run : fleet.workers.runs())
        BOOST_TEST(run.end.has_value());
}

// Guards against refusals of jobs that a stopping VM still has the time for.
BOOST_AUTO_TEST_CASE(a_job_of_two_seconds_that_arrives_three_seconds_after_the_signal_is_served)
{
    fleet.run(entry, "keeps the VM open", 1, 8s, 20s);
    tellToStop();
    fleet.runFor(2900ms);
    fleet.run(entry, "a", 2, 2s);
    fleet.runFor(2100ms);
    const auto* answer = answerTo("a");
    BOOST_REQUIRE(answer);
    BOOST_TEST((*answer == jobs::job_state::completed));
}

// Guards against refusals of jobs that a stopping VM still has the time for.
BOOST_AUTO_TEST_CASE(a_job_that_ends_before_the_vm_is_served)
{
    fleet.run(entry, "keeps the VM open", 1, 8s, 20s);
    tellToStop();
    fleet.runFor(4s);
    fleet.run(entry, "a", 2, 500ms);
    fleet.runFor(600ms);
    const auto* answer = answerTo("a");
    BOOST_REQUIRE(answer);
    BOOST_TEST((*answer == jobs::job_state::completed));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
