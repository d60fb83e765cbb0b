// Checks that a VM that was frozen does not start jobs whose callers have left: these may run in another failure domain by then.
#include <boost/test/unit_test.hpp>

#include "tests/fakes/fleet_checks.h"
#include "tests/fakes/single_owner.h"

using namespace coriandermount;
using namespace coriandermount::fakes;
using namespace std::chrono_literals;

namespace {

/// Delay after which a caller that was not answered submits its job again.
constexpr auto retransmissionDelay = 1300ms;
/// Time for which the callers of the frozen VM wait.
constexpr auto callerTimeout = 1500ms;
constexpr auto runTime = 1500ms;

/// Two failure domains. A VM of the first one is frozen; its callers leave, and submit their jobs again in the second one.
struct frozen_vm {
    explicit frozen_vm(unsigned vms, unsigned workers)
        : fleet(2, vms, workers)
    {
        fleet.runFor(2s);
        owner = fleet.owner(0);
        BOOST_REQUIRE(!owner.empty());
    }

    /// Returns a VM of the first failure domain that does not own its cell.
    std::string member() const { return owner == cell_fleet::vmName(0, 0) ? cell_fleet::vmName(0, 1) : cell_fleet::vmName(0, 0); }

    /// Submits a job at `vm`, whose caller leaves without an answer and submits it again in the other domain, where it runs
    /// for `runTime`.
    void submitAndResubmit(const std::string& vm, const std::string& jobId)
    {
        fleet.run(vm, jobId, 1, runTime, callerTimeout);
        fleet.runFor(callerTimeout);
        fleet.disconnectCaller(vm, jobId);
        fleet.runFor(retransmissionDelay);
        fleet.run(fleet.owner(1), jobId, 1, runTime, 4s);
    }

    void expectOneRunAtATime()
    {
        fleet.runFor(6s);
        expectNoViolation(fleet);
        BOOST_TEST(fleet.counterValues(fleet.owner(1)).completedJobs == 1U);
    }

    cell_fleet fleet;
    std::string owner;
};

} // namespace

BOOST_AUTO_TEST_SUITE(at_most_once)

BOOST_AUTO_TEST_SUITE(when_a_vm_was_frozen)

// Guards against two runs at a time (issue 41): the close of the connection is noticed some milliseconds after the request is
// read.
BOOST_AUTO_TEST_CASE(a_request_that_it_reads_late_is_not_started_beside_the_resubmission)
{
    for (const bool ownsCell : { true, false }) {
        for (auto thawDelay = 0ms; thawDelay < runTime; thawDelay += 50ms) {
            BOOST_TEST_CONTEXT((ownsCell ? "the owner" : "another VM") << ", thawed after " << thawDelay.count() << " ms")
            {
                frozen_vm world(2, 3);
                const std::string frozen = ownsCell ? world.owner : world.member();
                world.fleet.freeze(frozen);
                world.fleet.runFor(500ms);
                world.submitAndResubmit(frozen, "a");
                world.fleet.runFor(thawDelay);
                world.fleet.thaw(frozen);
                world.expectOneRunAtATime();
            }
        }
    }
}

// Guards against two runs at a time (issue 41): an owner without a successor started a waiting task as soon as the answer of a
// worker was read, before it had looked for callers that have left.
BOOST_AUTO_TEST_CASE(a_task_that_waited_is_not_started_beside_the_resubmission)
{
    for (auto thawDelay = 0ms; thawDelay < runTime; thawDelay += 50ms) {
        BOOST_TEST_CONTEXT("thawed after " << thawDelay.count() << " ms")
        {
            frozen_vm world(1, 1);
            // The only worker has room for one task beside it, so that the second one of the next job waits.
            world.fleet.run(world.owner, "before", 1, 600ms, 3s);
            world.fleet.runFor(300ms);
            world.fleet.run(world.owner, "a", 2, runTime, 10s);
            world.fleet.runFor(100ms);
            world.fleet.freeze(world.owner);
            world.fleet.disconnectCaller(world.owner, "a");
            world.fleet.runFor(retransmissionDelay);
            world.fleet.run(world.fleet.owner(1), "a", 2, runTime, 4s);
            world.fleet.runFor(thawDelay);
            world.fleet.thaw(world.owner);
            world.expectOneRunAtATime();
        }
    }
}

