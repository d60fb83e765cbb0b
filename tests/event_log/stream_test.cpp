// Tests the journal's log stream: byte budget, priority of faults, lost append answers, log outages, and reading it back.
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <rapidcheck.h>

#include "event_log/batch_planner.h"
#include "event_log/event_codec.h"
#include "event_log/stream_reader.h"
#include "tests/fakes/manual_clock.h"

using namespace coriandermount;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t budget = 2000;

event_log::event makeEvent(event_log::event_kind kind, std::uint64_t number)
{
    event_log::event entry;
    entry.kind = kind;
    entry.at = wall_time(1796342400000ms + std::chrono::milliseconds(number));
    entry.job = job_key { { "kellari" }, fmt::format("job-{}", number), entry.at - 3ms };
    entry.sequence = number;
    if (kind == event_log::event_kind::job_refused)
        entry.problem = error_kind::queue_full;
    return entry;
}

event_log::unread_events makeUnreadEvents(event_log::event_kind kind, std::uint64_t first, std::size_t count)
{
    event_log::unread_events unread;
    for (std::size_t index = 0; index < count; ++index)
        (kind == event_log::event_kind::job_refused ? unread.faults : unread.detail).push_back(makeEvent(kind, first + index));
    return unread;
}

/// In-memory log that can fail appends, or store a record and report its answer as lost.
class memory_log final : public platform::log {
public:
    void append(const std::string&, std::string body, append_completion done) override
    {
        if (down) {
            done(fail(error_kind::log_unavailable));
            return;
        }
        records.push_back({ records.size() + 1, std::move(body) });
        if (dropAnswers)
            done(fail(error_kind::log_answer_lost));
        else
            done(records.size());
    }

    void read(const std::string&, platform::log_offset from, std::size_t limit, read_completion done) override
    {
        platform::log_batch page { 1, records.size() + 1, {} };
        for (const auto& record : records) {
            if (record.offset >= from && page.records.size() < limit)
                page.records.push_back(record);
        }
        done(page);
    }

    std::vector<platform::log_record> records;
    bool down = false;
    bool dropAnswers = false;
};

struct planner_fixture {
    planner_fixture()
        : planner({ { "entry-1" }, 7 })
    {
    }

    /// Advances the clock by `time` and appends the batches that become due.
    void advance(std::chrono::milliseconds time)
    {
        for (std::chrono::milliseconds passed { 0 }; passed < time; passed += 250ms) {
            clock.advance(250ms);
            const auto text = planner.nextBatch(clock.now(), clock.wallNow());
            if (!text)
                continue;
            bytes += text->size();
            log.append("journal.a", *text,
                [this](const result<platform::log_offset>& offset) { planner.onAppended(offset.has_value(), clock.now()); });
        }
    }

    std::vector<event_log::event> readBack()
    {
        const auto contents = event_log::readStream(log, "journal.a", {}, 1s);
        BOOST_REQUIRE(contents);
        std::vector<event_log::event> events;
        for (const auto& batch : contents->batches)
            events.insert(events.end(), batch.events.begin(), batch.events.end());
        return events;
    }

