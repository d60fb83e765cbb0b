// Unhealthy workers under a steady load: they are ejected quickly, for the right reason, and readmitted by probes.
#include <boost/test/unit_test.hpp>

#include "tests/fakes/busy_fleet.h"

using namespace coriandermount;
using fakes::busy_fleet;
using fakes::worker_behaviour;
using metrics::decision_counter;

namespace {

constexpr std::chrono::seconds warmUp { 5 };

struct warm_fleet : busy_fleet {
    warm_fleet()
        : busy_fleet(12, 4)
    {
        run(warmUp);
    }

    std::size_t startsDuring(const std::string& worker, std::chrono::milliseconds time)
    {
        const std::size_t before = driver.startsOn(worker);
        run(time);
        return driver.startsOn(worker) - before;
    }
};

constexpr std::size_t startsBeforeEjection = 5;

} // namespace

BOOST_AUTO_TEST_SUITE(a_worker)

BOOST_FIXTURE_TEST_CASE(that_is_healthy_gets_its_share_and_is_not_ejected, warm_fleet)
{
    BOOST_TEST(driver.countOf(decision_counter::worker_ejected_hung) == 0U);
    BOOST_TEST(driver.countOf(decision_counter::worker_ejected_straggling) == 0U);
    BOOST_TEST(startsDuring("worker-0", std::chrono::seconds(5)) > 10U);
}

BOOST_FIXTURE_TEST_CASE(that_is_dead_is_ejected_within_five_starts_and_readmitted_by_a_probe, warm_fleet)
{
    behaviours["worker-0"] = { .problem = error_kind::worker_unreachable };
    BOOST_TEST(startsDuring("worker-0", std::chrono::milliseconds(400)) <= startsBeforeEjection);
    run(std::chrono::milliseconds(1600));
    BOOST_TEST(driver.countOf(decision_counter::worker_ejected_dead) >= 1U);
    behaviours.clear();
    run(std::chrono::seconds(5));
    BOOST_TEST(driver.countOf(decision_counter::worker_readmitted) == 1U);
    BOOST_TEST(startsDuring("worker-0", std::chrono::seconds(5)) > 10U);
    BOOST_TEST(failedJobs() == 0U);
}

BOOST_FIXTURE_TEST_CASE(that_fails_all_tasks_at_once_does_not_attract_work, warm_fleet)
{
    behaviours["worker-0"] = { .problem = error_kind::task_failed };
    BOOST_TEST(startsDuring("worker-0", std::chrono::milliseconds(400)) <= startsBeforeEjection);
    run(std::chrono::milliseconds(1600));
    BOOST_TEST(driver.countOf(decision_counter::worker_ejected_failing) >= 1U);
    // In the next minute, only single probes are started on the worker.
    BOOST_TEST(startsDuring("worker-0", std::chrono::seconds(60)) <= 10U);
}

BOOST_FIXTURE_TEST_CASE(that_hangs_gets_no_starts_after_two_seconds, warm_fleet)
{
    behaviours["worker-0"] = { .hangs = true };
    run(std::chrono::seconds(2));
    BOOST_TEST(startsDuring("worker-0", std::chrono::milliseconds(400)) == 0U);
    BOOST_TEST(driver.countOf(decision_counter::worker_ejected_hung) == 1U);
}

BOOST_FIXTURE_TEST_CASE(that_is_far_slower_than_its_peers_is_ejected_as_a_straggler, warm_fleet)
{
    behaviours["worker-0"] = { .slowdown = 6 };
    run(std::chrono::seconds(60));
    BOOST_TEST(driver.countOf(decision_counter::worker_ejected_straggling) >= 1U);
    BOOST_TEST(failedJobs() == 0U);
}

