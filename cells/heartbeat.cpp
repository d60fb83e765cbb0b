#include "cells/heartbeat.h"

#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "core/json_number.h"

namespace coriandermount::cells {

using json = nlohmann::json;

namespace {

    /// Room that is left in a heartbeat for lists, in bytes. The rest of a heartbeat grows only with the number of cells.
    struct list_room {
        std::size_t pending = 2048;
        std::size_t idle = 4096;
    };

    /// Returns a bound for the encoded size of a number with its name.
    std::size_t entrySize(const std::string& name)
    {
        constexpr std::size_t nameHeader = 5;
        constexpr std::size_t number = 9;
        return nameHeader + name.size() + number;
    }

    /// Returns whether the counts are known and fit into `room`, which they take then.
    bool takeRoom(const std::shared_ptr<const queue_counts>& counts, std::size_t& room)
    {
        if (!counts)
            return false;
        std::size_t size = 0;
        for (const auto& [queue, pending] : *counts) {
            size += entrySize(queue);
            if (size > room)
                return false;
        }
        room -= size;
        return true;
    }

    /// Encodes the idle capacity of as many services as fit into `room`. A service that is not listed has none.
    json encodeIdle(const std::map<std::string, std::int64_t>& idleCpu, std::size_t& room)
    {
        json listed = json::object();
        for (const auto& [service, idle] : idleCpu) {
            const std::size_t size = entrySize(service);
            if (idle == 0 || size > room)
                continue;
            room -= size;
            listed.emplace(service, idle);
        }
        return listed;
    }

    json encodeView(const cell_view& view, list_room& room)
    {
        json fields = json::array(
            { view.cell, view.epoch, view.owned, view.ownerSilence ? view.ownerSilence->count() : std::int64_t { -1 } });
        if (!view.load)
            return fields;
        json waits = json::array();
        for (const auto wait : view.load->waitByPriority)
            waits.push_back(wait.count());
        fields.push_back(std::move(waits));
        const bool hasCounts = takeRoom(view.load->pendingByQueue, room.pending);
        fields.push_back(hasCounts ? json(*view.load->pendingByQueue) : json::object());
        fields.push_back(encodeIdle(view.load->idleCpu, room.idle));
        fields.push_back(hasCounts && view.load->recordsCurrent);
        // VMs of earlier versions, which cannot ask the owner, must not take the empty list for a count.
        if (!hasCounts)
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
        constexpr std::size_t fieldsWithoutCounts = 9;
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
        for (const auto& [service, idle] : fields.at(6).items())
            view.load->idleCpu.emplace(service, numberIn<std::int64_t>(idle));
        if (fields.size() >= fieldsWithoutCounts) {
            view.load->recordsCurrent = fields.at(8);
            return view;
        }
        view.load->recordsCurrent = fields.at(7);
        queue_counts counts;
        for (const auto& [queue, pending] : fields.at(5).items())
            counts.emplace(queue, numberIn<std::uint32_t>(pending));
        view.load->pendingByQueue = std::make_shared<const queue_counts>(std::move(counts));
        return view;
    }

} // namespace

std::string encode(const heartbeat& current)
{
    list_room room;
    json views = json::array();
    for (const auto& view : current.cells)
        views.push_back(encodeView(view, room));
    json relayed = json::array();
    for (const auto& entry : current.relayed)
        relayed.push_back(json::array({ entry.owner.value, entry.age.count(), encodeView(entry.view, room) }));
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
