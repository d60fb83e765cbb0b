// The verdict of an explanation is that of all starts and submissions of a job, not that of the last one.
#include <boost/test/unit_test.hpp>

#include "dispatch/job_events.h"
#include "event_log/explanation.h"
#include "event_log/fault_counter.h"
#include "event_log/journal.h"
#include "tests/fakes/engine_driver.h"

using namespace coriandermount;
using event_log::event;

namespace {

struct journalled_fleet : fakes::engine_driver {
    journalled_fleet() { setDefaultWorkers(4, 4); }

    /// Returns the events of a job that has been answered, and of `later`, the answers to later submissions.
    std::vector<event> eventsOf(job_serial job, const std::vector<job_answer>& later = {})
    {
        BOOST_REQUIRE(answerOf(job));
        std::vector<event> events = journal;
        events.push_back(dispatch::answeredEvent(*answerOf(job), {}, {}));
        for (const auto& answer : later)
            events.push_back(dispatch::answeredEvent(answer, {}, {}));
        for (std::size_t index = 0; index < events.size(); ++index) {
            events[index].sequence = index + 1;
            events[index].at = wall_time(std::chrono::milliseconds(index));
        }
        return events;
    }

    event_log::explanation explain(const std::vector<event>& events)
    {
        const auto found = event_log::explain(makeJob("job", 1).key, events, {}, {});
        BOOST_REQUIRE(found);
        return *found;
    }

    /// Runs an idempotent job whose first start is lost and whose later ones are refused.
    job_serial loseFirstStartAndRefuseOthers()
    {
        auto request = makeJob("job", 1);
        request.idempotent = true;
        const auto job = submit(request);
        fail(starts[0].lease, error_kind::worker_lost);
        while (!openStarts.empty())
            fail(openStarts.begin()->first, error_kind::worker_refused);
        return job;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(the_explanation_of_a_refused_job, journalled_fleet)

// Guards against the verdict `not_run` for a job of which the first start may have run.
BOOST_AUTO_TEST_CASE(says_may_have_run_if_an_earlier_start_may_have_run)
{
    const auto found = explain(eventsOf(loseFirstStartAndRefuseOthers()));
    BOOST_TEST((found.problem == error_kind::worker_refused));
    BOOST_TEST(nameOf(found.result) == "may_have_run");
}

// Guards against the same when the journal has dropped the events of the tasks.
BOOST_AUTO_TEST_CASE(says_may_have_run_from_the_answer_alone)
{
    const auto events = eventsOf(loseFirstStartAndRefuseOthers());
    BOOST_TEST(nameOf(explain({ events.back() }).result) == "may_have_run");
}

// Guards against a line that says that the lost start did not run the task.
BOOST_AUTO_TEST_CASE(says_not_run_by_worker_only_with_proof)
{
    for (const auto& step : explain(eventsOf(loseFirstStartAndRefuseOthers())).steps) {
        if (step.kind == event_log::event_kind::task_retried)
            BOOST_TEST(
                (step.text.find("not run by worker") != std::string::npos) == (step.text.find("lost") == std::string::npos));
    }
}

// Guards against the verdict `not_run` for a job that ran, after another job was submitted under its id.
BOOST_AUTO_TEST_CASE(says_may_have_run_if_a_later_submission_was_refused)
{
    const auto job = submit("job", 1);
    succeedAll();
    const auto conflict = refusedAnswer(makeJob("job", 1).key, { error_kind::job_conflict, {}, std::nullopt });
    const auto found = explain(eventsOf(job, { conflict }));
    BOOST_TEST((found.problem == error_kind::job_conflict));
    BOOST_TEST(nameOf(found.result) == "may_have_run");
}

BOOST_AUTO_TEST_CASE(says_not_run_if_every_start_was_refused)
{
    const auto job = submit("job", 1);
    while (!openStarts.empty())
        fail(openStarts.begin()->first, error_kind::worker_refused);
    BOOST_TEST(nameOf(explain(eventsOf(job)).result) == "not_run");
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against counting a job that may have run as a refusal.
BOOST_FIXTURE_TEST_CASE(the_fault_count_of_a_job_that_may_have_run_is_that_of_a_failure, journalled_fleet)
{
    event_log::unread_events unread;
    for (const auto& entry : eventsOf(loseFirstStartAndRefuseOthers())) {
        if (entry.kind == event_log::event_kind::task_answered || entry.kind == event_log::event_kind::job_answered)
            unread.faults.push_back(entry);
    }
    event_log::fault_counter counter;
    counter.add(unread, wall_time(std::chrono::seconds(1)));
    const auto counts = counter.countSettled(wall_time(std::chrono::minutes(1)));
    BOOST_REQUIRE_EQUAL(counts.size(), 1U);
    BOOST_TEST((counts.begin()->first.kind == event_log::fault_class::failure));
}
