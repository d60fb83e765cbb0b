// Who hears the beats of a VM.
#include <set>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "cells/heartbeat_plan.h"
#include "tests/fakes/cell_fleet.h"

using namespace coriandermount;
using namespace coriandermount::cells;
using namespace coriandermount::fakes;
using namespace std::chrono_literals;

namespace {

constexpr unsigned domains = 4;

vm_id vmOf(unsigned domain, unsigned number) { return { fmt::format("{}-{}", domain, number) }; }

/// `count` VMs in each failure domain; number 5 has the most processor time.
heartbeat_plan planOf(unsigned count)
{
    heartbeat_plan plan;
    for (unsigned domain = 0; domain < domains; ++domain) {
        for (unsigned number = 0; number < count; ++number) {
            const vm_id id = vmOf(domain, number);
            plan.note({ { id, 1, number == 5 ? 500U : 120U }, id.value, { std::to_string(domain) } });
        }
    }
    return plan;
}

} // namespace

BOOST_AUTO_TEST_SUITE(beats)

BOOST_AUTO_TEST_CASE(go_to_everyone_in_a_small_fleet)
{
    const auto plan = planOf(6);
    BOOST_TEST(plan.isFullMesh());
    BOOST_TEST(plan.targets(vmOf(0, 0), false, {}).often.size() == domains * 6 - 1);
}

BOOST_AUTO_TEST_SUITE(of_a_large_fleet)

BOOST_AUTO_TEST_CASE(are_bounded_for_all_but_owners_however_many_vms_there_are)
{
    for (const unsigned count : { 10U, 75U, 300U }) {
        const auto plan = planOf(count);
        std::size_t senders = 0;
        for (unsigned number = 0; number < count; ++number) {
            const auto targets = plan.targets(vmOf(1, number), false, { vmOf(1, 5) });
            BOOST_TEST(targets.often.size() <= 8U);
            BOOST_TEST(targets.seldom.empty());
            senders += targets.often.empty() ? 0 : 1;
        }
        BOOST_TEST(senders == 8U);
    }
}

BOOST_AUTO_TEST_CASE(of_an_owner_reach_its_domain_and_the_other_owners)
{
    const auto plan = planOf(20);
    const auto targets = plan.targets(vmOf(1, 5), true, { vmOf(0, 5), vmOf(1, 5), vmOf(2, 5) });
    std::set<std::string> heard(targets.often.begin(), targets.often.end());
    heard.insert(targets.seldom.begin(), targets.seldom.end());
    for (unsigned number = 0; number < 20; ++number)
        BOOST_TEST(heard.contains(vmOf(1, number).value) == (number != 5));
    BOOST_TEST(heard.contains(vmOf(0, 5).value));
    BOOST_TEST(!heard.contains(vmOf(0, 6).value));
    // Nobody has been heard as the owner of this domain's cell: its witnesses are asked.
    BOOST_TEST(heard.contains(vmOf(3, 5).value));
}

BOOST_AUTO_TEST_CASE(let_every_vm_hand_jobs_in_and_another_vm_take_over)
{
    cell_fleet fleet(3, 12, 3);
    fleet.runFor(3s);
    for (unsigned domain = 0; domain < 3; ++domain) {
        for (unsigned number = 0; number < 12; ++number)
            fleet.run(cell_fleet::vmName(domain, number), fmt::format("{}.{}", domain, number), 1, 50ms);
    }
    fleet.runFor(1s);
    const auto dead = fleet.owner(1);
    fleet.kill(dead);
    fleet.runFor(1s);
    BOOST_TEST(!fleet.owner(1).empty());
    BOOST_TEST(fleet.owner(1) != dead);
    BOOST_REQUIRE(fleet.answers.size() == 36U);
    for (const auto& told : fleet.answers)
        BOOST_TEST((told.answer == jobs::job_state::completed));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
