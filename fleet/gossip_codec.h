/// Encoding of gossip messages as JSON arrays. Most fields have a position instead of a name, which keeps the messages small.
#pragma once

#include <string>

#include "core/error.h"
#include "fleet/gossip_message.h"

namespace coriandermount::fleet {

/// Returns the JSON text of `message`. Bytes that are not valid UTF-8 are replaced.
std::string encodeGossip(const gossip_message& message);

/// Returns the message that `text` encodes. Fails with `malformed_request` if `text` is not a gossip message.
result<gossip_message> decodeGossip(const std::string& text);

} // namespace coriandermount::fleet
