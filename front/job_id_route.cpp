#include "front/job_id_route.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace coriandermount::front {

namespace {

    constexpr std::size_t maxNamesPerRequest = 1000;

    /// Decodes `{"count": N}`; an empty body stands for a count of 1.
    result<std::size_t> decodeCount(const std::string& text)
    {
        if (text.empty())
            return 1;
        const auto object = nlohmann::json::parse(text, nullptr, false);
        const bool valid = object.is_object() && object.contains("count") && object["count"].is_number_unsigned();
        if (!valid || object["count"].get<std::uint64_t>() < 1 || object["count"].get<std::uint64_t>() > maxNamesPerRequest)
            return fail(
                error_kind::malformed_request, fmt::format("\"count\" must be an integer from 1 to {}", maxNamesPerRequest));
        return object["count"].get<std::size_t>();
    }

} // namespace

void addJobIdRoute(api& target, claims::claim_service& claims, const clock_source& clock)
{
    target.addRoute("POST", "/v1/job-ids",
        [&claims, &clock](const net::http_request& request, const std::shared_ptr<net::responder>& responder) {
            const auto count = decodeCount(request.body);
            if (!count) {
                responder->reply(errorResponse(count.error()));
                return;
            }
            net::http_response response;
            response.body = nlohmann::json {
                { "jobs", claims.issueIds(*count) }, { "issued_at_ms", clock.wallNow().time_since_epoch().count() }
            }.dump();
            responder->reply(std::move(response));
        });
}

} // namespace coriandermount::front
