// Tests which VMs receive the heartbeats of a VM.
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

/// Returns a plan with `count` VMs in each failure domain, of which number 5 has the most processor time.
heartbeat_plan planOf(unsigned count)
{
    heartbeat_plan plan;
    for (unsigned domain = 0; domain < domains; ++domain) {
        for (unsigned number = 0; number < count; ++number) {
            const vm_id id = vmOf(domain, number);
            plan.addOrUpdate({ { id, 1, number == 5 ? 500U : 120U }, id.value, { std::to_string(domain) } });
        }
    }
    return plan;
}

} // namespace

BOOST_AUTO_TEST_SUITE(heartbeats)

BOOST_AUTO_TEST_CASE(are_sent_to_every_vm_in_a_small_fleet)
{
    const auto plan = planOf(6);
    BOOST_TEST(plan.isFullMesh());
    BOOST_TEST(plan.targets(vmOf(0, 0), false, {}).frequent.size() == domains * 6 - 1);
}

BOOST_AUTO_TEST_SUITE(of_a_large_fleet)

BOOST_AUTO_TEST_CASE(have_a_bounded_number_of_targets_for_all_vms_but_owners)
{
    for (const unsigned count : { 10U, 75U, 300U }) {
        const auto plan = planOf(count);
        std::size_t senders = 0;
        for (unsigned number = 0; number < count; ++number) {
            const auto targets = plan.targets(vmOf(1, number), false, { vmOf(1, 5) });
            BOOST_TEST(targets.frequent.size() <= 8U);
            BOOST_TEST(targets.infrequent.empty());
            senders += targets.frequent.empty() ? 0 : 1;
        }
        BOOST_TEST(senders == 8U);
    }
}

BOOST_AUTO_TEST_CASE(of_an_owner_are_sent_to_its_domain_and_the_other_owners)
{
    const auto plan = planOf(20);
    const auto targets = plan.targets(vmOf(1, 5), true, { vmOf(0, 5), vmOf(1, 5), vmOf(2, 5) });
    std::set<std::string> receivers(targets.frequent.begin(), targets.frequent.end());
    receivers.insert(targets.infrequent.begin(), targets.infrequent.end());
    for (unsigned number = 0; number < 20; ++number)
        BOOST_TEST(receivers.contains(vmOf(1, number).value) == (number != 5));
    BOOST_TEST(receivers.contains(vmOf(0, 5).value));
    BOOST_TEST(!receivers.contains(vmOf(0, 6).value));
    // Domain 3 has no known owner, so its witnesses receive the heartbeats.
    BOOST_TEST(receivers.contains(vmOf(3, 5).value));
}

BOOST_AUTO_TEST_CASE(let_every_vm_submit_jobs_and_another_vm_take_over)
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
    for (const auto& record : fleet.answers)
        BOOST_TEST((record.answer == jobs::job_state::completed));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
