/// Text form of a configuration that one VM hands to another.
#pragma once

#include <string>

#include <nlohmann/json_fwd.hpp>

#include "configuration/follower.h"

namespace coriandermount::configuration {

nlohmann::json encodeHistoryEntry(const history_entry& entry);

std::string encodePeerState(const peer_state& state);

/// Fails with `configuration_invalid` when the text is none or breaks a rule.
result<peer_state> decodePeerState(const std::string& text);

} // namespace coriandermount::configuration
