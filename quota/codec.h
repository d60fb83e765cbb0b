/// Text form of the messages between holders and arbiters: JSON arrays without field names, to keep the messages small.
#pragma once

#include <string>

#include "core/error.h"
#include "quota/messages.h"

namespace coriandermount::quota {

/// Returns the text form of a message; bytes that are not valid UTF-8 are replaced.
std::string encodeMessage(const message& content);

/// Returns the message, or `malformed_request` if `text` is not the text form of a message.
result<message> decodeMessage(const std::string& text);

} // namespace coriandermount::quota
