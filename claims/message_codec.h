/// JSON encoding of claim messages.
#pragma once

#include <string>

#include <nlohmann/json_fwd.hpp>

#include "claims/message.h"

namespace coriandermount::claims {

/// Conversions of a view, found by the JSON library. `from_json` throws `nlohmann::json::exception` on malformed input.
void to_json(nlohmann::json& target, const claim_view& view);
void from_json(const nlohmann::json& source, claim_view& view);

/// Messages from one VM to another that are sent in one call or reply.
struct message_batch {
    /// Address of the sender's peer listener.
    std::string from;
    std::vector<message> messages;
};

/// Returns the JSON text of a batch. Invalid UTF-8 is replaced.
std::string encodeBatch(const message_batch& batch);

/// Reads the JSON text of a batch. Fails with `malformed_request`.
result<message_batch> decodeBatch(const std::string& text);

} // namespace coriandermount::claims
