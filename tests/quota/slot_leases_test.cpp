// Leases of worker slots among the VMs of one failure domain: division, failures, partitions and pauses.
#include <boost/test/unit_test.hpp>

#include "tests/fakes/share_fleet.h"

using namespace coriandermount;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t allSlots = 48;

void requireNoViolation(const fakes::share_fleet& fleet)
{
    BOOST_TEST(fleet.violations() == std::vector<std::string> {}, boost::test_tools::per_element());
}

struct three_vms : fakes::share_fleet {
    three_vms()
        : share_fleet(fakes::share_fleet_options {})
    {
        run(8s);
    }
};

struct two_vms : fakes::share_fleet {
    two_vms()
        : share_fleet(fakes::share_fleet_options { .vmsPerDomain = 2 })
    {
        run(8s);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(slot_leases)

BOOST_FIXTURE_TEST_CASE(one_arbiter_leases_all_slots, three_vms)
{
    BOOST_TEST(arbiterCount() == 1U);
    BOOST_TEST(totalUsableSlots() == allSlots);
    for (std::size_t vm = 0; vm < size(); ++vm)
        BOOST_TEST(usableSlots(vm) == allSlots / 3);
    requireNoViolation(*this);
}

BOOST_FIXTURE_TEST_CASE(follow_demand_within_one_second, three_vms)
{
    setDemand(0, 40);
    run(1s);
    BOOST_TEST(running(0) == 40U);
    setDemand(0, 0);
    setDemand(1, 40);
    run(1s);
    BOOST_TEST(running(1) == 40U);
    requireNoViolation(*this);
}

BOOST_FIXTURE_TEST_CASE(are_equal_when_all_vms_are_overloaded, three_vms)
{
    for (std::size_t vm = 0; vm < size(); ++vm)
        setDemand(vm, 100);
    run(2s);
    BOOST_TEST(totalRunning() >= allSlots - 3);
    for (std::size_t vm = 0; vm < size(); ++vm)
        BOOST_TEST(usableSlots(vm) == allSlots / 3);
    requireNoViolation(*this);
}

BOOST_AUTO_TEST_SUITE(after_a_vm_failure)

BOOST_FIXTURE_TEST_CASE(pass_to_the_survivors_after_lease_expiry, three_vms)
{
    for (std::size_t vm = 0; vm < size(); ++vm) {
        setDemand(0, 100);
        setDemand(1, 100);
        setDemand(2, 100);
        kill(vm);
        run(15s);
        BOOST_TEST(totalUsableSlots() == allSlots);
        BOOST_TEST(arbiterCount() == 1U);
        restart(vm);
        run(3s);
        BOOST_TEST(usableSlots(vm) == allSlots / 3);
    }
    requireNoViolation(*this);
}

BOOST_FIXTURE_TEST_CASE(pass_to_the_only_survivor, two_vms)
{
    setDemand(1, 100);
    kill(0);
    run(15s);
    BOOST_TEST(usableSlots(1) == allSlots);
    requireNoViolation(*this);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_CASE(stay_with_the_majority_during_a_partition, three_vms)
{
    for (std::size_t vm = 0; vm < size(); ++vm) {
        isolate(vm);
        run(4s);
        BOOST_TEST(usableSlots(vm) == 0U);
        BOOST_TEST(totalUsableSlots() > 0U);
        heal();
        run(10s);
        BOOST_TEST(totalUsableSlots() == allSlots);
    }
    requireNoViolation(*this);
}

BOOST_FIXTURE_TEST_CASE(are_not_used_after_a_pause_longer_than_the_lease_duration, three_vms)
{
    for (std::size_t vm = 0; vm < size(); ++vm) {
        pause(vm, 5s);
        run(12s);
        BOOST_TEST(totalUsableSlots() == allSlots);
    }
    requireNoViolation(*this);
}

BOOST_AUTO_TEST_SUITE_END()
