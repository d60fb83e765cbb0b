// Tests of the engine with single events: limits, outcomes, cancellations and deadlines.
#include <boost/test/unit_test.hpp>

#include "tests/fakes/engine_driver.h"

using namespace coriandermount;
using fakes::engine_driver;

namespace {

struct small_fleet : engine_driver {
    small_fleet() { setDefaultWorkers(2, 2); }
};

struct limited_fleet : engine_driver {
    limited_fleet() { setDefaultWorkers(4, 8); }

    void limit(configuration::plan_limits limits) { configure({ { "gold", std::move(limits) } }, { { "kellari", "gold" } }); }
};

} // namespace

BOOST_AUTO_TEST_SUITE(an_engine)

BOOST_FIXTURE_TEST_CASE(answers_a_job_when_its_last_task_ends, small_fleet)
{
    const auto job = submit("whole", 6);
    BOOST_TEST(starts.size() == 4U);
    BOOST_TEST(engine.queuedTasks() == 2U);
    succeed(starts[0].lease);
    BOOST_TEST(!answerOf(job));
    succeedAll();
    BOOST_REQUIRE(answerOf(job));
    BOOST_TEST((answerOf(job)->result == outcome::done));
    BOOST_TEST(answerOf(job)->tasks.size() == 6U);
    BOOST_TEST(engine.openJobs() == 0U);
}

BOOST_FIXTURE_TEST_CASE(counts_but_ignores_a_duplicate_task_end, small_fleet)
{
    const auto job = submit("doubled", 1);
    const auto lease = starts[0].lease;
    succeed(lease);
    fail(lease, error_kind::worker_lost);
    BOOST_TEST(answerCountOf(job) == 1U);
    BOOST_TEST(countOf(metrics::decision_counter::late_answer) == 1U);
}

BOOST_AUTO_TEST_SUITE(when_a_plan_has_limits)

BOOST_FIXTURE_TEST_CASE(refuses_jobs_that_exceed_a_limit_of_the_plan, limited_fleet)
{
    limit(
        { .memoryMegabytes = 100, .tasksPerJob = 2, .taskRunTime = std::chrono::milliseconds(50), .services = { { "lookup" } } });
    BOOST_TEST((problemOf(submit("many", 3)) == error_kind::too_many_tasks));
    auto job = makeJob("fetch", 1);
    job.tasks[0].service.value = "fetch";
    BOOST_TEST((problemOf(submit(job)) == error_kind::service_not_in_plan));
    job = makeJob("slow", 1);
    job.tasks[0].declaredRunTime = std::chrono::milliseconds(51);
    BOOST_TEST((problemOf(submit(job)) == error_kind::run_time_above_plan));
    job = makeJob("large", 1);
    job.tasks[0].memoryMegabytes = 101;
    const auto large = submit(job);
    BOOST_TEST((problemOf(large) == error_kind::task_above_plan));
    BOOST_TEST(answerOf(large)->problem->detail == "the task needs 101 MB, the plan allows 100 MB");
    BOOST_TEST((answerOf(large)->result == outcome::not_run));
    BOOST_TEST(starts.empty());
}

BOOST_FIXTURE_TEST_CASE(refuses_jobs_above_the_rate_limit_with_a_retry_hint, limited_fleet)
{
    limit({ .tasksPerSecond = 10, .tasksPerJob = 10, .services = {} });
    BOOST_TEST(!problemOf(submit("first", 10)));
    const auto second = submit("second", 5);
    BOOST_TEST((problemOf(second) == error_kind::plan_rate_exceeded));
    BOOST_TEST(answerOf(second)->problem->retryAfter.has_value());
    advanceTime(std::chrono::milliseconds(500));
    BOOST_TEST(!problemOf(submit("third", 5)));
    BOOST_TEST((problemOf(submit("fourth", 1)) == error_kind::plan_rate_exceeded));
}

BOOST_FIXTURE_TEST_CASE(queues_tasks_above_the_concurrency_limit, limited_fleet)
{
    limit({ .concurrentTasks = 3, .services = {} });
    const auto job = submit("wide", 5);
    BOOST_TEST(openStarts.size() == 3U);
    BOOST_TEST(engine.queuedTasks() == 2U);
    succeed(starts[0].lease);
    BOOST_TEST(openStarts.size() == 3U);
    succeedAll();
    BOOST_TEST((answerOf(job)->result == outcome::done));
}

