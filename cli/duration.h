/// Parses durations on the command line.
#pragma once

#include <chrono>
#include <string>

#include "core/error.h"

namespace coriandermount::cli {

/// Parses an integer from 0 to 1000000 that is followed by the unit ms, s, m or h. Fails with `malformed_request`.
result<std::chrono::milliseconds> parseDuration(const std::string& text);

} // namespace coriandermount::cli
