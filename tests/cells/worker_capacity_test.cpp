// Checks that starts respect the capacity that a worker reports now, also when it shrinks while the worker runs tasks.
#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "tests/fakes/single_owner.h"

using namespace coriandermount;
using namespace coriandermount::fakes;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t epoch = 2;

/// One worker with room for two tasks.
struct worker_with_changing_capacity : single_owner {
    worker_with_changing_capacity()
    {
        registration = workers.add("worker-1", "0", 16000);
        owner.takeOver({ epoch, false });
        owner.setWorkers(workers.registrations("0"));
        runFor(4s);
    }

    void report(std::int64_t cpuMillis)
    {
        registration.capacity.cpuMillis = cpuMillis;
        owner.updateWorker(registration);
    }

    void submit(const std::string& jobId)
    {
        auto submitted = request(epoch, jobId, 1, 5s);
        submitted.accepted.objective = 30s;
        submitted.timeLeft = 30s;
        run(submitted);
    }

    std::size_t running() const
    {
        const auto& all = workers.runs();
        return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [](const auto& entry) { return !entry.end; }));
    }

    cells::worker_registration registration;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(the_capacity_of_a_worker, worker_with_changing_capacity)

BOOST_AUTO_TEST_CASE(limits_starts_once_it_has_shrunk)
{
    submit("first");
    runFor(300ms);
    report(10000);
    submit("second");
    runFor(1s);
    BOOST_TEST(running() == 1U);
    report(16000);
    runFor(300ms);
    BOOST_TEST(running() == 2U);
}

BOOST_AUTO_TEST_CASE(limits_starts_when_it_is_smaller_than_what_runs)
{
    submit("first");
    submit("second");
    runFor(300ms);
    BOOST_REQUIRE(running() == 2U);
    report(5000);
    // A job that fits no worker is refused as it arrives.
    submit("third");
    BOOST_REQUIRE(answers.size() == 1);
    BOOST_TEST((!answers[0] && answers[0].error().kind == error_kind::no_worker));
    runFor(5s);
    BOOST_TEST(running() == 0U);
    report(7000);
    submit("third");
    runFor(300ms);
    BOOST_TEST(running() == 1U);
}

BOOST_AUTO_TEST_CASE(is_not_assumed_for_a_new_boot_that_has_not_reported_it)
{
    // Guards against starts above the capacity of a worker that returns smaller: the owner learned of the new boot from a poll
    // and took the capacity of the earlier one.
    submit("first");
    runFor(300ms);
    BOOST_REQUIRE(running() == 1U);
    registration = workers.restart("worker-1");
    runFor(3s);
    BOOST_TEST(running() == 0U);
    report(7000);
    submit("second");
    runFor(1s);
    BOOST_TEST(running() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
