// Checks that a task is not started elsewhere while a worker takes its time to stop a run of it.
#include <boost/test/unit_test.hpp>

#include "tests/fakes/single_owner.h"

using namespace coriandermount;
using namespace coriandermount::fakes;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t epoch = 2;

/// Two workers that take the longest time that the platform allows to stop a run.
struct slowly_stopping_workers : single_owner {
    slowly_stopping_workers()
    {
        for (const auto* name : { "worker-1", "worker-2" }) {
            workers.add(name, "0", 32000);
            workers.faults(name).stopTime = cells::cell_settings().stopGrace;
        }
        owner.takeOver({ epoch, false });
        owner.setWorkers(workers.registrations("0"));
        runFor(4s);
    }

    /// Makes the first worker, which gets the first task, use the given transports for its next start orders.
    void loseAnswers(std::deque<order_transport> starts) { workers.faults("worker-1").nextStarts = std::move(starts); }

    void expectCompletedWithoutConcurrentRuns()
    {
        for (const auto& violation : workers.violations())
            BOOST_ERROR(violation);
        BOOST_REQUIRE(answers.size() == 1U);
        BOOST_TEST((answers[0] == jobs::job_state::completed));
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(at_most_once)

BOOST_AUTO_TEST_SUITE(when_a_worker_takes_time_to_stop_a_run)

// Guards against two runs at a time (issue 34): a stop was answered, and the next poll listed the run neither as running nor as
// ended, because the worker was still stopping it. The start order arrives at any time after the owner has stopped waiting for
// it.
BOOST_AUTO_TEST_CASE(its_task_is_not_started_elsewhere_after_a_late_start)
{
    for (auto delay = 300ms; delay < 700ms; delay += 1ms) {
        BOOST_TEST_CONTEXT("start order after " << delay.count() << " ms")
        {
            slowly_stopping_workers cell;
            cell.loseAnswers({ order_transport::delayed(delay), order_transport::requestLost(), order_transport::requestLost() });
            cell.run(cell.request(epoch, "a", 1, 600ms));
            cell.runFor(4s);
            cell.expectCompletedWithoutConcurrentRuns();
        }
    }
}

// Guards against two runs at a time (issue 34): a job that was given up is submitted again while its run is being stopped.
BOOST_AUTO_TEST_CASE(its_job_is_not_started_elsewhere_when_it_is_submitted_again)
{
    for (auto pause = 0ms; pause < 120ms; pause += 1ms) {
        BOOST_TEST_CONTEXT("submitted again after " << pause.count() << " ms")
        {
            slowly_stopping_workers cell;
            auto first = cell.request(epoch, "a", 1, 2s);
            first.timeLeft = 300ms;
            // Runs that end on the same workers make polls return early.
            cell.run(cell.request(epoch, "beside-1", 1, 295ms + pause));
            cell.run(cell.request(epoch, "beside-2", 1, 310ms + pause));
            cell.run(first);
            cell.runFor(310ms);
            cell.run(cell.request(epoch, "a", 1, 2s));
            cell.runFor(5s);
            for (const auto& violation : cell.workers.violations())
                BOOST_ERROR(violation);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
