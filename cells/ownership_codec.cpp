#include "cells/ownership_codec.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "core/json_number.h"

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
        const std::uint32_t processorMillis = fields.size() > 4 ? numberIn<std::uint32_t>(fields.at(4)) : 0;
        return owner_record { numberIn<std::uint64_t>(fields.at(0)), { fields.at(1) }, numberIn<std::uint64_t>(fields.at(2)),
            fields.at(3), processorMillis };
    });
}

std::string encodeLiveness(std::uint64_t epoch) { return pack(json(epoch)); }

result<std::uint64_t> decodeLiveness(const std::string& value)
{
    return unpack(value, [](const json& epoch) { return numberIn<std::uint64_t>(epoch); });
}

} // namespace coriandermount::cells
