#include "cells/beat.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace coriandermount::cells {

using json = nlohmann::json;

std::string encode(const beat& current)
{
    json fields = json::array({ current.sender.value, current.boot, current.epoch, current.ownedEpoch,
        current.ownerSilence ? current.ownerSilence->count() : -1, current.draining, current.storeReachable });
    if (current.load) {
        json waits = json::array();
        for (const auto wait : current.load->waitByPriority)
            waits.push_back(wait.count());
        fields.push_back(std::move(waits));
        fields.push_back(current.load->pendingByQueue);
    }
    std::string packed;
    json::to_msgpack(fields, packed);
    return packed;
}

result<beat> decodeBeat(const std::string& datagram)
{
    try {
        const json fields = json::from_msgpack(datagram);
        beat current;
        current.sender.value = fields.at(0);
        current.boot = fields.at(1);
        current.epoch = fields.at(2);
        current.ownedEpoch = fields.at(3);
        if (const auto silence = fields.at(4).get<std::int64_t>(); silence >= 0)
            current.ownerSilence = std::chrono::milliseconds(silence);
        current.draining = fields.at(5);
        current.storeReachable = fields.at(6);
        if (fields.size() > 8) {
            current.load.emplace();
            for (const auto& wait : fields.at(7))
                current.load->waitByPriority.emplace_back(wait.get<std::int64_t>());
            current.load->pendingByQueue = fields.at(8).get<std::map<std::string, std::uint32_t>>();
        }
        return current;
    } catch (const json::exception& problem) {
        return fail(error_kind::malformed_request, fmt::format("a beat can't be read: {}", problem.what()));
    }
}

} // namespace coriandermount::cells
