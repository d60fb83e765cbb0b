// Tests of membership and configuration with several nodes in two failure domains, over real sockets.
#include <functional>
#include <thread>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "main/embedded_fleet.h"
#include "net/http_client.h"

using namespace coriandermount;
using nlohmann::json;

namespace {

constexpr unsigned nodesPerDomain = 3;
constexpr std::size_t allNodes = 6;
constexpr int statusOk = 200;
constexpr int statusConflict = 409;
constexpr int statusUnavailable = 503;

/// Waits until `condition` returns true. Returns false after 30 s, which only a failing test reaches.
bool waitUntil(const std::function<bool()>& condition)
{
    constexpr std::chrono::seconds limit { 30 };
    constexpr std::chrono::milliseconds interval { 20 };
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(interval);
    }
    return true;
}

struct two_domains {
    two_domains()
        : fleet(options())
    {
        BOOST_REQUIRE(fleet.start());
        BOOST_REQUIRE(waitUntil([this] { return allNodesAgree(); }));
    }

    static embedded_fleet_options options()
    {
        embedded_fleet_options options;
        options.domains = 2;
        options.nodesPerDomain = nodesPerDomain;
        options.workersPerDomain = 1;
        options.settings.vmListLag = std::chrono::milliseconds(0);
        options.settings.vmListInterval = std::chrono::milliseconds(100);
        return options;
    }

    tl::expected<net::http_reply, net::transport_error> call(
        std::size_t node, const std::string& method, const std::string& path, const std::string& body = {})
    {
        net::http_call call;
        call.method = method;
        call.url = fmt::format("http://127.0.0.1:{}{}", fleet.entry(node).port(), path);
        call.body = body;
        call.timeout = std::chrono::seconds(20);
        return client.sendAndWait(call);
    }

    json get(std::size_t node, const std::string& path)
    {
        const auto reply = call(node, "GET", path);
        return reply && reply->status == statusOk ? json::parse(reply->body) : json::object();
    }

    std::size_t countInState(std::size_t node, const std::string& state)
    {
        std::size_t count = 0;
        for (const auto& member : get(node, "/v1/fleet").value("members", json::array()))
            count += member.at("state") == state ? 1 : 0;
        return count;
    }

    bool allNodesAgree()
    {
        for (std::size_t node = 0; node < fleet.nodeCount(); ++node) {
            const auto domains = get(node, "/v1/fleet").value("other_domains", json::array());
            if (countInState(node, "alive") != nodesPerDomain || domains.size() != 1 || !domains[0].at("reachable")
                || domains[0].at("contacts").size() != nodesPerDomain)
                return false;
        }
        return true;
    }

    std::uint64_t versionAt(std::size_t node) { return get(node, "/v1/configuration").value("version", std::uint64_t { 0 }); }

    bool isInForceEverywhere(std::uint64_t version)
    {
        for (std::size_t node = 0; node < fleet.nodeCount(); ++node) {
            if (versionAt(node) != version)
                return false;
        }
        return true;
    }

    tl::expected<net::http_reply, net::transport_error> publish(
        std::size_t node, std::uint64_t basedOn, const std::string& author)
    {
        const json body = { { "based_on", basedOn }, { "author", author }, { "reason", "test" },
            { "customers", { { "kellari", author } } }, { "plans", { { author, { { "weight", 2 } } } } } };
        return call(node, "POST", "/v1/configuration", body.dump());
    }

    embedded_fleet fleet;
    net::http_client client;
};

} // namespace

BOOST_AUTO_TEST_SUITE(nodes_of_two_domains)

BOOST_FIXTURE_TEST_CASE(stop_accepting_work_at_a_node_that_is_drained_through_another, two_domains)
{
    const auto reply = call(0, "POST", "/v1/vms/entry-2/drain");
    BOOST_REQUIRE(reply);
    BOOST_TEST(reply->status == 202);
    BOOST_TEST(waitUntil([this] { return call(1, "GET", "/readyz")->status == statusUnavailable; }));
    BOOST_TEST(waitUntil([this] { return countInState(2, "leaving") == 1; }));
    // The other domain no longer has the drained node among its contacts.
    BOOST_TEST(waitUntil([this] { return get(4, "/v1/fleet")["other_domains"][0]["contacts"].size() == nodesPerDomain - 1; }));
}

BOOST_FIXTURE_TEST_CASE(see_a_node_leaving_that_has_shut_down, two_domains)
{
    BOOST_TEST(fleet.entry(2).shutDown());
    fleet.killNode(2);
    BOOST_TEST(waitUntil([this] { return countInState(0, "leaving") == 1 && countInState(1, "leaving") == 1; }));
}

BOOST_FIXTURE_TEST_CASE(keep_members_and_workers_when_the_list_becomes_empty, two_domains)
{
    fleet.platform().setListing({});
    std::this_thread::sleep_for(std::chrono::seconds(1));
    BOOST_TEST(countInState(0, "alive") == nodesPerDomain);
    BOOST_TEST(call(0, "GET", "/readyz")->status == statusOk);
}

BOOST_FIXTURE_TEST_CASE(put_a_configuration_into_force_on_all_nodes, two_domains)
{
    const auto first = publish(0, 0, "anna");
    BOOST_REQUIRE(first);
    BOOST_REQUIRE_EQUAL(first->status, statusOk);
    const auto version = json::parse(first->body).at("version").get<std::uint64_t>();
    BOOST_TEST(waitUntil([this, version] { return isInForceEverywhere(version); }));

    const auto late = publish(4, 0, "bert");
    BOOST_REQUIRE(late);
    BOOST_TEST(late->status == statusConflict);
    BOOST_TEST(json::parse(late->body).at("winner").at("author") == "anna");
}

BOOST_FIXTURE_TEST_CASE(give_configuration_and_workers_to_a_new_node_while_the_platform_is_down, two_domains)
{
    BOOST_REQUIRE_EQUAL(publish(0, 0, "anna")->status, statusOk);
    BOOST_TEST(waitUntil([this] { return isInForceEverywhere(1); }));
    fleet.platform().setFaults({ .logDown = true, .dropAppendAnswers = false, .vmListDown = true });
    fleet.killNode(5);
    BOOST_REQUIRE_EQUAL(publish(0, 1, "bert")->status, statusUnavailable);
    // The new node can learn the fleet only from its seed.
    BOOST_REQUIRE(fleet.startNodeWithSeed(5, 3));
    BOOST_TEST(versionAt(5) == 1U);
    BOOST_TEST(countInState(5, "alive") == nodesPerDomain);
}

BOOST_FIXTURE_TEST_CASE(keep_serving_while_the_domains_are_partitioned_and_converge_afterwards, two_domains)
{
    BOOST_REQUIRE_EQUAL(publish(0, 0, "anna")->status, statusOk);
    fleet.partitionDomains(0, 1);
    BOOST_TEST(waitUntil([this] { return versionAt(4) == 1; }));
    BOOST_REQUIRE_EQUAL(publish(4, 1, "bert")->status, statusOk);
    fleet.heal();
    BOOST_TEST(waitUntil([this] { return isInForceEverywhere(2); }));
    for (std::size_t node = 0; node < allNodes; ++node)
        BOOST_TEST(countInState(node, "alive") == nodesPerDomain);
}

BOOST_AUTO_TEST_SUITE_END()
