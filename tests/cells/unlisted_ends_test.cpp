// Checks that a task does not run again while its worker has too many ends to list them all.
#include <boost/test/unit_test.hpp>

#include "tests/fakes/fleet_checks.h"

using namespace coriandermount;
using namespace coriandermount::fakes;
using namespace std::chrono_literals;

namespace {

/// A cell with one worker that runs short tasks of stored jobs faster than their ends can be acknowledged while the store loses
/// its answers to writes.
struct cell_with_short_tasks : cell_fleet {
    cell_with_short_tasks()
        : cell_fleet(1, 2, 1)
    {
        runFor(2s);
    }

    void storeJobs(int number)
    {
        jobs::step step;
        step.taskCount = 260;
        step.need = { 500, 64, 0 };
        for (int index = 0; index < number; ++index) {
            ids.push_back("short-" + std::to_string(index));
            store(vmName(0, 0), ids.back(), step, 20ms);
        }
    }

    void expectMoreEndsThanListed() const
    {
        BOOST_TEST(workers.mostUnacknowledgedEnds(workerName(0, 0)) > virtual_workers::mostListedEnds);
    }

    void expectEachTaskDoneOnce()
    {
        for (const auto& id : ids)
            BOOST_TEST((state(0, id) == jobs::job_state::completed));
        BOOST_TEST(workers.startsAfterNotedEnd().size() == 0U);
        expectNoViolation(*this);
    }

    std::vector<std::string> ids;
};

} // namespace

BOOST_AUTO_TEST_SUITE(at_most_once)

BOOST_FIXTURE_TEST_SUITE(when_a_worker_lists_only_its_oldest_ends, cell_with_short_tasks)

// Guards against a second run of a task that is done (issue 41): above 500 ends without an acknowledgement, a run that had ended
// was listed neither as running nor as ended, and was taken for lost.
BOOST_AUTO_TEST_CASE(a_task_that_is_done_is_not_started_again)
{
    storeJobs(6);
    runFor(40ms);
    setStoreFault(owner(0), store_fault::drops_answers);
    runFor(1500ms);
    setStoreFault(owner(0), store_fault::none);
    runFor(8s);
    expectMoreEndsThanListed();
    expectEachTaskDoneOnce();
}

// Guards against a second run of a task that is done (issue 41): the first list of a worker lacked ends of tasks that an earlier
// owner had started, and the next owner took it for complete.
BOOST_AUTO_TEST_CASE(a_task_that_is_done_is_not_started_again_by_the_next_owner)
{
    // Its run makes the next owner extend the lease, without whose end the ends have to be acknowledged.
    jobs::step step;
    step.taskCount = 1;
    step.need = { 500, 64, 0 };
    store(vmName(0, 0), "long", step, 7s);
    runFor(40ms);
    storeJobs(6);
    runFor(40ms);
    setStoreFault(owner(0), store_fault::drops_answers);
    runFor(700ms);
    kill(owner(0));
    for (auto waited = 0ms; waited < 3s && owner(0).empty(); waited += 1ms)
        runFor(1ms);
    BOOST_REQUIRE(!owner(0).empty());
    setStoreFault(owner(0), store_fault::drops_answers);
    runFor(1500ms);
    setStoreFault(owner(0), store_fault::none);
    runFor(10s);
    expectMoreEndsThanListed();
    expectEachTaskDoneOnce();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
