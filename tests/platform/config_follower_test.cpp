// Tests which versions of the configuration a VM uses, above all after a restart.
#include <set>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "platform/config_follower.h"
#include "tests/fakes/memory_record_store.h"

using namespace coriandermount;
using namespace coriandermount::fakes;
using namespace std::chrono_literals;

namespace {

const jobs::record_stream stream { "keyed.op", 0 };

/// A VM whose configuration follows a store in virtual time.
struct configured_vm : jobs::record_store {
    configured_vm(virtual_loop& time, memory_record_store& target, store_fault firstFault = store_fault::none)
        : loop(time)
        , records(target)
        , fault(firstFault)
    {
        follower.start();
    }
    ~configured_vm() override { follower.stop(); }

    /// Lets time pass and notes the versions that requests see meanwhile, which must not fall.
    void runFor(std::chrono::milliseconds duration)
    {
        for (auto passed = 0ms; passed < duration; passed += 1ms) {
            loop.runFor(1ms);
            follower.tick(loop.now());
            BOOST_TEST(table.read()->version >= last());
            seen.insert(table.read()->version);
        }
    }

    std::uint64_t last() const { return seen.empty() ? 0 : *seen.rbegin(); }

    void append(jobs::append_request, append_completion) override { BOOST_FAIL("a VM does not write the configuration"); }
    void read(
        const jobs::record_stream& from, std::uint64_t offset, std::chrono::milliseconds wait, read_completion done) override
    {
        // One record an answer, so that each version is in force for a while.
        records.read(from, offset, wait, fault, [done](result<jobs::record_batch> answer) {
            if (answer && answer->records.size() > 1)
                answer->records.resize(1);
            done(std::move(answer));
        });
    }
    void readNewest(const jobs::record_stream& from, read_completion done) override { records.readNewest(from, fault, done); }

    virtual_loop& loop;
    memory_record_store& records;
    store_fault fault;
    rcu_value<jobs::queue_table> table;
    /// Versions that were in force, 0 for none.
    std::set<std::uint64_t> seen;
    /// What the store says about evacuations; empty until it has answered.
    std::optional<cells::evacuation_state> evacuations;
    platform::config_follower follower { *this, loop, table,
        platform::evacuation_list({ "argos", "nemea" }, [this](const auto& state) { evacuations = state; }) };
};

struct published_configurations {
    void publish(std::uint64_t version) { publishText(fmt::format(R"({{"version":{},"routes":[],"services":{{}}}})", version)); }
    void publishText(const std::string& value)
    {
        records.append({ stream, { { "config", value, 0 } }, std::nullopt, std::nullopt }, store_fault::none, [](const auto&) {});
        loop.runFor(5ms);
    }

    void publishEvacuation(const std::string& key, const std::optional<std::string>& value)
    {
        records.append({ stream, { { key, value, 0 } }, std::nullopt, std::nullopt }, store_fault::none, [](const auto&) {});
        loop.runFor(5ms);
    }

    virtual_loop loop;
    memory_record_store records { loop };
};

using cell_set = std::set<cells::cell_number>;

} // namespace

BOOST_FIXTURE_TEST_SUITE(the_configuration, published_configurations)

// Guards against an old version in a new boot: the records are read from the newest on, not from the first on.
BOOST_AUTO_TEST_CASE(is_the_newest_one_from_the_first_on_after_a_restart)
{
    publish(3);
    publish(5);
    {
        configured_vm before(loop, records);
        before.runFor(50ms);
        publish(9);
        before.runFor(50ms);
        BOOST_TEST((before.seen == std::set<std::uint64_t> { 0, 5, 9 }));
    }
    publish(12);
    for (const bool expired : { false, true }) {
        if (expired)
            records.compact();
        configured_vm after(loop, records);
        after.runFor(50ms);
        BOOST_TEST((after.seen == std::set<std::uint64_t> { 0, 12 }));
    }
}

