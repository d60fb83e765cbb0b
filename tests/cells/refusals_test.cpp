// What a caller is told, and when, if nobody can serve it: as soon as that is known, and not when its time is over.
#include <boost/test/unit_test.hpp>

#include "tests/fakes/single_owner.h"

using namespace coriandermount;
using namespace coriandermount::fakes;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t epoch = 2;
constexpr unsigned workerCount = 4;
constexpr std::int64_t workerCpu = 16000;

/// An owner with four workers of two places each.
struct asked_owner : single_owner {
    asked_owner()
    {
        for (unsigned number = 0; number < workerCount; ++number)
            workers.add(name(number), "0", workerCpu);
        owner.takeOver({ epoch, true });
        owner.setWorkers(workers.registrations("0"));
        // The leases of the earlier owner have to end.
        runFor(2s);
    }

    static std::string name(unsigned number) { return "worker-" + std::to_string(number); }

    /// Asks for a job whose caller has a minute, and returns the request.
    jobs::run_request patientRequest(const std::string& id, std::chrono::milliseconds duration = 100ms)
    {
        auto patient = request(epoch, id, 1, duration);
        patient.timeLeft = 60s;
        return patient;
    }

    /// Fills all workers with jobs that run for `duration`.
    void occupyAllPlaces(std::chrono::milliseconds duration)
    {
        for (int number = 0; number < 8; ++number)
            run(patientRequest("busy-" + std::to_string(number), duration));
    }

    void fallSilent() { setPartitioned(true); }
    void answerAgain() { setPartitioned(false); }
    void setPartitioned(bool value)
    {
        for (unsigned number = 0; number < workerCount; ++number)
            workers.faults(name(number)).partitioned = value;
    }

    /// Expects that the last caller was told that nothing has run and when to come back.
    void expectRefused(error_kind kind) const
    {
        BOOST_REQUIRE(!answers.empty());
        BOOST_REQUIRE(!answers.back());
        BOOST_TEST(nameOf(answers.back().error().kind) == nameOf(kind));
        BOOST_TEST(answers.back().error().retryAfter.has_value());
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_caller_that_nobody_can_serve, asked_owner)

// Guards against a job that waits until its caller's time is nearly over although nothing can run it.
BOOST_AUTO_TEST_CASE(learns_at_once_that_no_worker_is_large_enough)
{
    auto large = patientRequest("large");
    large.accepted.work.steps[0].need.cpuMillis = workerCpu + 1;
    run(large);
    expectRefused(error_kind::no_worker);
    const auto refused = owner.counterValues().refusedByTimeUsed;
    BOOST_TEST(refused[static_cast<std::size_t>(cells::refusal_reason::fits_no_worker)][0] == 1U);
    run(patientRequest("usual"));
    runFor(300ms);
    BOOST_REQUIRE(answers.size() == 2);
    BOOST_TEST((answers.back() == jobs::job_state::completed));
}

// Guards against a refused job that is known as cancelled, which a caller that submits it again was told as its state.
BOOST_AUTO_TEST_CASE(learns_the_same_if_it_returns_at_once)
{
    auto large = patientRequest("large");
    large.accepted.work.steps[0].need.cpuMillis = workerCpu + 1;
    run(large);
    run(large);
    BOOST_TEST(answers.size() == 2);
    expectRefused(error_kind::no_worker);
}

// Guards against the same for a label.
BOOST_AUTO_TEST_CASE(learns_at_once_that_no_worker_has_the_label)
{
    auto labelled = patientRequest("labelled");
    labelled.accepted.work.steps[0].requiredLabel = "missing";
    run(labelled);
    expectRefused(error_kind::no_worker);
}

// Guards against a forecast that expects all jobs at once where there is no capacity.
BOOST_AUTO_TEST_CASE(learns_at_once_that_no_worker_is_registered)
{
    owner.setWorkers({});
    runFor(3s);
    run(patientRequest("early"));
    expectRefused(error_kind::no_worker);
}

// Guards against silent workers that count as capacity for new jobs.
BOOST_AUTO_TEST_CASE(learns_at_once_that_all_workers_are_silent)
{
    // The owner learns it from the workers that it watches, those with runs.
    occupyAllPlaces(10s);
    runFor(100ms);
    fallSilent();
    runFor(2s);
    BOOST_REQUIRE(answers.empty());
    run(patientRequest("silent"));
    expectRefused(error_kind::no_worker);
}

// Guards against a job that was admitted and is not told that the capacity for it is lost.
BOOST_AUTO_TEST_CASE(learns_while_it_waits_that_all_workers_have_fallen_silent)
{
    occupyAllPlaces(2s);
    run(patientRequest("waiting"));
    runFor(100ms);
    BOOST_REQUIRE(answers.empty());
    fallSilent();
    runFor(2s);
    expectRefused(error_kind::no_worker);
}

// Guards against an owner that takes its own pause for the silence of its workers.
BOOST_AUTO_TEST_CASE(is_told_nothing_just_after_a_pause_of_the_owner)
{
    occupyAllPlaces(500ms);
    runFor(100ms);
    // Its polls get no answer, and it does not notice.
    fallSilent();
    loop.runFor(5s);
    answerAgain();
    answers.clear();
    run(patientRequest("thawed"));
    BOOST_TEST(answers.empty());
    runFor(5s);
    for (const auto& answer : answers)
        BOOST_TEST((answer == jobs::job_state::completed));
    BOOST_TEST(answers.size() == 9);
}

// Guards against workers that count as silent after they have answered again.
BOOST_AUTO_TEST_CASE(is_served_once_the_workers_are_back)
{
    fallSilent();
    runFor(2s);
    answerAgain();
    runFor(2s);
    run(patientRequest("back"));
    runFor(300ms);
    BOOST_REQUIRE(answers.size() == 1);
    BOOST_TEST((answers.back() == jobs::job_state::completed));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_caller_whose_job_was_admitted, asked_owner)

// Guards against jobs that later ones overtake until they are refused at the end of their callers' time.
BOOST_AUTO_TEST_CASE(is_served_although_more_urgent_jobs_keep_coming)
{
    for (int number = 0; number < 8; ++number)
        run(request(epoch, "first-" + std::to_string(number), 1, 400ms));
    auto kept = request(epoch, "kept", 1, 100ms);
    // Its objective can't be met, and its caller has time.
    kept.accepted.objective = 110ms;
    kept.timeLeft = 2s;
    std::optional<result<jobs::job_state>> answer;
    owner.run(kept, [&answer](const result<jobs::job_state>& given) { answer = given; });
    BOOST_REQUIRE(!answer);
    for (int number = 0; number < 200; ++number) {
        auto urgent = request(epoch, "urgent-" + std::to_string(number), 1, 100ms);
        urgent.accepted.objective = 300ms;
        urgent.timeLeft = 1500ms;
        run(urgent);
        runFor(10ms);
    }
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST((*answer == jobs::job_state::completed));
}

BOOST_AUTO_TEST_SUITE_END()
