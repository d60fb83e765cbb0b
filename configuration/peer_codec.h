/// JSON encoding of the state that a VM returns to a peer that fetches its configuration.
#pragma once

#include <string>

#include <nlohmann/json_fwd.hpp>

#include "configuration/follower.h"

namespace coriandermount::configuration {

/// Encodes all fields of a history entry.
nlohmann::json encodeHistoryEntry(const history_entry& entry);

/// Encodes all fields of a peer's state.
std::string encodePeerState(const peer_state& state);

/// Decodes a peer's state. Fails with `configuration_invalid` when the text is malformed or the configuration violates a rule.
result<peer_state> decodePeerState(const std::string& text);

} // namespace coriandermount::configuration
