// Checks that an owner that has been superseded without knowing it starts no task that its successor keeps running.
#include <algorithm>
#include <set>

#include <boost/test/unit_test.hpp>

#include "tests/fakes/single_owner.h"

using namespace coriandermount;
using namespace coriandermount::fakes;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t epoch = 2;

/// An owner whose task runs on one of two workers. A successor takes over, which the owner does not hear: its reads of records
/// are slow, and the successor has reached only the worker that runs the task, whose answers to the owner are lost from then on.
struct superseded_owner : single_owner {
    superseded_owner()
    {
        workers.add("worker-1", "0", 16000);
        workers.add("worker-2", "0", 16000);
        owner.takeOver({ epoch, false });
        owner.setWorkers(workers.registrations("0"));
        runFor(4s);
    }

    /// Runs a task and waits until it has started.
    void startTask(jobs::run_request submitted)
    {
        run(std::move(submitted));
        runFor(400ms);
        BOOST_REQUIRE(workers.runs().size() == 1);
        runsOn = workers.runs()[0].worker;
    }

    /// Starts the term of the successor: its record is stored, and it polls the worker that runs the task.
    void supersede()
    {
        recordsAreSlow = true;
        answersAreLost = true;
        storeSuccessor();
        renewLease();
    }

    void storeSuccessor()
    {
        jobs::append_request mark;
        mark.stream = { "jobs", 0 };
        mark.records.push_back({ jobs::ownerKey(), jobs::encodeOwner(epoch + 1), 0 });
        mark.from = jobs::writer { "owner", epoch + 1, 0 };
        records.append(mark, store_fault::none, [](const auto&) {});
        loop.runFor(10ms);
    }

    /// Renews the lease of the worker that runs the task, as the successor does, and acknowledges `acknowledged` ends.
    void renewLease(std::uint64_t acknowledged = 0)
    {
        const auto workerClock = std::chrono::duration_cast<cells::worker_time>(loop.now() - startedAt);
        workers.poll(runsOn, { epoch + 1, acknowledged, workerClock + 1000ms, true, 0ms }, [](const auto&) {});
    }

    void read(
        const jobs::record_stream& stream, std::uint64_t from, std::chrono::milliseconds wait, read_completion done) override
    {
        records.read(stream, from, wait, store_fault::none, [this, done](const result<jobs::record_batch>& answer) {
            if (!recordsAreSlow)
                done(answer);
            else
                loop.after(slowRead, [done] { done(fail(error_kind::log_unavailable, "no answer in time")); });
        });
    }

    void poll(
        const cells::worker_registration& worker, const cells::poll_order& order, completion<cells::poll_answer> done) override
    {
        workers.poll(worker.id, order, [this, id = worker.id, done](const auto& answer) {
            if (!answersAreLost || id != runsOn)
                done(answer);
            else
                loop.after(pollTimeout, [done] { done(tl::unexpected(cells::order_failure::no_answer)); });
        });
    }

    void expectNoSecondStart()
    {
        for (const auto& violation : workers.violations())
            BOOST_ERROR(violation);
        BOOST_TEST(workers.runs().size() == 1);
    }

    static constexpr auto slowRead = 3s;
    static constexpr auto pollTimeout = 600ms;
    const time_point startedAt = loop.now();
    worker_id runsOn;
    bool recordsAreSlow = false;
    bool answersAreLost = false;
};

/// An owner whose workers are all in use, so that the task "waiting" waits. A successor takes over, which the owner does not
/// hear, and starts that task on a worker that has become free.
struct superseded_owner_with_a_waiting_task : superseded_owner {
    superseded_owner_with_a_waiting_task()
    {
        run(patient("long", 4, 8s));
        run(patient("waiting", 1, 6s));
        runFor(400ms);
        BOOST_REQUIRE(workers.runs().size() == 4U);
    }

    /// Returns a request whose caller waits for longer than all tasks take.
    jobs::run_request patient(const std::string& jobId, std::uint32_t tasks, std::chrono::milliseconds duration) const
    {
        auto submitted = request(epoch, jobId, tasks, duration);
        submitted.timeLeft = 30s;
        return submitted;
    }

    void supersedeAndStartWaitingTask()
    {
        recordsAreSlow = true;
        allAnswersAreLost = true;
        storeSuccessor();
        const auto workerClock = std::chrono::duration_cast<cells::worker_time>(loop.now() - startedAt);
        const cells::start_order order { { "waiting", 0, 0, 0 }, epoch * cells::attemptsPerEpoch + 1, "6000",
            workerClock + 1000ms, epoch + 1, {}, 0ms };
        workers.start({ "worker-1" }, order, [](const auto&) {});
        loop.runFor(10ms);
        BOOST_REQUIRE(runsOfWaitingTask() == 1);
    }

    std::size_t runsOfWaitingTask() const
    {
        return static_cast<std::size_t>(std::count_if(
            workers.runs().begin(), workers.runs().end(), [](const recorded_run& run) { return run.task.jobId == "waiting"; }));
    }

