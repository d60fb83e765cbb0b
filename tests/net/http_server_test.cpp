// A pending request occupies a connection, not a thread, and every request is answered exactly once.
#include <array>
#include <condition_variable>
#include <filesystem>
#include <future>
#include <mutex>
#include <stdexcept>
#include <string_view>
#include <thread>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/guarded_call.h"
#include "net/http_client.h"
#include "net/http_server.h"

using namespace coriandermount;

namespace {

constexpr int statusOk = 200;
constexpr int statusInternalError = 500;

std::size_t threadCount()
{
    const std::filesystem::directory_iterator threads("/proc/self/task");
    return static_cast<std::size_t>(std::distance(begin(threads), end(threads)));
}

/// A server that leaves all requests pending until the test replies through their responders, and a client for it.
struct deferring_server {
    deferring_server()
        : server({},
            [this](const net::http_request&, std::shared_ptr<net::responder> responder) {
                const std::scoped_lock lock(mutex);
                responders.push_back(std::move(responder));
                changed.notify_all();
            })
        , client({ .maxConnectionsPerServer = 2000 })
    {
        BOOST_REQUIRE(server.start());
    }

    void send(std::size_t calls)
    {
        for (std::size_t index = 0; index < calls; ++index) {
            net::http_call call;
            call.url = fmt::format("http://127.0.0.1:{}/", server.port());
            call.timeout = std::chrono::seconds(60);
            call.connectTimeout = std::chrono::seconds(30);
            client.send(call, [this](const tl::expected<net::http_reply, net::transport_error>& reply) {
                const std::scoped_lock lock(mutex);
                if (reply && reply->status == statusOk)
                    ++succeeded;
                ++completed;
                changed.notify_all();
            });
        }
    }

    void waitForRequests(std::size_t count)
    {
        std::unique_lock lock(mutex);
        changed.wait(lock, [&] { return responders.size() >= count; });
    }

