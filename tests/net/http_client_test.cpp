// A call counts as not sent only if no byte of it can have reached a server, whatever became of its last connection.
#include <array>
#include <atomic>
#include <thread>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "net/http_client.h"

using namespace coriandermount;

namespace {

/// A server that keeps one connection open and answers its first request. It receives the second request as well, and then closes
/// the connection and its listening socket without an answer, as a server that dies after it has carried out a request.
class dying_server {
public:
    /// `requestEnd` is the text by which the end of a request is recognised.
    explicit dying_server(std::string requestEnd)
        : m_requestEnd(std::move(requestEnd))
    {
        m_listener = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        BOOST_REQUIRE(bind(m_listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
        BOOST_REQUIRE(listen(m_listener, 1) == 0);
        socklen_t length = sizeof(address);
        getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &length);
        m_port = ntohs(address.sin_port);
        m_thread = std::thread([this] { serve(); });
    }

    ~dying_server() { m_thread.join(); }

    dying_server(const dying_server&) = delete;
    dying_server& operator=(const dying_server&) = delete;

    std::uint16_t port() const { return m_port; }
    int requests() const { return m_requests; }

private:
    void serve()
    {
        constexpr std::string_view answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        const int connection = accept(m_listener, nullptr, nullptr);
        receiveRequest(connection);
        BOOST_TEST(write(connection, answer.data(), answer.size()) == static_cast<ssize_t>(answer.size()));
        receiveRequest(connection);
        close(m_listener);
        close(connection);
    }

    void receiveRequest(int connection)
    {
        std::string received;
        std::array<char, 1024> buffer {};
        while (!received.ends_with(m_requestEnd)) {
            const ssize_t length = read(connection, buffer.data(), buffer.size());
            if (length <= 0)
                return;
            received.append(buffer.data(), static_cast<std::size_t>(length));
        }
        ++m_requests;
    }

    std::string m_requestEnd;
    int m_listener = -1;
    std::uint16_t m_port = 0;
    std::atomic<int> m_requests { 0 };
    std::thread m_thread;
};

tl::expected<net::http_reply, net::transport_error> callServer(
    net::http_client& client, const dying_server& server, const std::string& method, const std::string& body)
{
    net::http_call call;
    call.method = method;
    call.url = fmt::format("http://127.0.0.1:{}/", server.port());
    call.body = body;
    return client.sendAndWait(std::move(call));
}

void expectMayHaveArrived(const std::string& method, const std::string& body)
{
    const dying_server server(body.empty() ? "\r\n\r\n" : body);
    net::http_client client;
    BOOST_REQUIRE(callServer(client, server, method, body));
    const auto reply = callServer(client, server, method, body);
    BOOST_TEST(server.requests() == 2);
    BOOST_REQUIRE(!reply);
    BOOST_TEST((reply.error().progress == net::transport_progress::may_have_arrived), reply.error().message);
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_call_on_a_kept_connection)

BOOST_AUTO_TEST_SUITE(when_the_server_dies_after_it_has_received_the_call)

// Guards against a second run of a task: the refused connection of libcurl's second try was taken as proof about the first one.
BOOST_AUTO_TEST_CASE(may_have_arrived_with_its_body) { expectMayHaveArrived("POST", "work"); }

// Guards against the same error for calls without a body, such as a cancellation.
BOOST_AUTO_TEST_CASE(may_have_arrived_without_a_body) { expectMayHaveArrived("DELETE", ""); }

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
