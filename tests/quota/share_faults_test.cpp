// Under random faults, alone and combined, no unit is usable by two VMs at a time, and all units are leased again afterwards.
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "tests/fakes/share_fleet.h"

using namespace coriandermount;
using namespace std::chrono_literals;

namespace {

enum class fault { none, kill, restart, pause, block_link, isolate, heal, demand, limit };

constexpr int faultKinds = 9;

/// Duration of a partition within a failure domain that doesn't make VMs regard each other as dead.
constexpr auto maxPartition = 3s;

void apply(fault kind, fakes::share_fleet& fleet, std::set<std::size_t>& dead)
{
    const auto vm = *rc::gen::inRange<std::size_t>(0, fleet.size());
    switch (kind) {
    case fault::none:
        return;
    case fault::kill:
        fleet.kill(vm);
        dead.insert(vm);
        return;
    case fault::restart:
        if (dead.erase(vm) > 0)
            fleet.restart(vm);
        return;
    case fault::pause:
        fleet.pause(vm, std::chrono::milliseconds(*rc::gen::inRange(100, 9000)));
        return;
    case fault::block_link:
        fleet.blockLink(vm, *rc::gen::inRange<std::size_t>(0, fleet.size()));
        return;
    case fault::isolate:
        fleet.isolate(vm);
        return;
    case fault::heal:
        fleet.heal();
        return;
    case fault::demand:
        fleet.setDemand(vm, *rc::gen::inRange<std::uint32_t>(0, 100));
        return;
    case fault::limit:
        fleet.setPlanConcurrency(*rc::gen::inRange<std::uint32_t>(1, 60));
        return;
    }
}

void runWithFaults(fakes::share_fleet& fleet, std::set<std::size_t>& dead)
{
    std::chrono::milliseconds sinceHealed { 0 };
    const int faults = *rc::gen::inRange(1, 9);
    for (int count = 0; count < faults; ++count) {
        apply(static_cast<fault>(*rc::gen::inRange(0, faultKinds)), fleet, dead);
        const std::chrono::milliseconds pause(*rc::gen::inRange(10, 2500));
        sinceHealed += pause;
        fleet.run(pause);
        if (sinceHealed > maxPartition) {
            fleet.heal();
            sinceHealed = 0ms;
        }
    }
}

void requireNoViolation(const fakes::share_fleet& fleet)
{
    if (!fleet.violations().empty())
        RC_FAIL(fleet.violations().front());
}

fakes::share_fleet_options randomOptions(unsigned domains)
{
    fakes::share_fleet_options options;
    options.domains = domains;
    options.vmsPerDomain = *rc::gen::inRange(2U, 5U);
    options.workersPerDomain = 4;
    options.planConcurrency = *rc::gen::inRange<std::uint32_t>(1, 60);
    options.seed = *rc::gen::arbitrary<std::uint64_t>();
    options.loss = *rc::gen::element(0.0, 0.05, 0.2);
    options.duplication = *rc::gen::element(0.0, 0.1);
    options.drift = *rc::gen::element(0.0, 0.009);
    return options;
}

} // namespace

BOOST_AUTO_TEST_SUITE(random_faults)

BOOST_AUTO_TEST_CASE(keep_leases_within_capacity_and_recover)
{
    BOOST_TEST(rc::check([] {
        fakes::share_fleet fleet(randomOptions(1));
        fleet.run(8s);
        std::set<std::size_t> dead;
        runWithFaults(fleet, dead);
        requireNoViolation(fleet);
        fleet.heal();
        fleet.disableLossAndDuplication();
        for (const std::size_t vm : dead)
            fleet.restart(vm);
        fleet.run(30s);
        requireNoViolation(fleet);
        RC_ASSERT(fleet.arbiterCount() == 1U);
        RC_ASSERT(fleet.totalUsableSlots() == 32U);
    }));
}

BOOST_AUTO_TEST_SUITE_END()
