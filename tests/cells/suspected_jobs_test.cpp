// Checks on which workers the tasks of a job start after its workers have crashed.
#include <algorithm>
#include <set>

#include <boost/test/unit_test.hpp>

#include "tests/fakes/single_owner.h"

using namespace coriandermount;
using namespace coriandermount::fakes;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t epoch = 1;
constexpr auto taskTime = 1500ms;
constexpr std::int64_t workerCpu = 16000;

/// Six workers of each of two kinds, which run a job with one step for each kind, of three tasks each.
struct job_on_two_kinds_of_workers : single_owner {
    job_on_two_kinds_of_workers()
    {
        for (const std::string kind : { "a", "b" }) {
            for (int number = 0; number < 6; ++number)
                workers.add(kind + std::to_string(number), "0", workerCpu);
        }
        workers.neverRestartAfterCrash();
        workers.refuseConnectionsAfterCrash();
        owner.takeOver({ epoch, false });
        auto registrations = workers.registrations("0");
        for (auto& worker : registrations)
            worker.labels = { kindOf(worker.id) };
        owner.setWorkers(registrations);
        runFor(4s);
    }

    /// Submits the job, of which a worker runs at most one task of a step, and awaits the start of its tasks.
    void submit(bool firstIsLongRunning = false)
    {
        auto job = request(epoch, "job", 3, taskTime);
        jobs::step& first = job.accepted.work.steps.front();
        first.maxPerWorker = 1;
        first.requiredLabel = "a";
        job.accepted.work.steps.emplace_back(first).requiredLabel = "b";
        job.accepted.work.steps.front().longRunning = firstIsLongRunning;
        run(job);
        runFor(300ms);
        BOOST_REQUIRE(workers.runs().size() == 6);
    }

    /// Crashes the workers that run the first two tasks of each step.
    void crashWorkersOfBothKinds()
    {
        std::set<std::string> struck;
        for (const auto& run : workers.runs()) {
            if (run.task.index < 2)
                struck.insert(run.worker.value);
        }
        for (const auto& worker : struck)
            workers.crash(worker);
    }

    static std::string kindOf(const worker_id& worker) { return worker.value.substr(0, 1); }
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_job_whose_workers_crash)

// Guards against tasks on a worker without the label that they require (issue 2, review/15): the worker that was reserved for the
// tasks of one step was used for those of the other.
BOOST_FIXTURE_TEST_CASE(starts_each_task_on_a_worker_with_the_label_that_it_requires, job_on_two_kinds_of_workers)
{
    submit();
    crashWorkersOfBothKinds();
    runFor(15s);
    BOOST_REQUIRE(workers.runs().size() >= 10);
    for (const auto& run : workers.runs())
        BOOST_TEST(kindOf(run.worker) == (run.task.step == 0 ? "a" : "b"));
    BOOST_REQUIRE(answers.size() == 1);
    BOOST_TEST((answers.front() == jobs::job_state::completed));
}

// Guards against tasks that wait for the end of a long-running one of their job on the reserved worker.
BOOST_FIXTURE_TEST_CASE(completes_its_other_tasks_while_long_running_ones_go_on, job_on_two_kinds_of_workers)
{
    for (const auto& worker : workers.registrations("0"))
        workers.faults(worker.id.value).hangs = kindOf(worker.id) == "a";
    submit(true);
    crashWorkersOfBothKinds();
    runFor(9s);
    const auto& runs = workers.runs();
    const auto isDone = [](const recorded_run& run) { return run.task.step == 1 && run.done; };
    const auto goesOn = [](const recorded_run& run) { return run.task.step == 0 && !run.end; };
    BOOST_TEST(std::count_if(runs.begin(), runs.end(), isDone) == 3);
    BOOST_TEST(std::count_if(runs.begin(), runs.end(), goesOn) == 3);
}

// Guards against a task that waits on a worker with another task of its step, of which a worker runs only one.
BOOST_AUTO_TEST_CASE(does_not_wait_for_a_worker_that_runs_as_many_tasks_of_the_step_as_it_may)
{
    single_owner cell;
    cell.workers.neverRestartAfterCrash();
    cell.workers.refuseConnectionsAfterCrash();
    cell.workers.add("first", "0", workerCpu);
    cell.workers.add("second", "0", workerCpu);
    cell.owner.takeOver({ epoch, false });
    cell.owner.setWorkers(cell.workers.registrations("0"));
    cell.runFor(4s);
    auto job = cell.request(epoch, "job", 2, 9s);
    job.accepted.work.steps.front().maxPerWorker = 1;
    cell.run(job);
    cell.workers.add("smaller", "0", workerCpu / 2);
    cell.owner.setWorkers(cell.workers.registrations("0"));
    cell.runFor(2s);
    BOOST_REQUIRE(cell.workers.runs().size() == 2);
    cell.workers.crash("first");
    cell.runFor(4s);
    BOOST_REQUIRE(cell.workers.runs().size() == 3);
    BOOST_TEST(cell.workers.runs().back().worker.value == "smaller");
}

BOOST_AUTO_TEST_SUITE_END()
