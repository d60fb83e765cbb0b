// Property tests of the membership protocol under random schedules of faults.
#include <map>
#include <ostream>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "tests/fakes/check_schedules.h"
#include "tests/fakes/virtual_fleet.h"

using namespace coriandermount;
using namespace std::chrono_literals;
using fakes::virtual_fleet;

namespace {

constexpr int schedules = 300;
constexpr unsigned vmCount = 5;
/// Time within which the views of all VMs have to converge after the faults have ended.
constexpr auto settleTime = 30000ms;

enum class fault {
    none,
    pause,
    resume,
    block_link,
    heal,
    empty_list,
    initial_list,
    accurate_list,
    list_down,
    list_up,
    loss,
    leave,
    kill,
    restart
};

struct step {
    fault kind = fault::none;
    unsigned first = 0;
    unsigned second = 0;
    unsigned wait = 0;
};

std::ostream& operator<<(std::ostream& out, const step& value)
{
    return out << "{" << static_cast<int>(value.kind) << ", " << value.first << ", " << value.second << ", " << value.wait << "}";
}

rc::Gen<std::vector<step>> stepsUpTo(fault last)
{
    return rc::gen::container<std::vector<step>>(
        rc::gen::map(rc::gen::tuple(rc::gen::inRange(0, static_cast<int>(last) + 1), rc::gen::inRange(0U, vmCount),
                         rc::gen::inRange(0U, vmCount), rc::gen::inRange(1U, 30U)),
            [](const std::tuple<int, unsigned, unsigned, unsigned>& values) {
                const auto& [kind, first, second, wait] = values;
                return step { static_cast<fault>(kind), first, second, wait };
            }));
}

std::string name(unsigned index) { return "vm-" + std::to_string(index); }

struct faulty_fleet {
    explicit faulty_fleet(std::uint64_t seed)
        : fleet(seed)
    {
        fleet.setListingDown(true);
        for (unsigned index = 0; index < vmCount; ++index)
            fleet.start(name(index), "north", index == 0 ? std::vector<std::string> {} : std::vector<std::string> { name(0) });
        fleet.run(5000ms);
        initialListing = fleet.runningVmListing();
        fleet.setListing(initialListing);
        fleet.setListingDown(false);
        fleet.run(1000ms);
    }

    void apply(const step& value)
    {
        const std::string vm = name(value.first);
        switch (value.kind) {
        case fault::none:
            break;
        case fault::pause:
            fleet.pause(vm);
            break;
        case fault::resume:
            fleet.resume(vm);
            break;
        case fault::block_link:
            fleet.blockLink(vm, name(value.second));
            break;
        case fault::heal:
            fleet.heal();
            break;
        case fault::empty_list:
            fleet.setListing({});
            break;
        case fault::initial_list:
            fleet.setListing(initialListing);
            break;
        case fault::accurate_list:
            fleet.setListing(fleet.runningVmListing());
            break;
        case fault::list_down:
        case fault::list_up:
            fleet.setListingDown(value.kind == fault::list_down);
            break;
        case fault::loss:
            fleet.setLossPercent(value.second * 5);
            break;
        case fault::leave:
            fleet.injectEvent(vm, fleet::leave_requested {});
            break;
        case fault::kill:
            fleet.kill(vm);
            break;
        case fault::restart:
            // Each incarnation needs a start time in a millisecond of its own.
            fleet.run(1ms);
            fleet.start(vm, "north", { name((value.first + 1) % vmCount) });
            break;
        }
    }

    void endFaults()
    {
        for (unsigned index = 0; index < vmCount; ++index)
            fleet.resume(name(index));
        fleet.heal();
        fleet.setLossPercent(0);
        fleet.setListingDown(false);
        fleet.setListing(fleet.runningVmListing());
    }

    virtual_fleet fleet;
    std::vector<entry_vm_info> initialListing;
};

} // namespace

BOOST_AUTO_TEST_SUITE(under_random_faults)

BOOST_AUTO_TEST_CASE(no_running_vm_is_declared_dead_by_pauses_blocked_links_loss_and_wrong_lists)
{
    BOOST_TEST(fakes::checkSchedules("no running VM declared dead", schedules, [] {
        faulty_fleet vms(*rc::gen::arbitrary<std::uint64_t>());
        auto steps = *stepsUpTo(fault::list_up);
        // The waits add up to less than `deadAfter`, after which a suspected VM is declared dead although the list shows it.
        std::chrono::milliseconds total { 0 };
        for (const auto& step : steps) {
            vms.apply(step);
            const std::chrono::milliseconds wait(std::min<std::int64_t>(step.wait * 100, 50000 - total.count()));
            total += wait;
            vms.fleet.run(wait);
            for (unsigned viewer = 0; viewer < vmCount; ++viewer) {
                for (unsigned subject = 0; subject < vmCount; ++subject)
                    RC_ASSERT(vms.fleet.stateInView(name(viewer), name(subject)) != member_state::dead);
            }
        }
    }));
}

BOOST_AUTO_TEST_CASE(leaving_is_permanent_within_an_incarnation)
{
    BOOST_TEST(fakes::checkSchedules("leaving is permanent", schedules, [] {
        faulty_fleet vms(*rc::gen::arbitrary<std::uint64_t>());
        // Highest incarnation of each VM that each incarnation of a viewer has seen leaving.
        std::map<std::tuple<std::string, std::uint64_t, std::string>, std::uint64_t> seenLeaving;
        for (const auto& step : *stepsUpTo(fault::restart)) {
            vms.apply(step);
            vms.fleet.run(std::chrono::milliseconds(step.wait * 100));
            for (const auto& viewer : vms.fleet.runningVms()) {
                const fleet_view view = vms.fleet.viewOf(viewer);
                for (const auto& vm : view.members) {
                    std::uint64_t& left = seenLeaving[{ viewer, view.self.incarnation, vm.id.value }];
                    if (vm.state == member_state::leaving)
                        left = std::max(left, vm.incarnation);
                    else
                        RC_ASSERT(vm.incarnation > left || left == 0);
                }
            }
        }
    }));
}

BOOST_AUTO_TEST_CASE(all_views_converge_after_the_faults_have_ended)
{
    BOOST_TEST(fakes::checkSchedules("convergence", schedules, [] {
        faulty_fleet vms(*rc::gen::arbitrary<std::uint64_t>());
        for (const auto& step : *stepsUpTo(fault::restart)) {
            vms.apply(step);
            vms.fleet.run(std::chrono::milliseconds(step.wait * 100));
        }
        vms.endFaults();
        vms.fleet.run(settleTime);
        for (const auto& viewer : vms.fleet.runningVms()) {
            for (const auto& subject : vms.fleet.runningVms()) {
                const auto state = vms.fleet.stateInView(viewer, subject);
                RC_ASSERT(state == vms.fleet.stateInView(subject, subject));
                RC_ASSERT(state == member_state::alive || state == member_state::leaving);
            }
        }
    }));
}

BOOST_AUTO_TEST_SUITE_END()
