// Tests what clients of the platform are told when the VM stops, over the loopback interface.
#include <atomic>
#include <future>
#include <thread>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "jobs/configuration_gate.h"
#include "net/http_client.h"
#include "platform/client_api.h"
#include "tests/fakes/manual_clock.h"

using namespace coriandermount;
using namespace coriandermount::fakes;
using namespace std::chrono_literals;

namespace {

/// Accepts jobs and never answers them.
struct silent_service final : jobs::job_service {
    silent_service()
    {
        table->version = 1;
        jobs::queue_rules queue;
        queue.name = "queue";
        queue.host = "host.example";
        queue.pathPrefix = "/queue/";
        table->queues.push_back(queue);
    }

    std::shared_ptr<const jobs::queue_table> queues() const override { return table; }
    bool holdUntilConfigured(std::size_t bytes, std::function<void()> resume) override
    {
        const bool held = gate.hold(bytes, std::move(resume));
        heldRequests += held ? 1 : 0;
        return held;
    }
    std::uint64_t submit(jobs::job, const jobs::queue_rules&, std::chrono::milliseconds,
        std::function<void(result<jobs::job_state>)> done) override
    {
        if (refusal) {
            done(tl::unexpected(*refusal));
            return submission;
        }
        completion = std::move(done);
        ++submissions;
        submitted.set_value();
        return submission;
    }
    void withdraw(std::uint64_t number) override
    {
        withdrawn = number;
        completion(fail(error_kind::cancelled_while_running));
    }
    void cancel(const std::string&, std::function<void(result<void>)>) override { }
    void state(const std::string&, std::function<void(result<jobs::job_state>)>) override { }
    void pending(const std::string&, std::function<void(const result<std::uint32_t>&)> done) override { done(0U); }
    void noteAnswer(std::optional<error_kind>, std::chrono::microseconds, std::chrono::milliseconds callerTimeout) override
    {
        notedTimeout = callerTimeout;
    }
    bool isReady() const override { return true; }
    bool isDraining() const override { return draining; }

