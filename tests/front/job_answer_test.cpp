// Every outcome in an answer is that of the whole job or task, not that of its last start.
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "front/job_codec.h"
#include "tests/fakes/engine_driver.h"

using namespace coriandermount;
using nlohmann::json;

namespace {

struct small_fleet : fakes::engine_driver {
    small_fleet() { setDefaultWorkers(4, 4); }

    json encodedAnswerOf(job_serial job)
    {
        BOOST_REQUIRE(answerOf(job));
        return json::parse(front::encodeAnswer(*answerOf(job)));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(an_encoded_answer, small_fleet)

BOOST_AUTO_TEST_SUITE(when_the_last_start_was_refused)

// Guards against `not_run` and `retryable` in the error of a task whose first start may have run.
BOOST_AUTO_TEST_CASE(says_may_have_run_in_its_errors_if_an_earlier_start_of_the_task_may_have_run)
{
    auto request = makeJob("idempotent", 1);
    request.idempotent = true;
    const auto job = submit(request);
    fail(starts[0].lease, error_kind::worker_lost);
    fail(starts[1].lease, error_kind::worker_refused);
    fail(starts[2].lease, error_kind::worker_refused);
    const json answer = encodedAnswerOf(job);
    BOOST_TEST(answer["outcome"] == "may_have_run");
    for (const json& problem : { answer["problem"], answer["tasks"][0]["problem"] }) {
        BOOST_TEST(problem["error"] == "worker_refused");
        BOOST_TEST(problem["outcome"] == "may_have_run");
        BOOST_TEST(problem["retryable"] == false);
    }
}

// Guards against `not_run` in the error of a job of which another task has ended well.
BOOST_AUTO_TEST_CASE(says_may_have_run_in_the_error_of_the_job_if_another_task_ran)
{
    const auto job = submit("two-tasks", 2);
    const auto refused = starts[1].index;
    succeed(starts[0].lease);
    while (!openStarts.empty())
        fail(openStarts.begin()->first, error_kind::worker_refused);
    const json answer = encodedAnswerOf(job);
    BOOST_TEST(answer["outcome"] == "may_have_run");
    BOOST_TEST(answer["problem"]["outcome"] == "may_have_run");
    BOOST_TEST(answer["problem"]["retryable"] == false);
    BOOST_TEST(answer["tasks"][refused]["state"] == "not_started");
    BOOST_TEST(answer["tasks"][refused]["problem"]["outcome"] == "not_run");
}

BOOST_AUTO_TEST_CASE(says_not_run_and_retryable_if_every_start_was_refused)
{
    const auto job = submit("refused", 1);
    while (!openStarts.empty())
        fail(openStarts.begin()->first, error_kind::worker_refused);
    const json answer = encodedAnswerOf(job);
    BOOST_TEST(answer["outcome"] == "not_run");
    BOOST_TEST(answer["problem"]["outcome"] == "not_run");
    BOOST_TEST(answer["problem"]["retryable"] == true);
}

BOOST_AUTO_TEST_SUITE_END()

// A claim that no quorum decided in time may have run, and its job may be submitted again under the same id.
BOOST_AUTO_TEST_CASE(keeps_the_advice_of_an_error_that_says_may_have_run_by_itself)
{
    const auto answer = refusedAnswer(makeJob("cut-off", 1).key, { error_kind::home_unreachable, {}, std::nullopt });
    const json encoded = json::parse(front::encodeAnswer(answer));
    BOOST_TEST(encoded["problem"]["outcome"] == "may_have_run");
    BOOST_TEST(encoded["problem"]["retryable"] == true);
}

BOOST_AUTO_TEST_SUITE_END()
