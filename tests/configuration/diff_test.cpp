// Tests the encoding of configurations, the validation of their fields, and the description of changes.
#include <boost/test/unit_test.hpp>

#include "configuration/codec.h"
#include "configuration/diff.h"
#include "configuration/record.h"

using namespace coriandermount;
using namespace coriandermount::configuration;

namespace {

snapshot sampleConfiguration()
{
    snapshot value;
    value.version = 1;
    value.author = "anna";
    value.reason = "test";
    value.recordId = "r1";
    value.plans[{ "gold" }].services = { { "release" }, { "transfer" } };
    value.plans[{ "tin" }].services = { { "release" } };
    for (const auto* name : { "a", "b", "c" })
        value.customers[{ name }] = { "gold" };
    return value;
}

std::string decodeProblem(const std::string& plans)
{
    const auto read = decodeSnapshot(R"({"author":"a","reason":"r","customers":{},"plans":)" + plans + "}");
    return read ? "" : read.error().detail;
}

} // namespace

BOOST_AUTO_TEST_SUITE(configuration_lists)

BOOST_AUTO_TEST_CASE(survive_encoding_and_decoding)
{
    const auto read = decodeSnapshot(encodeSnapshot(sampleConfiguration()));
    BOOST_REQUIRE(read);
    BOOST_TEST((*read == sampleConfiguration()));
}

BOOST_AUTO_TEST_CASE(report_the_invalid_field_and_its_bound)
{
    BOOST_TEST(decodeProblem(R"({"p":{"weight":0}})") == "plan \"p\" has weight 0, must lie between 1 and 1000000");
    BOOST_TEST(decodeProblem(R"({"p":{"concurrent_tasks":-1}})")
        == "plan \"p\": concurrent_tasks is -1, must be a whole number between 0 and 1000000000");
    BOOST_TEST(decodeProblem(R"({"p":{"wieght":2}})") == "plan \"p\": there is no field \"wieght\"");
}

BOOST_AUTO_TEST_SUITE(when_changed)

BOOST_AUTO_TEST_CASE(describe_lost_access_before_plan_changes)
{
    snapshot after = sampleConfiguration();
    for (const auto* name : { "a", "b", "c" })
        after.customers[{ name }] = { "tin" };
    const auto descriptions = describeChanges(sampleConfiguration(), after);
    BOOST_REQUIRE_EQUAL(descriptions.size(), 2U);
    BOOST_TEST(descriptions[0] == "3 customers lose access to service transfer (a, b, c)");
    BOOST_TEST(descriptions[1] == "3 customers move from plan gold to plan tin (a, b, c)");
}

BOOST_AUTO_TEST_CASE(yield_the_same_lists_from_a_record_of_changes)
{
    snapshot after = sampleConfiguration();
    after.customers.erase({ "b" });
    const record value = makeRecord(after, sampleConfiguration());
    BOOST_TEST(value.changes.has_value());
    const auto read = decodeRecord(encodeRecord(value));
    BOOST_REQUIRE(read);
    BOOST_TEST((*read == value));
    const auto applied = applyRecord(*read, sampleConfiguration());
    BOOST_REQUIRE(applied);
    BOOST_TEST((applied->customers == after.customers));
    BOOST_TEST((applied->plans == after.plans));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
