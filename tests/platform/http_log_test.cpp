// Tests which answers of the log prove that a record was not appended, over the loopback interface.
#include <future>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "net/http_server.h"
#include "platform/http_platform.h"

using namespace coriandermount;

namespace {

/// Log that answers every append with `response`.
struct answering_log {
    answering_log()
        : server({},
            [this](const net::http_request&, const std::shared_ptr<net::responder>& responder) { responder->reply(response); })
    {
        BOOST_REQUIRE(server.start());
    }

    error_kind appendErrorFor(int status, const std::string& body = "{}")
    {
        response.status = status;
        response.body = body;
        platform::http_log log(client, fmt::format("127.0.0.1:{}", server.port()), std::chrono::seconds(60));
        std::promise<result<platform::log_offset>> answer;
        log.append("stream", "record", [&answer](const result<platform::log_offset>& appended) { answer.set_value(appended); });
        const auto appended = answer.get_future().get();
        BOOST_REQUIRE(!appended);
        return appended.error().kind;
    }

    net::http_response response;
    net::http_server server;
    net::http_client client;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_record_that_the_log_answered_with_an_error, answering_log)

BOOST_AUTO_TEST_CASE(is_not_appended_if_the_log_refused_it)
{
    BOOST_TEST((appendErrorFor(400) == error_kind::log_unavailable));
    BOOST_TEST((appendErrorFor(413) == error_kind::log_unavailable));
    BOOST_TEST((appendErrorFor(429) == error_kind::log_unavailable));
    BOOST_TEST((appendErrorFor(503) == error_kind::log_unavailable));
}

// Guards against a false refusal: "not appended" was reported for a record that the log may hold, so that the publication of a
// configuration counted as not published.
BOOST_AUTO_TEST_CASE(may_be_appended_if_the_answer_does_not_say_that_nothing_was_done)
{
    BOOST_TEST((appendErrorFor(500) == error_kind::log_answer_lost));
    BOOST_TEST((appendErrorFor(502) == error_kind::log_answer_lost));
    BOOST_TEST((appendErrorFor(504) == error_kind::log_answer_lost));
    BOOST_TEST((appendErrorFor(202) == error_kind::log_answer_lost));
    BOOST_TEST((appendErrorFor(200, "not JSON") == error_kind::log_answer_lost));
}

BOOST_AUTO_TEST_SUITE_END()
