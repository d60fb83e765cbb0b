// Checks that a task whose start order may have been executed is not started again without proof that it does not run, and that
// its job is completed once there is proof.
#include <boost/test/unit_test.hpp>

#include "tests/fakes/fleet_checks.h"

using namespace coriandermount;
using namespace coriandermount::fakes;
using namespace std::chrono_literals;
using cells::order_failure;

namespace {

/// A cell with one VM and three workers, of which the first gets the first task.
struct unanswered_order_fixture {
    cell_fleet fleet { 1, 1, 3 };
    const std::string vm = cell_fleet::vmName(0, 0);
    const std::string first = cell_fleet::workerName(0, 0);

    unanswered_order_fixture() { fleet.runFor(2s); }

    worker_faults& faults() { return fleet.workers.faults(first); }
    const std::vector<recorded_run>& runs() const { return fleet.workers.runs(); }

    /// Runs a job of one task whose start order is sent to the first worker with the given transports.
    void runTask(const std::deque<order_transport>& tries, std::chrono::milliseconds duration)
    {
        faults().nextStarts = tries;
        fleet.run(vm, "a", 1, duration);
    }

    void storeTask(const std::deque<order_transport>& tries, std::chrono::milliseconds duration)
    {
        faults().nextStarts = tries;
        fleet.store(vm, "a", 1, duration);
    }

    void expectAllTriesUsed() { BOOST_TEST(faults().nextStarts.empty()); }

    /// Expects that the task did not run twice at a time, that it did not start after a run was done, and that the caller was
    /// told so.
    void expectCompletedOnce()
    {
        expectAllTriesUsed();
        expectNoViolation(fleet);
        std::size_t done = 0;
        for (const auto& run : runs()) {
            BOOST_TEST(done == 0, "the task started again after a run was done");
            done += run.done ? 1 : 0;
        }
        BOOST_TEST(done == 1);
        BOOST_REQUIRE(fleet.answers.size() == 1);
        BOOST_TEST((fleet.answers[0].answer == jobs::job_state::completed));
    }

    void expectOnlyRunIsOnFirstWorker()
    {
        expectCompletedOnce();
        BOOST_REQUIRE(runs().size() == 1);
        BOOST_TEST(runs()[0].worker.value == first);
    }

    /// The first try is executed and its answer lost; the second is refused while the run continues.
    void expectRunSurvivesRefusedRetry(order_failure refusal)
    {
        runTask({ order_transport::answerLost(), order_transport::refused(refusal) }, 600ms);
        fleet.runFor(3s);
        expectOnlyRunIsOnFirstWorker();
    }

    /// The second try is refused while the first is still in the network.
    void expectDelayedTryRunsAlone(order_failure refusal)
    {
        runTask({ order_transport::delayed(200ms), order_transport::refused(refusal) }, 600ms);
        fleet.runFor(4s);
        expectCompletedOnce();
    }

