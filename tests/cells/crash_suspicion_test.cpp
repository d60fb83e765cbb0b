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
    suspicion.noteAnswer(workerA, firstBoot);
    BOOST_TEST(!suspicion.awaitsVerdict(first));
    suspicion.noteAnswer(workerB, firstBoot);
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

BOOST_AUTO_TEST_CASE(are_absent_from_progress_that_an_earlier_version_has_stored)
{
    const auto stored = jobs::decodeProgress("[[0,3,false,[7]]]").value();
    BOOST_REQUIRE(stored.size() == 1U);
    BOOST_TEST(stored[0].index == 3U);
    BOOST_TEST((stored[0].crashes == jobs::crash_counts {}));
}

BOOST_AUTO_TEST_SUITE_END()
