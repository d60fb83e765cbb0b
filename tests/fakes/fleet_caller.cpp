#include "tests/fakes/fleet_caller.h"

#include <thread>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "front/job_codec.h"

namespace coriandermount::fakes {

namespace {

    constexpr std::chrono::seconds callTimeout { 30 };
    constexpr std::chrono::seconds waitLimit { 30 };
    constexpr std::chrono::milliseconds waitInterval { 10 };

} // namespace

embedded_fleet_options smallFleetOptions()
{
    embedded_fleet_options options;
    options.settings.listenPort = 0;
    options.settings.peerPort = 0;
    options.workersPerDomain = 4;
    return options;
}

std::string pathOf(const job_key& key)
{
    return fmt::format("{}/{}/{}", key.customer.value, key.name, key.issuedAt.time_since_epoch().count());
}

fleet_caller::fleet_caller(embedded_fleet_options options)
    : m_fleet(std::move(options))
{
    const auto started = m_fleet.start();
    BOOST_REQUIRE_MESSAGE(started, (started ? "" : started.error().detail));
}

job_request fleet_caller::job(
    const std::string& customer, std::size_t tasks, const std::string& service, const std::string& payload)
{
    job_request job;
    job.key = { { customer }, fmt::format("job-{}", ++m_jobs),
        std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now()) };
    job.timeLimit = std::chrono::seconds(10);
    for (std::size_t index = 0; index < tasks; ++index) {
        task_spec task;
        task.service.value = service;
        task.payload = payload;
        job.tasks.push_back(task);
    }
    return job;
}

json_reply fleet_caller::call(const std::string& method, const std::string& path, const std::string& body, std::size_t node)
{
    net::http_call call;
    call.method = method;
    call.url = fmt::format("http://127.0.0.1:{}{}", m_fleet.entry(node).port(), path);
    call.body = body;
    call.timeout = callTimeout;
    const auto reply = m_client.sendAndWait(std::move(call));
    BOOST_REQUIRE_MESSAGE(reply, (reply ? "" : reply.error().message));
    return { reply->status, nlohmann::json::parse(reply->body, nullptr, false) };
}

json_reply fleet_caller::submit(const job_request& job, std::size_t node)
{
    return call("POST", "/v1/jobs", front::encodeJob(job), node);
}

void fleet_caller::submitAsync(const job_request& job, std::size_t node)
{
    call("POST", "/v1/jobs?wait=false", front::encodeJob(job), node);
}

json_reply fleet_caller::explain(const job_key& key, std::size_t node)
{
    return call("GET", "/v1/explain/" + pathOf(key), {}, node);
}

json_reply fleet_caller::faults(std::size_t node) { return call("GET", "/v1/faults?since_ms=0", {}, node); }

void fleet_caller::publish(const nlohmann::json& lists, const std::string& author)
{
    nlohmann::json body = lists;
    body["author"] = author;
    body["reason"] = "test";
    const auto current = call("GET", "/v1/configuration");
    body["based_on"] = current.status == 200 ? current.body.at("version").get<std::uint64_t>() : 0;
    const auto reply = call("POST", "/v1/configuration", body.dump());
    BOOST_REQUIRE_MESSAGE(reply.status == 200, reply.body.dump());
    const auto version = reply.body.at("version").get<std::uint64_t>();
    waitUntil([&] { return call("GET", "/v1/status").body.at("configuration_version") == version; },
        "node 0 to adopt the configuration");
}

bool fleet_caller::streamContains(const std::string& stream, const std::string& text)
{
    net::http_call call;
    call.url = fmt::format("http://127.0.0.1:{}/log/{}?from=0&limit=1000", m_fleet.platform().port(), stream);
    call.timeout = callTimeout;
    const auto reply = m_client.sendAndWait(std::move(call));
    return reply && reply->body.find(text) != std::string::npos;
}

std::size_t fleet_caller::startedTaskCount()
{
    std::size_t count = 0;
    for (std::size_t index = 0; index < m_fleet.workerCount(); ++index)
        count += m_fleet.worker(index).starts().size();
    return count;
}

void fleet_caller::waitUntil(const std::function<bool()>& condition, std::string_view what)
{
    const auto limit = std::chrono::steady_clock::now() + waitLimit;
    while (!condition()) {
        BOOST_REQUIRE_MESSAGE(std::chrono::steady_clock::now() < limit, fmt::format("timed out waiting for {}", what));
        std::this_thread::sleep_for(waitInterval);
    }
}

} // namespace coriandermount::fakes
