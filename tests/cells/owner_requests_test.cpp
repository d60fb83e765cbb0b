// Checks how the owner of a cell answers requests to run a job that reach it more than once.
#include <boost/test/unit_test.hpp>

#include "tests/fakes/single_owner.h"

using namespace coriandermount;
using namespace coriandermount::fakes;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t epoch = 2;

/// Owner whose only worker is occupied, and that knows the runs of earlier owners.
struct occupied_owner : single_owner {
    occupied_owner()
    {
        workers.add("worker", "0", 16000);
        owner.takeOver({ epoch, false });
        owner.setWorkers(workers.registrations("0"));
        runFor(4s);
        run(request(epoch, "long", 2, 5s));
        runFor(100ms);
        BOOST_REQUIRE(workers.runs().size() == 2);
    }

    /// Returns the request of a caller that stops waiting while the worker is still occupied.
    jobs::run_request submission() const
    {
        auto first = request(epoch, "a", 1, 100ms);
        first.timeLeft = 1500ms;
        return first;
    }

    jobs::run_request resubmission() const
    {
        auto repeated = submission();
        repeated.mayHaveStarted = true;
        return repeated;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_job_that_finds_no_capacity, occupied_owner)

BOOST_AUTO_TEST_CASE(has_not_run_if_it_is_new)
{
    run(submission());
    runFor(2s);
    BOOST_REQUIRE(answers.size() == 1);
    BOOST_TEST((answers[0].error().kind == error_kind::overloaded));
}

BOOST_AUTO_TEST_CASE(may_have_run_if_an_earlier_owner_may_have_started_it)
{
    run(resubmission());
    runFor(2s);
    BOOST_REQUIRE(answers.size() == 1);
    BOOST_TEST((rowOf(answers[0].error().kind).result == outcome::may_have_run));
}

BOOST_AUTO_TEST_CASE(may_have_run_if_it_seemed_new_until_a_request_told_of_an_earlier_owner)
{
    // Guards against a false refusal: the owner remembered only what the first request said.
    run(submission());
    run(resubmission());
    runFor(2s);
    BOOST_REQUIRE(answers.size() == 2);
    for (const auto& answer : answers)
        BOOST_TEST((rowOf(answer.error().kind).result == outcome::may_have_run));
}

BOOST_AUTO_TEST_SUITE_END()
