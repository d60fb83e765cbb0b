// Load: a failure domain with a quarter of the capacity is evacuated, and its jobs come to the other domains, each of which gets
// a third more than before.
#include <boost/test/unit_test.hpp>

#include "tests/fakes/cell_load_run.h"

using namespace coriandermount;
using namespace coriandermount::fakes;
using namespace std::chrono_literals;

namespace {

constexpr unsigned workerCount = 30;
constexpr double movedShare = 1.0 / 3;

/// A cell that uses `load` of its capacity until it gets the jobs of an evacuated one as well. Tasks take half of a worker.
struct remaining_cell : cell_load_run {
    explicit remaining_cell(double load)
        : cell_load_run(workerCount)
        , own { { "own-short", 4, 8000, 100ms, 400ms, 1500ms, rateOf(load / 2, 4 * 0.1) },
            { "own-long", 1, 8000, 500ms, 1200ms, 1500ms, rateOf(load / 2, 0.5) } }
    {
        runFor(1s);
        runAtRate(own, 1, 4s);
        evacuatedAt = loop.now();
        auto all = own;
        for (auto kind : own) {
            kind.name = "moved-" + kind.name;
            kind.arrivalsPerSecond *= movedShare;
            all.push_back(kind);
        }
        runAtRate(all, 1, 6s);
        runFor(3s);
    }

    /// Returns the arrivals a second that use `load` of the places for two tasks on each worker.
    static double rateOf(double load, double secondsOfJob) { return load * 2 * workerCount / secondsOfJob; }

    std::vector<job_kind> own;
    time_point evacuatedAt;
};

} // namespace

BOOST_AUTO_TEST_SUITE(jobs_of_an_evacuated_cell)

BOOST_AUTO_TEST_CASE(find_room_beside_cells_at_sixty_percent)
{
    // Guards against refusals of moved jobs, or of those that were there before, while there is room for all of them.
    const remaining_cell cell(0.6);
    const load_outcome all = cell.outcome();
    BOOST_TEST(all.refused == 0U);
    BOOST_TEST(all.abandoned == 0U);
    BOOST_TEST(all.punctualShare() > 0.95);
}

BOOST_AUTO_TEST_CASE(are_refused_at_once_beside_cells_at_eighty_five_percent)
{
    // Guards against moved jobs that take the place of those admitted before, and against callers who learn late that there is no
    // room: a sixth more is asked than the cell can do.
    const remaining_cell cell(0.85);
    const load_outcome all = cell.outcome();
    const load_outcome after = cell.outcome({}, cell.evacuatedAt);
    BOOST_TEST(after.refused > 0U);
    BOOST_TEST(all.refused == after.refused);
    BOOST_TEST(all.abandoned == 0U);
    BOOST_TEST(all.refusedLate == 0U);
    BOOST_TEST(after.servedShare() > 0.75);
}

BOOST_AUTO_TEST_SUITE_END()
