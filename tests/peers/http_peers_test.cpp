// Tests JSON-RPC calls between two VMs over the loopback interface.
#include <future>

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

BOOST_AUTO_TEST_CASE(fails_for_an_unknown_method) { BOOST_TEST(!call("missing", "x")); }

BOOST_AUTO_TEST_SUITE_END()
