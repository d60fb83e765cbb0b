// No message from outside ends the process or does harm, whatever it holds: every decoder is given mutated copies of valid
// messages, and what it accepts is used.
#include <algorithm>
#include <cstdlib>
#include <limits>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "cells/heartbeat.h"
#include "cells/ownership.h"
#include "cells/ownership_codec.h"
#include "core/json_number.h"
#include "core/skipped_input.h"
#include "platform/config_codec.h"
#include "platform/job_codec.h"
#include "platform/record_framing.h"
#include "platform/worker_codec.h"
#include "tests/fakes/mutation.h"
#include "tests/fakes/single_owner.h"

using namespace coriandermount;
using namespace coriandermount::fakes;
using namespace std::chrono_literals;

namespace {

int caseCount()
{
    constexpr int usualCases = 3000;
    const char* value = std::getenv("CORIANDERMOUNT_MALFORMED_CASES");
    return value ? std::atoi(value) : usualCases;
}

/// Passes mutated copies of a message to `use`.
template <class Use> void mutate(const std::string& message, const Use& use)
{
    std::mt19937 random(20261205);
    for (int number = 0; number < caseCount(); ++number)
        use(mutated(message, random));
}

jobs::accepted_job acceptedJob()
{
    jobs::accepted_job accepted;
    accepted.work = { "0123456789abcdef", "queue", "payload", {}, false };
    jobs::step first;
    first.taskCount = 3;
    first.need = { 2000, 64, 0 };
    first.estimate = 100ms;
    jobs::step second = first;
    second.dependsOn = { 0 };
    accepted.work.steps = { first, second };
    accepted.service.value = "service";
    accepted.objective = 500ms;
    return accepted;
}

/// Uses the work of a job as the owner of a cell does.
void expectUsable(const jobs::job& work)
{
    BOOST_REQUIRE(jobs::checkSteps(work.steps).has_value());
    BOOST_REQUIRE(jobs::criticalPathLength(work).count() >= 0);
}

/// An owner with one worker.
struct serving_owner : single_owner {
    serving_owner()
    {
        workers.add("worker", "0", 16000);
        owner.takeOver({ 2, true });
        owner.setWorkers(workers.registrations("0"));
        runFor(2s);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(malformed_input)

BOOST_AUTO_TEST_SUITE(from_clients)

BOOST_AUTO_TEST_CASE(submissions)
{
    const std::string body = R"({"spec":"text","best_effort":true,"phases":[{"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900,)"
                             R"("affinity":"r1"},{"count":20,"cpu":2000,"mem_mb":1024,"estimate_ms":7000,"after":[0]}]})";
    BOOST_REQUIRE(platform::decodeJob("0123456789abcdef", "queue", body).has_value());
    mutate(body, [](const std::string& message) {
        if (const auto work = platform::decodeJob("0123456789abcdef", "queue", message))
            expectUsable(*work);
    });
}

// Guards against a dependency that was not named: a step of 2^32 was taken for step 0.
BOOST_AUTO_TEST_CASE(submissions_with_numbers_out_of_range)
{
    for (const char* fields : { R"("after":[4294967296])", R"("after":[-1])", R"("count":4294967297)", R"("anti_affinity":-1)",
             R"("estimate_ms":1e300)" }) {
        const auto body = fmt::format(R"({{"phases":[{{"count":1}},{{{}}}]}})", fields);
        BOOST_TEST(!platform::decodeJob("0123456789abcdef", "queue", body).has_value());
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(from_workers)

BOOST_AUTO_TEST_CASE(poll_answers)
{
    const std::string body = R"({"clock_ms":482113,"born":17,"running":[["5c0e7a21d94b36f8.0.1.17",2,"00000bb8",41,3]],)"
                             R"("finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";
    BOOST_REQUIRE(platform::decodePollAnswer(body).has_value());
    mutate(body, [](const std::string& message) { (void)platform::decodePollAnswer(message); });
}

// Guards against ends that are never applied: the number of an end of -1 was taken for the highest one, after which no end is
// new.
BOOST_AUTO_TEST_CASE(poll_answers_with_numbers_out_of_range)
{
    BOOST_TEST(!platform::decodePollAnswer(R"({"clock_ms":1,"finished":[[-1,"a.0.0.0",1,"done",""]]})").has_value());
    BOOST_TEST(!platform::decodePollAnswer(R"({"clock_ms":1,"finished":[[1,"a.0.0.0",-1,"done",""]]})").has_value());
    BOOST_TEST(!platform::decodePollAnswer(R"({"clock_ms":1,"running":[["a.0.0.0",1e300,"",0]]})").has_value());
    BOOST_TEST(!platform::decodePollAnswer(R"({"clock_ms":1e300})").has_value());
}

BOOST_AUTO_TEST_CASE(order_answers)
{
    mutate(R"({"clock_ms":482113})", [](const std::string& message) { (void)platform::decodeOrderAnswer(message); });
}

// Guards against the end of the process: a reason that was no text threw an exception in a callback. A refusal that can't be read
// proves nothing about the order.
BOOST_AUTO_TEST_CASE(refusals)
{
    constexpr int statusConflict = 409;
    BOOST_TEST((platform::decodeRefusal(statusConflict, R"({"reason":5})") == cells::order_failure::no_answer));
    BOOST_TEST((platform::decodeRefusal(statusConflict, "[]") == cells::order_failure::no_answer));
    mutate(R"({"clock_ms":482113,"reason":"fence"})",
        [](const std::string& message) { (void)platform::decodeRefusal(statusConflict, message); });
}

BOOST_AUTO_TEST_CASE(registrations)
{
    const std::string entry
        = R"({"service":"s","addr":"10.0.0.1:80","zone":"z","version":"1","slots":8,"state":"ready",)"
          R"("capacity":{"cpu":16000,"mem_mb":32000,"gpu":0},"labels":["kind","rack"],"born":17,"sequence":3})";
    BOOST_REQUIRE(platform::decodeRegistration("id", entry).has_value());
    mutate(entry, [](const std::string& message) { (void)platform::decodeRegistration("id", message); });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(from_the_store)

BOOST_AUTO_TEST_CASE(framed_records)
{
    const std::string body
        = std::string(16, '\0') + platform::frameRecords({ { "key", "value", 0 }, { "other", std::nullopt, 1 } });
    mutate(body, [](const std::string& message) { (void)platform::parseRecords(message, 0); });
    mutate("MDEyMzQ1Njc4OWFiY2RlZg==", [](const std::string& message) { (void)platform::decodeBase64(message); });
}

BOOST_AUTO_TEST_CASE(configurations)
{
    const std::string value = R"({"version":3,"services":{"s":{"admission_control":true}},"routes":[{"name":"r","host":"h",)"
                              R"("path_prefix":"/p/","service":"s","priority":1,"max_attempts":2,"slack_factor":1.6,)"
                              R"("target_latency_ms":60,"hint":{}}]})";
    BOOST_REQUIRE(platform::decodeConfiguration(value).has_value());
    mutate(value, [](const std::string& message) {
        const auto table = platform::decodeConfiguration(message);
        if (!table)
            return;
        for (const auto& rules : table->queues)
            BOOST_REQUIRE(jobs::objectiveOf(acceptedJob().work, rules).count() >= 0);
    });
}

// Guards against the end of the process: a job without steps, or one that depends on a step that it lacks, was used.
BOOST_AUTO_TEST_CASE(accepted_jobs)
{
    const std::string record = jobs::encodeAccepted(acceptedJob());
    BOOST_REQUIRE(jobs::decodeAccepted(record).has_value());
    mutate(record, [](const std::string& message) {
        if (const auto accepted = jobs::decodeAccepted(message))
            expectUsable(accepted->work);
    });
}

// Guards against a configuration that hides all later ones: a version of -1 was taken for the highest number there is.
BOOST_AUTO_TEST_CASE(configurations_with_a_version_out_of_range)
{
    for (const char* version : { "-1", "1e30", "-0.5e3", "\"8\"", "null" })
        BOOST_TEST(!platform::decodeConfiguration(fmt::format(R"({{"version":{},"routes":[]}})", version)).has_value());
    BOOST_TEST(platform::decodeConfiguration(R"({"version":18446744073709551615,"routes":[]})").has_value());
}

// Guards against jobs whose objective lies before their arrival or overflows.
BOOST_AUTO_TEST_CASE(configurations_with_a_time_out_of_range)
{
    const auto decodes = [](const char* latency) {
        return platform::decodeConfiguration(
            fmt::format(R"({{"version":1,"routes":[{{"name":"r","host":"h","path_prefix":"/","service":"s",)"
                        R"("target_latency_ms":{}}}]}})",
                latency))
            .has_value();
    };
    BOOST_TEST(decodes("60"));
    BOOST_TEST(!decodes("-60"));
    BOOST_TEST(!decodes("9223372036854775807"));
}

// Guards against the end of a term: an epoch of -1 was taken for that of a successor.
BOOST_AUTO_TEST_CASE(owner_records_with_numbers_out_of_range)
{
    BOOST_TEST(!jobs::decodeOwner("-1").has_value());
    BOOST_TEST(!jobs::decodeOwner("1e30").has_value());
    BOOST_TEST(jobs::decodeOwner("3").has_value());
    BOOST_TEST(!jobs::decodeProgress("[[4294967296,0,true,[]]]").has_value());
    BOOST_TEST(!jobs::decodeProgress("[[0,0,true,[-1]]]").has_value());
}

// Guards against the end of the process: a number that is no state was looked up in the table of state names.
BOOST_AUTO_TEST_CASE(finished_jobs)
{
    BOOST_TEST(!jobs::decodeFinished(R"([1,[["a",-1]]])").has_value());
    BOOST_TEST(!jobs::decodeFinished(R"([1,[["a",5]]])").has_value());
    mutate(jobs::encodeFinished({ wall_time(1s), { { "a", jobs::job_state::completed } } }), [](const std::string& message) {
        const auto list = jobs::decodeFinished(message);
        if (!list)
            return;
        for (const auto& finished : list->jobs)
            (void)platform::stateResponse(finished.state);
    });
}

// Guards against records that are skipped unseen: each is counted and logged.
BOOST_AUTO_TEST_CASE(records_that_are_skipped_are_counted)
{
    serving_owner cell;
    cell.owner.stepDown();
    jobs::append_request request;
    request.stream = { "jobs", 0 };
    for (const auto& key : { jobs::acceptedKey("a"), jobs::progressKey("a"), jobs::finishedKey(1, 1) })
        request.records.push_back({ key, "{", 0 });
    cell.records.append(request, store_fault::none, [](const auto&) {});
    const std::uint64_t before = skippedInputs();
    cell.owner.takeOver({ 3, true });
    cell.runFor(100ms);
    BOOST_TEST(skippedInputs() == before + 3);
    (void)platform::parseRecords(std::string(16, '\0') + std::string(4, '\0'), 0);
    BOOST_TEST(skippedInputs() == before + 4);
}

BOOST_AUTO_TEST_CASE(records_that_an_owner_replays)
{
    std::mt19937 random(20261205);
    const std::string accepted = jobs::encodeAccepted(acceptedJob());
    const std::string progress = jobs::encodeProgress({ { 0, 1, true, { 7 }, {} }, { 1, 2, false, { 8, 9 }, { 1, 0, true } } });
    const std::string finished = jobs::encodeFinished({ wall_time(1s), { { "b", jobs::job_state::completed } } });
    for (int number = 0; number < caseCount() / 100; ++number) {
        serving_owner cell;
        cell.owner.stepDown();
        jobs::append_request request;
        request.stream = { "jobs", 0 };
        for (int copy = 0; copy < 10; ++copy) {
            const std::string id = "job-" + std::to_string(copy);
            request.records.push_back({ jobs::acceptedKey(id), mutated(accepted, random), 0 });
            request.records.push_back({ jobs::acceptedKey("0123456789abcdef"), accepted, 0 });
            request.records.push_back({ jobs::progressKey("0123456789abcdef"), mutated(progress, random), 0 });
            request.records.push_back({ jobs::finishedKey(1, static_cast<std::uint64_t>(copy)), mutated(finished, random), 0 });
            request.records.push_back({ jobs::ownerKey(), mutated(jobs::encodeOwner(1), random), 0 });
            request.records.push_back({ mutated("x0123", random), std::nullopt, 0 });
        }
        cell.records.append(request, store_fault::none, [](const auto&) {});
        cell.owner.takeOver({ 3, true });
        cell.owner.setWorkers(cell.workers.registrations("0"));
        cell.runFor(300ms);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(from_other_vms)

BOOST_AUTO_TEST_CASE(heartbeats)
{
    cells::cell_load load;
    load.waitByPriority = { 1ms, 2ms };
    load.idleCpu = { { "s", 1000 } };
    const cells::cell_view view { 1, 4, true, 5ms, load };
    const std::string datagram = cells::encode(
        { { "vm" }, 7, false, true, { view }, 500, { { { "other" }, 3ms, cells::cell_view { 0, 2, true, 1ms, {} } } } });
    BOOST_REQUIRE(cells::decodeHeartbeat(datagram).has_value());
    cells::ownership state(1, { { "self" }, 1 }, {}, time_point(1h));
    state.onOwnerRecord({ 4, { "self" }, 1, false }, time_point(1h));
    auto now = time_point(1h);
    mutate(datagram, [&](const std::string& message) {
        const auto current = cells::decodeHeartbeat(message);
        if (!current)
            return;
        now += 1ms;
        state.onHeartbeat(*current, now);
        (void)state.advise(now);
        (void)state.view(now);
    });
}

// Guards against overflows, and an owner that counts as heard for years: times were not limited.
BOOST_AUTO_TEST_CASE(heartbeats_with_times_out_of_range)
{
    constexpr auto longest = std::chrono::milliseconds(std::numeric_limits<std::int64_t>::max());
    for (const auto age : { longest, -longest, -1ms, 3ms }) {
        const cells::cell_view view { 1, 4, false, longest, std::nullopt };
        const auto decoded
            = cells::decodeHeartbeat(cells::encode({ { "vm" }, 7, false, true, { view }, 500, { { { "other" }, age, view } } }));
        BOOST_REQUIRE(decoded.has_value());
        BOOST_TEST((decoded->cells[0].ownerSilence == longestDuration));
        BOOST_TEST((decoded->relayed[0].age == std::clamp(age, 0ms, longestDuration)));
    }
}

BOOST_AUTO_TEST_CASE(ownership_records)
{
    mutate(cells::encodeOwnerRecord({ 3, { "vm" }, 7, false }),
        [](const std::string& message) { (void)cells::decodeOwnerRecord(message); });
    mutate(cells::encodeLiveness(3), [](const std::string& message) { (void)cells::decodeLiveness(message); });
}

BOOST_AUTO_TEST_CASE(requests_to_run_a_job)
{
    serving_owner cell;
    auto request = cell.request(2, "0123456789abcdef", 2, 50ms);
    request.timeLeft = 1500ms;
    const std::string message = jobs::encodeRunRequest(request);
    BOOST_REQUIRE(jobs::decodeRunRequest(message).has_value());
    int accepted = 0;
    mutate(message, [&](const std::string& changed) {
        auto decoded = jobs::decodeRunRequest(changed);
        if (!decoded)
            return;
        expectUsable(decoded->accepted.work);
        // The payload names the run time in the tests' workers.
        decoded->accepted.work.payload = "50";
        cell.run(std::move(*decoded));
        if (++accepted % 50 == 0)
            cell.runFor(10ms);
    });
    BOOST_TEST(accepted > 0);
    cell.runFor(3s);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
