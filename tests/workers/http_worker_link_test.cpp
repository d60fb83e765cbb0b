// Guards against accepting an answer of a worker that belongs to another task or lease, or that can't be decoded.
#include <atomic>
#include <future>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "net/http_server.h"
#include "workers/http_worker_link.h"

using namespace coriandermount;

namespace {

/// Worker that answers every start with one configured response.
struct scripted_worker {
    scripted_worker()
        : server({}, [this](const net::http_request&, const std::shared_ptr<net::responder>& responder) {
            ++requests;
            responder->reply(response);
        })
    {
        BOOST_REQUIRE(server.start());
    }

    result<workers::task_answer> start(int status, const std::string& body)
    {
        response.status = status;
        response.body = body;
        return start();
    }

    result<workers::task_answer> start()
    {
        workers::task_start start;
        start.taskId = "task-1";
        start.leaseId = "lease-1";
        start.leaseDuration = std::chrono::seconds(5);
        start.worker.address = fmt::format("127.0.0.1:{}", server.port());
        std::promise<result<workers::task_answer>> promise;
        workers::http_worker_link link(client);
        link.start(std::move(start), [&promise](result<workers::task_answer> answer) { promise.set_value(std::move(answer)); });
        return promise.get_future().get();
    }

    void expect(error_kind kind, const result<workers::task_answer>& answer)
    {
        BOOST_REQUIRE(!answer);
        BOOST_TEST(nameOf(answer.error().kind) == nameOf(kind));
    }

    net::http_response response;
    std::atomic<int> requests { 0 };
    net::http_server server;
    net::http_client client;
};

constexpr int ok = 200;
constexpr int refused = 409;
constexpr int broken = 500;

} // namespace

BOOST_FIXTURE_TEST_SUITE(http_worker_link_answer, scripted_worker)

BOOST_AUTO_TEST_CASE(is_accepted_when_task_and_lease_match)
{
    const auto answer = start(ok, R"({"task":"task-1","lease":"lease-1","state":"done","output":"o","ran_us":5})");
    BOOST_REQUIRE(answer);
    BOOST_TEST(answer->output == "o");
}

BOOST_AUTO_TEST_SUITE(is_invalid)

BOOST_AUTO_TEST_CASE(when_it_names_another_task_or_lease)
{
    expect(error_kind::worker_answer_invalid,
        start(ok, R"({"task":"task-2","lease":"lease-1","state":"done","output":"o","ran_us":5})"));
    expect(error_kind::worker_answer_invalid,
        start(ok, R"({"task":"task-1","lease":"lease-2","state":"done","output":"o","ran_us":5})"));
}

BOOST_AUTO_TEST_CASE(when_it_is_truncated_or_not_json)
{
    expect(error_kind::worker_answer_invalid, start(ok, R"({"task":"task-1","lease":"lease-1","state":"done","outp)"));
    expect(error_kind::worker_answer_invalid, start(ok, ""));
    expect(error_kind::worker_answer_invalid, start(ok, "[]"));
    expect(error_kind::worker_answer_invalid,
        start(ok, R"({"task":"task-1","lease":"lease-1","state":"done","output":7,"ran_us":5})"));
}

BOOST_AUTO_TEST_CASE(when_a_refusal_names_another_task)
{
    expect(error_kind::worker_answer_invalid, start(refused, R"({"task":"task-2","lease":"lease-1","reason":"full"})"));
}

BOOST_AUTO_TEST_CASE(when_the_status_is_unknown)
{
    expect(error_kind::worker_answer_invalid, start(broken, R"({"task":"task-1","lease":"lease-1"})"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(is_reported_as_worker_refused_for_a_refusal)
{
    expect(error_kind::worker_refused, start(refused, R"({"task":"task-1","lease":"lease-1","reason":"full"})"));
}

BOOST_AUTO_TEST_CASE(is_not_requested_again_when_the_connection_closes)
{
    BOOST_REQUIRE(start(ok, R"({"task":"task-1","lease":"lease-1","state":"done","output":"o","ran_us":5})"));
    response.dropConnection = true;
    requests = 0;
    expect(error_kind::worker_lost, start());
    BOOST_TEST(requests == 1);
}

BOOST_AUTO_TEST_CASE(is_reported_as_worker_unreachable_when_nothing_listens)
{
    server.stop();
    expect(error_kind::worker_unreachable, start());
}

BOOST_AUTO_TEST_SUITE_END()
