// Checks that no task starts in an evacuated failure domain, that its jobs run elsewhere, and that it returns without a burst.
#include <algorithm>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "tests/fakes/fleet_checks.h"
#include "tests/fakes/resubmitting_callers.h"

using namespace coriandermount;
using namespace coriandermount::fakes;
using namespace std::chrono_literals;

namespace {

/// Three domains with nine workers of 16 cores in all, the first of which is evacuated.
struct evacuated_domain {
    evacuated_domain() { fleet.runFor(2s); }

    /// Submits jobs of one task at a VM, one each 50 ms, and returns how many it submitted.
    std::size_t submitFor(const std::string& vm, std::chrono::milliseconds duration, std::chrono::milliseconds runTime = 100ms)
    {
        std::size_t submitted = 0;
        for (auto passed = 0ms; passed < duration; passed += 50ms) {
            fleet.run(vm, "job" + std::to_string(lastJob++), 1, runTime, callerTime);
            ++submitted;
            fleet.runFor(50ms);
        }
        return submitted;
    }

    std::size_t completed() const
    {
        return static_cast<std::size_t>(std::count_if(fleet.answers.begin(), fleet.answers.end(),
            [](const recorded_answer& current) { return current.answer == jobs::job_state::completed; }));
    }

    void expectNoStarts()
    {
        for (const auto& message : fleet.startsInEvacuatedDomains())
            BOOST_ERROR(message);
        expectNoViolation(fleet);
    }

    /// Returns the number of runs that started in a domain from `from` on.
    std::size_t runsSince(unsigned domain, time_point from) const
    {
        const std::string prefix = cell_fleet::workerName(domain, 0).substr(0, cell_fleet::workerName(domain, 0).size() - 1);
        const auto& runs = fleet.workers.runs();
        return static_cast<std::size_t>(std::count_if(runs.begin(), runs.end(),
            [&](const recorded_run& run) { return run.worker.value.starts_with(prefix) && run.start >= from; }));
    }

    std::uint64_t lostRuns() const
    {
        std::uint64_t lost = 0;
        for (const auto count : fleet.counterValues(fleet.owner(0)).lostRuns)
            lost += count;
        return lost;
    }

    cell_fleet fleet { 3, 3, 3, true };
    std::size_t lastJob = 0;
    std::chrono::milliseconds callerTime { 1500 };
};

} // namespace

BOOST_AUTO_TEST_SUITE(an_evacuation)

BOOST_FIXTURE_TEST_SUITE(when_it_begins, evacuated_domain)

BOOST_AUTO_TEST_CASE(jobs_of_the_domain_run_in_the_others)
{
    // Guards against starts in an evacuated domain, and against callers that are refused while other domains have room.
    fleet.evacuate(0);
    fleet.runFor(100ms);
    const auto before = fleet.loop.now();
    const std::size_t submitted = submitFor(cell_fleet::vmName(0, 0), 7s);
    fleet.runFor(2s);
    BOOST_TEST(completed() == submitted);
    BOOST_TEST(runsSince(0, before) == 0U);
    expectNoStarts();
}

BOOST_AUTO_TEST_CASE(what_runs_there_ends_by_itself)
{
    // Guards against runs that are stopped, or whose leases end, because nothing new starts beside them.
    fleet.run(cell_fleet::vmName(0, 0), "long", 3, 8s, 12s);
    fleet.runFor(200ms);
    fleet.evacuate(0);
    fleet.runFor(10s);
    BOOST_TEST(completed() == 1U);
    BOOST_TEST(fleet.workers.runs().size() == 3U);
    BOOST_TEST(lostRuns() == 0U);
    expectNoStarts();
}

