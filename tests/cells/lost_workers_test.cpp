// Checks that jobs whose tasks don't crash workers are completed, however often their workers are lost.
#include <boost/test/unit_test.hpp>

#include "tests/fakes/cell_fleet.h"
#include "tests/fakes/fleet_checks.h"

using namespace coriandermount;
using namespace coriandermount::fakes;
using namespace std::chrono_literals;

namespace {

/// A fleet that runs a stored job with one task, which does no harm.
struct fleet_with_a_sound_job : cell_fleet {
    explicit fleet_with_a_sound_job(unsigned vms = 2, std::chrono::milliseconds duration = 3s)
        : cell_fleet(1, vms, workerCount)
    {
        runFor(2s);
        store(owner(0), "sound", 1, duration);
    }

    /// Runs the fleet until the task has started once more and has run for a while. Returns its worker.
    std::string awaitNextRun()
    {
        for (auto passed = 0ms; passed < 60s && workers.runs().size() == seenRuns; passed += 10ms)
            runFor(10ms);
        BOOST_REQUIRE(workers.runs().size() > seenRuns);
        seenRuns = workers.runs().size();
        runFor(700ms);
        return workers.runs().back().worker.value;
    }

    /// Crashes a worker and three others.
    void crashRackOf(const std::string& worker)
    {
        constexpr unsigned othersOfRack = 3;
        workers.crash(worker);
        for (unsigned other = 0, crashed = 0; crashed < othersOfRack; ++other) {
            if (workerName(0, other) == worker)
                continue;
            workers.crash(workerName(0, other));
            ++crashed;
        }
    }

    void setCutOff(const std::string& worker, bool cutOff) { workers.faults(worker).partitioned = cutOff; }

    void expectCompletedWithin(std::chrono::milliseconds limit)
    {
        runFor(limit);
        BOOST_TEST((state(0, "sound") == jobs::job_state::completed));
        expectNoViolation(*this);
    }

    static constexpr unsigned workerCount = 12;
    std::size_t seenRuns = 0;
};

/// The task runs for longer than a change of the owner takes.
struct fleet_of_three_vms_with_a_sound_job : fleet_with_a_sound_job {
    fleet_of_three_vms_with_a_sound_job()
        : fleet_with_a_sound_job(3, 8s)
    {
    }

    /// Crashes the racks of three workers of the job one after another, and kills the owner `delay` after each crash.
    void crashRacksAndOwners(std::chrono::milliseconds delay)
    {
        constexpr int takeovers = 3;
        workers.refuseConnectionsAfterCrash();
        for (int number = 0; number < takeovers; ++number) {
            crashRackOf(awaitNextRun());
            runFor(delay);
            const std::string vm = owner(0);
            kill(vm);
            runFor(2s);
            start(vm);
        }
    }
};

/// Number of times that a worker is lost under the task.
constexpr int losses = 4;
/// Time after which the runs of a worker that is cut off have ended with its lease.
constexpr auto leaseHasEnded = 2500ms;

} // namespace

BOOST_AUTO_TEST_SUITE(a_sound_stored_job)

BOOST_AUTO_TEST_SUITE(is_completed)

// Guards against crashes that are counted for runs that had ended with their lease before.
BOOST_FIXTURE_TEST_CASE(after_its_workers_crash_behind_cuts, fleet_with_a_sound_job)
{
    for (int number = 0; number < losses; ++number) {
        const std::string worker = awaitNextRun();
        setCutOff(worker, true);
        runFor(leaseHasEnded);
        workers.crash(worker);
        setCutOff(worker, false);
    }
    BOOST_TEST(workers.crashesUnder({ "sound", 0, 0, 0 }) == 0U);
    expectCompletedWithin(30s);
}

// Guards against a crash of many workers at the same moment that is put down to each of their tasks.
BOOST_FIXTURE_TEST_CASE(after_the_racks_of_its_workers_crash, fleet_with_a_sound_job)
{
    for (int number = 0; number < losses; ++number)
        crashRackOf(awaitNextRun());
    expectCompletedWithin(60s);
}

// Guards against the same when each crash is observed at once, since the addresses refuse connections.
BOOST_FIXTURE_TEST_CASE(after_racks_whose_addresses_refuse_connections_crash, fleet_with_a_sound_job)
{
    workers.refuseConnectionsAfterCrash();
    for (int number = 0; number < losses; ++number)
        crashRackOf(awaitNextRun());
    expectCompletedWithin(60s);
}

// Guards against silence that ends a job like a crash that was observed.
BOOST_FIXTURE_TEST_CASE(after_its_workers_are_silent_for_longer_than_a_verdict_takes, fleet_with_a_sound_job)
{
    std::vector<std::string> silent;
    for (int number = 0; number < losses; ++number) {
        silent.push_back(awaitNextRun());
        setCutOff(silent.back(), true);
    }
    runFor(cells::crashVerdictLimit + 3s);
    for (const auto& worker : silent)
        setCutOff(worker, false);
    expectCompletedWithin(60s);
}

// Guards against losses without a verdict that a new owner takes for crashes.
BOOST_FIXTURE_TEST_CASE(after_its_workers_are_cut_off_before_each_change_of_the_owner, fleet_of_three_vms_with_a_sound_job)
{
    constexpr int takeovers = 5;
    for (int number = 0; number < takeovers; ++number) {
        const std::string worker = awaitNextRun();
        setCutOff(worker, true);
        runFor(leaseHasEnded);
        if (state(0, "sound") == jobs::job_state::failed)
            break;
        const std::string vm = owner(0);
        kill(vm);
        runFor(2s);
        start(vm);
        setCutOff(worker, false);
    }
    expectCompletedWithin(60s);
}

// Guards against a crash that is put down to a task before it is known what else was lost, and stored for the next owner.
BOOST_FIXTURE_TEST_CASE(after_its_racks_crash_and_owners_die_as_they_notice, fleet_of_three_vms_with_a_sound_job)
{
    constexpr auto noticed = 1500ms;
    crashRacksAndOwners(noticed);
    expectCompletedWithin(60s);
}

// Guards against the same when the owner has learnt what else was lost, but not stored it.
BOOST_FIXTURE_TEST_CASE(after_its_racks_crash_and_owners_die_later, fleet_of_three_vms_with_a_sound_job)
{
    constexpr auto othersAreKnown = 2500ms;
    crashRacksAndOwners(othersAreKnown);
    expectCompletedWithin(60s);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
