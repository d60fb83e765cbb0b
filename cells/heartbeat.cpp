#include "cells/heartbeat.h"

#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "core/json_number.h"

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

    /// Returns a time within 0 and `longestDuration`: the sender's may be a little below 0, and sums with it must not overflow.
    std::chrono::milliseconds timeIn(const json& value)
    {
        return std::clamp(
            std::chrono::milliseconds(numberIn<std::int64_t>(value)), std::chrono::milliseconds(0), longestDuration);
    }

    cell_view decodeView(const json& fields)
    {
        constexpr std::size_t fieldsWithLoad = 8;
        cell_view view;
        view.cell = numberIn<cell_number>(fields.at(0));
        view.epoch = numberIn<std::uint64_t>(fields.at(1));
        view.owned = fields.at(2);
        if (fields.at(3) != -1)
            view.ownerSilence = timeIn(fields.at(3));
        if (fields.size() < fieldsWithLoad)
            return view;
        view.load.emplace();
        for (const auto& wait : fields.at(4))
            view.load->waitByPriority.push_back(timeIn(wait));
        for (const auto& [queue, pending] : fields.at(5).items())
            view.load->pendingByQueue.emplace(queue, numberIn<std::uint32_t>(pending));
        for (const auto& [service, idle] : fields.at(6).items())
            view.load->idleCpu.emplace(service, numberIn<std::int64_t>(idle));
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
        heartbeat current { { fields.at(0) }, numberIn<std::uint64_t>(fields.at(1)), fields.at(2), fields.at(3), {},
            numberIn<std::uint32_t>(fields.at(5)), {} };
        for (const auto& view : fields.at(4))
            current.cells.push_back(decodeView(view));
        for (const auto& entry : fields.at(6))
            current.relayed.push_back({ { entry.at(0) }, timeIn(entry.at(1)), decodeView(entry.at(2)) });
        return current;
    } catch (const json::exception& problem) {
        return fail(error_kind::malformed_request, fmt::format("malformed heartbeat: {}", problem.what()));
    }
}

} // namespace coriandermount::cells
