/// Count of messages and records from outside that cannot be read and are skipped.
#pragma once

#include <cstdint>
#include <string_view>

namespace coriandermount {

/// Logs and counts a message or a record that is skipped. `kind` names what it should be, for example "worker registration";
/// `name` is its key or sender, if that is known.
void reportSkippedInput(std::string_view component, std::string_view kind, std::string_view name, std::string_view detail);

/// Returns the number of messages and records that were skipped since the process started.
std::uint64_t skippedInputs();

} // namespace coriandermount
