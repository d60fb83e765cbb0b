// Tests of the membership protocol under single faults, on a virtual clock.
#include <boost/test/unit_test.hpp>

#include "tests/fakes/virtual_fleet.h"

using namespace coriandermount;
using namespace std::chrono_literals;
using fakes::virtual_fleet;

namespace {

/// Longest time until a VM that joins and all others see each other as alive, and until all see a leaving VM as leaving.
constexpr auto spreadLimit = 2000ms;

struct one_domain {
    one_domain()
        : fleet(1)
    {
        fleet.setListingDown(true);
        fleet.start("a", "north");
        for (const auto* id : { "b", "c", "d", "e" })
            fleet.start(id, "north", { "a" });
        fleet.run(5000ms);
        fleet.setListing(fleet.runningVmListing());
        fleet.setListingDown(false);
        fleet.run(1000ms);
    }

    /// Returns the number of running VMs that every running VM sees in `state`.
    std::size_t countInStateEverywhere(member_state state = member_state::alive)
    {
        std::size_t count = 0;
        for (const auto& subject : fleet.runningVms()) {
            bool everywhere = true;
            for (const auto& id : fleet.runningVms())
                everywhere = everywhere && fleet.stateInView(id, subject) == state;
            count += everywhere ? 1 : 0;
        }
        return count;
    }

    /// Returns true if any running VM sees another running VM as dead.
    bool anyDeclaredDead()
    {
        for (const auto& id : fleet.runningVms()) {
            for (const auto& subject : fleet.runningVms()) {
                if (fleet.stateInView(id, subject) == member_state::dead)
                    return true;
            }
        }
        return false;
    }

