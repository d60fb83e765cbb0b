// Checks how crashes of workers are attributed to the tasks that may have caused them.
#include <boost/test/unit_test.hpp>

#include "cells/cell_settings.h"
#include "cells/crash_suspicion.h"

using namespace coriandermount;
using namespace coriandermount::cells;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t firstBoot = 100;
constexpr std::int64_t secondBoot = 200;

struct suspicion_of_two_jobs {
    static exposed_run confirmed(const task_key& task) { return { task, true, false }; }
    static exposed_run unconfirmed(const task_key& task) { return { task, false, false }; }
    static exposed_run established(const task_key& task) { return { task, true, true }; }
    static exposed_run heardLater(const task_key& task) { return { task, true, false, loss_timing::unknown }; }
    static exposed_run lostInLease(const task_key& task) { return { task, true, false, loss_timing::in_lease }; }

    static worker_registration registration(const worker_id& id, const std::string& address, std::int64_t bootTime)
    {
        worker_registration worker;
        worker.id = id;
        worker.address = address;
        worker.bootTime = bootTime;
        return worker;
    }

    crash_suspicion suspicion;
    const task_key first { "first", 0, 0, 0 };
    const task_key second { "second", 0, 0, 0 };
    const worker_id workerA { "worker-a" };
    const worker_id workerB { "worker-b" };
    const worker_registration firstOfA = registration(workerA, "address-a", firstBoot);
    const worker_registration firstOfB = registration(workerB, "address-b", firstBoot);
    time_point now { 1h };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(crash_suspicions, suspicion_of_two_jobs)

BOOST_AUTO_TEST_CASE(arise_with_the_first_crash_and_blame_the_task_with_the_second)
{
    suspicion.noteRestart(workerA, firstBoot, { confirmed(first) }, now);
    BOOST_TEST(suspicion.isRestricted("first"));
    BOOST_TEST(!suspicion.isToBlame(first));
    suspicion.noteRestart(workerB, firstBoot, { confirmed(first) }, now);
    BOOST_TEST(suspicion.isToBlame(first));
    BOOST_TEST(!suspicion.isRestricted("second"));
}

BOOST_AUTO_TEST_CASE(blame_no_task_that_ran_beside_another_job_at_the_last_crash)
{
    // Guards against a harmless job that is given up because it ran beside deadly ones.
    suspicion.noteRestart(workerA, firstBoot, { confirmed(first) }, now);
    suspicion.noteRestart(workerB, firstBoot, { confirmed(first), confirmed(second) }, now);
    BOOST_TEST(suspicion.crashesUnder(first) == 2U);
    BOOST_TEST(!suspicion.isToBlame(first));
    BOOST_TEST(!suspicion.isToBlame(second));
}

BOOST_AUTO_TEST_CASE(blame_a_task_that_may_not_have_been_started_after_a_third_crash_only)
{
    suspicion.noteRestart(workerA, firstBoot, { unconfirmed(first) }, now);
    suspicion.noteRestart(workerB, firstBoot, { unconfirmed(first) }, now);
    BOOST_TEST(!suspicion.isToBlame(first));
    suspicion.noteRestart(workerB, secondBoot, { unconfirmed(first) }, now);
    BOOST_TEST(suspicion.isToBlame(first));
}

BOOST_AUTO_TEST_CASE(blame_a_task_that_was_never_alone_after_four_crashes)
{
    for (std::int64_t boot = 0; boot < 3; ++boot)
        suspicion.noteRestart(workerA, boot, { confirmed(first), confirmed(second) }, now);
    BOOST_TEST(!suspicion.isToBlame(first));
    suspicion.noteRestart(workerA, 3, { confirmed(first), confirmed({ "third", 0, 0, 0 }) }, now);
    BOOST_TEST(suspicion.isToBlame(first));
    BOOST_TEST(!suspicion.isToBlame(second));
}

BOOST_AUTO_TEST_CASE(fall_on_the_youngest_run)
{
    suspicion.noteRestart(workerA, firstBoot, { established(first), confirmed(second) }, now);
    BOOST_TEST(!suspicion.isRestricted("first"));
    suspicion.noteRestart(workerB, firstBoot, { established(first), confirmed(second) }, now);
    BOOST_TEST(suspicion.isToBlame(second));
}

BOOST_AUTO_TEST_CASE(end_when_a_silent_worker_answers_in_the_same_boot)
{
    suspicion.noteSilence(firstOfA, { confirmed(first) }, now);
    suspicion.noteSilence(firstOfB, { confirmed(first) }, now);
    BOOST_TEST(suspicion.isRestricted("first"));
    BOOST_TEST(suspicion.awaitsVerdict(first));
    suspicion.noteAlive(workerA, firstBoot);
    BOOST_TEST(!suspicion.awaitsVerdict(first));
    suspicion.noteAlive(workerB, firstBoot);
    BOOST_TEST(suspicion.empty());
}

BOOST_AUTO_TEST_CASE(are_unproven_until_a_crash_is_known_or_a_second_worker_falls_silent)
{
    suspicion.noteSilence(firstOfA, { confirmed(first), confirmed(second) }, now);
    BOOST_TEST(suspicion.isUnproven("first"));
    suspicion.noteSilence(firstOfB, { confirmed(first) }, now);
    BOOST_TEST(!suspicion.isUnproven("first"));
    suspicion.noteBoot(registration(workerA, "address-a", secondBoot), now);
    BOOST_TEST(!suspicion.isUnproven("second"));
}

BOOST_AUTO_TEST_CASE(are_confirmed_when_a_silent_worker_returns_with_a_later_boot)
{
    suspicion.noteSilence(firstOfA, { confirmed(first) }, now);
    suspicion.noteSilence(firstOfB, { confirmed(first) }, now);
    BOOST_TEST(suspicion.noteBoot(firstOfA, now).empty());
    BOOST_TEST(suspicion.noteBoot(registration(workerA, "elsewhere", secondBoot), now).size() == 1U);
    BOOST_TEST(!suspicion.isToBlame(first));
    BOOST_TEST(suspicion.awaitsVerdict(first));
    suspicion.noteRestart(workerB, firstBoot, {}, now);
    BOOST_TEST(suspicion.isToBlame(first));
}

BOOST_AUTO_TEST_CASE(are_confirmed_when_another_worker_is_registered_at_the_address_of_a_silent_one)
{
    // Guards against crashes that are not counted: the worker that returns may have a new id.
    const worker_id next { "worker-c" };
    suspicion.noteSilence(firstOfA, { confirmed(first) }, now);
    BOOST_TEST(suspicion.noteBoot(registration(next, "address-b", secondBoot), now).empty());
    BOOST_TEST(suspicion.noteBoot(registration(next, "address-a", secondBoot), now).size() == 1U);
    BOOST_TEST(suspicion.crashesUnder(first) == 1U);
}

BOOST_AUTO_TEST_CASE(count_a_possible_crash_when_a_silent_worker_never_returns)
{
    suspicion.noteSilence(firstOfA, { confirmed(first) }, now);
    suspicion.noteSilence(firstOfB, { confirmed(first) }, now);
    BOOST_TEST(suspicion.expire(now + crashVerdictLimit + 1s).size() == 2U);
    BOOST_TEST(suspicion.crashesUnder(first) == 2U);
    BOOST_TEST(!suspicion.isToBlame(first));
}

BOOST_AUTO_TEST_CASE(restrict_a_job_until_its_task_has_run_for_a_while_or_is_done)
{
    suspicion.noteRestart(workerA, firstBoot, { confirmed(first), confirmed(second) }, now);
    suspicion.noteEstablished(first);
    BOOST_TEST(!suspicion.isRestricted("first"));
    suspicion.noteDone(second);
    BOOST_TEST(!suspicion.isRestricted("second"));
    suspicion.noteRestart(workerB, firstBoot, { established(first) }, now);
    BOOST_TEST(suspicion.isToBlame(first));
}

BOOST_AUTO_TEST_CASE(are_taken_over_from_the_stored_progress_of_the_job)
{
    suspicion.noteRestart(workerA, firstBoot, { confirmed(first) }, now);
    suspicion.noteSilence(firstOfB, { confirmed(first) }, now);
    const auto stored
        = jobs::decodeProgress(jobs::encodeProgress({ { 0, 0, false, {}, suspicion.storedCounts(first) } })).value();
    crash_suspicion next;
    next.restore(first, stored.at(0).crashes, now);
    BOOST_TEST(next.isRestricted("first"));
    BOOST_TEST(next.crashesUnder(first) == 2U);
}

BOOST_AUTO_TEST_SUITE(blame_no_task)

// Guards against a job that fails because the cause of its losses took other workers as well.
BOOST_AUTO_TEST_CASE(whose_workers_were_lost_together_with_others)
{
    for (std::int64_t boot = 0; boot < 3; ++boot) {
        suspicion.noteFall(workerA, boot, { first }, now, now + 300ms);
        suspicion.noteFall(workerB, boot, { { "beside" + std::to_string(boot), 0, 0, 0 } }, now + 200ms, now + 500ms);
        suspicion.noteRestart(workerA, boot, { lostInLease(first) }, now + 1s);
        now += 10s;
    }
    BOOST_TEST(suspicion.crashesUnder(first) == 3U);
    BOOST_TEST(suspicion.crashesAttributedTo(first) == 0U);
    BOOST_TEST(suspicion.isUnproven("first"));
}

// Guards against a loss that is judged before the other workers that fell with it are found.
BOOST_AUTO_TEST_CASE(when_an_idle_worker_is_found_lost_at_the_same_moment_later)
{
    for (std::int64_t boot = 0; boot < 2; ++boot) {
        suspicion.noteFall(workerA, boot, { first }, now, now + 300ms);
        suspicion.noteRestart(workerA, boot, { confirmed(first) }, now + 1s);
        now += 10s;
    }
    BOOST_TEST(suspicion.isToBlame(first));
    suspicion.noteFall(workerB, firstBoot, {}, now - 11s, now - 9s);
    BOOST_TEST(!suspicion.isToBlame(first));
}

// Guards against crashes that are counted for runs that had ended with their leases.
BOOST_AUTO_TEST_CASE(whose_workers_may_have_crashed_after_its_runs)
{
    for (std::int64_t boot = 0; boot < 8; ++boot)
        suspicion.noteRestart(workerA, boot, { heardLater(first) }, now);
    BOOST_TEST(!suspicion.isToBlame(first));
    BOOST_TEST((suspicion.heldBackUntil(first) > now + 1min));
}

// Guards against two crashes by chance, at any time of the run, that end a job.
BOOST_AUTO_TEST_CASE(whose_workers_crashed_twice_after_its_start)
{
    suspicion.noteRestart(workerA, firstBoot, { lostInLease(first) }, now);
    suspicion.noteRestart(workerB, firstBoot, { lostInLease(first) }, now);
    BOOST_TEST(suspicion.crashesAttributedTo(first) == 2U);
    BOOST_TEST(!suspicion.isToBlame(first));
    suspicion.noteRestart(workerB, secondBoot, { lostInLease(first) }, now);
    BOOST_TEST(suspicion.isToBlame(first));
}

// Guards against workers that leave unseen and whose addresses are used again.
BOOST_AUTO_TEST_CASE(whose_workers_were_replaced_at_their_addresses_twice)
{
    for (const auto& [worker, address] : { std::pair("worker-a", "address-a"), std::pair("worker-b", "address-b") }) {
        suspicion.noteSilence(registration({ worker }, address, firstBoot), { confirmed(first) }, now);
        suspicion.noteBoot(registration({ "next" }, address, secondBoot), now);
    }
    BOOST_TEST(suspicion.crashesAttributedTo(first) == 2U);
    BOOST_TEST(!suspicion.isToBlame(first));
}

// Guards against a verdict that stands although the worker turns out to live.
BOOST_AUTO_TEST_CASE(whose_workers_answer_after_the_verdict)
{
    suspicion.noteSilence(firstOfA, { confirmed(first) }, now);
    suspicion.noteRefusal(firstOfB, { confirmed(first) }, now);
    BOOST_TEST(suspicion.expire(now + crashVerdictLimit + 1s).size() == 1U);
    BOOST_TEST(suspicion.crashesUnder(first) == 2U);
    BOOST_TEST(suspicion.noteAlive(workerA, firstBoot) == 1U);
    BOOST_TEST(suspicion.noteAlive(workerB, firstBoot) == 1U);
    BOOST_TEST(suspicion.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(blame_both_of_two_tasks_that_crash_their_workers_at_the_same_moments)
{
    // Guards against tasks that excuse each other.
    for (std::int64_t boot = 0; boot < 2; ++boot) {
        suspicion.noteFall(workerA, boot, { first }, now, now + 300ms);
        suspicion.noteFall(workerB, boot, { second }, now, now + 300ms);
        suspicion.noteRestart(workerA, boot, { confirmed(first) }, now + 1s);
        suspicion.noteRestart(workerB, boot, { confirmed(second) }, now + 1s);
        now += 10s;
    }
    BOOST_TEST(suspicion.isToBlame(first));
    BOOST_TEST(suspicion.isToBlame(second));
}

BOOST_AUTO_TEST_CASE(blame_both_of_them_when_they_run_beside_other_jobs_as_well)
{
    // Guards against the same where neither task is alone, so that each crash of one excuses one of the other.
    const task_key third { "third", 0, 0, 0 };
    for (std::int64_t boot = 0; boot < 4; ++boot) {
        BOOST_TEST((suspicion.heldBackUntil(first) <= now));
        suspicion.noteFall(workerA, boot, { first, third }, now, now + 10ms);
        suspicion.noteFall(workerB, boot, { second, third }, now, now + 10ms);
        suspicion.noteRestart(workerA, boot, { confirmed(first), confirmed(third) }, now + 1s);
        suspicion.noteRestart(workerB, boot, { confirmed(second) }, now + 1s);
        now += 2s;
    }
    BOOST_TEST(!suspicion.isUnproven("first"));
    BOOST_TEST(suspicion.isToBlame(second));
    BOOST_TEST((suspicion.heldBackUntil(first) > now + 1min));
    BOOST_TEST(suspicion.needsTrial(first));
    suspicion.noteRestart(workerA, 4, { confirmed(first), confirmed(third) }, now);
    BOOST_TEST(suspicion.isToBlame(first));
}

// Guards against a task whose crashes are always put down to a common cause, so that nothing bounds its starts (issue 70).
BOOST_AUTO_TEST_CASE(blame_a_task_in_its_first_trial_unless_several_others_fall_without_a_reason_of_their_own)
{
    const auto crashBeside = [&](std::int64_t boot, unsigned others) {
        suspicion.noteFall(workerA, boot, { first }, now, now + 10ms);
        for (unsigned number = 0; number < others; ++number)
            suspicion.noteFall({ "other" + std::to_string(number) }, boot, { second }, now, now + 10ms);
        suspicion.noteRestart(workerA, boot, { confirmed(first) }, now + 20ms);
        now += 2s;
    };
    const auto storeTrial = [&] {
        suspicion.planTrial(first);
        BOOST_TEST(!suspicion.isTrialStored(first));
        suspicion.noteStoring("first");
        suspicion.noteStored("first");
        BOOST_TEST(suspicion.isTrialStored(first));
    };
    crashBeside(0, 4);
    BOOST_TEST(!suspicion.needsTrial(first));
    crashBeside(1, 4);
    BOOST_TEST(suspicion.needsTrial(first));
    storeTrial();
    BOOST_TEST(suspicion.storedCounts(first).unattributedCrashes == 3U);
    crashBeside(2, 3);
    BOOST_TEST(!suspicion.isToBlame(first));
    BOOST_TEST(!suspicion.isTrialStored(first));
    storeTrial();
    crashBeside(3, 2);
    BOOST_TEST(suspicion.isToBlame(first));
}

// Guards against two tasks in step with each other whose losses are all put down to a common cause.
BOOST_AUTO_TEST_CASE(ask_for_a_trial_after_four_losses_of_any_kind)
{
    for (std::int64_t boot = 0; boot < 4; ++boot) {
        BOOST_TEST(!suspicion.needsTrial(first));
        suspicion.noteFall(workerA, boot, { first }, now, now + 300ms);
        suspicion.noteFall(workerB, boot, { second }, now, now + 300ms);
        suspicion.noteRestart(workerA, boot, { heardLater(first) }, now + 1s);
        suspicion.noteRestart(workerB, boot, { heardLater(second) }, now + 1s);
        now += 2s;
    }
    BOOST_TEST(suspicion.needsTrial(first));
    BOOST_TEST(suspicion.needsTrial(second));
    BOOST_TEST(!suspicion.isToBlame(first));
}

BOOST_AUTO_TEST_CASE(count_a_trial_for_the_next_owner_until_its_run_goes_on)
{
    for (std::int64_t boot = 0; boot < 2; ++boot)
        suspicion.noteRestart(workerA, boot, { confirmed(first), confirmed(second) }, now);
    suspicion.planTrial(first);
    const auto stored
        = jobs::decodeProgress(jobs::encodeProgress({ { 0, 0, false, {}, suspicion.storedCounts(first) } })).value();
    BOOST_TEST(stored.at(0).crashes.unattributedCrashes == 3U);
    suspicion.noteEstablished(first);
    BOOST_TEST(suspicion.storedCounts(first).unattributedCrashes == 2U);
}

BOOST_AUTO_TEST_CASE(hold_a_task_back_for_longer_after_each_worker_that_does_not_return)
{
    auto pause = 0ms;
    for (int number = 0; number < 4; ++number) {
        suspicion.noteSilence(registration({ "worker-" + std::to_string(number) }, "", number), { confirmed(first) }, now);
        suspicion.expire(now + crashVerdictLimit + 1s);
        const auto next = std::chrono::duration_cast<std::chrono::milliseconds>(suspicion.heldBackUntil(first) - now);
        BOOST_TEST((number == 0 ? next == 0ms : next > pause));
        pause = next;
        now += 20s;
    }
    BOOST_TEST(!suspicion.isToBlame(first));
}

BOOST_AUTO_TEST_CASE(are_absent_from_progress_that_an_earlier_version_has_stored)
{
    const auto stored = jobs::decodeProgress("[[0,3,false,[7]]]").value();
    BOOST_REQUIRE(stored.size() == 1U);
    BOOST_TEST(stored[0].index == 3U);
    BOOST_TEST((stored[0].crashes == jobs::crash_counts {}));
}

BOOST_AUTO_TEST_SUITE_END()
