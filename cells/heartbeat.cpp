#include "cells/heartbeat.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace coriandermount::cells {

using json = nlohmann::json;

namespace {

    json encodeView(const cell_view& view)
    {
        json fields = json::array(
            { view.cell, view.epoch, view.owned, view.ownerSilence ? view.ownerSilence->count() : std::int64_t { -1 } });
        if (!view.load)
            return fields;
        json waits = json::array();
        for (const auto wait : view.load->waitByPriority)
            waits.push_back(wait.count());
        fields.push_back(std::move(waits));
        fields.push_back(view.load->pendingByQueue);
        fields.push_back(view.load->idleCpu);
        fields.push_back(view.load->recordsCurrent);
        return fields;
    }

    cell_view decodeView(const json& fields)
    {
        constexpr std::size_t fieldsWithLoad = 8;
        cell_view view;
        view.cell = fields.at(0);
        view.epoch = fields.at(1);
        view.owned = fields.at(2);
        if (const auto silence = fields.at(3).get<std::int64_t>(); silence >= 0)
            view.ownerSilence = std::chrono::milliseconds(silence);
        if (fields.size() < fieldsWithLoad)
            return view;
        view.load.emplace();
        for (const auto& wait : fields.at(4))
            view.load->waitByPriority.emplace_back(wait.get<std::int64_t>());
        view.load->pendingByQueue = fields.at(5).get<std::map<std::string, std::uint32_t>>();
        view.load->idleCpu = fields.at(6).get<std::map<std::string, std::int64_t>>();
        view.load->recordsCurrent = fields.at(7);
        return view;
    }

} // namespace

std::string encode(const heartbeat& current)
{
    json views = json::array();
    for (const auto& view : current.cells)
        views.push_back(encodeView(view));
    json relayed = json::array();
    for (const auto& entry : current.relayed)
        relayed.push_back(json::array({ entry.owner.value, entry.age.count(), encodeView(entry.view) }));
    std::string packed;
    json::to_msgpack(json::array({ current.sender.value, current.incarnation, current.draining, current.storeReachable,
                         std::move(views), current.processorMillis, std::move(relayed) }),
        packed);
    return packed;
}

result<heartbeat> decodeHeartbeat(const std::string& datagram)
{
    try {
        const json fields = json::from_msgpack(datagram);
        heartbeat current { { fields.at(0) }, fields.at(1), fields.at(2), fields.at(3), {}, fields.at(5), {} };
        for (const auto& view : fields.at(4))
            current.cells.push_back(decodeView(view));
        for (const auto& entry : fields.at(6))
            current.relayed.push_back(
                { { entry.at(0) }, std::chrono::milliseconds(entry.at(1).get<std::int64_t>()), decodeView(entry.at(2)) });
        return current;
    } catch (const json::exception& problem) {
        return fail(error_kind::malformed_request, fmt::format("malformed heartbeat: {}", problem.what()));
    }
}

} // namespace coriandermount::cells
