// Tests the decoding of messages from the platform. Invalid or partial input must be refused as a whole, never accepted in part.
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <rapidcheck.h>

#include "platform/boot_settings.h"
#include "platform/config_codec.h"
#include "platform/job_codec.h"
#include "platform/record_framing.h"
#include "platform/worker_codec.h"

using namespace coriandermount;
using namespace coriandermount::platform;
using namespace std::chrono_literals;

namespace {

constexpr const char* jobId = "5c0e7a21d94b36f8";

error_kind decodeErrorOf(const std::string& body)
{
    const auto work = decodeJob(jobId, "queue", body);
    BOOST_REQUIRE(!work);
    return work.error().kind;
}

} // namespace

BOOST_AUTO_TEST_SUITE(platform_codec)

BOOST_AUTO_TEST_SUITE(job_codec)

BOOST_AUTO_TEST_CASE(decodes_all_steps_of_a_job)
{
    const auto work = decodeJob(jobId, "queue",
        R"({"spec":"x","best_effort":true,"new":1,"phases":[{"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900,"affinity":"r1"},)"
        R"({"count":2,"cpu":1,"after":[0]}]})");
    BOOST_REQUIRE(work);
    BOOST_TEST(work->answeredAtEnd);
    BOOST_REQUIRE(work->steps.size() == 2);
    BOOST_TEST(work->steps[0].taskCount == 4);
    BOOST_TEST((work->steps[0].estimate == 900ms));
    BOOST_TEST(work->steps[0].dataRack == "r1");
    BOOST_TEST(work->steps[1].dependsOn == std::vector<std::uint32_t> { 0 }, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(refuses_an_invalid_job_with_the_matching_error)
{
    BOOST_TEST((decodeErrorOf("{") == error_kind::malformed_request));
    BOOST_TEST((decodeErrorOf(R"({"phases":[]})") == error_kind::malformed_request));
    BOOST_TEST((decodeErrorOf(R"({"phases":[{"count":0}]})") == error_kind::too_many_tasks));
    BOOST_TEST((decodeErrorOf(R"({"phases":[{"count":1,"after":[0]}]})") == error_kind::malformed_request));
    BOOST_TEST((decodeErrorOf(R"({"phases":[{"count":1,"cpu":-5}]})") == error_kind::malformed_request));
    BOOST_TEST((decodeErrorOf(R"({"phases":[{"count":1,"cpu":"x"}]})") == error_kind::malformed_request));
    BOOST_TEST((decodeErrorOf(R"({"spec":")" + std::string(5000, 'x') + R"(","phases":[{"count":1}]})")
        == error_kind::payload_too_large));
    BOOST_TEST((decodeErrorOf(R"({"phases":[{"count":2,"utilization":true}]})") == error_kind::job_kind_unsupported));
    BOOST_TEST(
        (decodeErrorOf(R"({"best_effort":true,"phases":[{"count":2,"long_running":true}]})") == error_kind::malformed_request));
    BOOST_TEST((decodeErrorOf(R"({"repeats":3,"phases":[{"count":2}]})") == error_kind::job_kind_unsupported));
    BOOST_TEST(!decodeJob("5c0e7a21", "queue", R"({"phases":[{"count":1}]})"));
    BOOST_TEST(!decodeJob("5c0e7a21d94b36fz", "queue", R"({"phases":[{"count":1}]})"));
}

BOOST_AUTO_TEST_CASE(never_reports_a_job_that_may_have_run_as_not_run)
{
    for (const auto& row : errorTable()) {
        const int status = errorResponse({ row.kind, {}, std::nullopt }).status;
        if (row.result != outcome::not_run)
            BOOST_TEST((status != 429 && status != 503), row.name);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(worker_codec)

BOOST_AUTO_TEST_CASE(decodes_a_complete_registration)
{
    const auto worker = decodeRegistration("i-1",
        R"({"service":"s","addr":"10.0.0.1:80","zone":"a","state":"ready","capacity":{"cpu":16000,"mem_mb":5},"labels":["k","r1"],"born":7})");
    BOOST_REQUIRE(worker);
    BOOST_TEST(worker->capacity.cpuMillis == 16000);
    BOOST_TEST(worker->bootTime == 7);
    BOOST_TEST(!worker->draining);
}

BOOST_AUTO_TEST_CASE(refuses_an_incomplete_or_malformed_registration)
{
    for (const char* value : { "", "{}", "[1]", "\xff\xfe", R"({"service":1,"addr":"a","zone":"a","state":"ready"})" })
        BOOST_TEST(!decodeRegistration("i-1", value));
}

BOOST_AUTO_TEST_CASE(decodes_running_and_ended_tasks_of_a_poll_answer)
{
    const auto answer = decodePollAnswer(
        R"({"clock_ms":5,"born":3,"running":[["5c0e7a21d94b36f8.0.1.17",2,"cp",41]],"finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"failed",""]]})");
    BOOST_REQUIRE(answer);
    BOOST_REQUIRE(answer->running.size() == 1);
    BOOST_TEST(answer->running[0].task.index == 17);
    BOOST_TEST(answer->running[0].checkpoint == "cp");
    BOOST_TEST((answer->ended[0].endReason == cells::run_end_reason::failed));
    BOOST_TEST(answer->bootTime == 3);
}

