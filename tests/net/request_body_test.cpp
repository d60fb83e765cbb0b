// Request bodies are held within a budget; what is refused is answered without reaching the handler.
#include <array>
#include <atomic>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/http_server.h"

using namespace coriandermount;

namespace {

constexpr std::size_t maxBody = 8192;

/// A connection to a port of the loopback address that sends raw text.
class raw_client {
public:
    explicit raw_client(std::uint16_t port)
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        BOOST_REQUIRE(connect(m_socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    }
    ~raw_client() { close(m_socket); }

    raw_client(const raw_client&) = delete;
    raw_client& operator=(const raw_client&) = delete;

    void send(std::string_view text) const { ::send(m_socket, text.data(), text.size(), MSG_NOSIGNAL); }

    /// Returns what arrives until the server closes the connection or the text contains `end`.
    std::string receiveUntil(std::string_view end) const
    {
        std::string text;
        std::array<char, 4096> buffer {};
        while (text.find(end) == std::string::npos) {
            const auto count = recv(m_socket, buffer.data(), buffer.size(), 0);
            if (count <= 0)
                break;
            text.append(buffer.data(), static_cast<std::size_t>(count));
        }
        return text;
    }

    /// Returns what arrives until the server closes the connection.
    std::string receiveAll() const { return receiveUntil("no response contains this"); }

private:
    int m_socket;
};

std::string announced(std::size_t length)
{
    return fmt::format("POST / HTTP/1.1\r\nHost: localhost\r\nContent-Length: {}\r\n\r\n", length);
}

constexpr std::string_view chunked = "POST / HTTP/1.1\r\nHost: localhost\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string chunk(std::size_t length) { return fmt::format("{:x}\r\n{}\r\n", length, std::string(length, 'x')); }

/// A server whose budget holds one body of the largest size, besides small ones.
struct budgeted_server {
    explicit budgeted_server(std::chrono::seconds bodyTimeout = std::chrono::seconds(30))
    {
        net::http_server_options options;
        options.maxBodyBytes = maxBody;
        options.bodyBudget = budget;
        options.bodyTimeout = bodyTimeout;
        server.emplace(options, [this](const net::http_request& request, const std::shared_ptr<net::responder>& responder) {
            ++handled;
            responder->reply({ .body = fmt::format("{} bytes", request.body.size()) });
        });
        BOOST_REQUIRE(server->start());
    }

    void waitForClaim(std::size_t bytes) const
    {
        while (budget->claimedBytes() != bytes)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }

    std::uint64_t refusals(net::body_refusal reason) const { return budget->refusals().at(static_cast<std::size_t>(reason)); }

    std::shared_ptr<net::body_budget> budget = std::make_shared<net::body_budget>(
        net::body_budget_limits { .total = 3 * maxBody, .large = maxBody, .largePerSource = maxBody, .smallBody = 2048 });
    std::atomic<int> handled { 0 };
    std::optional<net::http_server> server;
};

/// A server whose clients have no time to send a body in parts.
struct impatient_server : budgeted_server {
    impatient_server()
        : budgeted_server(std::chrono::seconds(0))
    {
    }
};

void expectRefusedForMemory(const std::string& response)
{
    BOOST_TEST(response.starts_with("HTTP/1.1 503"), response);
    BOOST_TEST(response.find("Retry-After: 1\r\n") != std::string::npos, response);
    BOOST_TEST(response.find(R"("error":"body_memory_exceeded","outcome":"not_run")") != std::string::npos, response);
}

} // namespace

BOOST_AUTO_TEST_SUITE(request_bodies)

BOOST_FIXTURE_TEST_CASE(of_the_largest_size_are_received_in_calm, budgeted_server)
{
    for (int count = 0; count < 3; ++count) {
        const raw_client client(server->port());
        client.send(announced(maxBody) + std::string(maxBody, 'x'));
        BOOST_TEST(client.receiveUntil("bytes").ends_with(fmt::format("{} bytes", maxBody)));
        // A response arrives before its request gives back the claim, and the budget holds one such body only.
        waitForClaim(0);
        const raw_client sendingChunks(server->port());
        sendingChunks.send(std::string(chunked) + chunk(maxBody - 1) + chunk(1) + "0\r\n\r\n");
        BOOST_TEST(sendingChunks.receiveUntil("bytes").ends_with(fmt::format("{} bytes", maxBody)));
        waitForClaim(0);
    }
}

// Guards against memory for bodies that claim to be far over the limit.
BOOST_FIXTURE_TEST_CASE(that_are_announced_as_too_long_are_refused_by_their_header, budgeted_server)
{
    const raw_client client(server->port());
    client.send(announced(maxBody + 1));
    const std::string response = client.receiveAll();
    BOOST_TEST(response.starts_with("HTTP/1.1 413"), response);
    BOOST_TEST(response.find(R"("outcome":"not_run")") != std::string::npos, response);
    BOOST_TEST(budget->claimedBytes() == 0U);
    BOOST_TEST(refusals(net::body_refusal::too_long) == 1U);
    BOOST_TEST(handled == 0);
}

// Guards against the end of the process for want of memory: unfinished bodies were kept without a limit over all connections.
BOOST_FIXTURE_TEST_CASE(beyond_the_budget_are_refused_until_others_end, budgeted_server)
{
    {
        const raw_client unfinished(server->port());
        unfinished.send(announced(maxBody) + "x");
        waitForClaim(maxBody);
        const raw_client refused(server->port());
        refused.send(announced(maxBody));
        expectRefusedForMemory(refused.receiveAll());
        const raw_client ordinary(server->port());
        ordinary.send(announced(2) + "{}");
        BOOST_TEST(ordinary.receiveUntil("bytes").ends_with("2 bytes"));
    }
    waitForClaim(0);
    BOOST_TEST(handled == 1);
    const raw_client client(server->port());
    client.send(announced(maxBody) + std::string(maxBody, 'x'));
    BOOST_TEST(client.receiveUntil("bytes").starts_with("HTTP/1.1 200"));
}

// Guards against the same by bodies whose length no header tells.
BOOST_FIXTURE_TEST_CASE(in_chunks_are_refused_as_they_grow, budgeted_server)
{
    const raw_client unfinished(server->port());
    unfinished.send(announced(maxBody));
    waitForClaim(maxBody);
    const raw_client refused(server->port());
    refused.send(chunked);
    for (int count = 0; count < 8; ++count)
        refused.send(chunk(500));
    refused.send("0\r\n\r\n");
    expectRefusedForMemory(refused.receiveAll());
    waitForClaim(maxBody);
    BOOST_TEST(handled == 0);
}

BOOST_FIXTURE_TEST_CASE(in_chunks_without_an_end_are_cut_off, budgeted_server)
{
    const raw_client client(server->port());
    client.send(chunked);
    for (int count = 0; count < 40; ++count)
        client.send(chunk(1024));
    BOOST_TEST(client.receiveAll().empty());
    BOOST_TEST(refusals(net::body_refusal::too_long) == 1U);
    waitForClaim(0);
}

// Guards against clients that keep their part of the budget by a byte now and then.
BOOST_FIXTURE_TEST_CASE(that_take_too_long_are_cut_off, impatient_server)
{
    const raw_client client(server->port());
    client.send(announced(maxBody));
    waitForClaim(maxBody);
    client.send("x");
    BOOST_TEST(client.receiveAll().empty());
    BOOST_TEST(refusals(net::body_refusal::too_slow) == 1U);
    waitForClaim(0);
}

BOOST_AUTO_TEST_SUITE_END()