// Requests are refused with 503 while there is no version: `a_client_api_without_a_configuration` and `isReady` take version 0
// for that.
BOOST_AUTO_TEST_CASE(is_missing_until_the_store_has_answered_after_a_restart)
{
    publish(3);
    configured_vm vm(loop, records, store_fault::refuses_requests);
    vm.runFor(2s);
    BOOST_TEST((vm.seen == std::set<std::uint64_t> { 0 }));
    publish(4);
    vm.fault = store_fault::none;
    vm.runFor(600ms);
    BOOST_TEST((vm.seen == std::set<std::uint64_t> { 0, 4 }));
}

// Guards against a version that falls within one boot.
BOOST_AUTO_TEST_CASE(never_falls_to_a_lower_version)
{
    publish(7);
    configured_vm vm(loop, records);
    vm.runFor(20ms);
    publish(6);
    vm.runFor(20ms);
    // Once the records are not kept any more, the newest of each key is read, which holds the lower version.
    vm.fault = store_fault::refuses_requests;
    vm.runFor(2500ms);
    publish(5);
    records.compact();
    vm.fault = store_fault::none;
    vm.runFor(1s);
    BOOST_TEST((vm.seen == std::set<std::uint64_t> { 0, 7 }));
    publish(8);
    vm.runFor(20ms);
    BOOST_TEST(vm.table.read()->version == 8U);
}

BOOST_AUTO_TEST_CASE(is_kept_while_the_newest_record_cannot_be_read)
{
    publish(7);
    configured_vm vm(loop, records);
    vm.runFor(20ms);
    publishText("{");
    publishText(R"({"version":-1,"routes":[]})");
    publishText(R"({"version":"8","routes":[]})");
    vm.runFor(20ms);
    BOOST_TEST(vm.table.read()->version == 7U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(the_evacuated_failure_domains, published_configurations)

BOOST_AUTO_TEST_CASE(are_those_whose_records_exist)
{
    // Guards against an evacuation that a VM overlooks, or that never ends.
    configured_vm vm(loop, records);
    BOOST_TEST(!vm.evacuations.has_value());
    vm.runFor(50ms);
    BOOST_REQUIRE(vm.evacuations.has_value());
    BOOST_TEST(vm.evacuations->cells.empty());
    publishEvacuation("evacuate/nemea", "{}");
    vm.runFor(50ms);
    BOOST_TEST((vm.evacuations->cells == cell_set { 1 }));
    publishEvacuation("evacuate/nemea", std::nullopt);
    vm.runFor(50ms);
    BOOST_TEST(vm.evacuations->cells.empty());
}

BOOST_AUTO_TEST_CASE(are_known_after_a_restart_and_when_the_store_has_dropped_its_history)
{
    // Guards against a new boot that starts tasks in a domain which was evacuated before, and against a removal that is missed.
    publishEvacuation("evacuate/argos", "{}");
    configured_vm vm(loop, records);
    vm.runFor(50ms);
    BOOST_TEST((vm.evacuations->cells == cell_set { 0 }));
    vm.fault = store_fault::refuses_requests;
    vm.runFor(3s);
    publishEvacuation("evacuate/argos", std::nullopt);
    records.compact();
    vm.fault = store_fault::none;
    vm.runFor(1s);
    BOOST_TEST(vm.evacuations->cells.empty());
}

BOOST_AUTO_TEST_CASE(do_not_change_for_records_that_cannot_be_read)
{
    // Guards against a domain that is emptied, or a configuration that is not applied, because of a record that is not valid.
    configured_vm vm(loop, records);
    publishEvacuation("evacuate/nemea", "no document");
    publishEvacuation("evacuate/unknown", "{}");
    publishEvacuation("evacuate/", "{}");
    publishEvacuation("evacuate", "{}");
    publish(3);
    vm.runFor(50ms);
    BOOST_TEST(vm.evacuations->cells.empty());
    BOOST_TEST(vm.last() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