BOOST_AUTO_TEST_CASE(tells_whether_a_poll_answer_lists_all_ends)
{
    // Guards against a second run of a task that is done (issue 41): a worker lists 500 ends at a time, so that a run which is
    // missing in a full list may have ended.
    const auto answerWith = [](int ends) {
        std::string rows;
        for (int number = 1; number <= ends; ++number)
            rows += fmt::format(R"({}[{},"a.0.0.{}",1,"done",""])", number > 1 ? "," : "", number, number);
        return decodePollAnswer(fmt::format(R"({{"clock_ms":5,"finished":[{}]}})", rows)).value();
    };
    BOOST_TEST(decodePollAnswer(R"({"clock_ms":5})")->endsComplete);
    BOOST_TEST(answerWith(499).endsComplete);
    BOOST_TEST(!answerWith(500).endsComplete);
}

BOOST_AUTO_TEST_CASE(maps_each_refusal_to_its_failure)
{
    using enum cells::order_failure;
    BOOST_TEST((decodeRefusal(409, R"({"reason":"fence"})") == fenced));
    BOOST_TEST((decodeRefusal(409, R"({"reason":"old"})") == attempt_too_old));
    BOOST_TEST((decodeRefusal(409, R"({"reason":"late"})") == too_late));
    BOOST_TEST((decodeRefusal(409, R"({"reason":"room"})") == no_room));
    BOOST_TEST((decodeRefusal(421, "") == other_instance));
    BOOST_TEST((decodeRefusal(503, "") == refused));
    BOOST_TEST((decodeRefusal(400, "") == malformed));
    BOOST_TEST((decodeRefusal(500, "") == no_answer));
}

BOOST_AUTO_TEST_CASE(takes_an_unknown_refusal_for_no_answer)
{
    // Guards against a false refusal: a refusal that could not be read counted as lack of capacity, so that the task was started
    // elsewhere at once. The reason may have been that the attempt is known to the worker.
    using enum cells::order_failure;
    BOOST_TEST((decodeRefusal(409, "") == no_answer));
    BOOST_TEST((decodeRefusal(409, R"({"reason":"other"})") == no_answer));
    BOOST_TEST((decodeRefusal(409, R"({"reason":"ticket"})") == needs_ticket));
}

