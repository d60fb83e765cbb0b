// Checks that a job that is not stored does not go on for a caller that has left: the caller may submit it again in another
// failure domain, whose VMs do not know of the run.
#include <algorithm>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "tests/fakes/fleet_checks.h"

using namespace coriandermount;
using namespace coriandermount::fakes;
using namespace std::chrono_literals;

namespace {

/// Delay after which a caller that was not answered submits its job again.
constexpr auto retransmissionDelay = 1300ms;
/// Time for which callers wait.
constexpr auto callerTimeout = 10s;

std::uint64_t withdrawn(const cells::cell_counters& counters, cells::withdrawal_outcome outcome)
{
    return counters.withdrawnJobs[static_cast<std::size_t>(outcome)];
}

/// Two failure domains. Callers of the first one use a VM that does not own the cell.
struct two_domains {
    two_domains()
    {
        fleet.runFor(2s);
        home = fleet.owner(0);
        entry = home == cell_fleet::vmName(0, 0) ? cell_fleet::vmName(0, 1) : cell_fleet::vmName(0, 0);
        other = fleet.owner(1);
    }

    /// Returns the number of answers to a job that say that it is completed.
    std::ptrdiff_t completedAnswers(const std::string& jobId) const
    {
        return std::count_if(fleet.answers.begin(), fleet.answers.end(),
            [&](const auto& entry) { return entry.jobId == jobId && entry.answer == jobs::job_state::completed; });
    }

    cells::cell_counters homeCounters() const { return fleet.counterValues(home); }

    cell_fleet fleet { 2, 3, 3 };
    std::string home;
    std::string entry;
    std::string other;
};

/// Returns a message of an earlier build, which lacks the last `count` fields.
std::string withoutLastFields(const std::string& message, std::size_t count)
{
    auto fields = nlohmann::json::parse(message);
    for (; count > 0; --count)
        fields.erase(fields.size() - 1);
    return fields.dump();
}

} // namespace

// Guards against requests that a VM of another build can't read during an update.
BOOST_AUTO_TEST_CASE(a_request_of_an_earlier_build_lacks_its_last_fields)
{
    jobs::run_request request;
    request.accepted.work = { "a", "queue", "", { jobs::step {} }, true };
    request.accepted.maxAttempts = 1;
    request.ownerEpoch = 3;
    request.id = { 5, 6 };
    request.keptAlive = true;
    const std::string message = jobs::encodeRunRequest(request);
    const auto current = jobs::decodeRunRequest(message);
    BOOST_REQUIRE(current);
    BOOST_TEST((current->id == request.id));
    BOOST_TEST(current->keptAlive);
    const auto withoutKeepAlives = jobs::decodeRunRequest(withoutLastFields(message, 1));
    BOOST_REQUIRE(withoutKeepAlives);
    BOOST_TEST((withoutKeepAlives->id == request.id));
    BOOST_TEST(!withoutKeepAlives->keptAlive);
    const auto withoutId = jobs::decodeRunRequest(withoutLastFields(message, 2));
    BOOST_REQUIRE(withoutId);
    BOOST_TEST((withoutId->id == jobs::request_id {}));
    BOOST_TEST(!withoutId->keptAlive);
    BOOST_TEST(withoutId->ownerEpoch == 3U);
}

BOOST_AUTO_TEST_SUITE(at_most_once)

BOOST_FIXTURE_TEST_SUITE(when_a_caller_has_left, two_domains)

// Guards against two runs at a time of a job that its caller submits again in another domain (issue 30).
BOOST_AUTO_TEST_CASE(a_resubmission_in_another_domain_runs_alone_after_the_connection_closed)
{
    fleet.run(entry, "a", 2, 4s, callerTimeout);
    fleet.runFor(200ms);
    fleet.disconnectCaller(entry, "a");
    fleet.runFor(retransmissionDelay);
    fleet.run(other, "a", 2, 4s, callerTimeout);
    fleet.runFor(5s);
    expectNoViolation(fleet);
    BOOST_TEST(completedAnswers("a") == 1);
    BOOST_TEST(withdrawn(homeCounters(), cells::withdrawal_outcome::stopped) == 1);
}

// Guards against two runs at a time when the VM that served the caller is lost, and with it the caller's connection (issue 30).
BOOST_AUTO_TEST_CASE(a_resubmission_in_another_domain_runs_alone_after_the_vm_of_the_caller_was_lost)
{
    fleet.run(entry, "a", 2, 4s, callerTimeout);
    fleet.runFor(200ms);
    fleet.kill(entry);
    fleet.runFor(retransmissionDelay);
    fleet.run(other, "a", 2, 4s, callerTimeout);
    fleet.runFor(5s);
    expectNoViolation(fleet);
    BOOST_TEST(completedAnswers("a") == 1);
    BOOST_TEST(withdrawn(homeCounters(), cells::withdrawal_outcome::stopped) == 1);
}

