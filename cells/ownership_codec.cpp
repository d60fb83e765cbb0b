#include "cells/ownership_codec.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace coriandermount::cells {

using json = nlohmann::json;

namespace {

    std::string pack(const json& value)
    {
        std::string packed;
        json::to_msgpack(value, packed);
        return packed;
    }

    template <class Decode> auto unpack(const std::string& value, Decode decode) -> result<decltype(decode(json()))>
    {
        try {
            return decode(json::from_msgpack(value));
        } catch (const json::exception& problem) {
            return fail(error_kind::malformed_request, fmt::format("malformed ownership record: {}", problem.what()));
        }
    }

} // namespace

std::string encodeOwnerRecord(const owner_record& record)
{
    return pack(json::array({ record.epoch, record.owner.value, record.incarnation, record.released, record.processorMillis }));
}

result<owner_record> decodeOwnerRecord(const std::string& value)
{
    return unpack(value, [](const json& fields) {
        const std::uint32_t processorMillis = fields.size() > 4 ? fields.at(4).get<std::uint32_t>() : 0;
        return owner_record { fields.at(0), { fields.at(1) }, fields.at(2), fields.at(3), processorMillis };
    });
}

std::string encodeLiveness(std::uint64_t epoch) { return pack(json(epoch)); }

result<std::uint64_t> decodeLiveness(const std::string& value)
{
    return unpack(value, [](const json& epoch) { return epoch.get<std::uint64_t>(); });
}

} // namespace coriandermount::cells
