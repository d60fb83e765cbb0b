#include "quota/codec.h"

#include <nlohmann/json.hpp>

namespace coriandermount::quota {

using nlohmann::json;

namespace {

    enum class message_kind { sync_request, sync_reply, recall_request };

    json encode(const unit_map& units)
    {
        json list = json::array();
        for (const auto& [resource, count] : units)
            list.push_back({ static_cast<int>(resource.kind), resource.name, count });
        return list;
    }

    resource_id decodeResource(const json& entry)
    {
        const auto kind = entry.at(0).get<std::uint8_t>();
        if (kind > static_cast<std::uint8_t>(resource_kind::memory_megabytes))
            throw std::out_of_range("unknown resource kind " + std::to_string(kind));
        return { static_cast<resource_kind>(kind), entry.at(1).get<std::string>() };
    }

    unit_map decodeUnits(const json& list)
    {
        unit_map units;
        for (const auto& entry : list)
            units[decodeResource(entry)] = entry.at(2).get<std::uint32_t>();
        return units;
    }

    json encode(const std::vector<unit_batch>& batches)
    {
        json list = json::array();
        for (const auto& batch : batches)
            list.push_back({ batch.number, encode(batch.units) });
        return list;
    }

    std::vector<unit_batch> decodeBatches(const json& list)
    {
        std::vector<unit_batch> batches;
        batches.reserve(list.size());
        for (const auto& entry : list)
            batches.push_back({ entry.at(0).get<std::uint64_t>(), decodeUnits(entry.at(1)) });
        return batches;
    }

    json encode(const need_map& needs)
    {
        json list = json::array();
        for (const auto& [resource, need] : needs)
            list.push_back({ static_cast<int>(resource.kind), resource.name, need.used, need.demanded });
        return list;
    }

    need_map decodeNeeds(const json& list)
    {
        need_map needs;
        for (const auto& entry : list)
            needs[decodeResource(entry)] = { entry.at(2).get<std::uint32_t>(), entry.at(3).get<std::uint32_t>() };
        return needs;
    }

    json encode(const sync_request& value)
    {
        return { static_cast<int>(message_kind::sync_request), value.from.value, value.to.value, value.session.incarnation,
            value.session.number, value.domain.value, value.sequence, value.opensSession, encode(value.holdings),
            value.echoedTimestamp, value.isVote, encode(value.returns), value.lastAppliedGrant, value.urgent,
            encode(value.needs) };
    }

    json encode(const sync_reply& value)
    {
        return { static_cast<int>(message_kind::sync_reply), value.from.value, value.to.value, value.session.incarnation,
            value.session.number, value.sequence, static_cast<int>(value.status), value.arbiter.value, value.arbiterAddress,
            value.timestamp, value.lease.count(), encode(value.grants), value.lastAppliedReturn };
    }

    json encode(const recall_request& value)
    {
        return { static_cast<int>(message_kind::recall_request), value.from.value, value.to.value, value.session.incarnation,
            value.session.number, encode(value.ceilings) };
    }

    /// Decodes the fields at the start of every message.
    template <class Message> Message decodeHead(const json& body)
    {
        Message value;
        value.from.value = body.at(1).get<std::string>();
        value.to.value = body.at(2).get<std::string>();
        value.session = { body.at(3).get<std::uint64_t>(), body.at(4).get<std::uint64_t>() };
        return value;
    }

    message decodeRequest(const json& body)
    {
        auto value = decodeHead<sync_request>(body);
        value.domain.value = body.at(5).get<std::string>();
        value.sequence = body.at(6).get<std::uint64_t>();
        value.opensSession = body.at(7).get<bool>();
        value.holdings = decodeUnits(body.at(8));
        value.echoedTimestamp = body.at(9).get<std::uint64_t>();
        value.isVote = body.at(10).get<bool>();
        value.returns = decodeBatches(body.at(11));
        value.lastAppliedGrant = body.at(12).get<std::uint64_t>();
        value.urgent = body.at(13).get<bool>();
        value.needs = decodeNeeds(body.at(14));
        return value;
    }

    message decodeReply(const json& body)
    {
        auto value = decodeHead<sync_reply>(body);
        value.sequence = body.at(5).get<std::uint64_t>();
        const int status = body.at(6).get<int>();
        if (status < 0 || status > static_cast<int>(sync_status::not_arbiter))
            throw std::out_of_range("unknown sync status " + std::to_string(status));
        value.status = static_cast<sync_status>(status);
        value.arbiter.value = body.at(7).get<std::string>();
        value.arbiterAddress = body.at(8).get<std::string>();
        value.timestamp = body.at(9).get<std::uint64_t>();
        value.lease = std::chrono::milliseconds(body.at(10).get<std::int64_t>());
        value.grants = decodeBatches(body.at(11));
        value.lastAppliedReturn = body.at(12).get<std::uint64_t>();
        return value;
    }

    message decodeRecall(const json& body)
    {
        auto value = decodeHead<recall_request>(body);
        value.ceilings = decodeUnits(body.at(5));
        return value;
    }

    message decodeBody(const json& body)
    {
        switch (static_cast<message_kind>(body.at(0).get<int>())) {
        case message_kind::sync_request:
            return decodeRequest(body);
        case message_kind::sync_reply:
            return decodeReply(body);
        case message_kind::recall_request:
            return decodeRecall(body);
        }
        throw std::out_of_range("unknown message kind " + std::to_string(body.at(0).get<int>()));
    }

} // namespace

std::string encodeMessage(const message& content)
{
    const json body = std::visit([](const auto& value) { return encode(value); }, content);
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<message> decodeMessage(const std::string& text)
{
    try {
        return decodeBody(json::parse(text));
    } catch (const std::exception& problem) {
        return fail(error_kind::malformed_request, problem.what());
    }
}

} // namespace coriandermount::quota
