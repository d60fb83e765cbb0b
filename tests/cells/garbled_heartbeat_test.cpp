// Checks that a heartbeat that was garbled on its way does not interrupt a cell for longer than a moment.
#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "tests/fakes/fleet_checks.h"

using namespace coriandermount;
using namespace coriandermount::cells;
using namespace coriandermount::fakes;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t garbledEpoch = std::uint64_t { 1 } << 40U;

/// Two cells of three VMs. Every VM has received one heartbeat with a garbled epoch of the first cell.
struct garbled_heartbeat {
    garbled_heartbeat()
    {
        fleet.runFor(2s);
        owner = fleet.owner(0);
        BOOST_REQUIRE(!owner.empty());
    }

    void garble(std::uint64_t epoch)
    {
        for (unsigned domain = 0; domain < 2; ++domain) {
            for (unsigned number = 0; number < 3; ++number) {
                const std::string sender = cell_fleet::vmName(0, (number + 1) % 3);
                fleet.deliver(cell_fleet::vmName(domain, number),
                    { { sender }, 1, false, true, { { 0, epoch, true, 0ms, std::nullopt } }, 0, {} });
            }
        }
    }

    /// Submits a job of 100 ms at each VM of the first cell and expects that all are completed within `limit`.
    void expectService(std::chrono::milliseconds limit)
    {
        const std::size_t before = fleet.answers.size();
        for (unsigned number = 0; number < 3; ++number)
            fleet.run(cell_fleet::vmName(0, number), std::to_string(before + number), 1, 100ms);
        fleet.runFor(limit);
        BOOST_TEST(fleet.answers.size() == before + 3);
        for (const auto& received : fleet.answers)
            BOOST_TEST((received.answer == jobs::job_state::completed));
        expectNoViolation(fleet);
    }

    cell_fleet fleet { 2, 3, 3 };
    std::string owner;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_garbled_heartbeat, garbled_heartbeat)

// Guards against an outage without an end: the epoch ended the term and all VMs passed it on, so that no claim could reach it.
BOOST_AUTO_TEST_CASE(with_a_huge_epoch_does_not_end_the_term)
{
    garble(garbledEpoch);
    expectService(400ms);
    BOOST_TEST(fleet.owner(0) == owner);
    fleet.runFor(2s);
    expectService(400ms);
    BOOST_TEST(fleet.owner(0) == owner);
}

BOOST_AUTO_TEST_CASE(with_a_huge_epoch_does_not_end_the_term_while_the_store_is_down)
{
    for (unsigned domain = 0; domain < 2; ++domain) {
        for (unsigned number = 0; number < 3; ++number)
            fleet.setStoreFault(cell_fleet::vmName(domain, number), store_fault::drops_requests);
    }
    fleet.runFor(1s);
    garble(garbledEpoch);
    // The owner pauses until the VM that the heartbeat names has sent its next one.
    fleet.runFor(300ms);
    BOOST_TEST(fleet.owner(0) == owner);
    expectService(400ms);
}

// Guards against an owner that other VMs no longer find: they kept the garbled epoch and ignored the heartbeats of the owner.
BOOST_AUTO_TEST_CASE(does_not_hide_the_owner_from_other_cells)
{
    garble(garbledEpoch);
    fleet.runFor(1500ms);
    fleet.run(fleet.owner(1), "long", 6, 900ms);
    fleet.runFor(300ms);
    fleet.run(fleet.owner(1), "lent", 2, 300ms);
    fleet.runFor(600ms);
    const auto answer
        = std::find_if(fleet.answers.begin(), fleet.answers.end(), [](const auto& received) { return received.jobId == "lent"; });
    BOOST_REQUIRE((answer != fleet.answers.end()));
    BOOST_TEST((answer->answer == jobs::job_state::completed));
    BOOST_TEST(fleet.counterValues(fleet.owner(1)).lentJobs == 1U);
}

// The next epoch may be that of a successor, so it ends the term; the cell is claimed again.
BOOST_AUTO_TEST_CASE(with_the_next_epoch_interrupts_the_cell_for_a_short_time_only)
{
    garble(2);
    fleet.runFor(2s);
    expectService(500ms);
}

BOOST_AUTO_TEST_SUITE_END()