BOOST_AUTO_TEST_CASE(parses_task_names_back_to_the_same_key)
{
    BOOST_TEST(rc::check([](std::uint32_t occurrence, std::uint32_t step, std::uint32_t index) {
        const cells::task_key key { jobId, occurrence, step, index };
        RC_ASSERT(parseTaskName(taskName(key)) == key);
    }));
    for (const char* name : { "", "a", "a.b", "1.2.3", "x.1.2.", "x.1.2.y" })
        BOOST_TEST(!parseTaskName(name));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(record_framing)

BOOST_AUTO_TEST_CASE(parses_framed_records_unchanged)
{
    BOOST_TEST(rc::check([](const std::vector<std::pair<std::string, std::string>>& pairs) {
        std::vector<::coriandermount::jobs::record> records;
        records.reserve(pairs.size());
        for (const auto& [key, value] : pairs)
            records.push_back({ key.substr(0, 255), value.empty() ? std::nullopt : std::optional(value), 0 });
        const std::string offsets = std::string(7, '\0') + '\x09' + std::string(8, '\0');
        const auto batch = parseRecords(offsets + frameRecords(records), 0);
        RC_ASSERT(batch.has_value());
        RC_ASSERT(batch->end == 9U);
        RC_ASSERT(batch->records.size() == records.size());
        for (std::size_t i = 0; i < records.size(); ++i) {
            RC_ASSERT(batch->records[i].key == records[i].key);
            RC_ASSERT(batch->records[i].value == records[i].value);
            RC_ASSERT(batch->records[i].offset == i);
        }
    }));
}

BOOST_AUTO_TEST_CASE(refuses_truncated_records)
{
    BOOST_TEST(!parseRecords("short", 0));
    BOOST_TEST(!parseRecords(std::string(16, '\0')
            + std::string("\0\0\0\x05"
                          "ab",
                6),
        0));
}

BOOST_AUTO_TEST_CASE(decodes_base64_and_refuses_other_symbols)
{
    BOOST_TEST(*decodeBase64("aGVsbG8=") == "hello");
    BOOST_TEST(*decodeBase64("") == "");
    BOOST_TEST(!decodeBase64("a*b"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(configuration_and_boot_settings)

BOOST_AUTO_TEST_CASE(routes_by_host_and_longest_path_prefix)
{
    const auto table = decodeConfiguration(
        R"({"version":7,"routes":[{"name":"a","host":"h","path_prefix":"/x/","service":"s"},)"
        R"({"name":"b","host":"h","path_prefix":"/x/y/","service":"s","priority":2,"max_attempts":3,"slack_factor":1.6,"target_latency_ms":60}]})");
    BOOST_REQUIRE(table);
    BOOST_TEST(table->route("h", "/x/y/z")->name == "b");
    BOOST_TEST(table->route("h", "/x/z")->name == "a");
    BOOST_TEST(!table->route("other", "/x/z"));
    BOOST_TEST(table->findByName("b")->maxAttempts == 3);
    BOOST_TEST(!decodeConfiguration("{}"));
    BOOST_TEST(!decodeConfiguration(R"({"version":1,"routes":[{"name":5}]})"));
}

BOOST_AUTO_TEST_CASE(reads_boot_settings_and_refuses_incomplete_ones)
{
    const std::string text = R"(
node_name = "edge-a-1"
ip = "10.0.0.1"
zone = "a"
unknown = [1]
port_range = [7720,7735]
[zones]
b = "r"
a = "r"
[listen]
front = "10.0.0.1:80"
ready = "10.0.0.1:81"
[platform]
addr = "10.0.0.2:1"
[bounds]
max_hold_ms = 900
remote_factor = 1.5
evacuate_ms = 4000
[limits]
cpu_share = 0.12
cores = 2
)";
    const auto settings = parseBootSettings(text);
    BOOST_REQUIRE(settings);
    BOOST_TEST((settings->maxLease == 900ms));
    BOOST_TEST(settings->remoteFactor == 1.5);
    BOOST_TEST((settings->evacuationBound == 4000ms));
    BOOST_TEST(settings->processorMillis == 240U);
    BOOST_TEST((settings->failureDomains == std::vector<std::string> { "a", "b" }));
    BOOST_TEST(!parseBootSettings("node_name = 5"));
    BOOST_TEST(!parseBootSettings("not toml ["));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