// Guards against two runs at a time of a job that was lent to a third domain (issue 30).
BOOST_AUTO_TEST_CASE(a_resubmission_in_another_domain_runs_alone_after_the_job_was_lent)
{
    fleet.run(home, "long", 6, 8s);
    fleet.runFor(100ms);
    fleet.run(entry, "a", 2, 4s, callerTimeout);
    fleet.runFor(200ms);
    BOOST_REQUIRE(homeCounters().lentJobs == 1);
    fleet.disconnectCaller(entry, "a");
    fleet.runFor(retransmissionDelay);
    BOOST_TEST(withdrawn(homeCounters(), cells::withdrawal_outcome::returned) == 1);
    BOOST_TEST(withdrawn(fleet.counterValues(other), cells::withdrawal_outcome::stopped) == 1);
}

// Guards against two runs at a time when the owner is lost before it has stopped the runs: the next one kept them, as their job
// was unknown to it (issue 30).
BOOST_AUTO_TEST_CASE(a_resubmission_in_another_domain_runs_alone_after_the_owner_was_lost)
{
    fleet.run(entry, "a", 2, 4s, callerTimeout);
    fleet.runFor(200ms);
    fleet.disconnectCaller(entry, "a");
    fleet.runFor(200ms);
    fleet.kill(home);
    fleet.runFor(retransmissionDelay - 200ms);
    fleet.run(other, "a", 2, 4s, callerTimeout);
    fleet.runFor(5s);
    expectNoViolation(fleet);
    BOOST_TEST(completedAnswers("a") == 1);
}

// Guards against a second run of a job that ends before its caller submits it again.
BOOST_AUTO_TEST_CASE(a_run_that_is_about_to_end_answers_the_resubmission)
{
    fleet.run(entry, "a", 2, 600ms, callerTimeout);
    fleet.runFor(300ms);
    fleet.disconnectCaller(entry, "a");
    fleet.runFor(retransmissionDelay);
    BOOST_TEST(withdrawn(homeCounters(), cells::withdrawal_outcome::ended) == 1);
    fleet.run(entry, "a", 2, 600ms, callerTimeout);
    fleet.runFor(50ms);
    BOOST_TEST(completedAnswers("a") == 1);
    BOOST_TEST(homeCounters().starts == 2);
}

// Guards against a second run in the same cell while the first one is about to be stopped.
BOOST_AUTO_TEST_CASE(an_early_resubmission_joins_the_run)
{
    fleet.run(entry, "a", 2, 2s, callerTimeout);
    fleet.runFor(300ms);
    fleet.disconnectCaller(entry, "a");
    fleet.runFor(400ms);
    fleet.run(home, "a", 2, 2s, callerTimeout);
    fleet.runFor(3s);
    BOOST_TEST(completedAnswers("a") == 1);
    BOOST_TEST(homeCounters().starts == 2);
    BOOST_TEST(withdrawn(homeCounters(), cells::withdrawal_outcome::resubmitted) == 1);
}

// Guards against runs that serve nobody and delay the jobs of other callers.
BOOST_AUTO_TEST_CASE(a_job_that_waits_for_a_worker_does_not_start)
{
    fleet.run(home, "long", 6, 1s);
    fleet.run(other, "long too", 6, 1s);
    fleet.runFor(100ms);
    fleet.run(entry, "a", 2, 500ms, callerTimeout);
    fleet.runFor(200ms);
    fleet.disconnectCaller(entry, "a");
    fleet.runFor(2s);
    BOOST_TEST(homeCounters().starts == 6);
    BOOST_TEST(withdrawn(homeCounters(), cells::withdrawal_outcome::discarded) == 1);
}

// Guards against the end of a job for which another caller waits.
BOOST_AUTO_TEST_CASE(the_job_goes_on_for_its_other_caller)
{
    fleet.run(entry, "a", 2, 2s, callerTimeout);
    fleet.runFor(100ms);
    fleet.run(home, "a", 2, 2s, callerTimeout);
    fleet.runFor(100ms);
    fleet.disconnectCaller(entry, "a");
    fleet.runFor(3s);
    BOOST_TEST(completedAnswers("a") == 1);
    BOOST_TEST(homeCounters().starts == 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
