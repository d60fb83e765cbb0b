// Checks that a start order that reaches the next boot of its worker does not start a task that runs elsewhere.
#include <boost/test/unit_test.hpp>

#include "tests/fakes/single_owner.h"

using namespace coriandermount;
using namespace coriandermount::fakes;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t epoch = 2;
/// Time within which the next boot of a worker has answered several polls.
constexpr auto pollsAnswered = 600ms;

/// Two workers, of which one runs the task of a job. The start orders that follow the first one are held back, and the first one
/// too if the test wants so; none of them is answered.
struct restarted_worker : single_owner {
    explicit restarted_worker(bool firstOrderArrives)
        : passesNext(firstOrderArrives)
    {
        workers.add("worker-1", "0", 16000);
        workers.add("worker-2", "0", 16000);
        owner.takeOver({ epoch, false });
        owner.setWorkers(workers.registrations("0"));
        runFor(4s);
        run(request(epoch, "a", 1, 5s));
        runFor(400ms);
        BOOST_REQUIRE(!held.empty());
        first = target.value();
    }

    void start(
        const cells::worker_registration& worker, const cells::start_order& order, completion<cells::order_answer> done) override
    {
        constexpr auto orderTimeout = 120ms;
        target = target.value_or(worker.id);
        if (worker.id != *target) {
            workers.start(worker.id, order, done);
            return;
        }
        if (passesNext)
            workers.start(worker.id, order, [](const auto&) {});
        else
            held.push_back(order);
        passesNext = false;
        loop.after(orderTimeout, [done] { done(tl::unexpected(cells::order_failure::no_answer)); });
    }

    /// Starts the next boot of the worker. It drains, so that the task is placed on the other worker.
    void restart()
    {
        auto registration = workers.restart(first.value);
        registration.draining = true;
        owner.updateWorker(registration);
    }

    void deliverHeldOrders()
    {
        for (const auto& order : held)
            workers.start(first, order, [](const auto&) {});
    }

    void expectNoConcurrentRuns() const
    {
        for (const auto& violation : workers.violations())
            BOOST_ERROR(violation);
    }

    bool passesNext;
    /// Worker whose start orders are held back.
    std::optional<worker_id> target;
    worker_id first;
    std::vector<cells::start_order> held;
};

struct worker_that_ran_the_task : restarted_worker {
    worker_that_ran_the_task()
        : restarted_worker(true)
    {
        BOOST_REQUIRE(workers.runs().size() == 1);
    }
};

struct worker_that_got_no_order : restarted_worker {
    worker_that_got_no_order()
        : restarted_worker(false)
    {
        BOOST_REQUIRE(workers.runs().empty());
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_restarted_worker)

BOOST_FIXTURE_TEST_CASE(refuses_a_late_order_that_its_earlier_boot_did_not_receive, worker_that_got_no_order)
{
    // Guards against a second start: the limit of a run without a known limit overflowed when a margin was added to it, so that
    // the run counted as lost once a poll did not list it.
    restart();
    runFor(pollsAnswered);
    deliverHeldOrders();
    runFor(10s);
    BOOST_TEST(answers.size() == 1);
    expectNoConcurrentRuns();
}

BOOST_FIXTURE_TEST_CASE(refuses_a_late_try_of_an_order_that_its_earlier_boot_executed, worker_that_ran_the_task)
{
    // Guards against a second start: the end of the listed run was taken as proof that no other try of its order would arrive.
    restart();
    runFor(pollsAnswered);
    deliverHeldOrders();
    runFor(10s);
    BOOST_TEST(answers.size() == 1);
    expectNoConcurrentRuns();
}

BOOST_FIXTURE_TEST_CASE(keeps_its_task_while_it_does_not_answer, worker_that_got_no_order)
{
    // Guards against a second start: the lease in the order had ended on the clock of the earlier boot only.
    restart();
    workers.faults(first.value).partitioned = true;
    runFor(2s);
    workers.faults(first.value).partitioned = false;
    deliverHeldOrders();
    runFor(8s);
    BOOST_TEST(answers.size() == 1);
    expectNoConcurrentRuns();
}

BOOST_FIXTURE_TEST_CASE(gives_up_its_task_when_it_is_no_longer_registered, worker_that_got_no_order)
{
    restart();
    workers.faults(first.value).partitioned = true;
    runFor(1s);
    owner.removeWorker(first);
    runFor(1s);
    BOOST_REQUIRE(workers.runs().size() == 1);
    BOOST_TEST((workers.runs()[0].worker != first));
}

BOOST_AUTO_TEST_SUITE_END()