    void waitForCompletions(std::size_t count)
    {
        std::unique_lock lock(mutex);
        changed.wait(lock, [&] { return completed >= count; });
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::vector<std::shared_ptr<net::responder>> responders;
    std::size_t succeeded = 0;
    std::size_t completed = 0;
    net::http_server server;
    net::http_client client;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(requests_that_are_pending, deferring_server)

BOOST_AUTO_TEST_CASE(do_not_occupy_a_thread_each)
{
    constexpr std::size_t callers = 1000;
    const std::size_t idleThreads = threadCount();
    send(callers);
    waitForRequests(callers);
    BOOST_TEST(threadCount() <= 2 * idleThreads);
    BOOST_TEST(server.pendingRequests() == callers);
    for (const auto& responder : responders)
        responder->reply({});
    waitForCompletions(callers);
    BOOST_TEST(succeeded == callers);
}

BOOST_AUTO_TEST_CASE(are_answered_once_when_the_responder_replies_twice)
{
    send(1);
    waitForRequests(1);
    responders[0]->reply({});
    responders[0]->reply({ .status = statusInternalError });
    waitForCompletions(1);
    BOOST_TEST(succeeded == 1U);
}

BOOST_AUTO_TEST_CASE(are_answered_when_the_server_stops)
{
    constexpr std::size_t callers = 10;
    send(callers);
    waitForRequests(callers);
    server.stop();
    waitForCompletions(callers);
    BOOST_TEST(succeeded == 0U);
    // Replies after the stop have no effect.
    responders[0]->reply({});
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against races at the stop of the server, which occur in some rounds only.
BOOST_AUTO_TEST_CASE(a_server_stops_cleanly_after_a_request)
{
    constexpr int rounds = 200;
    for (int round = 0; round < rounds; ++round) {
        net::http_server server(
            {}, [](const net::http_request&, const std::shared_ptr<net::responder>& responder) { responder->reply({}); });
        BOOST_REQUIRE(server.start());
        net::http_client client;
        net::http_call call;
        call.url = fmt::format("http://127.0.0.1:{}/", server.port());
        BOOST_TEST(client.sendAndWait(call).has_value());
        server.stop();
    }
}

namespace {

/// A server whose stop lasts because one client does not read its response, and a client whose connection stays open.
struct lingering_server : deferring_server {
    lingering_server()
    {
        reluctant = connectTo(server.port());
        BOOST_REQUIRE(::send(reluctant, request.data(), request.size(), 0) == static_cast<ssize_t>(request.size()));
        waitForRequests(1);
        // Larger than the buffers of the two sockets, so that the response is not written completely.
        constexpr std::size_t bodyBytes = 64 * 1024 * 1024;
        responders[0]->reply({ .body = std::string(bodyBytes, ' ') });
        resubmitting = connectTo(server.port());
    }

    ~lingering_server()
    {
        close(reluctant);
        close(resubmitting);
    }

    lingering_server(const lingering_server&) = delete;
    lingering_server& operator=(const lingering_server&) = delete;

    static int connectTo(std::uint16_t port)
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        BOOST_REQUIRE(connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
        return socket;
    }

    /// Sends a request on the connection that stays open and returns the response, which is empty if the connection was closed.
    std::string resubmit() const
    {
        if (::send(resubmitting, request.data(), request.size(), MSG_NOSIGNAL) < 0)
            return {};
        std::array<char, 4096> buffer {};
        const auto received = recv(resubmitting, buffer.data(), buffer.size(), 0);
        return received > 0 ? std::string(buffer.data(), static_cast<std::size_t>(received)) : std::string();
    }

    static constexpr std::string_view request = "GET / HTTP/1.1\r\nHost: localhost\r\n\r\n";
    int reluctant = -1;
    int resubmitting = -1;
};

} // namespace

// Guards against a false refusal: a request that arrived during the stop was answered with "not run", although it may repeat one
// that was handed to the handler before.
BOOST_FIXTURE_TEST_CASE(a_request_that_arrives_while_the_server_stops_is_not_reported_as_not_run, lingering_server)
{
    send(1);
    waitForRequests(2);
    std::thread stopping([this] { server.stop(); });
    waitForCompletions(1);
    const std::string response = resubmit();
    stopping.join();
    BOOST_TEST(response.find("not_run") == std::string::npos, response);
}

BOOST_AUTO_TEST_SUITE(an_unexpected_error)

// Guards against the end of the process: an exception of a handler left the thread of the server.
BOOST_AUTO_TEST_CASE(in_a_handler_is_answered_and_leaves_the_server_running)
{
    net::http_server server({}, [](const net::http_request& request, const std::shared_ptr<net::responder>& responder) {
        if (request.path == "/throw")
            throw std::runtime_error("out of luck");
        responder->reply({});
    });
    BOOST_REQUIRE(server.start());
    net::http_client client { net::http_client_options {} };
    const std::uint64_t before = unexpectedErrors();
    for (const auto& [path, status] : { std::pair("/throw", statusInternalError), std::pair("/", statusOk) }) {
        net::http_call call;
        call.url = fmt::format("http://127.0.0.1:{}{}", server.port(), path);
        std::promise<int> answered;
        client.send(call, [&answered](const tl::expected<net::http_reply, net::transport_error>& reply) {
            answered.set_value(reply ? reply->status : 0);
        });
        BOOST_TEST(answered.get_future().get() == status);
    }
    BOOST_TEST(unexpectedErrors() == before + 1);
}

// Guards against the end of the process: an exception of a completion left the thread of the client.
BOOST_AUTO_TEST_CASE(in_a_completion_leaves_the_client_running)
{
    net::http_server server(
        {}, [](const net::http_request&, const std::shared_ptr<net::responder>& responder) { responder->reply({}); });
    BOOST_REQUIRE(server.start());
    net::http_client client { net::http_client_options {} };
    net::http_call call;
    call.url = fmt::format("http://127.0.0.1:{}/", server.port());
    std::promise<void> thrown;
    client.send(call, [&thrown](const auto&) {
        thrown.set_value();
        throw std::runtime_error("out of luck");
    });
    thrown.get_future().wait();
    std::promise<bool> answered;
    client.send(call, [&answered](const auto& reply) { answered.set_value(reply.has_value()); });
    BOOST_TEST(answered.get_future().get());
}

BOOST_AUTO_TEST_SUITE_END()