BOOST_FIXTURE_TEST_CASE(that_refuses_starts_is_skipped_for_a_short_time_and_never_ejected, warm_fleet)
{
    behaviours["worker-0"] = { .problem = error_kind::worker_refused };
    BOOST_TEST(startsDuring("worker-0", std::chrono::seconds(10)) <= 20U);
    behaviours.clear();
    run(std::chrono::seconds(3));
    BOOST_TEST(startsDuring("worker-0", std::chrono::seconds(5)) > 10U);
    BOOST_TEST(driver.countOf(decision_counter::worker_ejected_failing) == 0U);
    BOOST_TEST(driver.countOf(decision_counter::worker_ejected_dead) == 0U);
    BOOST_TEST(failedJobs() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(many_workers)

BOOST_FIXTURE_TEST_CASE(are_never_ejected_beyond_the_maximum_share, warm_fleet)
{
    for (unsigned number = 0; number < 9; ++number)
        behaviours["worker-" + std::to_string(number)] = { .problem = error_kind::task_failed };
    run(std::chrono::seconds(10));
    const auto ejected = driver.countOf(decision_counter::worker_ejected_failing);
    BOOST_TEST(ejected > 0U);
    BOOST_TEST(maxEjectedWorkers() <= 6U);
}

BOOST_FIXTURE_TEST_CASE(that_die_together_cause_no_retry_storm, warm_fleet)
{
    const std::size_t tasksBefore = submittedTasks();
    const std::size_t startsBefore = driver.starts.size();
    for (unsigned number = 0; number < 4; ++number)
        behaviours["worker-" + std::to_string(number)] = { .problem = error_kind::worker_unreachable };
    run(std::chrono::seconds(10));
    const auto starts = static_cast<double>(driver.starts.size() - startsBefore);
    const auto tasks = static_cast<double>(submittedTasks() - tasksBefore);
    constexpr double messagesPerStart = 2;
    BOOST_TEST(messagesPerStart * starts / tasks <= 2.3);
    BOOST_TEST(failedJobs() == 0U);
}

BOOST_FIXTURE_TEST_CASE(that_all_die_exhaust_the_retry_budget, warm_fleet)
{
    const std::size_t tasksBefore = submittedTasks();
    const std::size_t startsBefore = driver.starts.size();
    for (unsigned number = 0; number < 12; ++number)
        behaviours["worker-" + std::to_string(number)] = { .problem = error_kind::worker_unreachable };
    run(std::chrono::seconds(20));
    const auto starts = static_cast<double>(driver.starts.size() - startsBefore);
    const auto tasks = static_cast<double>(submittedTasks() - tasksBefore);
    BOOST_TEST(starts <= tasks * 1.15 + 100);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_task_that_fails_on_every_worker)

BOOST_FIXTURE_TEST_CASE(is_quarantined_and_no_worker_is_ejected, warm_fleet)
{
    poisonedPayload = "poison";
    std::optional<error_kind> last;
    for (unsigned attempt = 0; attempt < 40; ++attempt) {
        auto job = fakes::engine_driver::makeJob("poison " + std::to_string(attempt), 1);
        job.tasks[0].payload = poisonedPayload;
        const auto serial = driver.submit(job);
        run(std::chrono::milliseconds(200));
        last = driver.problemOf(serial);
    }
    BOOST_TEST((last == error_kind::task_quarantined));
    BOOST_TEST(driver.countOf(decision_counter::worker_ejected_failing) == 0U);
}

BOOST_FIXTURE_TEST_CASE(is_admitted_again_after_the_quarantine, warm_fleet)
{
    poisonedPayload = "poison";
    std::size_t refusals = 0;
    for (unsigned attempt = 0; attempt < 40; ++attempt) {
        auto job = fakes::engine_driver::makeJob("poison " + std::to_string(attempt), 1);
        job.tasks[0].payload = poisonedPayload;
        const auto serial = driver.submit(job);
        run(std::chrono::milliseconds(200));
        refusals += driver.problemOf(serial) == error_kind::task_quarantined ? 1 : 0;
    }
    BOOST_TEST(refusals > 0U);
    poisonedPayload = "mended";
    run(std::chrono::seconds(61));
    auto job = fakes::engine_driver::makeJob("mended", 1);
    job.tasks[0].payload = "poison";
    const auto serial = driver.submit(job);
    run(std::chrono::seconds(3));
    BOOST_TEST((driver.answerOf(serial)->result == outcome::done));
}

BOOST_AUTO_TEST_SUITE_END()
