#include "front/operator_routes.h"

#include <charconv>

#include "front/job_path.h"

namespace coriandermount::front {

namespace {

    constexpr std::string_view explainPath = "/v1/explain";
    constexpr std::chrono::minutes defaultPeriod { 10 };

    /// Parses the query parameter `since_ms`, in milliseconds since 1970. The default is ten minutes before `now`.
    result<wall_time> parseSince(const net::http_request& request, wall_time now)
    {
        const auto sinceParameter = request.query.find("since_ms");
        if (sinceParameter == request.query.end())
            return now - defaultPeriod;
        const std::string& text = sinceParameter->second;
        std::int64_t value = 0;
        const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (problem != std::errc() || end != text.data() + text.size())
            return fail(error_kind::malformed_request, "since_ms must be a time in milliseconds since 1970");
        return wall_time(std::chrono::milliseconds(value));
    }

    net::http_response jsonResponse(std::string body)
    {
        net::http_response response;
        response.body = std::move(body);
        return response;
    }

} // namespace

void addOperatorRoutes(api& target, const clock_source& clock, explain::aggregator& aggregator)
{
    target.addRoute("GET", "/v1/explain/", [&aggregator](const auto& request, const auto& responder) {
        const auto key = keyFromPath(request.path, explainPath);
        if (!key) {
            responder->reply(errorResponse(key.error()));
            return;
        }
        aggregator.explain(*key, [responder](const result<event_log::explanation>& found) {
            responder->reply(found ? jsonResponse(event_log::encodeExplanation(*found)) : errorResponse(found.error()));
        });
    });
    target.addRoute("GET", "/v1/faults", [&clock, &aggregator](const auto& request, const auto& responder) {
        const auto since = parseSince(request, clock.wallNow());
        if (!since) {
            responder->reply(errorResponse(since.error()));
            return;
        }
        aggregator.reportFaults(*since, [responder](const result<explain::fault_report>& report) {
            responder->reply(report ? jsonResponse(explain::encodeReport(*report)) : errorResponse(report.error()));
        });
    });
}

} // namespace coriandermount::front
