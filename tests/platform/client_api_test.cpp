// Tests what clients of the platform are told when the VM stops, over the loopback interface.
#include <future>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "net/http_client.h"
#include "platform/client_api.h"

using namespace coriandermount;

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
    void submit(jobs::job, const jobs::queue_rules&, std::chrono::milliseconds,
        std::function<void(result<jobs::job_state>)> done) override
    {
        completion = std::move(done);
        submitted.set_value();
    }
    void cancel(const std::string&, std::function<void(result<void>)>) override { }
    void state(const std::string&, std::function<void(result<jobs::job_state>)>) override { }
    result<std::uint32_t> pending(const std::string&) const override { return 0U; }
    void noteAnswer(std::optional<error_kind>, std::chrono::microseconds) override { }
    bool isReady() const override { return true; }
    bool isDraining() const override { return false; }

    std::shared_ptr<jobs::queue_table> table = std::make_shared<jobs::queue_table>();
    std::promise<void> submitted;
    std::function<void(result<jobs::job_state>)> completion;
};

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

BOOST_AUTO_TEST_SUITE_END()