BOOST_FIXTURE_TEST_CASE(refuses_a_job_that_the_concurrency_limit_would_delay_past_its_deadline, limited_fleet)
{
    limit({ .concurrentTasks = 1, .services = {} });
    auto job = makeJob("late", 100);
    job.timeLimit = std::chrono::seconds(2);
    const auto serial = submit(job);
    BOOST_TEST((problemOf(serial) == error_kind::plan_concurrency_exceeded));
    BOOST_TEST(answerOf(serial)->problem->retryAfter.has_value());
}

BOOST_FIXTURE_TEST_CASE(uses_at_most_its_share_of_the_plan, limited_fleet)
{
    limit({ .concurrentTasks = 8, .services = {} });
    auto shares = std::make_shared<quota::share_snapshot>();
    shares->plans[{ "gold" }].concurrentTasks = 2;
    shares->slots[{ "worker-0" }] = 1;
    shares->slots[{ "worker-1" }] = 8;
    handle(dispatch::shares_changed { shares });
    submit("shared", 4);
    BOOST_TEST(openStarts.size() == 2U);
    BOOST_TEST(startsOn("worker-2") + startsOn("worker-3") == 0U);
}

BOOST_FIXTURE_TEST_CASE(refuses_a_customer_without_a_plan, limited_fleet)
{
    configure({ { "gold", {} } }, { { "laulukaar", "gold" } });
    BOOST_TEST((problemOf(submit("stranger", 1)) == error_kind::unknown_customer));
}

BOOST_AUTO_TEST_CASE(refuses_all_jobs_without_a_required_configuration)
{
    dispatch::engine_options options;
    options.requireConfiguration = true;
    engine_driver driver(options);
    driver.setDefaultWorkers(1, 1);
    BOOST_TEST((driver.problemOf(driver.submit("early", 1)) == error_kind::configuration_missing));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_no_worker_is_suitable)

BOOST_FIXTURE_TEST_CASE(distinguishes_an_unknown_service_from_one_without_workers, small_fleet)
{
    auto job = makeJob("unknown", 1);
    job.tasks[0].service.value = "brew";
    BOOST_TEST((problemOf(submit(job)) == error_kind::no_such_service));
    setWorkers({});
    BOOST_TEST((problemOf(submit("gone", 1)) == error_kind::no_worker));
}

BOOST_FIXTURE_TEST_CASE(refuses_a_task_that_is_larger_than_every_worker, small_fleet)
{
    auto job = makeJob("large", 1);
    job.tasks[0].memoryMegabytes = 33 * 1024;
    BOOST_TEST((problemOf(submit(job)) == error_kind::task_too_large));
}

