// Tests publication and adoption of configurations over a log with faults, on a virtual clock.
#include <boost/test/unit_test.hpp>

#include "configuration/record.h"
#include "tests/fakes/virtual_followers.h"

using namespace coriandermount;
using namespace std::chrono_literals;
using configuration::history_entry;
using configuration::snapshot;
using fakes::virtual_followers;

namespace {

/// Time within which an accepted configuration must be in force on all reachable VMs.
constexpr auto adoptionTimeout = 5000ms;

struct five_vms {
    five_vms()
        : fleet(5, 1)
    {
        fleet.run(2000ms);
        fleet.publish(0, "anna", "kellari", "gold");
        fleet.run(adoptionTimeout);
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

BOOST_AUTO_TEST_CASE(is_in_force_on_all_vms_in_time_with_its_offset_as_version)
{
    BOOST_TEST(fleet.allAgree());
    BOOST_TEST(fleet.current(4)->version == 1U);
    BOOST_TEST(hasPlan(*fleet.current(4), "kellari", "gold"));
    BOOST_REQUIRE_EQUAL(fleet.results().size(), 1U);
    BOOST_TEST(!fleet.results()[0].problem);
}

BOOST_AUTO_TEST_SUITE(when_two_operators_publish_concurrently)

BOOST_FIXTURE_TEST_CASE(is_that_of_the_first_record_and_the_other_gets_a_conflict_with_the_winner, five_vms)
{
    fleet.publish(1, "bert", "laulukaar", "silver");
    fleet.publish(2, "cleo", "laulukaar", "bronze");
    fleet.run(adoptionTimeout);
    BOOST_TEST(fleet.allAgree());
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

BOOST_FIXTURE_TEST_CASE(is_rejected_immediately_when_based_on_an_old_version, five_vms)
{
    snapshot old = *fleet.current(3);
    fleet.publish(1, "bert", "laulukaar", "silver");
    fleet.run(adoptionTimeout);
    old.basedOn = old.version;
    old.recordId = "late";
    fleet.publish(3, old);
    BOOST_REQUIRE_EQUAL(fleet.results().size(), 3U);
    BOOST_REQUIRE(fleet.results()[2].problem);
    BOOST_TEST((fleet.results()[2].problem->kind == error_kind::publish_conflict));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_log_fails)

BOOST_FIXTURE_TEST_CASE(is_rejected_and_not_adopted_while_the_log_is_unavailable, five_vms)
{
    fleet.setLogUnavailable(true);
    fleet.publish(1, "bert", "laulukaar", "silver");
    fleet.run(2000ms);
    BOOST_REQUIRE_EQUAL(fleet.results().size(), 2U);
    BOOST_REQUIRE(fleet.results()[1].problem);
    BOOST_TEST((fleet.results()[1].problem->kind == error_kind::log_unavailable));
    fleet.heal();
    fleet.run(adoptionTimeout);
    BOOST_TEST(fleet.current(0)->version == 1U);
}

BOOST_FIXTURE_TEST_CASE(is_accepted_when_only_the_answer_was_lost, five_vms)
{
    fleet.setDropAppendAnswers(true);
    fleet.publish(1, "bert", "laulukaar", "silver");
    fleet.run(adoptionTimeout);
    BOOST_REQUIRE_EQUAL(fleet.results().size(), 2U);
    BOOST_TEST(!fleet.results()[1].problem);
    BOOST_TEST(hasPlan(*fleet.current(4), "laulukaar", "silver"));
}

BOOST_FIXTURE_TEST_CASE(is_unknown_when_the_answer_and_the_log_are_lost_and_is_found_later_by_its_record_id, five_vms)
{
    fleet.setDropAppendAnswers(true);
    fleet.publish(1, "bert", "laulukaar", "silver");
    fleet.run(8ms);
    for (std::size_t vm = 0; vm < fleet.count(); ++vm)
        fleet.partitionFromLog(vm, true);
    fleet.run(8000ms);
    BOOST_REQUIRE_EQUAL(fleet.results().size(), 2U);
    BOOST_REQUIRE(fleet.results()[1].problem);
    BOOST_TEST((fleet.results()[1].problem->kind == error_kind::publish_unknown));
    fleet.heal();
    fleet.run(adoptionTimeout);
    const auto outcome = fleet.followerOf(3).outcomeOf(fleet.results()[1].recordId);
    BOOST_REQUIRE(outcome);
    BOOST_TEST(outcome->version == 2U);
}

BOOST_FIXTURE_TEST_CASE(is_fetched_from_peers_by_a_vm_that_cannot_reach_the_log, five_vms)
{
    fleet.partitionFromLog(4, true);
    fleet.publish(1, "bert", "laulukaar", "silver");
    fleet.run(adoptionTimeout);
    BOOST_TEST(fleet.allAgree());
    fleet.restart(4);
    fleet.run(adoptionTimeout);
    BOOST_TEST(fleet.allAgree());
}

BOOST_FIXTURE_TEST_CASE(survives_a_truncated_tail_and_is_appended_again_by_one_vm, five_vms)
{
    fleet.publish(1, "bert", "laulukaar", "silver");
    fleet.run(adoptionTimeout);
    fleet.log().truncateTail(1);
    fleet.run(20000ms);
    BOOST_TEST(fleet.current(0)->version == 2U);
    BOOST_TEST(fleet.copiesAppended() == 1U);
    fleet.publish(2, "cleo", "ferry", "gold");
    fleet.run(adoptionTimeout);
    BOOST_TEST(fleet.allAgree());
    BOOST_TEST(hasPlan(*fleet.current(0), "ferry", "gold"));
    BOOST_TEST(hasPlan(*fleet.current(0), "laulukaar", "silver"));
    BOOST_TEST(fleet.regressions() == 0U);
}

BOOST_FIXTURE_TEST_CASE(increases_its_version_when_offsets_are_reused, five_vms)
{
    for (int round = 0; round < 3; ++round) {
        fleet.publish(1, "bert", "laulukaar", "plan" + std::to_string(round));
        fleet.run(adoptionTimeout);
    }
    fleet.log().truncateTail(4);
    fleet.publish(2, "cleo", "ferry", "gold");
    fleet.run(adoptionTimeout);
    BOOST_TEST(fleet.allAgree());
    BOOST_TEST(fleet.current(0)->version == 5U);
    BOOST_TEST(hasPlan(*fleet.current(0), "ferry", "gold"));
    BOOST_TEST(fleet.regressions() == 0U);
}

BOOST_FIXTURE_TEST_CASE(is_not_changed_by_duplicate_records, five_vms)
{
    fleet.publish(1, "bert", "laulukaar", "silver");
    fleet.run(adoptionTimeout);
    fleet.log().appendDuplicate(2);
    fleet.log().appendDuplicate(1);
    fleet.run(adoptionTimeout);
    BOOST_TEST(fleet.current(0)->version == 2U);
    BOOST_TEST(hasPlan(*fleet.current(0), "laulukaar", "silver"));
    BOOST_TEST(fleet.allAgree());
}

BOOST_FIXTURE_TEST_CASE(outlives_the_retention_of_its_record_through_periodic_copies, five_vms)
{
    for (int minute = 0; minute < 120; ++minute) {
        fleet.run(60000ms);
        if (minute % 30 == 29)
            fleet.log().keepNewest(1);
    }
    BOOST_TEST(fleet.copiesAppended() >= 11U);
    BOOST_TEST(fleet.copiesAppended() <= 13U);
    for (std::size_t vm = 0; vm < fleet.count(); ++vm)
        fleet.kill(vm);
    fleet.restart(0);
    fleet.run(adoptionTimeout);
    BOOST_TEST(hasPlan(*fleet.current(0), "kellari", "gold"));
    BOOST_TEST(fleet.current(0)->version == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_record_is_invalid)

BOOST_FIXTURE_TEST_CASE(is_kept_and_all_vms_report_the_rejected_record, five_vms)
{
    fleet.log().append("no record");
    fleet.log().append(R"({"record":"r9","author":"dora","reason":"x","based_on":1,"customers":{"a":"none"},"plans":{}})");
    fleet.run(adoptionTimeout);
    BOOST_TEST(fleet.current(0)->version == 1U);
    for (std::size_t vm = 0; vm < fleet.count(); ++vm) {
        BOOST_REQUIRE_EQUAL(fleet.rejectedRecords(vm).size(), 2U);
        BOOST_TEST(fleet.rejectedRecords(vm)[1].recordId == "r9");
        BOOST_TEST(fleet.rejectedRecords(vm)[1].problem == "customer \"a\" has plan \"none\", which is not listed");
    }
    fleet.publish(1, "bert", "laulukaar", "silver");
    fleet.run(adoptionTimeout);
    BOOST_TEST(fleet.allAgree());
    BOOST_TEST(fleet.current(0)->version == 4U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(is_not_replaced_by_an_older_configuration_of_a_peer)
{
    const auto old = fleet.followerOf(4).stateForPeer();
    fleet.publish(1, "bert", "laulukaar", "silver");
    fleet.run(adoptionTimeout);
    configuration::follower newer({});
    newer.handle(configuration::peer_fetch_completed { fleet.followerOf(4).stateForPeer() }, time_point(1h));
    newer.handle(configuration::peer_fetch_completed { old }, time_point(1h));
    BOOST_TEST(newer.current()->version == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
