// Guards against invalid requests that crash the node, or that get a response without a documented error kind and status.
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "core/job.h"
#include "main/embedded_fleet.h"
#include "net/http_client.h"

using namespace coriandermount;
using nlohmann::json;

namespace {

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusMethodNotAllowed = 405;
constexpr int statusTooLarge = 413;
constexpr int statusUnprocessable = 422;
constexpr std::size_t bodyLimit = 64 * 1024;

struct running_node {
    running_node()
        : fleet(options())
    {
        BOOST_REQUIRE(fleet.start());
    }

    static embedded_fleet_options options()
    {
        embedded_fleet_options options;
        options.workersPerDomain = 1;
        options.settings.listenPort = 0;
        options.settings.peerPort = 0;
        options.settings.maxBodyBytes = bodyLimit;
        return options;
    }

    net::http_reply send(const std::string& method, const std::string& path, const std::string& body)
    {
        net::http_call call;
        call.method = method;
        call.url = fmt::format("http://127.0.0.1:{}{}", fleet.entry().port(), path);
        call.body = body;
        auto reply = client.sendAndWait(call);
        BOOST_REQUIRE(reply);
        return *reply;
    }

    net::http_reply submit(const std::string& body) { return send("POST", "/v1/jobs", body); }

    void expectError(const net::http_reply& reply, int status, const std::string& kind)
    {
        BOOST_TEST(reply.status == status);
        const json body = json::parse(reply.body, nullptr, false);
        BOOST_REQUIRE(body.is_object());
        BOOST_TEST(body.value("error", "") == kind);
        BOOST_TEST(body.value("outcome", "") == "not_run");
    }

    void expectStillServing() { BOOST_TEST(send("GET", "/readyz", "").status == statusOk); }

    embedded_fleet fleet;
    net::http_client client;
};

json validJob()
{
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    return { { "customer", "kellari" }, { "job", "a" }, { "issued_at_ms", now.count() },
        { "tasks", json::array({ { { "service", "echo" }, { "payload", "x" } } }) } };
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(invalid_requests_are_refused, running_node)

BOOST_AUTO_TEST_CASE(when_the_body_is_not_a_job_in_json)
{
    for (const std::string body : { "", "{", "[]", "null", "\"x\"", "{\"customer\":1}", "\xff\xfe{}" })
        expectError(submit(body), statusBadRequest, "malformed_request");
    expectStillServing();
}

BOOST_AUTO_TEST_CASE(when_the_body_is_nested_deeply)
{
    const std::size_t depth = bodyLimit / 2 - 1;
    expectError(submit(std::string(depth, '[') + std::string(depth, ']')), statusBadRequest, "malformed_request");
    expectStillServing();
}

BOOST_AUTO_TEST_CASE(when_a_string_is_not_utf8)
{
    std::string body = validJob().dump();
    body.replace(body.find("\"x\""), 3, "\"\xc3\x28\"");
    expectError(submit(body), statusBadRequest, "malformed_request");
}

BOOST_AUTO_TEST_CASE(when_a_number_is_negative_too_large_or_not_an_integer)
{
    for (const std::string number : { "-1", "1e400", "18446744073709551616", "9223372036854775808", "1.5", "\"5\"" }) {
        for (const std::string field : { "issued_at_ms", "time_limit_ms" }) {
            json job = validJob();
            job[field] = "placeholder";
            std::string body = job.dump();
            body.replace(body.find("\"placeholder\""), 13, number);
            expectError(submit(body), statusBadRequest, "malformed_request");
        }
    }
}

BOOST_AUTO_TEST_CASE(when_a_name_has_forbidden_characters)
{
    for (const std::string name : { "a/b", "a b", "", "a\nb" }) {
        json job = validJob();
        job["job"] = name;
        expectError(submit(job.dump()), statusBadRequest, "malformed_request");
    }
}

BOOST_AUTO_TEST_CASE(when_a_job_has_too_many_tasks)
{
    json job = validJob();
    for (std::size_t index = 0; index < maxTasksPerJob; ++index)
        job["tasks"].push_back({ { "service", "echo" } });
    expectError(submit(job.dump()), statusUnprocessable, "too_many_tasks");
}

BOOST_AUTO_TEST_CASE(when_the_body_is_larger_than_allowed)
{
    expectError(submit(std::string(bodyLimit + 1, ' ')), statusTooLarge, "payload_too_large");
    expectError(submit(std::string(bodyLimit * 20, ' ')), statusTooLarge, "payload_too_large");
    expectStillServing();
}

BOOST_AUTO_TEST_CASE(when_path_or_method_is_unknown)
{
    expectError(send("GET", "/nothing", ""), statusNotFound, "not_found");
    expectError(send("PUT", "/v1/jobs", "{}"), statusMethodNotAllowed, "method_not_allowed");
    expectError(send("GET", "/v1/jobs/only-customer", ""), statusBadRequest, "malformed_request");
    expectError(send("GET", "/v1/jobs/a/b/99999999999999999999", ""), statusBadRequest, "malformed_request");
}

BOOST_AUTO_TEST_SUITE_END()