BOOST_FIXTURE_TEST_CASE(respects_the_memory_of_a_worker, small_fleet)
{
    auto job = makeJob("memory", 4);
    for (auto& task : job.tasks)
        task.memoryMegabytes = 20 * 1024;
    submit(job);
    BOOST_TEST(openStarts.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(starts_nothing_on_a_worker_that_is_leaving, small_fleet)
{
    auto workers = std::vector { makeWorker(0, 2), makeWorker(1, 2) };
    workers[0].state = vm_state::leaving;
    setWorkers(workers);
    submit("leaving", 4);
    BOOST_TEST(startsOn("worker-0") == 0U);
    BOOST_TEST(startsOn("worker-1") == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_job_is_cancelled)

BOOST_FIXTURE_TEST_CASE(answers_not_run_only_before_the_first_start, small_fleet)
{
    const auto running = submit("running", 4);
    const auto queued = submit("queued", 4);
    cancel("queued");
    BOOST_TEST((problemOf(queued) == error_kind::cancelled_before_start));
    BOOST_TEST(finished.back().nothingStarted);
    BOOST_TEST(engine.queuedTasks() == 0U);
    cancel("running");
    BOOST_TEST((answerOf(running)->result == outcome::may_have_run));
    BOOST_TEST(!finished.back().nothingStarted);
    BOOST_TEST(stops.size() == 4U);
    succeedAll();
    BOOST_TEST(answerCountOf(running) == 1U);
    BOOST_TEST(engine.openJobs() == 0U);
}

BOOST_FIXTURE_TEST_CASE(removes_thousands_of_cancelled_jobs_from_the_queue, small_fleet)
{
    constexpr unsigned cancelledJobs = 5000;
    submit("running", 4);
    for (unsigned number = 0; number < cancelledJobs; ++number) {
        auto job = makeJob("wave " + std::to_string(number), 1);
        job.timeLimit = std::chrono::hours(1);
        submit(job);
    }
    for (unsigned number = 0; number < cancelledJobs; ++number)
        cancel("wave " + std::to_string(number));
    BOOST_TEST(engine.queuedTasks() == 0U);
    BOOST_TEST(engine.openJobs() == 1U);
    succeedAll();
    BOOST_TEST(starts.size() == 4U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_deadline_passes)

BOOST_FIXTURE_TEST_CASE(stops_running_tasks_and_reports_the_outcome, small_fleet)
{
    const auto running = submit("running", 4);
    const auto queued = submit("queued", 1);
    advanceTime(std::chrono::seconds(10));
    BOOST_TEST((problemOf(running) == error_kind::deadline_passed_while_running));
    BOOST_TEST((problemOf(queued) == error_kind::deadline_passed_before_start));
    BOOST_TEST((answerOf(queued)->result == outcome::not_run));
    BOOST_TEST(stops.size() == 4U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_start_fails)

BOOST_FIXTURE_TEST_CASE(retries_on_another_worker_after_proof_that_the_task_did_not_run, small_fleet)
{
    const auto job = submit("refused", 1);
    const auto first = starts[0].worker->id;
    fail(starts[0].lease, error_kind::worker_refused);
    BOOST_REQUIRE_EQUAL(starts.size(), 2U);
    BOOST_TEST((starts[1].worker->id != first));
    succeedAll();
    BOOST_TEST((answerOf(job)->result == outcome::done));
    BOOST_TEST(countOf(metrics::decision_counter::retry_refused_start) == 1U);
}

BOOST_FIXTURE_TEST_CASE(does_not_retry_a_task_that_may_have_run, small_fleet)
{
    const auto job = submit("lost", 1);
    fail(starts[0].lease, error_kind::worker_lost);
    BOOST_TEST(starts.size() == 1U);
    BOOST_TEST((answerOf(job)->result == outcome::may_have_run));
}

BOOST_FIXTURE_TEST_CASE(retries_an_idempotent_single_task_job_and_reports_that_it_may_have_run, small_fleet)
{
    auto request = makeJob("idempotent", 1);
    request.idempotent = true;
    const auto job = submit(request);
    fail(starts[0].lease, error_kind::worker_lost);
    BOOST_REQUIRE_EQUAL(starts.size(), 2U);
    fail(starts[1].lease, error_kind::worker_refused);
    fail(starts[2].lease, error_kind::worker_refused);
    BOOST_REQUIRE(answerOf(job));
    BOOST_TEST((answerOf(job)->result == outcome::may_have_run));
    BOOST_TEST(!finished.back().nothingStarted);
}

// Guards against a released claim, and so a second run through another VM, after a refusal of a later start.
BOOST_FIXTURE_TEST_CASE(keeps_the_claim_if_the_last_start_was_refused_and_an_earlier_one_may_have_run, small_fleet)
{
    auto request = makeJob("idempotent", 1);
    request.idempotent = true;
    const auto job = submit(request);
    fail(starts[0].lease, error_kind::worker_lost);
    fail(starts[1].lease, error_kind::worker_refused);
    cancel("idempotent");
    BOOST_TEST((problemOf(job) == error_kind::cancelled_while_running));
    BOOST_TEST((answerOf(job)->result == outcome::may_have_run));
    BOOST_TEST(!finished.back().nothingStarted);
}

BOOST_FIXTURE_TEST_CASE(releases_the_claim_if_no_start_ran, small_fleet)
{
    const auto job = submit("unreachable", 1);
    while (!openStarts.empty())
        fail(openStarts.begin()->first, error_kind::worker_unreachable);
    BOOST_TEST(starts.size() == 3U);
    BOOST_TEST((answerOf(job)->result == outcome::not_run));
    BOOST_TEST(finished.back().nothingStarted);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
