#include "cells/keep_alive.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "core/json_number.h"

namespace coriandermount::cells {

using json = nlohmann::json;

namespace {

    /// First byte of a keep-alive: the head of an array of three elements in MessagePack. A heartbeat has more of them.
    constexpr char firstByte = '\x93';
    constexpr const char* messageName = "keep-alive";

} // namespace

bool isKeepAlive(const std::string& datagram) { return datagram.starts_with(firstByte); }

std::string encode(const keep_alive& current)
{
    // The differences of ascending numbers take fewer bytes.
    json differences = json::array();
    std::uint64_t last = 0;
    for (const std::uint64_t number : current.requests) {
        differences.push_back(number - last);
        last = number;
    }
    std::string packed;
    json::to_msgpack(json::array({ messageName, current.sender, std::move(differences) }), packed);
    return packed;
}

result<keep_alive> decodeKeepAlive(const std::string& datagram)
{
    try {
        const json fields = json::from_msgpack(datagram);
        if (fields.at(0) != messageName)
            return fail(error_kind::malformed_request, "a datagram of three fields is no keep-alive");
        keep_alive current { numberIn<std::uint64_t>(fields.at(1)), {} };
        std::uint64_t last = 0;
        for (const auto& difference : fields.at(2))
            current.requests.push_back(last += numberIn<std::uint64_t>(difference));
        return current;
    } catch (const json::exception& problem) {
        return fail(error_kind::malformed_request, fmt::format("malformed keep-alive: {}", problem.what()));
    }
}

} // namespace coriandermount::cells
