#include "front/fleet_routes.h"

#include <array>

#include <nlohmann/json.hpp>

namespace coriandermount::front {

using nlohmann::json;

namespace {

    constexpr int statusOk = 200;
    constexpr int statusAccepted = 202;
    constexpr std::string_view vmsPrefix = "/v1/vms/";
    constexpr std::string_view drainSuffix = "/drain";

    std::string_view nameOf(member_state state)
    {
        constexpr std::array<std::string_view, 4> names { "alive", "suspected", "leaving", "dead" };
        return names[static_cast<std::size_t>(state)];
    }

    json encodeMember(const member& vm)
    {
        return { { "id", vm.id.value }, { "domain", vm.domain.value }, { "rack", vm.rack }, { "peer_address", vm.peerAddress },
            { "incarnation", vm.incarnation }, { "state", nameOf(vm.state) } };
    }

    json encodeSummary(const domain_summary& summary)
    {
        json contacts = json::array();
        for (const auto& vm : summary.contacts)
            contacts.push_back({ { "id", vm.id.value }, { "peer_address", vm.peerAddress } });
        return { { "domain", summary.domain.value }, { "reachable", summary.reachable }, { "live_vms", summary.liveVms },
            { "live_workers", summary.liveWorkers }, { "free_slots", summary.freeSlots }, { "contacts", contacts } };
    }

    std::string encodeFleet(const fleet_view& view)
    {
        json members = json::array();
        for (const auto& vm : view.members)
            members.push_back(encodeMember(vm));
        json domains = json::array();
        for (const auto& [domain, summary] : view.otherDomains)
            domains.push_back(encodeSummary(summary));
        return json { { "self", encodeMember(view.self) }, { "members", members }, { "other_domains", domains } }.dump();
    }

    net::http_response drainResponse(const std::string& path, fleet::fleet_controller& fleet)
    {
        if (!path.ends_with(drainSuffix) || path.size() <= vmsPrefix.size() + drainSuffix.size())
            return errorResponse({ error_kind::not_found, "the path must be /v1/vms/ID/drain", std::nullopt });
        const vm_id vm { path.substr(vmsPrefix.size(), path.size() - vmsPrefix.size() - drainSuffix.size()) };
        if (auto drained = fleet.drain(vm); !drained)
            return errorResponse(drained.error());
        return { statusAccepted, "application/json", json { { "draining", vm.value } }.dump(), {}, false };
    }

} // namespace

void addFleetRoutes(api& target, const blackboard& board, fleet::fleet_controller& fleet)
{
    target.addRoute("GET", "/v1/fleet", [&board](const net::http_request&, const std::shared_ptr<net::responder>& responder) {
        responder->reply({ statusOk, "application/json", encodeFleet(*board.fleet.read()), {}, false });
    });
    target.addRoute("POST", std::string(vmsPrefix),
        [&fleet](const net::http_request& request, const std::shared_ptr<net::responder>& responder) {
            responder->reply(drainResponse(request.path, fleet));
        });
}

} // namespace coriandermount::front
