// Tests the path of a job over real sockets, from the caller through a node to the stand-ins for the platform and the workers.
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "front/job_codec.h"
#include "main/embedded_fleet.h"
#include "net/http_client.h"

using namespace coriandermount;

namespace {

constexpr int statusOk = 200;
constexpr int statusConflict = 409;
constexpr int statusBadGateway = 502;

wall_time now() { return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now()); }

job_request makeJob(const std::string& name, std::size_t tasks, const std::string& payload)
{
    job_request job;
    job.key = { { "kellari" }, name, now() };
    job.timeLimit = std::chrono::seconds(10);
    for (std::size_t index = 0; index < tasks; ++index) {
        task_spec task;
        task.service.value = "echo";
        task.payload = payload + (payload.empty() ? fmt::format("{}", index) : "");
        job.tasks.push_back(task);
    }
    return job;
}

struct running_fleet {
    running_fleet()
        : fleet(options())
    {
        BOOST_REQUIRE(fleet.start());
    }

    static embedded_fleet_options options()
    {
        embedded_fleet_options options;
        options.settings.listenPort = 0;
        options.settings.peerPort = 0;
        return options;
    }

    tl::expected<net::http_reply, net::transport_error> submit(const job_request& job)
    {
        net::http_call call;
        call.method = "POST";
        call.url = fmt::format("http://127.0.0.1:{}/v1/jobs", fleet.entry().port());
        call.body = front::encodeJob(job);
        call.timeout = std::chrono::seconds(20);
        return client.sendAndWait(call);
    }

    std::size_t countStartsOnAllWorkers()
    {
        std::size_t count = 0;
        for (std::size_t index = 0; index < fleet.workerCount(); ++index)
            count += fleet.worker(index).starts().size();
        return count;
    }

    embedded_fleet fleet;
    net::http_client client;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_job, running_fleet)

BOOST_AUTO_TEST_CASE(is_answered_with_all_outputs_in_the_order_of_its_tasks)
{
    const auto reply = submit(makeJob("whole", maxTasksPerJob, ""));
    BOOST_REQUIRE(reply);
    BOOST_TEST(reply->status == statusOk);
    const auto answer = front::decodeAnswer(reply->body);
    BOOST_REQUIRE(answer);
    BOOST_TEST((answer->result == outcome::done));
    BOOST_REQUIRE_EQUAL(answer->tasks.size(), maxTasksPerJob);
    for (std::size_t index = 0; index < answer->tasks.size(); ++index)
        BOOST_TEST(answer->tasks[index].output == fmt::format("{}", index));
}

BOOST_AUTO_TEST_SUITE(when_submitted_again)

BOOST_FIXTURE_TEST_CASE(with_the_same_content_gets_the_first_answer_without_a_second_start, running_fleet)
{
    const auto job = makeJob("again", 3, "");
    const auto first = submit(job);
    const auto second = submit(job);
    BOOST_REQUIRE(first);
    BOOST_REQUIRE(second);
    BOOST_TEST(first->body == second->body);
    BOOST_TEST(countStartsOnAllWorkers() == 3U);
}

BOOST_FIXTURE_TEST_CASE(with_different_content_is_refused_as_a_conflict, running_fleet)
{
    auto job = makeJob("conflict", 1, "a");
    BOOST_REQUIRE(submit(job));
    job.tasks[0].payload = "b";
    const auto reply = submit(job);
    BOOST_REQUIRE(reply);
    BOOST_TEST(reply->status == statusConflict);
    BOOST_TEST(countStartsOnAllWorkers() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_worker_closes_the_connection_without_an_answer)

BOOST_FIXTURE_TEST_CASE(starts_each_task_once_and_is_answered_may_have_run, running_fleet)
{
    // libcurl repeats a request only if a reused connection closes. An earlier job opens the connections, so that the test
    // would notice such a repetition.
    BOOST_REQUIRE(submit(makeJob("warm", 32, "")));
    const std::size_t startsBefore = countStartsOnAllWorkers();
    for (std::size_t index = 0; index < fleet.workerCount(); ++index)
        fleet.worker(index).setFaults({ .closeAfterStart = true });
    const auto reply = submit(makeJob("lost", 1, "x"));
    BOOST_REQUIRE(reply);
    BOOST_TEST(reply->status == statusBadGateway);
    const auto answer = front::decodeAnswer(reply->body);
    BOOST_REQUIRE(answer);
    BOOST_TEST((answer->result == outcome::may_have_run));
    BOOST_TEST(countStartsOnAllWorkers() - startsBefore == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
