// Tests the in-memory journal: stored fields, the order of dropping, and the events that a reader missed.
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <rapidcheck.h>

#include "event_log/event_buffer.h"
#include "event_log/journal.h"
#include "tests/fakes/manual_clock.h"

using namespace coriandermount;

namespace {

constexpr std::size_t journalBytes = 1024 * 1024;

job_key keyOf(const std::string& name) { return { { "kellari" }, name, wall_time(std::chrono::milliseconds(1000)) }; }

event_log::event makeEvent(event_log::event_kind kind, const std::string& job)
{
    event_log::event entry;
    entry.kind = kind;
    entry.job = keyOf(job);
    return entry;
}

struct journal_fixture {
    fakes::manual_clock clock;
    event_log::memory_journal journal { clock, { "entry-1" }, journalBytes };

    void recordDetail(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index)
            journal.record(makeEvent(event_log::event_kind::task_placed, fmt::format("flood-{}", index)));
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(in_memory_journal)

BOOST_FIXTURE_TEST_CASE(returns_events_with_all_fields, journal_fixture)
{
    auto entry = makeEvent(event_log::event_kind::job_refused, "job-1");
    entry.task = 7;
    entry.problem = error_kind::plan_concurrency_exceeded;
    entry.subject = "basic";
    entry.rule = "plan.concurrent_tasks";
    entry.limit = "40";
    entry.value = "41";
    entry.elapsed = std::chrono::microseconds(1234567890123);
    entry.elapsedPart = std::chrono::microseconds(99);
    entry.configurationVersion = 812;
    entry.author = "nikos";
    journal.record(entry);
    const auto found = journal.eventsOf(keyOf("job-1"));
    BOOST_REQUIRE_EQUAL(found.size(), 1U);
    BOOST_TEST((found[0].kind == entry.kind));
    BOOST_TEST((found[0].job == entry.job));
    BOOST_TEST((found[0].task == entry.task));
    BOOST_TEST((found[0].problem == entry.problem));
    BOOST_TEST(found[0].subject == entry.subject);
    BOOST_TEST(found[0].rule == entry.rule);
    BOOST_TEST(found[0].limit == entry.limit);
    BOOST_TEST(found[0].value == entry.value);
    BOOST_TEST((found[0].elapsed == entry.elapsed));
    BOOST_TEST((found[0].elapsedPart == entry.elapsedPart));
    BOOST_TEST(found[0].configurationVersion == 812U);
    BOOST_TEST(found[0].author == "nikos");
    BOOST_TEST(found[0].vm.value == "entry-1");
    BOOST_TEST((found[0].at == clock.wallNow()));
}

BOOST_AUTO_TEST_CASE(stores_arbitrary_texts)
{
    BOOST_TEST(rc::check([](const std::string& name, const std::string& subject, const std::string& value) {
        event_log::event_buffer buffer(0);
        auto entry = makeEvent(event_log::event_kind::task_answered, name.substr(0, 255));
        entry.subject = subject.substr(0, 255);
        entry.value = value.substr(0, 255);
        entry.sequence = 1;
        buffer.append(entry);
        std::vector<event_log::event> found;
        event_log::scan(buffer.snapshot(), {}, found);
        RC_ASSERT(found.size() == 1U);
        RC_ASSERT(found[0].job == entry.job);
        RC_ASSERT(found[0].subject == entry.subject);
        RC_ASSERT(found[0].value == entry.value);
    }));
}

BOOST_AUTO_TEST_SUITE(overflow)

BOOST_FIXTURE_TEST_CASE(stays_within_its_memory_limit, journal_fixture)
{
    recordDetail(50000);
    BOOST_TEST(journal.usedBytes() <= journalBytes + 16 * 1024);
}

BOOST_FIXTURE_TEST_CASE(drops_the_oldest_detail_events_and_keeps_faults, journal_fixture)
{
    auto fault = makeEvent(event_log::event_kind::job_refused, "early");
    fault.problem = error_kind::queue_full;
    journal.record(fault);
    journal.record(makeEvent(event_log::event_kind::job_received, "early"));
    recordDetail(50000);
    const auto found = journal.eventsOf(keyOf("early"));
    BOOST_REQUIRE_EQUAL(found.size(), 1U);
    BOOST_TEST((found[0].kind == event_log::event_kind::job_refused));
    BOOST_TEST(journal.eventsOf(keyOf("flood-49999")).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(reports_missed_events_to_a_reader, journal_fixture)
{
    event_log::journal_cursor cursor;
    recordDetail(50000);
    const auto first = journal.readUnread(cursor, SIZE_MAX);
    BOOST_TEST(first.detail.size() + first.missedDetail == 50000U);
    BOOST_TEST(first.missedDetail > 0U);
    recordDetail(10);
    const auto second = journal.readUnread(cursor, 4);
    BOOST_TEST(second.detail.size() == 4U);
    BOOST_TEST(second.missedDetail == 6U);
    BOOST_TEST(journal.readUnread(cursor, SIZE_MAX).detail.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_CASE(sequence_numbers_increase_across_a_restart, journal_fixture)
{
    recordDetail(3);
    const auto before = journal.eventsSince({}).back().sequence;
    clock.advance(std::chrono::milliseconds(5));
    event_log::memory_journal restarted(clock, { "entry-1" }, journalBytes);
    restarted.record(makeEvent(event_log::event_kind::job_received, "later"));
    BOOST_TEST(restarted.eventsSince({}).front().sequence > before);
}

BOOST_AUTO_TEST_SUITE_END()
