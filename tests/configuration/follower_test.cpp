// The configuration over a log with faults, on a virtual clock.
#include <boost/test/unit_test.hpp>

#include "configuration/record.h"
#include "tests/fakes/virtual_followers.h"

using namespace coriandermount;
using namespace std::chrono_literals;
using configuration::history_entry;
using configuration::snapshot;
using fakes::virtual_followers;

namespace {

/// Longest time until an accepted configuration is in force on all reachable VMs.
constexpr auto inForceLimit = 5000ms;

struct five_vms {
    five_vms()
        : fleet(5, 1)
    {
        fleet.run(2000ms);
        fleet.publish(0, "anna", "kellari", "gold");
        fleet.run(inForceLimit);
    }

    virtual_followers fleet;
};

bool hasPlan(const snapshot& current, const std::string& customer, const std::string& plan)
{
    const auto found = current.customers.find({ customer });
    return found != current.customers.end() && found->second.value == plan;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_configuration, five_vms)

BOOST_AUTO_TEST_CASE(is_in_force_everywhere_in_time_with_its_offset_as_version)
{
    BOOST_TEST(fleet.agree());
    BOOST_TEST(fleet.current(4)->version == 1U);
    BOOST_TEST(hasPlan(*fleet.current(4), "kellari", "gold"));
    BOOST_REQUIRE_EQUAL(fleet.results().size(), 1U);
    BOOST_TEST(!fleet.results()[0].problem);
}

BOOST_AUTO_TEST_SUITE(when_two_operators_race)

BOOST_FIXTURE_TEST_CASE(is_the_first_ones_and_the_other_is_told_who_won, five_vms)
{
    fleet.publish(1, "bert", "laulukaar", "silver");
    fleet.publish(2, "cleo", "laulukaar", "bronze");
    fleet.run(inForceLimit);
    BOOST_TEST(fleet.agree());
    BOOST_TEST(hasPlan(*fleet.current(0), "laulukaar", "silver"));
    BOOST_REQUIRE_EQUAL(fleet.results().size(), 3U);
    const auto& lost = fleet.results()[2];
    BOOST_REQUIRE(lost.problem);
    BOOST_TEST((lost.problem->kind == error_kind::publish_conflict));
    BOOST_REQUIRE(lost.winner);
    BOOST_TEST(lost.winner->author == "bert");
    BOOST_REQUIRE(!lost.changes.empty());
    BOOST_TEST(lost.changes[0] == "customer laulukaar is added with plan silver");
}

BOOST_FIXTURE_TEST_CASE(is_refused_at_once_when_based_on_an_old_version, five_vms)
{
    snapshot old = *fleet.current(3);
    fleet.publish(1, "bert", "laulukaar", "silver");
    fleet.run(inForceLimit);
    old.basedOn = old.version;
    old.recordId = "late";
    fleet.publish(3, old);
    BOOST_REQUIRE_EQUAL(fleet.results().size(), 3U);
    BOOST_REQUIRE(fleet.results()[2].problem);
    BOOST_TEST((fleet.results()[2].problem->kind == error_kind::publish_conflict));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_log_fails)

BOOST_FIXTURE_TEST_CASE(is_refused_truthfully_while_the_log_is_down, five_vms)
{
    fleet.setLogDown(true);
    fleet.publish(1, "bert", "laulukaar", "silver");
    fleet.run(2000ms);
    BOOST_REQUIRE_EQUAL(fleet.results().size(), 2U);
    BOOST_REQUIRE(fleet.results()[1].problem);
    BOOST_TEST((fleet.results()[1].problem->kind == error_kind::log_unavailable));
    fleet.heal();
    fleet.run(inForceLimit);
    BOOST_TEST(fleet.current(0)->version == 1U);
}

BOOST_FIXTURE_TEST_CASE(is_accepted_when_only_the_answer_was_lost, five_vms)
{
    fleet.setAnswersLost(true);
    fleet.publish(1, "bert", "laulukaar", "silver");
    fleet.run(inForceLimit);
    BOOST_REQUIRE_EQUAL(fleet.results().size(), 2U);
    BOOST_TEST(!fleet.results()[1].problem);
    BOOST_TEST(hasPlan(*fleet.current(4), "laulukaar", "silver"));
}

BOOST_FIXTURE_TEST_CASE(is_unknown_when_the_log_goes_away_with_the_answer_and_is_resolved_by_its_record_id, five_vms)
{
    fleet.setAnswersLost(true);
    fleet.publish(1, "bert", "laulukaar", "silver");
    fleet.run(8ms);
    for (std::size_t vm = 0; vm < fleet.count(); ++vm)
        fleet.partitionFromLog(vm, true);
    fleet.run(8000ms);
    BOOST_REQUIRE_EQUAL(fleet.results().size(), 2U);
    BOOST_REQUIRE(fleet.results()[1].problem);
    BOOST_TEST((fleet.results()[1].problem->kind == error_kind::publish_unknown));
    fleet.heal();
    fleet.run(inForceLimit);
    const auto outcome = fleet.core(3).outcomeOf(fleet.results()[1].recordId);
    BOOST_REQUIRE(outcome);
    BOOST_TEST(outcome->version == 2U);
}

BOOST_FIXTURE_TEST_CASE(is_learned_from_peers_by_a_vm_without_log, five_vms)
{
    fleet.partitionFromLog(4, true);
    fleet.publish(1, "bert", "laulukaar", "silver");
    fleet.run(inForceLimit);
    BOOST_TEST(fleet.agree());
    fleet.restart(4);
    fleet.run(inForceLimit);
    BOOST_TEST(fleet.agree());
}

BOOST_FIXTURE_TEST_CASE(survives_a_lost_tail_and_is_written_again_by_one_vm, five_vms)
{
    fleet.publish(1, "bert", "laulukaar", "silver");
    fleet.run(inForceLimit);
    fleet.log().loseTail(1);
    fleet.run(20000ms);
    BOOST_TEST(fleet.current(0)->version == 2U);
    BOOST_TEST(fleet.copies() == 1U);
    fleet.publish(2, "cleo", "ferry", "gold");
    fleet.run(inForceLimit);
    BOOST_TEST(fleet.agree());
    BOOST_TEST(hasPlan(*fleet.current(0), "ferry", "gold"));
    BOOST_TEST(hasPlan(*fleet.current(0), "laulukaar", "silver"));
    BOOST_TEST(fleet.reverts() == 0U);
}

BOOST_FIXTURE_TEST_CASE(grows_its_version_when_offsets_are_handed_out_again, five_vms)
{
    for (int round = 0; round < 3; ++round) {
        fleet.publish(1, "bert", "laulukaar", "plan" + std::to_string(round));
        fleet.run(inForceLimit);
    }
    fleet.log().loseTail(4);
    fleet.publish(2, "cleo", "ferry", "gold");
    fleet.run(inForceLimit);
    BOOST_TEST(fleet.agree());
    BOOST_TEST(fleet.current(0)->version == 5U);
    BOOST_TEST(hasPlan(*fleet.current(0), "ferry", "gold"));
    BOOST_TEST(fleet.reverts() == 0U);
}

BOOST_FIXTURE_TEST_CASE(is_not_changed_by_replayed_and_doubled_records, five_vms)
{
    fleet.publish(1, "bert", "laulukaar", "silver");
    fleet.run(inForceLimit);
    fleet.log().replay(2);
    fleet.log().replay(1);
    fleet.run(inForceLimit);
    BOOST_TEST(fleet.current(0)->version == 2U);
    BOOST_TEST(hasPlan(*fleet.current(0), "laulukaar", "silver"));
    BOOST_TEST(fleet.agree());
}

BOOST_FIXTURE_TEST_CASE(outlives_the_retention_of_its_record_with_few_copies, five_vms)
{
    for (int minute = 0; minute < 120; ++minute) {
        fleet.run(60000ms);
        if (minute % 30 == 29)
            fleet.log().keepNewest(1);
    }
    BOOST_TEST(fleet.copies() >= 11U);
    BOOST_TEST(fleet.copies() <= 13U);
    for (std::size_t vm = 0; vm < fleet.count(); ++vm)
        fleet.kill(vm);
    fleet.restart(0);
    fleet.run(inForceLimit);
    BOOST_TEST(hasPlan(*fleet.current(0), "kellari", "gold"));
    BOOST_TEST(fleet.current(0)->version == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_record_is_bad)

BOOST_FIXTURE_TEST_CASE(is_kept_and_the_record_is_skipped_and_named_by_all, five_vms)
{
    fleet.log().append("no record");
    fleet.log().append(R"({"record":"r9","author":"dora","reason":"x","based_on":1,"customers":{"a":"none"},"plans":{}})");
    fleet.run(inForceLimit);
    BOOST_TEST(fleet.current(0)->version == 1U);
    for (std::size_t vm = 0; vm < fleet.count(); ++vm) {
        BOOST_REQUIRE_EQUAL(fleet.skipped(vm).size(), 2U);
        BOOST_TEST(fleet.skipped(vm)[1].recordId == "r9");
        BOOST_TEST(fleet.skipped(vm)[1].problem == "customer \"a\" has plan \"none\", which is not listed");
    }
    fleet.publish(1, "bert", "laulukaar", "silver");
    fleet.run(inForceLimit);
    BOOST_TEST(fleet.agree());
    BOOST_TEST(fleet.current(0)->version == 4U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(is_not_replaced_by_that_of_an_old_peer)
{
    const auto old = fleet.core(4).stateForPeer();
    fleet.publish(1, "bert", "laulukaar", "silver");
    fleet.run(inForceLimit);
    configuration::follower newer({});
    newer.handle(configuration::peer_fetch_completed { fleet.core(4).stateForPeer() }, time_point(1h));
    newer.handle(configuration::peer_fetch_completed { old }, time_point(1h));
    BOOST_TEST(newer.current()->version == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
