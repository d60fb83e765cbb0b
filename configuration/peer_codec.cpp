#include "configuration/peer_codec.h"

#include <nlohmann/json.hpp>

#include "configuration/codec.h"

namespace coriandermount::configuration {

using nlohmann::json;

namespace {

    history_entry decodeHistoryEntry(const json& value)
    {
        history_entry entry;
        entry.offset = value.at("offset").get<std::uint64_t>();
        entry.version = value.at("version").get<std::uint64_t>();
        entry.basedOn = value.at("based_on").get<std::uint64_t>();
        entry.recordId = value.at("record").get<std::string>();
        entry.author = value.at("author").get<std::string>();
        entry.reason = value.at("reason").get<std::string>();
        entry.publishedAt = wall_time(std::chrono::milliseconds(value.at("published_at_ms").get<std::int64_t>()));
        entry.changes = value.at("changes").get<std::vector<std::string>>();
        entry.problem = value.at("problem").get<std::string>();
        return entry;
    }

} // namespace

json encodeHistoryEntry(const history_entry& entry)
{
    return { { "offset", entry.offset }, { "version", entry.version }, { "based_on", entry.basedOn },
        { "record", entry.recordId }, { "author", entry.author }, { "reason", entry.reason },
        { "published_at_ms", entry.publishedAt.time_since_epoch().count() }, { "changes", entry.changes },
        { "problem", entry.problem } };
}

std::string encodePeerState(const peer_state& state)
{
    json history = json::array();
    for (const auto& entry : state.history)
        history.push_back(encodeHistoryEntry(entry));
    return json {
        { "current", encodeSnapshot(state.current) }, { "next_offset", state.nextOffset },
        { "whole_offset", state.fullRecordOffset }, { "current_offset", state.currentOffset }, { "history", history }
    }.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<peer_state> decodePeerState(const std::string& text)
{
    try {
        const json value = json::parse(text);
        peer_state state;
        auto current = decodeSnapshot(value.at("current").get<std::string>());
        if (!current)
            return tl::unexpected<error>(current.error());
        state.current = std::move(*current);
        state.nextOffset = value.at("next_offset").get<std::uint64_t>();
        state.fullRecordOffset = value.at("whole_offset").get<std::uint64_t>();
        state.currentOffset = value.at("current_offset").get<std::uint64_t>();
        for (const auto& entry : value.at("history"))
            state.history.push_back(decodeHistoryEntry(entry));
        return state;
    } catch (const json::exception& problem) {
        return fail(error_kind::configuration_invalid, problem.what());
    }
}

} // namespace coriandermount::configuration
