#include "front/configuration_routes.h"

#include <nlohmann/json.hpp>

#include "configuration/codec.h"
#include "configuration/diff.h"
#include "configuration/peer_codec.h"
#include "configuration/rules.h"

namespace coriandermount::front {

using configuration::configuration_controller;
using nlohmann::json;

namespace {

    constexpr int statusOk = 200;
    constexpr std::string_view recordsPrefix = "/v1/configuration/records/";

    net::http_response jsonResponse(const json& body)
    {
        return { statusOk, "application/json", body.dump(-1, ' ', false, json::error_handler_t::replace), {}, false };
    }

    net::http_response currentResponse(const configuration_controller& source)
    {
        const auto current = source.current();
        if (current->version == 0)
            return errorResponse({ error_kind::configuration_missing, {}, std::nullopt });
        json body = json::parse(configuration::encodeSnapshot(*current));
        body["in_force_for_ms"] = source.age().count();
        return jsonResponse(body);
    }

    net::http_response historyResponse(const configuration_controller& source)
    {
        json entries = json::array();
        for (const auto& entry : source.history())
            entries.push_back(configuration::encodeHistoryEntry(entry));
        return jsonResponse({ { "records", entries } });
    }

    net::http_response recordResponse(const configuration_controller& source, const std::string& path)
    {
        const std::string id = path.substr(recordsPrefix.size());
        const auto entry = source.outcomeOf(id);
        if (!entry)
            return errorResponse({ error_kind::not_found, "no outcome is known for configuration record " + id, std::nullopt });
        return jsonResponse(configuration::encodeHistoryEntry(*entry));
    }

    net::http_response checkResponse(const configuration_controller& source, const std::string& text)
    {
        const json body = json::parse(text, nullptr, false);
        if (body.is_discarded())
            return errorResponse({ error_kind::configuration_invalid, "the request body is not valid JSON", std::nullopt });
        std::vector<std::string> problems;
        const auto candidate = configuration::readSnapshot(body, problems);
        const auto violations = configuration::findRuleViolations(candidate);
        problems.insert(problems.end(), violations.begin(), violations.end());
        const auto current = source.current();
        return jsonResponse({ { "valid", problems.empty() }, { "problems", problems },
            { "changes", configuration::describeChanges(*current, candidate) }, { "based_on", candidate.basedOn },
            { "in_force", current->version }, { "conflict", candidate.basedOn != current->version } });
    }

    net::http_response publishResponse(const configuration::publish_result& outcome)
    {
        net::http_response response;
        json body = { { "record", outcome.recordId } };
        if (outcome.problem) {
            response = errorResponse(*outcome.problem);
            body.update(json::parse(response.body));
        } else {
            body["accepted"] = true;
            body["version"] = outcome.version;
        }
        if (outcome.winner)
            body["winner"] = configuration::encodeHistoryEntry(*outcome.winner);
        body["changes"] = outcome.changes;
        response.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
        return response;
    }

    void publish(
        configuration_controller& source, const net::http_request& request, const std::shared_ptr<net::responder>& responder)
    {
        auto candidate = configuration::decodeSnapshot(request.body);
        if (!candidate) {
            responder->reply(errorResponse(candidate.error()));
            return;
        }
        source.publish(std::move(*candidate),
            [responder](const configuration::publish_result& outcome) { responder->reply(publishResponse(outcome)); });
    }

} // namespace

void addConfigurationRoutes(api& target, configuration_controller& source)
{
    using responder_ptr = std::shared_ptr<net::responder>;
    target.addRoute("GET", "/v1/configuration",
        [&source](const net::http_request&, const responder_ptr& responder) { responder->reply(currentResponse(source)); });
    target.addRoute("POST", "/v1/configuration",
        [&source](const net::http_request& request, const responder_ptr& responder) { publish(source, request, responder); });
    target.addRoute("GET", "/v1/configuration/history",
        [&source](const net::http_request&, const responder_ptr& responder) { responder->reply(historyResponse(source)); });
    target.addRoute(
        "GET", std::string(recordsPrefix), [&source](const net::http_request& request, const responder_ptr& responder) {
            responder->reply(recordResponse(source, request.path));
        });
    target.addRoute(
        "POST", "/v1/configuration/check", [&source](const net::http_request& request, const responder_ptr& responder) {
            responder->reply(checkResponse(source, request.body));
        });
}

} // namespace coriandermount::front
