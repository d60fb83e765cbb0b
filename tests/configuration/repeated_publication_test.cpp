// A refusal of a repeated publication is no proof that the log does not hold the record of the earlier one.
#include <boost/test/unit_test.hpp>

#include "tests/fakes/virtual_followers.h"

using namespace coriandermount;
using namespace std::chrono_literals;
using configuration::snapshot;
using fakes::virtual_followers;

namespace {

constexpr auto adoptionTimeout = 5000ms;

struct five_vms_with_a_configuration {
    five_vms_with_a_configuration()
        : fleet(5, 1)
    {
        fleet.run(2000ms);
        fleet.publish(0, "anna", "kellari", "gold");
        fleet.run(adoptionTimeout);
    }

    /// Returns the configuration in force on VM `vm` with one more customer, as record `recordId`.
    snapshot candidateOn(std::size_t vm, const std::string& recordId, const std::string& customer) const
    {
        snapshot candidate = *fleet.current(vm);
        candidate.basedOn = candidate.version;
        candidate.version = 0;
        candidate.recordId = recordId;
        candidate.author = "bert";
        candidate.reason = "test";
        candidate.customers[{ customer }] = { "gold" };
        return candidate;
    }

    void partitionAllFromLog()
    {
        for (std::size_t vm = 0; vm < fleet.count(); ++vm)
            fleet.partitionFromLog(vm, true);
    }

    void expectLastResult(error_kind kind)
    {
        BOOST_REQUIRE(!fleet.results().empty());
        BOOST_REQUIRE(fleet.results().back().problem);
        BOOST_TEST(nameOf(fleet.results().back().problem->kind) == nameOf(kind));
    }

    virtual_followers fleet;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_repeated_publication, five_vms_with_a_configuration)

BOOST_AUTO_TEST_SUITE(after_the_answer_of_the_log_was_lost)

// Guards against `log_unavailable`, which says that nothing was published, for a record that comes into force later.
BOOST_AUTO_TEST_CASE(is_unknown_when_the_log_refuses_the_second_append)
{
    const snapshot candidate = candidateOn(1, "r2", "laulukaar");
    fleet.setDropAppendAnswers(true);
    fleet.publish(1, candidate);
    fleet.run(8ms);
    partitionAllFromLog();
    fleet.run(8000ms);
    expectLastResult(error_kind::publish_unknown);
    fleet.publishAgain(1, candidate);
    fleet.run(2000ms);
    BOOST_TEST(fleet.results().size() == 3U);
    expectLastResult(error_kind::publish_unknown);
    fleet.heal();
    fleet.run(adoptionTimeout);
    BOOST_TEST(fleet.current(0)->recordId == "r2");
}

// Guards against `configuration_missing`, which says that nothing was published, for a record that is in force elsewhere.
BOOST_AUTO_TEST_CASE(is_unknown_on_a_vm_that_has_just_started)
{
    const snapshot candidate = candidateOn(1, "r2", "laulukaar");
    fleet.publish(1, candidate);
    fleet.run(adoptionTimeout);
    fleet.partitionFromLog(4, true);
    fleet.partitionFromPeers(4, true);
    fleet.restart(4);
    fleet.publishAgain(4, candidate);
    BOOST_TEST(fleet.current(0)->recordId == "r2");
    expectLastResult(error_kind::publish_unknown);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_is_not_based_on_the_version_in_force)

// Guards against `publish_conflict` for an accepted record, from a VM that does not know its base version yet.
BOOST_AUTO_TEST_CASE(is_unknown_on_a_vm_that_is_behind)
{
    fleet.partitionFromLog(4, true);
    fleet.partitionFromPeers(4, true);
    fleet.publish(1, candidateOn(1, "r2", "laulukaar"));
    fleet.run(adoptionTimeout);
    const snapshot candidate = candidateOn(1, "r3", "ferry");
    fleet.publish(1, candidate);
    fleet.run(adoptionTimeout);
    BOOST_TEST(fleet.current(0)->recordId == "r3");
    fleet.publishAgain(4, candidate);
    expectLastResult(error_kind::publish_unknown);
}

// Guards against `publish_conflict` for a record that was accepted and then replaced, from a VM that learned only the latter.
BOOST_AUTO_TEST_CASE(is_unknown_on_a_vm_whose_history_does_not_reach_back)
{
    const snapshot candidate = candidateOn(1, "r2", "laulukaar");
    fleet.publish(1, candidate);
    fleet.run(adoptionTimeout);
    fleet.publish(1, candidateOn(1, "r3", "ferry"));
    fleet.run(700000ms);
    BOOST_TEST(fleet.copiesAppended() > 0U);
    fleet.log().keepNewest(1);
    for (std::size_t vm = 0; vm < fleet.count(); ++vm)
        fleet.kill(vm);
    fleet.restart(0);
    fleet.run(adoptionTimeout);
    BOOST_TEST(fleet.current(0)->recordId == "r3");
    fleet.publishAgain(0, candidate);
    expectLastResult(error_kind::publish_unknown);
}

BOOST_AUTO_TEST_CASE(is_a_conflict_when_another_record_with_the_same_base_was_accepted)
{
    const snapshot candidate = candidateOn(2, "late", "ferry");
    fleet.publish(1, candidateOn(1, "r2", "laulukaar"));
    fleet.publish(2, candidate);
    fleet.run(adoptionTimeout);
    expectLastResult(error_kind::publish_conflict);
    fleet.publishAgain(3, candidate);
    expectLastResult(error_kind::publish_conflict);
}

BOOST_AUTO_TEST_CASE(is_accepted_when_its_record_was)
{
    const snapshot candidate = candidateOn(1, "r2", "laulukaar");
    fleet.publish(1, candidate);
    fleet.run(adoptionTimeout);
    fleet.publish(1, candidateOn(1, "r3", "ferry"));
    fleet.run(adoptionTimeout);
    fleet.publishAgain(3, candidate);
    BOOST_TEST(!fleet.results().back().problem);
    BOOST_TEST(fleet.results().back().version == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
