// An owner that gets more work than its processor time allows, while its workers are idle.
#include <boost/test/unit_test.hpp>

#include "tests/fakes/busy_owner.h"

using namespace coriandermount;
using namespace coriandermount::fakes;
using namespace std::chrono_literals;

namespace {

constexpr unsigned workerCount = 90;
/// Jobs that the owner can just handle, relative to `usualJobs`.
constexpr double fullRate = 0.95;

std::vector<job_kind> usualJobs()
{
    return { { "lookup", 8, 2000, 51ms, 142ms, 1500ms, 45 }, { "transfer", 4, 2000, 760ms, 1276ms, 1500ms, 8.2 },
        { "release", 2, 2000, 170ms, 332ms, 1500ms, 132 } };
}

std::uint64_t countOf(const cells::cell_counters& counters, cells::refusal_reason reason)
{
    return counters.refusedJobs[static_cast<std::size_t>(reason)];
}

struct overloaded_owner {
    overloaded_owner()
        : cell(workerCount)
    {
        // The leases of the earlier owner have to end.
        cell.runFor(2s);
    }

    /// Plays `load` times what the owner can handle and returns the outcome of these jobs.
    load_outcome play(double load, std::chrono::milliseconds duration)
    {
        const time_point from = cell.loop.now();
        cell.runAtRate(kinds, load * fullRate, duration);
        cell.runFor(3s);
        const auto found = cell.outcome({}, from);
        BOOST_TEST_MESSAGE(load << " of what the owner can handle: " << found.jobs << " jobs, " << found.punctual << " punctual, "
                                << found.late << " late, " << found.refused << " refused after "
                                << found.longestRefusalWait.count() << " ms at most, " << found.abandoned
                                << " abandoned, longest wait " << found.longestWait.count() << " ms, longest backlog "
                                << cell.longestBacklog.count() << " ms, tasks served " << found.tasksServed);
        return found;
    }

    /// Returns the number of tasks that the owner can handle in `duration`.
    double fullWork(std::chrono::milliseconds duration) const
    {
        double tasks = 0;
        for (const auto& kind : kinds)
            tasks += kind.arrivalsPerSecond * kind.tasks * fullRate;
        return tasks * std::chrono::duration<double>(duration).count();
    }

    /// The jobs that the owner can handle are served, the others are refused as soon as the owner has read their requests.
    void expectShedding(const load_outcome& found, std::chrono::milliseconds duration) const
    {
        const auto counters = cell.owner.counterValues();
        BOOST_TEST(static_cast<double>(found.tasksServed) >= 0.8 * fullWork(duration));
        BOOST_TEST(found.abandoned == 0U);
        BOOST_TEST(found.longestWait.count() < 1500);
        BOOST_TEST(found.longestRefusalWait.count() <= (100ms + cell.longestBacklog).count());
        BOOST_TEST(countOf(counters, cells::refusal_reason::expected_too_late) == 0U);
        BOOST_TEST(counters.startFailures[static_cast<std::size_t>(cells::order_failure::no_answer)] == 0U);
    }

    busy_owner cell;
    std::vector<job_kind> kinds = usualJobs();
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(owner_with_little_processor_time, overloaded_owner)

BOOST_AUTO_TEST_CASE(serves_what_it_can_handle)
{
    const auto found = play(0.9, 4s);
    BOOST_TEST(found.refused == 0U);
    BOOST_TEST(found.servedShare() > 0.99);
}

// Guards against an owner that takes on all jobs: none was answered before the deadlines of the callers.
BOOST_AUTO_TEST_CASE(sheds_half_as_much_again) { expectShedding(play(1.5, 4s), 4s); }

// Guards against the same with more refused jobs than served ones.
BOOST_AUTO_TEST_CASE(sheds_three_times_its_work) { expectShedding(play(3, 4s), 4s); }

// Guards against an overload that outlasts its cause.
BOOST_AUTO_TEST_CASE(serves_all_again_within_a_second)
{
    cell.runAtRate(kinds, 3 * fullRate, 3s);
    cell.runAtRate(kinds, 0.5 * fullRate, 1s);
    const auto found = play(0.5, 2s);
    BOOST_TEST(found.refused == 0U);
    BOOST_TEST(found.servedShare() > 0.99);
}

// Guards against callers that return before the backlog is gone, or all at once.
BOOST_AUTO_TEST_CASE(tells_refused_callers_when_to_return)
{
    cell.runAtRate(kinds, 3 * fullRate, 2s);
    for (int number = 0; number < 60; ++number) {
        auto request = cell.request(cell_load_run::epoch, "refused-" + std::to_string(number), 2, 170ms);
        request.timeLeft = 1500ms;
        request.accepted.objective = 332ms;
        cell.run(std::move(request));
    }
    std::chrono::milliseconds last { 0 };
    int refused = 0;
    for (const auto& answer : cell.answers) {
        BOOST_REQUIRE(!answer);
        BOOST_REQUIRE((answer.error().kind == error_kind::overloaded));
        BOOST_REQUIRE(answer.error().retryAfter.has_value());
        BOOST_TEST(answer.error().retryAfter->count() >= 100);
        BOOST_TEST(answer.error().retryAfter->count() >= last.count());
        last = *answer.error().retryAfter;
        ++refused;
    }
    BOOST_TEST(refused > 30);
}

// Guards against an overload that feeds itself: each order without an answer was sent up to three times, and its worker was left
// out.
BOOST_AUTO_TEST_CASE(does_not_send_orders_again_into_its_backlog)
{
    cell.otherBacklog = 200ms;
    cell.runFor(1s);
    cell.loseCalls(0.3);
    cell.runAtRate(kinds, 0.2, 4s);
    const auto counters = cell.owner.counterValues();
    BOOST_TEST(counters.startFailures[static_cast<std::size_t>(cells::order_failure::no_answer)] > 5U);
    BOOST_TEST(counters.startDecisions[static_cast<std::size_t>(cells::start_decision::sent_again)] == 0U);
    for (const auto& violation : cell.workers.violations())
        BOOST_ERROR(violation);
}

BOOST_AUTO_TEST_SUITE_END()