    virtual_fleet fleet;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(members_of_a_domain, one_domain)

BOOST_AUTO_TEST_CASE(see_each_other_as_alive) { BOOST_TEST(countInStateEverywhere() == 5U); }

BOOST_AUTO_TEST_SUITE(when_a_vm_joins)

BOOST_FIXTURE_TEST_CASE(discover_it_through_a_seed_without_the_list, one_domain)
{
    fleet.setListingDown(true);
    fleet.start("f", "north", { "b" });
    fleet.run(spreadLimit);
    BOOST_TEST(fleet.joined("f"));
    BOOST_TEST(countInStateEverywhere() == 6U);
}

BOOST_FIXTURE_TEST_CASE(discover_it_through_the_list_alone, one_domain)
{
    fleet.start("f", "north");
    fleet.run(spreadLimit);
    BOOST_TEST(fleet.joined("f"));
    BOOST_TEST(countInStateEverywhere() == 6U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_vm_leaves)

BOOST_FIXTURE_TEST_CASE(its_leave_request_reaches_all_members, one_domain)
{
    fleet.injectEvent("c", fleet::leave_requested {});
    fleet.run(spreadLimit);
    for (const auto& id : fleet.runningVms())
        BOOST_TEST((fleet.stateInView(id, "c") == member_state::leaving));
}

BOOST_FIXTURE_TEST_CASE(a_drain_requested_at_another_vm_reaches_all_members, one_domain)
{
    fleet.injectEvent("a", fleet::member_drain_requested { { "c" } });
    fleet.run(spreadLimit);
    for (const auto& id : fleet.runningVms())
        BOOST_TEST((fleet.stateInView(id, "c") == member_state::leaving));
    BOOST_TEST(fleet.markedLeaving("c"));
}

BOOST_FIXTURE_TEST_CASE(its_leaving_state_in_the_list_reaches_all_members, one_domain)
{
    fleet.run(20000ms);
    auto listing = fleet.runningVmListing();
    listing[2].state = vm_state::leaving;
    fleet.setListing(listing);
    fleet.run(spreadLimit);
    for (const auto& id : fleet.runningVms())
        BOOST_TEST((fleet.stateInView(id, "c") == member_state::leaving));
    BOOST_TEST(fleet.markedLeaving("c"));
}

BOOST_FIXTURE_TEST_CASE(it_stays_leaving_despite_a_stale_list_and_a_stale_peer, one_domain)
{
    fleet.pause("e");
    fleet.injectEvent("c", fleet::leave_requested {});
    fleet.run(3000ms);
    fleet.resume("e");
    fleet.run(10000ms);
    for (const auto& id : fleet.runningVms())
        BOOST_TEST((fleet.stateInView(id, "c") == member_state::leaving));
}

BOOST_FIXTURE_TEST_CASE(its_next_incarnation_is_alive_although_the_list_still_shows_the_old_one, one_domain)
{
    fleet.run(20000ms);
    fleet.injectEvent("c", fleet::leave_requested {});
    auto listing = fleet.runningVmListing();
    listing[2].state = vm_state::leaving;
    fleet.setListing(listing);
    fleet.run(1000ms);
    fleet.start("c", "north", { "a" });
    fleet.run(spreadLimit);
    BOOST_TEST(countInStateEverywhere() == 5U);
    BOOST_TEST(!fleet.markedLeaving("c"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_vm_dies)

BOOST_FIXTURE_TEST_CASE(it_is_declared_dead_soon_after_the_list_omits_it, one_domain)
{
    fleet.kill("c");
    fleet.setListing(fleet.runningVmListing());
    fleet.run(15000ms);
    for (const auto& id : fleet.runningVms())
        BOOST_TEST((fleet.stateInView(id, "c") == member_state::dead));
}

BOOST_FIXTURE_TEST_CASE(it_is_declared_dead_later_while_the_list_shows_it, one_domain)
{
    fleet.kill("c");
    fleet.run(15000ms);
    for (const auto& id : fleet.runningVms())
        BOOST_TEST((fleet.stateInView(id, "c") == member_state::suspected));
    fleet.run(70000ms);
    for (const auto& id : fleet.runningVms())
        BOOST_TEST((fleet.stateInView(id, "c") == member_state::dead));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(declare_no_running_vm_dead)

BOOST_FIXTURE_TEST_CASE(when_the_list_becomes_empty, one_domain)
{
    fleet.setListing({});
    fleet.run(60000ms);
    BOOST_TEST(countInStateEverywhere() == 5U);
}

BOOST_FIXTURE_TEST_CASE(when_a_vm_is_paused_and_resumed, one_domain)
{
    fleet.pause("b");
    fleet.run(20000ms);
    BOOST_TEST(!anyDeclaredDead());
    fleet.resume("b");
    fleet.run(200ms);
    BOOST_TEST(!anyDeclaredDead());
    fleet.run(10000ms);
    BOOST_TEST(countInStateEverywhere() == 5U);
}

BOOST_FIXTURE_TEST_CASE(when_one_direction_between_two_vms_is_blocked, one_domain)
{
    fleet.blockLink("a", "b");
    for (int round = 0; round < 60; ++round) {
        fleet.run(1000ms);
        // Other members relay the probes, so VM b is not even suspected.
        BOOST_TEST(countInStateEverywhere() == 5U);
    }
}

BOOST_FIXTURE_TEST_CASE(when_a_vm_flaps, one_domain)
{
    for (int round = 0; round < 10; ++round) {
        fleet.pause("d");
        fleet.run(3000ms);
        fleet.resume("d");
        fleet.run(1000ms);
        BOOST_TEST(!anyDeclaredDead());
    }
    fleet.run(5000ms);
    BOOST_TEST(countInStateEverywhere() == 5U);
}

BOOST_FIXTURE_TEST_CASE(when_a_partitioned_vm_returns_that_sees_all_others_as_dead, one_domain)
{
    for (const auto* id : { "a", "b", "c", "d" }) {
        fleet.blockLink("e", id);
        fleet.blockLink(id, "e");
    }
    fleet.run(400000ms);
    BOOST_TEST((fleet.stateInView("e", "a") == member_state::dead));
    fleet.heal();
    for (int round = 0; round < 100; ++round) {
        fleet.run(100ms);
        for (const auto* subject : { "a", "b", "c", "d" })
            BOOST_TEST((fleet.stateInView("a", subject) != member_state::dead));
    }
    fleet.run(10000ms);
    BOOST_TEST(countInStateEverywhere() == 5U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(spread_leaving_workers_within_the_limit)
{
    const auto stamp = static_cast<std::uint64_t>(fleet.wallNow().time_since_epoch().count());
    fleet.injectEvent("a", fleet::leaving_workers_listed { { { { "worker-1" }, stamp } } });
    fleet.run(spreadLimit);
    for (const auto* id : { "b", "c", "d", "e" })
        BOOST_TEST(fleet.leavingWorkersReceived(id).contains("worker-1"));
}

BOOST_AUTO_TEST_SUITE_END()
