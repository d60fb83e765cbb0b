// The thread of a client may get no processor time for longer than the timeouts of its calls.
#include <array>
#include <atomic>
#include <future>
#include <optional>
#include <semaphore>
#include <string_view>
#include <thread>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "net/http_client.h"

using namespace coriandermount;
using namespace std::chrono_literals;

namespace {

using reply_or_error = tl::expected<net::http_reply, net::transport_error>;

constexpr std::string_view requestBody = "work";

/// A server of one connection that answers a request when the test lets it.
class waiting_server {
public:
    waiting_server()
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

    ~waiting_server()
    {
        shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        close(m_listener);
    }

    waiting_server(const waiting_server&) = delete;
    waiting_server& operator=(const waiting_server&) = delete;

    void awaitRequest() { m_received.acquire(); }
    /// Answers one request, which may arrive later, and waits until the answer is written.
    void answer()
    {
        m_mayAnswer.release();
        m_answered.acquire();
    }
    int requests() const { return m_requests; }

    net::http_call call(std::chrono::milliseconds timeout) const
    {
        net::http_call call;
        call.method = "POST";
        call.url = fmt::format("http://127.0.0.1:{}/", m_port);
        call.body = requestBody;
        call.timeout = timeout;
        return call;
    }

private:
    void serve()
    {
        constexpr std::string_view answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        const int connection = accept(m_listener, nullptr, nullptr);
        while (connection >= 0 && receiveRequest(connection)) {
            while (!m_mayAnswer.try_acquire_for(10ms)) {
                if (isClosed(connection)) {
                    close(connection);
                    return;
                }
            }
            send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
            m_answered.release();
        }
        close(connection);
    }

    bool receiveRequest(int connection)
    {
        std::string received;
        std::array<char, 1024> buffer {};
        while (!received.ends_with(requestBody)) {
            const ssize_t length = read(connection, buffer.data(), buffer.size());
            if (length <= 0)
                return false;
            received.append(buffer.data(), static_cast<std::size_t>(length));
        }
        ++m_requests;
        m_received.release();
        return true;
    }

    static bool isClosed(int connection)
    {
        char byte = 0;
        return recv(connection, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
    }

    int m_listener = -1;
    std::uint16_t m_port = 0;
    std::atomic<int> m_requests { 0 };
    std::counting_semaphore<> m_received { 0 };
    std::counting_semaphore<> m_mayAnswer { 0 };
    std::counting_semaphore<> m_answered { 0 };
    std::thread m_thread;
};

/// Long enough that a call is sent in time on a busy VM.
constexpr std::chrono::milliseconds timeout { 800 };

/// A client, a server whose calls are under test, and another one, which serves to block the thread of the client.
struct late_client {
    explicit late_client(unsigned maxConnectionsPerServer = 64)
        : client(net::http_client_options { maxConnectionsPerServer })
    {
    }

    /// Sends a call to `server` and returns its outcome to come.
    std::future<reply_or_error> sendCall()
    {
        auto outcome = std::make_shared<std::promise<reply_or_error>>();
        client.send(server.call(timeout), [outcome](reply_or_error reply) { outcome->set_value(std::move(reply)); });
        return outcome->get_future();
    }

    /// Blocks the client's thread until the timeouts of all calls that were sent before have passed, and runs `meanwhile` on it.
    template <class Work> void blockUntilTimeout(const Work& meanwhile)
    {
        const auto until = std::chrono::steady_clock::now() + timeout + 100ms;
        std::promise<void> ended;
        client.send(other.call(60s), [&](const reply_or_error&) {
            meanwhile();
            std::this_thread::sleep_until(until);
            ended.set_value();
        });
        other.awaitRequest();
        other.answer();
        ended.get_future().wait();
    }

    waiting_server server;
    waiting_server other;
    net::http_client client;
};

void expectTimeout(const reply_or_error& outcome, net::transport_progress progress)
{
    BOOST_REQUIRE(!outcome);
    BOOST_TEST(outcome.error().timedOut, outcome.error().message);
    BOOST_TEST((outcome.error().progress == progress), outcome.error().message);
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_client_without_processor_time)

// Guards against lost answers: libcurl judged the timeout of a call before it read the socket on which the answer had arrived.
BOOST_AUTO_TEST_CASE(delivers_an_answer_that_arrived_in_time)
{
    late_client late;
    auto outcome = late.sendCall();
    late.server.awaitRequest();
    late.blockUntilTimeout([&] { late.server.answer(); });
    const auto reply = outcome.get();
    BOOST_REQUIRE_MESSAGE(reply.has_value(), reply.error().message);
    BOOST_TEST(reply->status == 200);
    BOOST_TEST(late.server.requests() == 1);
}

// Guards against calls that never end because their timeouts are judged late.
BOOST_AUTO_TEST_CASE(fails_a_call_that_was_not_answered)
{
    late_client late;
    auto outcome = late.sendCall();
    late.server.awaitRequest();
    late.blockUntilTimeout([] {});
    expectTimeout(outcome.get(), net::transport_progress::may_have_arrived);
}

// Guards against orders that are sent after their time, when the connection that they waited for becomes free.
BOOST_AUTO_TEST_CASE(does_not_send_a_call_after_its_timeout)
{
    late_client late(1);
    auto first = late.sendCall();
    auto second = late.sendCall();
    late.server.awaitRequest();
    late.blockUntilTimeout([&] { late.server.answer(); });
    expectTimeout(second.get(), net::transport_progress::not_sent);
    BOOST_TEST(first.get().has_value());
    BOOST_TEST(late.server.requests() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_call_with_a_timeout)

// Guards against a client that waits for libcurl's timeouts, which are not set.
BOOST_AUTO_TEST_CASE(fails_without_other_calls)
{
    late_client idle;
    auto outcome = idle.sendCall();
    idle.server.awaitRequest();
    expectTimeout(outcome.get(), net::transport_progress::may_have_arrived);
}

// Guards against a connection that is waited for until the end of the call.
BOOST_AUTO_TEST_CASE(counts_as_not_sent_when_it_is_not_connected_in_time)
{
    late_client late(1);
    const auto first = late.sendCall();
    late.server.awaitRequest();
    net::http_call call = late.server.call(60s);
    call.connectTimeout = 50ms;
    expectTimeout(late.client.sendAndWait(std::move(call)), net::transport_progress::not_sent);
    BOOST_TEST(late.server.requests() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
