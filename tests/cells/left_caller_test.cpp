// Checks that an owner passes on what it knows of callers that have left: the next owner can't tell their runs from those of
// callers that submit their jobs again.
#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "tests/fakes/fleet_checks.h"

using namespace coriandermount;
using namespace coriandermount::fakes;
using namespace std::chrono_literals;

namespace {

/// A failure domain with a job whose caller waits at a VM that does not own the cell.
struct left_caller {
    left_caller()
    {
        fleet.runFor(2s);
        home = fleet.owner(0);
        entry = home == cell_fleet::vmName(0, 0) ? cell_fleet::vmName(0, 1) : cell_fleet::vmName(0, 0);
        fleet.run(entry, "a", 2, 4s, 20s);
        fleet.runFor(200ms);
    }

    void awaitNextOwner()
    {
        const auto limit = fleet.loop.now() + 3s;
        while (fleet.loop.now() < limit && (fleet.owner(0).empty() || fleet.owner(0) == home))
            fleet.runFor(1ms);
    }

    std::ptrdiff_t runsAtWork() const
    {
        const auto& runs = fleet.workers.runs();
        return std::count_if(runs.begin(), runs.end(), [](const auto& run) { return !run.end; });
    }

    cell_fleet fleet { 2, 3, 3 };
    std::string home;
    std::string entry;
};

} // namespace

BOOST_AUTO_TEST_SUITE(at_most_once)

BOOST_FIXTURE_TEST_SUITE(when_a_caller_has_left_and_the_owner_changes, left_caller)

// Guards against runs that go on beside a resubmission because an owner that hands its cell over forgets that their caller has
// left (issue 44).
BOOST_AUTO_TEST_CASE(its_runs_are_stopped_before_the_cell_is_handed_over)
{
    fleet.disconnectCaller(entry, "a");
    fleet.runFor(150ms);
    fleet.kill(entry);
    fleet.drain(home);
    awaitNextOwner();
    fleet.runFor(50ms);
    BOOST_TEST(runsAtWork() == 0);
    expectNoViolation(fleet);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