// Guards against two runs at a time (issue 41): the request of another VM waited for a frozen owner, and was started before the
// withdrawal that came after it.
BOOST_AUTO_TEST_CASE(a_request_of_another_vm_that_it_reads_late_is_not_started_beside_the_resubmission)
{
    for (auto thawDelay = 0ms; thawDelay < runTime; thawDelay += 50ms) {
        BOOST_TEST_CONTEXT("thawed after " << thawDelay.count() << " ms")
        {
            frozen_vm world(2, 3);
            const std::string entry = world.member();
            // A VM that stops does not take over the cell.
            world.fleet.drain(entry);
            world.fleet.runFor(100ms);
            world.fleet.freeze(world.owner);
            world.fleet.run(entry, "a", 1, runTime, callerTimeout);
            world.fleet.runFor(10ms);
            world.fleet.disconnectCaller(entry, "a");
            world.fleet.runFor(retransmissionDelay);
            world.fleet.run(world.fleet.owner(1), "a", 1, runTime, 4s);
            world.fleet.runFor(thawDelay);
            world.fleet.thaw(world.owner);
            world.expectOneRunAtATime();
        }
    }
}

// Guards against two runs at a time (issue 41): an owner froze just before it would have given the job up, and the VM of the
// caller told no later owner that it had given the job up.
BOOST_AUTO_TEST_CASE(a_run_that_it_would_have_given_up_is_not_kept_beside_the_resubmission)
{
    constexpr auto timeLeft = 2s;
    for (auto left = 1ms; left <= 46ms; left += 5ms) {
        BOOST_TEST_CONTEXT("frozen " << left.count() << " ms before the deadline")
        {
            frozen_vm world(2, 3);
            const std::string entry = world.member();
            world.fleet.run(entry, "a", 1, 8s, timeLeft);
            world.fleet.runFor(timeLeft - left);
            world.fleet.freeze(world.owner);
            while (world.fleet.answers.empty())
                world.fleet.runFor(1ms);
            world.fleet.runFor(retransmissionDelay);
            world.fleet.run(world.fleet.owner(1), "a", 1, runTime, 4s);
            world.expectOneRunAtATime();
        }
    }
}

// Guards against a VM that starts nothing after a pause: callers that still wait are served.
BOOST_AUTO_TEST_CASE(a_request_that_it_reads_late_is_started_if_its_caller_still_waits)
{
    for (const bool ownsCell : { true, false }) {
        frozen_vm world(2, 3);
        const std::string frozen = ownsCell ? world.owner : world.member();
        world.fleet.freeze(frozen);
        world.fleet.run(frozen, "a", 1, 100ms, 3s);
        world.fleet.runFor(900ms);
        world.fleet.thaw(frozen);
        world.fleet.runFor(1500ms);
        BOOST_REQUIRE(world.fleet.answers.size() == 1U);
        BOOST_TEST((world.fleet.answers[0].answer == jobs::job_state::completed));
        expectNoViolation(world.fleet);
    }
}

// Guards against a run without a caller (issue 41): of two messages that wait for a frozen owner, the withdrawal was read before
// its request, and had no effect.
BOOST_FIXTURE_TEST_CASE(a_request_that_is_read_after_its_withdrawal_is_not_started, single_owner)
{
    constexpr std::uint64_t epoch = 2;
    workers.add("worker-1", "0", 16000);
    owner.takeOver({ epoch, false });
    owner.setWorkers(workers.registrations("0"));
    runFor(4s);
    auto withdrawn = request(epoch, "a", 1, 100ms);
    withdrawn.id = { 5, 6 };
    auto resubmitted = withdrawn;
    resubmitted.id = { 5, 7 };
    owner.withdraw("a", withdrawn.id);
    run(withdrawn);
    runFor(1s);
    BOOST_TEST(workers.runs().empty());
    BOOST_REQUIRE(answers.size() == 1U);
    BOOST_TEST((answers[0].error().kind == error_kind::cancelled_before_start));
    // A later request for the job is another one.
    run(resubmitted);
    runFor(1s);
    BOOST_REQUIRE(answers.size() == 2U);
    BOOST_TEST((answers[1] == jobs::job_state::completed));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
