// Tests what the HTTP client reports about calls that end without a reply, over the loopback interface.
#include <array>
#include <thread>

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/http_client.h"

using namespace coriandermount;

namespace {

/// Server that answers the first request and keeps the connection open. When it has received the second request, it stops
/// listening and then closes the connection without a reply.
class vanishing_server {
public:
    vanishing_server()
        : m_listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        BOOST_REQUIRE(bind(m_listener, reinterpret_cast<sockaddr*>(&address), length) == 0);
        BOOST_REQUIRE(listen(m_listener, 1) == 0);
        BOOST_REQUIRE(getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &length) == 0);
        m_port = ntohs(address.sin_port);
        m_thread = std::thread([this] { serve(); });
    }
    ~vanishing_server() { m_thread.join(); }

    vanishing_server(const vanishing_server&) = delete;
    vanishing_server& operator=(const vanishing_server&) = delete;

    std::string url() const { return fmt::format("http://127.0.0.1:{}/", m_port); }
    const std::string& received() const { return m_received; }

private:
    void serve()
    {
        const int connection = accept(m_listener, nullptr, nullptr);
        receiveUntil(connection, "first");
        const std::string reply = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        send(connection, reply.data(), reply.size(), MSG_NOSIGNAL);
        receiveUntil(connection, "second");
        close(m_listener);
        close(connection);
    }

    void receiveUntil(int connection, const std::string& body)
    {
        std::array<char, 4096> buffer {};
        while (m_received.find(body) == std::string::npos) {
            const auto length = recv(connection, buffer.data(), buffer.size(), 0);
            if (length <= 0)
                return;
            m_received.append(buffer.data(), static_cast<std::size_t>(length));
        }
    }

    int m_listener;
    std::uint16_t m_port = 0;
    std::string m_received;
    std::thread m_thread;
};

net::http_call makeCall(const std::string& url, const std::string& body)
{
    net::http_call call;
    call.method = "POST";
    call.url = url;
    call.body = body;
    return call;
}

} // namespace

BOOST_AUTO_TEST_SUITE(http_client_without_reply)

BOOST_AUTO_TEST_CASE(a_call_that_was_received_may_have_arrived_although_no_second_connection_was_accepted)
{
    // Guards against a false `not_sent`: the body went out on a reused connection, and the error named a second connection.
    net::http_client client;
    vanishing_server server;
    BOOST_REQUIRE(client.sendAndWait(makeCall(server.url(), "first")));
    const auto reply = client.sendAndWait(makeCall(server.url(), "second"));
    BOOST_REQUIRE(!reply);
    BOOST_TEST_MESSAGE(reply.error().message);
    BOOST_TEST((reply.error().progress == net::transport_progress::may_have_arrived), reply.error().message);
}

BOOST_AUTO_TEST_CASE(a_call_to_a_closed_port_was_not_sent)
{
    net::http_client client;
    const auto reply = client.sendAndWait(makeCall("http://127.0.0.1:1/", "body"));
    BOOST_REQUIRE(!reply);
    BOOST_TEST((reply.error().progress == net::transport_progress::not_sent));
}

BOOST_AUTO_TEST_SUITE_END()