BOOST_AUTO_TEST_CASE(a_job_that_has_started_places_its_other_tasks_at_once)
{
    // Guards against jobs that wait for their caller's time to pass because some of their tasks had not started yet.
    fleet.run(cell_fleet::vmName(0, 0), "wide", 8, 400ms, 3s);
    fleet.runFor(100ms);
    fleet.evacuate(0);
    fleet.runFor(4s);
    BOOST_TEST(completed() == 1U);
    expectNoStarts();
}

BOOST_AUTO_TEST_CASE(jobs_that_wait_there_move)
{
    // Guards against jobs that were queued before the evacuation and are forgotten by it.
    fleet.run(cell_fleet::vmName(0, 0), "filler", 6, 2s, 6s);
    fleet.run(cell_fleet::vmName(1, 0), "other-filler", 6, 300ms, 6s);
    fleet.run(cell_fleet::vmName(2, 0), "third-filler", 6, 300ms, 6s);
    fleet.runFor(50ms);
    fleet.run(cell_fleet::vmName(0, 0), "waiting", 2, 100ms, 4s);
    fleet.runFor(50ms);
    fleet.evacuate(0);
    fleet.runFor(1500ms);
    BOOST_REQUIRE(fleet.answers.size() >= 3U);
    BOOST_TEST(completed() == 3U);
    fleet.runFor(3s);
    BOOST_TEST(completed() == 4U);
    expectNoStarts();
}

BOOST_AUTO_TEST_CASE(a_caller_is_refused_at_once_when_all_domains_are_evacuated)
{
    // Guards against callers that wait until their deadline although it is known that nothing can run their job.
    for (unsigned domain = 0; domain < 3; ++domain)
        fleet.evacuate(domain);
    fleet.runFor(1s);
    const auto before = fleet.loop.now();
    fleet.run(cell_fleet::vmName(1, 1), "nowhere", 1, 100ms, 3s);
    fleet.runFor(3s);
    BOOST_REQUIRE(fleet.answers.size() == 1U);
    BOOST_REQUIRE(!fleet.answers[0].answer.has_value());
    const error& refusal = fleet.answers[0].answer.error();
    BOOST_TEST((rowOf(refusal.kind).result == outcome::not_run));
    BOOST_TEST(refusal.retryAfter.has_value());
    BOOST_TEST((fleet.answers[0].at - before).count() < std::chrono::nanoseconds(1s).count());
    BOOST_TEST(fleet.workers.runs().empty());
}

BOOST_AUTO_TEST_CASE(jobs_of_two_evacuated_domains_run_in_the_third)
{
    // Guards against jobs that one evacuated domain lends to another one.
    fleet.evacuate(0);
    fleet.evacuate(1);
    fleet.runFor(100ms);
    const std::size_t submitted = submitFor(cell_fleet::vmName(0, 0), 3s) + submitFor(cell_fleet::vmName(1, 0), 4s);
    fleet.runFor(2s);
    BOOST_TEST(completed() == submitted);
    expectNoStarts();
}