    /// The only try is refused, so the task starts on another worker as soon as the refusal arrives.
    void expectStartedElsewhereAtOnce(const order_transport& onlyTry, std::chrono::milliseconds limit)
    {
        const auto sentAt = fleet.loop.now();
        runTask({ onlyTry }, 100ms);
        fleet.runFor(3s);
        expectCompletedOnce();
        BOOST_REQUIRE(runs().size() == 1);
        BOOST_TEST(runs()[0].worker.value != first);
        BOOST_TEST((runs()[0].start - sentAt <= limit));
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(at_most_once)

BOOST_FIXTURE_TEST_SUITE(when_the_last_try_of_an_order_is_not_sent, unanswered_order_fixture)

// Guards against a second start after the outcomes `no_answer` and `not_sent`, while the first try ran (issue 21).
BOOST_AUTO_TEST_CASE(the_task_is_not_started_elsewhere_while_the_first_try_runs)
{
    runTask({ order_transport::answerLost(), order_transport::notSent() }, 600ms);
    fleet.runFor(3s);
    expectOnlyRunIsOnFirstWorker();
}

// Guards against a second start after `no_answer` twice and `not_sent` (issue 21).
BOOST_AUTO_TEST_CASE(the_task_is_not_started_elsewhere_after_three_tries)
{
    faults().losesPollAnswers = true;
    runTask({ order_transport::answerLost(), order_transport::answerLost(), order_transport::notSent() }, 600ms);
    fleet.runFor(500ms);
    faults().losesPollAnswers = false;
    fleet.runFor(3s);
    expectOnlyRunIsOnFirstWorker();
}

// Guards against a second start while the run of the second try continued (issue 21).
BOOST_AUTO_TEST_CASE(the_task_is_not_started_elsewhere_while_the_second_try_runs)
{
    faults().losesPollAnswers = true;
    runTask({ order_transport::requestLost(), order_transport::answerLost(), order_transport::notSent() }, 600ms);
    fleet.runFor(500ms);
    faults().losesPollAnswers = false;
    fleet.runFor(3s);
    expectOnlyRunIsOnFirstWorker();
}

// Guards against a second start of a run that a poll had confirmed before the last try failed (issue 21).
BOOST_AUTO_TEST_CASE(the_task_is_not_started_elsewhere_when_a_poll_has_listed_its_run)
{
    runTask({ order_transport::answerLost(), order_transport::answerLost(), order_transport::notSent() }, 600ms);
    fleet.runFor(3s);
    expectOnlyRunIsOnFirstWorker();
}

// Guards against a second start while a retransmitted first try began to run before the last outcome (issue 21).
BOOST_AUTO_TEST_CASE(the_task_is_not_started_elsewhere_when_the_first_try_arrives_before_the_last_outcome)
{
    runTask({ order_transport::delayed(200ms), order_transport::notSent() }, 600ms);
    fleet.runFor(3s);
    expectOnlyRunIsOnFirstWorker();
}

// Guards against a run that begins after the task was started elsewhere (issue 21).
BOOST_AUTO_TEST_CASE(the_task_runs_once_at_a_time_when_the_first_try_arrives_after_the_last_outcome)
{
    runTask({ order_transport::delayed(400ms), order_transport::notSent() }, 600ms);
    fleet.runFor(5s);
    expectCompletedOnce();
}

// Guards against a second start of an unstored task that was done before the last try failed (issue 21).
BOOST_AUTO_TEST_CASE(the_task_is_not_started_again_after_its_run_was_done)
{
    faults().losesPollAnswers = true;
    runTask({ order_transport::answerLost(), order_transport::notSent() }, 100ms);
    fleet.runFor(500ms);
    faults().losesPollAnswers = false;
    fleet.runFor(3s);
    expectOnlyRunIsOnFirstWorker();
}

// Guards against a second start of a stored task that was done before the last try failed (issue 21).
BOOST_AUTO_TEST_CASE(a_stored_task_is_not_started_again_after_its_run_was_done)
{
    faults().losesPollAnswers = true;
    storeTask({ order_transport::answerLost(), order_transport::notSent() }, 100ms);
    fleet.runFor(500ms);
    faults().losesPollAnswers = false;
    fleet.runFor(3s);
    expectAllTriesUsed();
    expectNoViolation(fleet);
    BOOST_TEST(runs().size() == 1);
    BOOST_TEST((fleet.state(0, "a") == jobs::job_state::completed));
}

BOOST_AUTO_TEST_CASE(the_task_starts_once_the_worker_shows_that_no_try_was_executed)
{
    runTask({ order_transport::requestLost(), order_transport::notSent() }, 100ms);
    fleet.runFor(5s);
    expectCompletedOnce();
    BOOST_TEST(runs().size() == 1);
}

BOOST_AUTO_TEST_CASE(the_task_starts_elsewhere_after_the_lease_of_an_unreachable_worker)
{
    runTask({ order_transport::answerLost(), order_transport::notSent() }, 3s);
    fleet.runFor(50ms);
    faults().losesPollAnswers = true;
    fleet.runFor(200ms);
    faults().partitioned = true;
    fleet.runFor(8s);
    expectCompletedOnce();
    BOOST_TEST(runs().size() == 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(when_the_last_try_of_an_order_is_refused, unanswered_order_fixture)

// Each case guards against a second start after the refusal of a retry, while the first try ran (issue 21).
BOOST_AUTO_TEST_CASE(the_run_of_the_first_try_continues_after_no_room) { expectRunSurvivesRefusedRetry(order_failure::no_room); }

BOOST_AUTO_TEST_CASE(the_run_of_the_first_try_continues_after_an_unhealthy_worker)
{
    expectRunSurvivesRefusedRetry(order_failure::refused);
}

BOOST_AUTO_TEST_CASE(the_run_of_the_first_try_continues_after_other_instance)
{
    expectRunSurvivesRefusedRetry(order_failure::other_instance);
}

BOOST_AUTO_TEST_CASE(the_run_of_the_first_try_continues_after_needs_ticket)
{
    expectRunSurvivesRefusedRetry(order_failure::needs_ticket);
}

BOOST_AUTO_TEST_CASE(the_run_of_the_first_try_continues_after_malformed)
{
    expectRunSurvivesRefusedRetry(order_failure::malformed);
}

BOOST_AUTO_TEST_CASE(the_run_of_the_first_try_continues_after_too_late)
{
    expectRunSurvivesRefusedRetry(order_failure::too_late);
}

// Each case guards against a first try that arrives after the task was started elsewhere (issue 21).
BOOST_AUTO_TEST_CASE(a_first_try_that_arrives_after_no_room_runs_alone) { expectDelayedTryRunsAlone(order_failure::no_room); }

BOOST_AUTO_TEST_CASE(a_first_try_that_arrives_after_an_unhealthy_worker_runs_alone)
{
    expectDelayedTryRunsAlone(order_failure::refused);
}

BOOST_AUTO_TEST_CASE(the_task_starts_again_when_the_worker_has_restarted)
{
    runTask({ order_transport::answerLost(), order_transport::refused(order_failure::other_instance) }, 600ms);
    fleet.runFor(60ms);
    fleet.workers.restart(first);
    fleet.runFor(5s);
    expectCompletedOnce();
    BOOST_TEST(runs().size() == 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(when_the_worker_answers_that_the_attempt_has_ended, unanswered_order_fixture)

// Guards against a second start of an unstored task that was done before its answer arrived (issue 21).
BOOST_AUTO_TEST_CASE(the_task_is_not_started_again_if_its_run_was_done)
{
    faults().losesPollAnswers = true;
    runTask({ order_transport::answerLost(), order_transport::delivered() }, 100ms);
    fleet.runFor(500ms);
    faults().losesPollAnswers = false;
    fleet.runFor(3s);
    expectOnlyRunIsOnFirstWorker();
}

// Guards against a second start of a stored task that was done before its answer arrived (issue 21).
BOOST_AUTO_TEST_CASE(a_stored_task_is_not_started_again_if_its_run_was_done)
{
    faults().losesPollAnswers = true;
    storeTask({ order_transport::answerLost(), order_transport::delivered() }, 100ms);
    fleet.runFor(500ms);
    faults().losesPollAnswers = false;
    fleet.runFor(3s);
    expectAllTriesUsed();
    expectNoViolation(fleet);
    BOOST_TEST(runs().size() == 1);
    BOOST_TEST((fleet.state(0, "a") == jobs::job_state::completed));
}

// Guards against a second start before the worker has reported how the first run ended (issue 21).
BOOST_AUTO_TEST_CASE(the_task_is_started_again_once_its_end_as_lapsed_is_known)
{
    faults().losesPollAnswers = true;
    runTask({ order_transport::answerLost(), order_transport::delivered() }, 600ms);
    fleet.runFor(60ms);
    fleet.workers.endRuns(first, cells::run_end_reason::lapsed);
    fleet.runFor(440ms);
    const auto answersReturnAt = fleet.loop.now();
    faults().losesPollAnswers = false;
    fleet.runFor(4s);
    expectCompletedOnce();
    BOOST_REQUIRE(runs().size() == 2);
    BOOST_TEST((runs()[1].start >= answersReturnAt));
}

// Guards against a second start before the worker has reported how the first run ended (issue 21).
BOOST_AUTO_TEST_CASE(the_task_is_started_again_once_its_end_as_stopped_is_known)
{
    faults().losesPollAnswers = true;
    runTask({ order_transport::answerLost(), order_transport::delivered() }, 600ms);
    fleet.runFor(60ms);
    fleet.workers.endRuns(first, cells::run_end_reason::stopped);
    fleet.runFor(440ms);
    const auto answersReturnAt = fleet.loop.now();
    faults().losesPollAnswers = false;
    fleet.runFor(4s);
    expectCompletedOnce();
    BOOST_REQUIRE(runs().size() == 2);
    BOOST_TEST((runs()[1].start >= answersReturnAt));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(when_the_only_try_of_an_order_fails, unanswered_order_fixture)

BOOST_AUTO_TEST_CASE(the_task_starts_elsewhere_at_once_if_the_order_was_not_sent)
{
    expectStartedElsewhereAtOnce(order_transport::notSent(), orderTimeout + 5ms);
}

BOOST_AUTO_TEST_CASE(the_task_starts_elsewhere_at_once_if_the_worker_has_no_room)
{
    expectStartedElsewhereAtOnce(order_transport::refused(order_failure::no_room), 5ms);
}

BOOST_AUTO_TEST_CASE(the_task_starts_elsewhere_at_once_if_the_worker_is_unhealthy)
{
    expectStartedElsewhereAtOnce(order_transport::refused(order_failure::refused), 5ms);
}

BOOST_AUTO_TEST_CASE(the_task_starts_elsewhere_at_once_if_the_worker_demands_a_ticket)
{
    expectStartedElsewhereAtOnce(order_transport::refused(order_failure::needs_ticket), 5ms);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_path_to_a_worker_is_disturbed)

namespace {

/// Runs jobs on a fleet whose first worker is behind the given path for 2 s.
void expectEveryJobRunsOnce(path_fault fault, std::uint32_t seed)
{
    cell_fleet fleet(1, 1, 3);
    fleet.runFor(2s);
    fleet.workers.faults(cell_fleet::workerName(0, 0)).path = worker_path(fault, seed);
    for (int number = 0; number < 10; ++number) {
        fleet.run(fleet.owner(0), std::to_string(number), 2, 300ms);
        fleet.runFor(200ms);
    }
    fleet.workers.faults(cell_fleet::workerName(0, 0)).path = {};
    fleet.runFor(8s);
    expectNoViolation(fleet);
    BOOST_TEST(fleet.answers.size() == 10);
}

} // namespace

// Guards against a second start of a task whose order arrived although no answer came back (issue 21).
BOOST_AUTO_TEST_CASE(no_task_runs_twice_while_answers_are_lost)
{
    for (std::uint32_t seed = 0; seed < 20; ++seed)
        BOOST_TEST_CONTEXT("seed " << seed) { expectEveryJobRunsOnce(path_fault::one_way, seed); }
}

// Guards against a second start of a task whose order was retransmitted (issue 21).
BOOST_AUTO_TEST_CASE(no_task_runs_twice_while_packets_are_lost_at_random)
{
    for (std::uint32_t seed = 0; seed < 20; ++seed)
        BOOST_TEST_CONTEXT("seed " << seed) { expectEveryJobRunsOnce(path_fault::lossy, seed); }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
