// Checks that a task that an earlier owner may still run on a deregistered worker is not started elsewhere.
#include <boost/test/unit_test.hpp>

#include "tests/fakes/single_owner.h"

using namespace coriandermount;
using namespace coriandermount::fakes;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t epoch = 2;

/// Two workers, of which one runs a task for the earlier owner, which goes on renewing the lease. The new owner can't reach it.
struct earlier_owner_that_goes_on : single_owner {
    earlier_owner_that_goes_on()
    {
        workers.add(unreachable.value, "0", 16000);
        workers.add("worker-2", "0", 16000);
        workers.start(unreachable, { { "a", 0, 0, 0 }, 1, "6000", leaseLength, epoch - 1, {} }, [](const auto&) {});
        loop.runFor(5ms);
        renewLease();
        owner.takeOver({ epoch, false });
        owner.setWorkers(workers.registrations("0"));
    }

    void renewLease()
    {
        const auto workerClock = std::chrono::duration_cast<cells::worker_time>(loop.now() - startedAt);
        workers.poll(unreachable, { epoch - 1, 0, workerClock + leaseLength, true, 0ms }, [](const auto&) {});
    }

    void poll(
        const cells::worker_registration& worker, const cells::poll_order& order, completion<cells::poll_answer> done) override
    {
        constexpr auto pollTimeout = 300ms;
        if (worker.id == unreachable)
            loop.after(pollTimeout, [done] { done(tl::unexpected(cells::order_failure::no_answer)); });
        else
            workers.poll(worker.id, order, done);
    }

    static constexpr std::chrono::milliseconds leaseLength { 1000 };
    const worker_id unreachable { "worker-1" };
    const time_point startedAt = loop.now();
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_deregistered_worker)

// Guards against a second start: a worker that left the list before it had answered the new owner no longer counted as one that
// may run tasks of the earlier owner.
BOOST_FIXTURE_TEST_CASE(may_run_tasks_for_as_long_as_the_earlier_owner_may_renew_its_lease, earlier_owner_that_goes_on)
{
    constexpr int renewals = 22;
    constexpr int removedAt = 5;
    for (int number = 0; number < renewals; ++number) {
        runFor(100ms);
        renewLease();
        if (number == 1) {
            auto resubmitted = request(epoch, "a", 1, 6s);
            resubmitted.mayHaveStarted = true;
            run(resubmitted);
        }
        if (number == removedAt)
            owner.removeWorker(unreachable);
    }
    runFor(12s);
    for (const auto& violation : workers.violations())
        BOOST_ERROR(violation);
    BOOST_TEST(answers.size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