    void poll(
        const cells::worker_registration& worker, const cells::poll_order& order, completion<cells::poll_answer> done) override
    {
        workers.poll(worker.id, order, [this, worker, done](const auto& answer) {
            if (!allAnswersAreLost || isNew(worker))
                done(answer);
            else
                loop.after(pollTimeout, [done] { done(tl::unexpected(cells::order_failure::no_answer)); });
        });
    }

    /// Returns whether the worker has booted since the successor took over.
    bool isNew(const cells::worker_registration& worker) const { return newBoots.contains(worker.bootTime); }

    void expectOneRunOfWaitingTask()
    {
        for (const auto& violation : workers.violations())
            BOOST_ERROR(violation);
        BOOST_TEST(runsOfWaitingTask() == 1);
    }

    bool allAnswersAreLost = false;
    std::set<std::int64_t> newBoots;
};

} // namespace

BOOST_AUTO_TEST_SUITE(at_most_once)

BOOST_FIXTURE_TEST_SUITE(when_an_owner_does_not_know_its_successor, superseded_owner)

// Guards against attempt 2 beside attempt 1 (issue 24): the owner took the end of the leases that it had granted as proof that
// the run had ended, although the successor had renewed the lease of the worker.
BOOST_AUTO_TEST_CASE(a_run_whose_lease_the_successor_renews_is_not_started_again)
{
    startTask(request(epoch, "a", 1, 6s));
    supersede();
    for (int renewal = 0; renewal < 25; ++renewal) {
        runFor(100ms);
        renewLease();
    }
    expectNoSecondStart();
}

// Guards against attempt 2 beside attempt 1 (issue 24): the same for a worker that has left the list of workers.
BOOST_AUTO_TEST_CASE(a_run_on_a_deregistered_worker_whose_lease_the_successor_renews_is_not_started_again)
{
    startTask(request(epoch, "a", 1, 6s));
    supersede();
    owner.removeWorker(runsOn);
    for (int renewal = 0; renewal < 25; ++renewal) {
        runFor(100ms);
        renewLease();
    }
    expectNoSecondStart();
}

// Guards against a start beside one of the successor (issue 24): a restart of the worker ends the run, but the successor may have
// started the task again on another worker.
BOOST_AUTO_TEST_CASE(a_run_whose_worker_restarts_is_not_started_again)
{
    startTask(request(epoch, "a", 1, 6s));
    supersede();
    owner.updateWorker(workers.restart(runsOn.value));
    runFor(2s);
    expectNoSecondStart();
}

// Guards against a run beside one of the successor (issue 34): a worker that boots after the takeover has seen no token, so that
// it executed the order of the superseded owner to start a task that had waited there.
BOOST_FIXTURE_TEST_CASE(a_waiting_task_is_not_started_on_a_worker_that_joins, superseded_owner_with_a_waiting_task)
{
    supersedeAndStartWaitingTask();
    const auto joined = workers.add("worker-3", "0", 16000);
    newBoots.insert(joined.bootTime);
    owner.updateWorker(joined);
    runFor(1s);
    expectOneRunOfWaitingTask();
}

// Guards against a run beside one of the successor (issue 34): the same for a worker that restarts.
BOOST_FIXTURE_TEST_CASE(a_waiting_task_is_not_started_on_a_worker_that_restarts, superseded_owner_with_a_waiting_task)
{
    supersedeAndStartWaitingTask();
    const auto restarted = workers.restart("worker-2");
    newBoots.insert(restarted.bootTime);
    owner.updateWorker(restarted);
    runFor(1s);
    expectOneRunOfWaitingTask();
}

// Guards against a run beside one of the successor (issue 34): the successor did not wait for a worker that was not registered
// when it took over.
BOOST_FIXTURE_TEST_CASE(a_waiting_task_is_not_started_on_a_worker_that_is_registered_again, superseded_owner_with_a_waiting_task)
{
    supersedeAndStartWaitingTask();
    auto larger = workers.registrations("0").back();
    BOOST_REQUIRE(larger.id.value == "worker-2");
    larger.capacity.cpuMillis = 32000;
    owner.removeWorker(larger.id);
    owner.updateWorker(larger);
    runFor(1s);
    expectOneRunOfWaitingTask();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(when_no_other_vm_has_taken_over, superseded_owner_with_a_waiting_task)

BOOST_AUTO_TEST_CASE(a_waiting_task_is_started_at_once_on_a_worker_that_joins)
{
    const auto joined = workers.add("worker-3", "0", 16000);
    owner.updateWorker(joined);
    runFor(30ms);
    BOOST_TEST(runsOfWaitingTask() == 1);
}

// A failure domain that is cut off from the store goes on with the workers that it knows.
BOOST_AUTO_TEST_CASE(a_waiting_task_is_started_on_a_known_worker_while_the_store_does_not_answer)
{
    recordsAreSlow = true;
    runFor(5s);
    BOOST_TEST(runsOfWaitingTask() == 0);
    runFor(4s);
    BOOST_TEST(runsOfWaitingTask() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