    fakes::manual_clock clock;
    event_log::batch_planner planner;
    memory_log log;
    std::size_t bytes = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(event_encoding)

BOOST_AUTO_TEST_CASE(preserves_all_fields)
{
    BOOST_TEST(rc::check([](std::uint16_t number, bool hasJob, const std::vector<std::uint16_t>& texts) {
        auto entry = makeEvent(event_log::event_kind::task_answered, number);
        if (!hasJob)
            entry.job.reset();
        entry.task = number % 3 == 0 ? std::nullopt : std::optional<std::uint32_t>(number % 260);
        entry.problem = number % 2 == 0 ? std::nullopt : std::optional(error_kind::task_failed);
        entry.value = texts.empty() ? "" : fmt::format("\"{}\"", texts.front());
        entry.elapsed = std::chrono::microseconds(number);
        entry.configurationVersion = texts.size();
        const auto read = event_log::decodeEvents(event_log::encodeEvents({ entry, entry }), { "entry-1" });
        RC_ASSERT(read.has_value());
        RC_ASSERT(read->size() == 2U);
        const auto& last = read->back();
        RC_ASSERT(last.job == entry.job);
        RC_ASSERT(last.task == entry.task);
        RC_ASSERT(last.problem == entry.problem);
        RC_ASSERT(last.value == entry.value);
        RC_ASSERT(last.elapsed == entry.elapsed);
        RC_ASSERT(last.at == entry.at);
        RC_ASSERT(last.sequence == entry.sequence);
        RC_ASSERT(last.configurationVersion == entry.configurationVersion);
    }));
}

BOOST_AUTO_TEST_CASE(rejects_malformed_input)
{
    BOOST_TEST(!event_log::decodeEvents("{\"texts\":[],\"events\":[[9]]}", {}));
    BOOST_TEST(!event_log::decodeEvents("[]", {}));
    BOOST_TEST(!event_log::decodeBatch("{}"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(journal_stream, planner_fixture)

BOOST_AUTO_TEST_CASE(contains_all_events_within_the_budget)
{
    planner.enqueue(makeUnreadEvents(event_log::event_kind::task_placed, 1, 20), {});
    advance(4s);
    BOOST_TEST(readBack().size() == 20U);
}

BOOST_AUTO_TEST_CASE(stays_within_its_budget_under_overload)
{
    const auto start = clock.now();
    for (std::uint64_t second = 0; second < 300; ++second) {
        planner.enqueue(makeUnreadEvents(event_log::event_kind::job_refused, second * 1000 + 1, 1000), {});
        advance(1s);
    }
    const auto seconds = std::chrono::duration<double>(clock.now() - start).count();
    // The budget starts at one full batch (32000 bytes), which does not count towards the average.
    BOOST_TEST(static_cast<double>(bytes) - 32000 <= budget * seconds);
    BOOST_TEST(planner.droppedFaults() > 0U);
}

BOOST_AUTO_TEST_CASE(prefers_faults_to_detail_events)
{
    for (std::uint64_t second = 0; second < 60; ++second) {
        planner.enqueue(makeUnreadEvents(event_log::event_kind::task_placed, second * 1000 + 1, 500), {});
        planner.enqueue(makeUnreadEvents(event_log::event_kind::job_refused, second * 1000 + 501, 2), {});
        advance(1s);
    }
    advance(10s);
    const auto events = readBack();
    const auto faults = std::count_if(events.begin(), events.end(), [](const auto& entry) { return event_log::isFault(entry); });
    BOOST_TEST(faults == 120);
    BOOST_TEST(planner.droppedFaults() == 0U);
    BOOST_TEST(planner.droppedDetail() > 0U);
}

BOOST_AUTO_TEST_CASE(reports_the_number_of_dropped_faults)
{
    planner.enqueue(makeUnreadEvents(event_log::event_kind::job_refused, 1, 5000), {});
    advance(60s);
    const auto contents = event_log::readStream(log, "journal.a", {}, 1s);
    BOOST_REQUIRE(contents);
    std::uint64_t reported = 0;
    for (const auto& batch : contents->batches)
        reported += batch.droppedFaults;
    BOOST_TEST(reported == 1000U);
    BOOST_TEST(readBack().front().sequence == 1001U);
}

BOOST_AUTO_TEST_CASE(counts_include_dropped_events)
{
    event_log::fault_counts counts;
    event_log::fault_key key;
    key.customer.value = "kellari";
    for (std::uint64_t second = 0; second < 100; ++second) {
        counts[key] = 1000;
        planner.enqueue(makeUnreadEvents(event_log::event_kind::job_refused, second * 1000 + 1, 1000), counts);
        advance(1s);
    }
    advance(20s);
    const auto contents = event_log::readStream(log, "journal.a", {}, 1s);
    BOOST_REQUIRE(contents);
    std::uint64_t counted = 0;
    for (const auto& batch : contents->batches) {
        for (const auto& [found, count] : batch.counts)
            counted += count;
    }
    BOOST_TEST(counted == 100000U);
}

BOOST_AUTO_TEST_SUITE(lost_append_answers)

BOOST_FIXTURE_TEST_CASE(duplicate_batches_are_read_once, planner_fixture)
{
    log.dropAnswers = true;
    planner.enqueue(makeUnreadEvents(event_log::event_kind::job_refused, 1, 10), {});
    advance(10s);
    log.dropAnswers = false;
    planner.enqueue(makeUnreadEvents(event_log::event_kind::job_refused, 11, 10), {});
    advance(10s);
    BOOST_TEST(log.records.size() > 2U);
    const auto events = readBack();
    BOOST_REQUIRE_EQUAL(events.size(), 20U);
    for (std::uint64_t index = 0; index < events.size(); ++index)
        BOOST_TEST(events[index].sequence == index + 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(log_outage_of_ten_minutes)

BOOST_FIXTURE_TEST_CASE(writes_queued_faults_after_the_outage, planner_fixture)
{
    log.down = true;
    for (std::uint64_t second = 0; second < 600; ++second) {
        planner.enqueue(makeUnreadEvents(event_log::event_kind::job_refused, second * 10 + 1, 2), {});
        advance(1s);
    }
    log.down = false;
    advance(120s);
    BOOST_TEST(readBack().size() == 1200U);
    BOOST_TEST(planner.droppedFaults() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(reads_multiple_pages_back_to_a_time)
{
    for (std::uint64_t number = 1; number <= 450; ++number) {
        planner.enqueue(makeUnreadEvents(event_log::event_kind::job_refused, number, 1), {});
        advance(2s);
    }
    BOOST_TEST(readBack().size() == 450U);
    const auto contents = event_log::readStream(log, "journal.a", clock.wallNow() - 60s, 1s);
    BOOST_REQUIRE(contents);
    BOOST_TEST(contents->complete);
    BOOST_TEST(contents->batches.size() <= 31U);
}

BOOST_AUTO_TEST_SUITE_END()