BOOST_AUTO_TEST_CASE(a_job_moves_on_when_the_domain_that_took_it_is_evacuated)
{
    // Guards against jobs that wait in a second evacuated domain until their caller's time has passed.
    fleet.run(cell_fleet::vmName(1, 0), "filler-1", 6, 900ms, 6s);
    fleet.run(cell_fleet::vmName(2, 0), "filler-2", 6, 900ms, 6s);
    fleet.runFor(50ms);
    fleet.evacuate(0);
    fleet.runFor(100ms);
    fleet.run(cell_fleet::vmName(0, 0), "moved", 2, 100ms, 5s);
    fleet.runFor(100ms);
    fleet.evacuate(1);
    fleet.runFor(5s);
    BOOST_TEST(completed() == 3U);
    BOOST_TEST(runsSince(0, {}) == 0U);
    expectNoStarts();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(when_something_fails_in_it, evacuated_domain)

BOOST_AUTO_TEST_CASE(the_next_owner_gives_no_start_there)
{
    // Guards against an owner that learns of the evacuation only after its first starts.
    fleet.evacuate(0);
    fleet.runFor(6s);
    const auto before = fleet.loop.now();
    fleet.kill(fleet.owner(0));
    // Callers whose jobs the lost owner may have started wait until its leases have ended.
    callerTime = 4s;
    const std::string survivor = fleet.isAlive(cell_fleet::vmName(0, 2)) ? cell_fleet::vmName(0, 2) : cell_fleet::vmName(0, 1);
    const std::size_t submitted = submitFor(survivor, 6s);
    fleet.runFor(3s);
    BOOST_TEST(completed() == submitted);
    BOOST_TEST(runsSince(0, before) == 0U);
    expectNoStarts();
}

BOOST_AUTO_TEST_CASE(vms_that_all_restart_give_no_start_there)
{
    // Guards against VMs that serve with an empty list of evacuations until they have read it.
    fleet.evacuate(0);
    fleet.runFor(6s);
    const auto before = fleet.loop.now();
    for (unsigned number = 0; number < 3; ++number)
        fleet.kill(cell_fleet::vmName(0, number));
    fleet.runFor(500ms);
    for (unsigned number = 0; number < 3; ++number)
        fleet.start(cell_fleet::vmName(0, number));
    fleet.run(cell_fleet::vmName(0, 1), "after", 1, 100ms, 6s);
    fleet.runFor(8s);
    BOOST_TEST(completed() == 1U);
    BOOST_TEST(runsSince(0, before) == 0U);
    expectNoStarts();
}

BOOST_AUTO_TEST_CASE(the_last_known_state_holds_while_the_store_is_down)
{
    // Guards against an evacuation that ends, or an owner that stops serving the others, because the store does not answer.
    fleet.evacuate(0);
    fleet.runFor(6s);
    const auto before = fleet.loop.now();
    for (unsigned domain = 0; domain < 3; ++domain) {
        for (unsigned number = 0; number < 3; ++number)
            fleet.setStoreFault(cell_fleet::vmName(domain, number), store_fault::refuses_requests);
    }
    fleet.runFor(300ms);
    const std::size_t submitted = submitFor(cell_fleet::vmName(0, 0), 2s);
    fleet.runFor(1s);
    BOOST_TEST(completed() == submitted);
    BOOST_TEST(runsSince(0, before) == 0U);
}

BOOST_AUTO_TEST_CASE(an_owner_that_was_cut_off_from_the_store_learns_of_it)
{
    // Guards against an owner that goes on for ever with what it knew before the store was out of its reach.
    const std::string owner = fleet.owner(0);
    fleet.setStoreFault(owner, store_fault::drops_requests);
    fleet.runFor(200ms);
    fleet.evacuate(0);
    fleet.runFor(500ms);
    fleet.setStoreFault(owner, store_fault::none);
    const std::size_t submitted = submitFor(owner, 12s);
    fleet.runFor(2s);
    BOOST_TEST(completed() == submitted);
    expectNoStarts();
}

BOOST_AUTO_TEST_CASE(a_removal_that_a_snapshot_shows_ends_it)
{
    // Guards against a domain that stays evacuated because the record of the removal was deleted before a VM read it.
    fleet.evacuate(0);
    fleet.runFor(1s);
    for (unsigned number = 0; number < 3; ++number)
        fleet.setStoreFault(cell_fleet::vmName(0, number), store_fault::refuses_requests);
    fleet.runFor(200ms);
    fleet.endEvacuation(0);
    fleet.runFor(200ms);
    fleet.records.compact();
    for (unsigned number = 0; number < 3; ++number)
        fleet.setStoreFault(cell_fleet::vmName(0, number), store_fault::none);
    fleet.runFor(8s);
    const auto before = fleet.loop.now();
    submitFor(fleet.owner(0), 1s);
    BOOST_TEST(runsSince(0, before) > 0U);
}

BOOST_AUTO_TEST_CASE(a_record_that_is_written_again_counts_from_then_on)
{
    // Guards against starts after the second request, and against a domain that the first removal does not bring back.
    fleet.evacuate(0);
    fleet.runFor(6s);
    fleet.endEvacuation(0);
    fleet.runFor(300ms);
    fleet.evacuate(0);
    fleet.runFor(100ms);
    const auto before = fleet.loop.now();
    const std::size_t submitted = submitFor(fleet.owner(0), 7s);
    fleet.runFor(2s);
    BOOST_TEST(completed() == submitted);
    BOOST_TEST(runsSince(0, before) == 0U);
    expectNoStarts();
}

BOOST_AUTO_TEST_CASE(workers_that_restart_there_get_no_start)
{
    // Guards against workers that register in the evacuated domain and are taken for new capacity.
    fleet.evacuate(0);
    fleet.runFor(6s);
    const auto before = fleet.loop.now();
    for (unsigned number = 0; number < 3; ++number)
        fleet.workers.restart(cell_fleet::workerName(0, number));
    const std::size_t submitted = submitFor(fleet.owner(0), 2s);
    fleet.runFor(2s);
    BOOST_TEST(completed() == submitted);
    BOOST_TEST(runsSince(0, before) == 0U);
    expectNoStarts();
}

BOOST_AUTO_TEST_CASE(an_owner_that_freezes_gives_no_late_start)
{
    // Guards against orders that were decided before a freeze and are sent after the bound.
    const std::string owner = fleet.owner(0);
    fleet.evacuate(0);
    fleet.freeze(owner);
    fleet.run(owner, "frozen", 1, 100ms, 1500ms);
    fleet.runFor(7s);
    const auto before = fleet.loop.now();
    fleet.thaw(owner);
    fleet.runFor(6s);
    BOOST_TEST(runsSince(0, before) == 0U);
    expectNoStarts();
}

BOOST_AUTO_TEST_CASE(a_job_whose_earlier_run_has_not_stopped_waits_for_its_end)
{
    // Guards against a second run in another domain beside one of an earlier submission that its worker has not stopped yet.
    const std::string caller = cell_fleet::vmName(0, 0);
    fleet.run(caller, "again", 1, 5s, 10s);
    fleet.runFor(200ms);
    for (unsigned number = 0; number < 3; ++number)
        fleet.workers.faults(cell_fleet::workerName(0, number)).partitioned = true;
    fleet.evacuate(0);
    fleet.runFor(50ms);
    fleet.disconnectCaller(caller, "again");
    fleet.runFor(700ms);
    fleet.run(caller, "again", 1, 100ms, 6s);
    fleet.runFor(6s);
    expectNoViolation(fleet);
}

BOOST_AUTO_TEST_CASE(a_job_whose_other_tasks_cannot_start_is_answered_at_once)
{
    // Guards against callers that wait until their deadline for tasks that the evacuation keeps from starting.
    fleet.run(cell_fleet::vmName(0, 0), "filler", 5, 6s, 12s);
    fleet.runFor(50ms);
    fleet.run(cell_fleet::vmName(0, 0), "half", 2, 4s, 30s);
    fleet.runFor(50ms);
    fleet.evacuate(0);
    fleet.runFor(12s);
    const auto answered = std::any_of(
        fleet.answers.begin(), fleet.answers.end(), [](const recorded_answer& current) { return current.jobId == "half"; });
    BOOST_TEST(answered);
    expectNoStarts();
}

BOOST_AUTO_TEST_CASE(a_caller_waits_while_the_only_other_cell_gets_a_new_owner)
{
    // Guards against refusals by a takeover of a few hundred milliseconds while workers are free.
    fleet.evacuate(0);
    fleet.evacuate(2);
    fleet.runFor(1s);
    fleet.kill(fleet.owner(1));
    fleet.runFor(300ms);
    fleet.run(cell_fleet::vmName(0, 0), "patient", 1, 100ms, 6s);
    fleet.runFor(6s);
    BOOST_TEST(completed() == 1U);
    expectNoStarts();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(when_it_ends, evacuated_domain)

BOOST_AUTO_TEST_CASE(the_domain_serves_again_without_a_burst)
{
    // Guards against a domain that gets all the load back in one moment.
    fleet.evacuate(0);
    fleet.runFor(6s);
    fleet.endEvacuation(0);
    fleet.runFor(50ms);
    const auto returned = fleet.loop.now();
    for (int number = 0; number < 6; ++number)
        fleet.run(fleet.owner(0), "burst" + std::to_string(number), 1, 1500ms, 6s);
    fleet.runFor(100ms);
    BOOST_TEST(runsSince(0, returned) <= 1U);
    fleet.runFor(3s);
    submitFor(fleet.owner(0), 1s);
    BOOST_TEST(runsSince(0, returned + 3s) > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_random_faults)

namespace {

/// One fault, request or evacuation, and the pause that follows it.
struct random_event {
    unsigned kind = 0;
    unsigned domain = 0;
    unsigned number = 0;
    std::chrono::milliseconds pause { 0 };
};

constexpr unsigned eventKinds = 20;

void apply(cell_fleet& fleet, resubmitting_callers& callers, const random_event& event, std::uint64_t index)
{
    const std::string vm = cell_fleet::vmName(event.domain, event.number);
    const std::string worker = cell_fleet::workerName(event.domain, event.number);
    switch (event.kind) {
    case 0:
    case 1:
        fleet.evacuate(event.domain);
        break;
    case 2:
        fleet.endEvacuation(event.domain);
        break;
    case 3:
        fleet.kill(vm);
        callers.noteLost(vm);
        break;
    case 4:
    case 5:
        fleet.start(vm);
        break;
    case 6:
        fleet.setPartitioned(vm, true);
        break;
    case 7:
        fleet.setPartitioned(vm, false);
        break;
    case 8:
        fleet.setStoreFault(vm, static_cast<store_fault>(index % 4));
        break;
    case 9:
        fleet.setStoreFault(vm, store_fault::none);
        break;
    case 10:
        fleet.workers.faults(worker).orderDelay = std::chrono::milliseconds(index % 2 == 0 ? 2500 : 0);
        break;
    case 11:
        fleet.drain(vm);
        break;
    case 12:
        fleet.records.compact();
        break;
    default:
        if (fleet.isAlive(vm))
            callers.submit(vm, index, 1 + index % 4, std::chrono::milliseconds(50 + index % 7 * 300));
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(no_vm_that_reaches_the_store_starts_a_task_in_an_evacuated_domain)
{
    // Guards against starts after the bound, and against tasks that run twice because a job has moved, whatever else happens.
    BOOST_TEST(rc::check([] {
        std::vector<random_event> events(*rc::gen::inRange<std::size_t>(40, 100));
        for (auto& event : events)
            event = { *rc::gen::inRange(0U, eventKinds), *rc::gen::inRange(0U, 3U), *rc::gen::inRange(0U, 3U),
                std::chrono::milliseconds(*rc::gen::inRange(0, 700)) };
        cell_fleet fleet(3, 3, 3, true);
        resubmitting_callers callers(fleet);
        fleet.runFor(2s);
        for (std::uint64_t index = 0; index < events.size(); ++index) {
            apply(fleet, callers, events[index], index);
            fleet.runFor(events[index].pause);
        }
        fleet.runFor(10s);
        for (const auto& message : fleet.startsInEvacuatedDomains())
            RC_FAIL(message + '\n' + fleet.timeline.textOf(message.substr(0, message.find('.'))));
        for (const auto& violation : fleet.workers.violations())
            RC_FAIL(violation + '\n' + fleet.timeline.textOf(violation.substr(0, violation.find_first_of(". "))));
    }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