    std::shared_ptr<jobs::queue_table> table = std::make_shared<jobs::queue_table>();
    manual_clock clock;
    jobs::configuration_gate gate { clock };
    std::atomic<int> heldRequests { 0 };
    static constexpr std::uint64_t submission = 7;
    std::atomic<int> submissions { 0 };
    std::atomic<std::uint64_t> withdrawn { 0 };
    std::promise<void> submitted;
    std::function<void(result<jobs::job_state>)> completion;
    /// Answer to all submissions, if set.
    std::optional<error> refusal;
    std::atomic<bool> draining { false };
    std::atomic<std::chrono::milliseconds> notedTimeout { std::chrono::milliseconds(0) };
};

/// Sends `request` to a port of the loopback interface, and returns what arrives until the connection is closed.
std::string exchange(std::uint16_t port, const std::string& request)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    BOOST_REQUIRE(::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    BOOST_REQUIRE(::send(descriptor, request.data(), request.size(), 0) == static_cast<ssize_t>(request.size()));
    std::string received;
    char buffer[4096];
    for (ssize_t size = 0; (size = ::recv(descriptor, buffer, sizeof buffer, 0)) > 0;)
        received.append(buffer, static_cast<std::size_t>(size));
    ::close(descriptor);
    return received;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_stopping_client_api)

BOOST_AUTO_TEST_CASE(does_not_refuse_a_job_that_was_handed_on)
{
    // Guards against a false refusal: a job that arrived shortly before the server stopped was answered with 503, which says that
    // it never runs, although it had been sent to its owner.
    silent_service service;
    net::http_server server(platform::clientServerOptions({}), platform::clientHandler(service));
    BOOST_REQUIRE(server.start());
    net::http_client client;
    net::http_call call;
    call.method = "POST";
    call.url = fmt::format("http://127.0.0.1:{}/queue/5c0e7a21d94b36f8", server.port());
    call.headers = { "Host: host.example" };
    call.body = R"({"best_effort":true,"phases":[{"count":1}]})";
    std::promise<tl::expected<net::http_reply, net::transport_error>> answer;
    client.send(call, [&answer](const auto& reply) { answer.set_value(reply); });
    service.submitted.get_future().wait();
    server.stop();
    const auto reply = answer.get_future().get();
    BOOST_REQUIRE(reply);
    BOOST_TEST(reply->status == 504);
}

// Guards against callers that send a refused job again on the connection to the VM that stops.
BOOST_AUTO_TEST_CASE(tells_a_refused_caller_when_to_return_and_closes_its_connection)
{
    silent_service service;
    service.refusal = error { error_kind::shutting_down, "the VM stops before the job could end", 5ms };
    service.draining = true;
    net::http_server server(platform::clientServerOptions({}), platform::clientHandler(service));
    BOOST_REQUIRE(server.start());
    // Ends once the server has closed the connection.
    const std::string reply = exchange(server.port(),
        "POST /queue/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: host.example\r\nCoriandermount-Deadline-Ms: 700\r\nContent-Length: "
        "44\r\n\r\n"
        R"({"best_effort":true,"phases":[{"count":1}]} )");
    BOOST_TEST((service.notedTimeout.load() == 700ms));
    BOOST_TEST(reply.starts_with("HTTP/1.1 503 "));
    BOOST_TEST(reply.find("\r\nRetry-After: 1\r\n") != std::string::npos);
    BOOST_TEST(reply.find("\r\nConnection: close\r\n") != std::string::npos);
    BOOST_TEST(reply.find(R"("error":"shutting_down")") != std::string::npos);
    BOOST_TEST(reply.find(R"("outcome":"not_run")") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against runs for callers that have left: libmicrohttpd does not report that a client closed the connection of a pending
// request, so the job went on, beside a resubmission in another failure domain (issue 30).
BOOST_AUTO_TEST_CASE(a_caller_that_closes_its_connection_withdraws_its_job)
{
    silent_service service;
    net::http_server server(platform::clientServerOptions({}), platform::clientHandler(service));
    BOOST_REQUIRE(server.start());
    net::http_call call;
    call.method = "POST";
    call.url = fmt::format("http://127.0.0.1:{}/queue/5c0e7a21d94b36f8", server.port());
    call.headers = { "Host: host.example" };
    call.body = R"({"best_effort":true,"phases":[{"count":1}]})";
    {
        net::http_client leaving;
        leaving.send(call, [](const auto&) {});
        service.submitted.get_future().wait();
        server.checkDisconnects();
        BOOST_TEST(service.withdrawn == 0U);
    }
    const auto deadline = std::chrono::steady_clock::now() + 5s;
    while (service.withdrawn == 0 && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(1ms);
        server.checkDisconnects();
    }
    BOOST_TEST(service.withdrawn == silent_service::submission);
    while (server.pendingRequests() > 0 && std::chrono::steady_clock::now() < deadline)
        std::this_thread::sleep_for(1ms);
    BOOST_TEST(server.pendingRequests() == 0U);
}

namespace {

/// A server whose only thread is busy, as that of a frozen VM, until `resume`. Its system accepts connections all the while.
struct frozen_server {
    frozen_server()
    {
        BOOST_REQUIRE(server.start());
        client.send(callTo("/freeze"), [](const auto&) {});
        frozen.get_future().wait();
    }

    ~frozen_server() { resume(); }

    frozen_server(const frozen_server&) = delete;
    frozen_server& operator=(const frozen_server&) = delete;

    net::http_call callTo(const std::string& path) const
    {
        net::http_call call;
        call.url = fmt::format("http://127.0.0.1:{}{}", server.port(), path);
        return call;
    }

    /// Sends a job on a connection of its own and returns the socket.
    int submit() const
    {
        const int caller = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(server.port());
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        BOOST_REQUIRE(connect(caller, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
        const std::string body = R"({"best_effort":true,"phases":[{"count":1}]})";
        const std::string request = fmt::format(
            "POST /queue/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: host.example\r\nContent-Length: {}\r\n\r\n{}", body.size(), body);
        BOOST_REQUIRE(::send(caller, request.data(), request.size(), 0) == static_cast<ssize_t>(request.size()));
        return caller;
    }

    void resume()
    {
        if (!std::exchange(resumed, true))
            thawed.set_value();
    }

    /// Waits until the server has handled a number of requests.
    void waitForRequests(int number) const
    {
        const auto deadline = std::chrono::steady_clock::now() + 5s;
        while (handled < number && std::chrono::steady_clock::now() < deadline)
            std::this_thread::sleep_for(1ms);
        BOOST_REQUIRE(handled == number);
    }

    silent_service service;
    net::http_handler api = platform::clientHandler(service);
    std::promise<void> frozen;
    std::promise<void> thawed;
    bool resumed = false;
    std::atomic<int> handled { 0 };
    net::http_server server { platform::clientServerOptions({ .threads = 1 }),
        [this](const net::http_request& request, const std::shared_ptr<net::responder>& responder) {
            if (request.path == "/freeze") {
                frozen.set_value();
                thawed.get_future().wait();
                responder->reply({});
            } else {
                api(request, responder);
            }
            ++handled;
        } };
    net::http_client client;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_client_api_that_was_frozen, frozen_server)

// Guards against two runs at a time (issue 41): a request lay in the socket of a frozen VM, its caller left and submitted the job
// in another failure domain, and the VM started it when it ran on.
BOOST_AUTO_TEST_CASE(does_not_submit_the_job_of_a_caller_that_has_left)
{
    close(submit());
    resume();
    waitForRequests(2);
    BOOST_TEST(service.submissions == 0);
}

BOOST_AUTO_TEST_CASE(submits_the_job_of_a_caller_that_still_waits)
{
    const int caller = submit();
    resume();
    waitForRequests(2);
    BOOST_TEST(service.submissions == 1);
    close(caller);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_client_api_without_a_configuration)

namespace {

/// A request that arrives before the first configuration.
struct early_request {
    early_request()
    {
        service.table->version = 0;
        BOOST_REQUIRE(server.start());
        net::http_call call;
        call.method = "POST";
        call.url = fmt::format("http://127.0.0.1:{}/queue/5c0e7a21d94b36f8", server.port());
        call.headers = { "Host: host.example" };
        call.body = R"({"best_effort":true,"phases":[{"count":1}]})";
        client.send(call, [this](const auto& reply) { answer.set_value(reply ? reply->status : 0); });
    }

    /// Ticks the gate until it holds the request no longer, as `configured` says.
    void resume(bool configured, std::chrono::milliseconds waited)
    {
        while (service.heldRequests == 0)
            std::this_thread::sleep_for(1ms);
        service.table->version = configured ? 1 : 0;
        service.clock.advance(waited);
        service.gate.tick(configured);
    }

    silent_service service;
    net::http_server server { platform::clientServerOptions({}), platform::clientHandler(service) };
    net::http_client client;
    std::promise<int> answer;
};

} // namespace

// All VMs return from a power loss: every VM refused what arrived in the 15 to 25 ms until it had its configuration.
BOOST_FIXTURE_TEST_CASE(serves_a_request_once_it_is_configured, early_request)
{
    resume(true, 20ms);
    service.submitted.get_future().wait();
    service.completion(jobs::job_state::completed);
    BOOST_TEST(answer.get_future().get() == 200);
}

BOOST_FIXTURE_TEST_CASE(refuses_a_request_that_has_waited_too_long, early_request)
{
    resume(false, jobs::configuration_gate::longestWait);
    BOOST_TEST(answer.get_future().get() == 503);
}

BOOST_AUTO_TEST_CASE(holds_a_bounded_number_of_requests)
{
    const manual_clock clock;
    jobs::configuration_gate gate(clock);
    std::size_t resumed = 0;
    for (std::size_t number = 0; number < jobs::configuration_gate::mostRequests; ++number)
        BOOST_REQUIRE(gate.hold(10, [&resumed] { ++resumed; }));
    BOOST_TEST(!gate.hold(10, [] {}));
    gate.tick(true);
    BOOST_TEST(resumed == jobs::configuration_gate::mostRequests);
    BOOST_TEST(gate.hold(jobs::configuration_gate::mostBytes, [] {}));
    BOOST_TEST(!gate.hold(1, [] {}));
}

BOOST_AUTO_TEST_SUITE_END()
