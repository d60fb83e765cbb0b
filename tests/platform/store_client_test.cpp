// Tests which answers of the log service prove that nothing was appended, over the loopback interface.
#include <atomic>
#include <future>
#include <thread>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "net/http_server.h"
#include "platform/store_client.h"

using namespace coriandermount;

namespace {

/// Log service that answers every call with `response`.
struct answering_log {
    answering_log()
        : server(net::http_server_options {},
            [this](const net::http_request&, const std::shared_ptr<net::responder>& responder) { responder->reply(response); })
    {
        BOOST_REQUIRE(server.start());
    }

    error_kind appendErrorFor(int status, const std::string& body = "{}")
    {
        response.status = status;
        response.body = body;
        platform::store_client store(client, fmt::format("127.0.0.1:{}", server.port()), contact);
        std::promise<result<std::uint64_t>> answer;
        jobs::append_request request;
        request.stream = { "topic", 0 };
        request.records.push_back({ "key", "value", 0 });
        store.append(request, [&answer](const result<std::uint64_t>& appended) { answer.set_value(appended); });
        const auto appended = answer.get_future().get();
        BOOST_REQUIRE(!appended);
        return appended.error().kind;
    }

    net::http_response response;
    net::http_server server;
    system_clock_source clock;
    jobs::store_contact contact { clock };
    net::http_client client;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_failed_append, answering_log)

BOOST_AUTO_TEST_CASE(stored_nothing_if_the_log_refused_it)
{
    BOOST_TEST((appendErrorFor(503) == error_kind::log_unavailable));
    BOOST_TEST((appendErrorFor(429) == error_kind::log_unavailable));
    BOOST_TEST((appendErrorFor(404) == error_kind::log_unavailable));
    BOOST_TEST((appendErrorFor(507) == error_kind::log_full));
    BOOST_TEST((appendErrorFor(412) == error_kind::log_position_taken));
    BOOST_TEST((appendErrorFor(409, R"({"reason":"fenced"})") == error_kind::log_epoch_fenced));
    BOOST_TEST((appendErrorFor(409, R"({"reason":"seq"})") == error_kind::log_unavailable));
}

BOOST_AUTO_TEST_CASE(may_be_stored_if_the_answer_does_not_say_that_nothing_was_done)
{
    // Guards against a false refusal: a job whose append ended with such a status was reported as not stored.
    BOOST_TEST((appendErrorFor(500) == error_kind::log_answer_lost));
    BOOST_TEST((appendErrorFor(502) == error_kind::log_answer_lost));
    BOOST_TEST((appendErrorFor(504) == error_kind::log_answer_lost));
    BOOST_TEST((appendErrorFor(200, "not JSON") == error_kind::log_answer_lost));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against callers that wait for a log that takes calls and answers none: the client has to report calls and answers.
BOOST_AUTO_TEST_CASE(a_log_that_falls_silent_and_answers_again_is_noticed)
{
    constexpr auto tickInterval = std::chrono::milliseconds(20);
    constexpr int noticeLimitTicks = 500;
    std::atomic<bool> isSilent { true };
    net::http_server server({}, [&](const net::http_request&, const std::shared_ptr<net::responder>& responder) {
        net::http_response response;
        response.status = 503;
        if (!isSilent)
            responder->reply(response);
    });
    BOOST_REQUIRE(server.start());
    const system_clock_source clock;
    jobs::store_contact contact(clock);
    net::http_client client;
    platform::store_client store(client, fmt::format("127.0.0.1:{}", server.port()), contact);
    const auto waitFor = [&](bool silent) {
        for (int tick = 0; tick < noticeLimitTicks && contact.silence().has_value() != silent; ++tick) {
            contact.tick(store, { "topic", 0 });
            std::this_thread::sleep_for(tickInterval);
        }
        return contact.silence().has_value() == silent;
    };
    store.append({ { "topic", 0 }, { { "key", "value", 0 } }, {}, {} }, [](const auto&) {});
    BOOST_TEST(waitFor(true));
    isSilent = false;
    BOOST_TEST(waitFor(false));
}
