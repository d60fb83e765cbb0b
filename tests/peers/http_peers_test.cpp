// Tests JSON-RPC calls between two VMs over the loopback interface.
#include <atomic>
#include <future>
#include <thread>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "peers/http_peers.h"

using namespace coriandermount;

namespace {

struct connected_peers {
    connected_peers()
        : service(net::http_server_options {})
        , link(client)
    {
        service.addMethod("reverse", [](const std::string& message, const peers::peer_service::reply_function& reply) {
            reply(std::string(message.rbegin(), message.rend()));
        });
        BOOST_REQUIRE(service.start());
    }

    tl::expected<std::string, net::transport_error> call(const std::string& method, const std::string& message)
    {
        std::promise<tl::expected<std::string, net::transport_error>> promise;
        link.call(fmt::format("127.0.0.1:{}", service.port()), method, message, std::chrono::seconds(5),
            [&promise](tl::expected<std::string, net::transport_error> reply) { promise.set_value(std::move(reply)); });
        return promise.get_future().get();
    }

    peers::http_peer_service service;
    net::http_client client;
    peers::http_peer_link link;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(peer_call, connected_peers)

BOOST_AUTO_TEST_CASE(returns_the_reply_of_the_method)
{
    const auto reply = call("reverse", "{\"a\":1}");
    BOOST_REQUIRE(reply);
    BOOST_TEST(*reply == "}1:\"a\"{");
}

// Guards against jobs that go on for callers of a VM that was lost (issue 30).
BOOST_AUTO_TEST_CASE(reports_to_the_method_that_the_caller_is_lost)
{
    using peers::peer_service;
    peers::http_peer_service watching { net::http_server_options {} };
    std::promise<peer_service::reply_function> called;
    std::atomic<bool> lost { false };
    watching.addWatchedMethod(
        "wait", [&](const std::string&, peer_service::reply_function reply, const peer_service::disconnect_setter& onDisconnect) {
            onDisconnect([&lost] { lost = true; });
            called.set_value(std::move(reply));
        });
    BOOST_REQUIRE(watching.start());
    peer_service::reply_function reply;
    {
        net::http_client leavingClient;
        peers::http_peer_link leaving(leavingClient);
        leaving.call(fmt::format("127.0.0.1:{}", watching.port()), "wait", "x", std::chrono::seconds(5), [](const auto&) {});
        reply = called.get_future().get();
        watching.checkDisconnects();
        BOOST_TEST(!lost);
    }
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!lost && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
        watching.checkDisconnects();
    }
    BOOST_TEST(lost);
    reply("late");
}

// Guards against two runs at a time (issue 41): a call lay in the socket of a frozen VM, and was carried out after the VM that
// made it had given up.
BOOST_AUTO_TEST_CASE(of_a_caller_that_has_left_is_not_passed_to_a_watched_method)
{
    using peers::peer_service;
    constexpr auto timeLimit = std::chrono::milliseconds(50);
    peers::http_peer_service frozen { net::http_server_options { .threads = 1 } };
    std::promise<void> entered;
    std::promise<void> thawed;
    std::atomic<int> watchedCalls { 0 };
    std::atomic<int> otherCalls { 0 };
    frozen.addMethod("freeze", [&](const std::string&, const peer_service::reply_function& reply) {
        entered.set_value();
        thawed.get_future().wait();
        reply({});
    });
    frozen.addWatchedMethod(
        "run", [&](const std::string&, const peer_service::reply_function& reply, const peer_service::disconnect_setter&) {
            ++watchedCalls;
            reply({});
        });
    frozen.addMethod("withdraw", [&](const std::string&, const peer_service::reply_function& reply) {
        ++otherCalls;
        reply({});
    });
    BOOST_REQUIRE(frozen.start());
    const std::string address = fmt::format("127.0.0.1:{}", frozen.port());
    link.call(address, "freeze", "x", std::chrono::seconds(5), [](const auto&) {});
    entered.get_future().wait();
    std::promise<void> runGivenUp;
    std::promise<void> withdrawalGivenUp;
    link.call(address, "run", "x", timeLimit, [&runGivenUp](const auto&) { runGivenUp.set_value(); });
    link.call(address, "withdraw", "x", timeLimit, [&withdrawalGivenUp](const auto&) { withdrawalGivenUp.set_value(); });
    runGivenUp.get_future().wait();
    withdrawalGivenUp.get_future().wait();
    thawed.set_value();
    // A message of a caller that does not wait for the reply is still carried out.
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (otherCalls == 0 && std::chrono::steady_clock::now() < deadline)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    BOOST_TEST(otherCalls == 1);
    BOOST_TEST(watchedCalls == 0);
}

BOOST_AUTO_TEST_CASE(fails_for_an_unknown_method) { BOOST_TEST(!call("missing", "x")); }

BOOST_AUTO_TEST_SUITE_END()
