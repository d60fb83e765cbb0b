/// Log lines as JSON, on standard error unless told otherwise.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace coriandermount {

enum class log_level { debug, info, warning, error };

/// Sets the lowest level that is written; process-wide.
void setLogLevel(log_level lowest);

/// Sends lines to `descriptor`; a line that can't be written at once is dropped and counted.
void setLogDescriptor(int descriptor);

/// Lines that were dropped or left out since the start.
std::uint64_t droppedLogLines();

using log_field = std::pair<std::string_view, std::string>;

/// Writes one JSON line with time, level, component, message and `fields`. Lines of one component and message are limited
/// in each second; how many were left out is told with the next one.
void writeLog(
    log_level level, std::string_view component, std::string_view message, std::initializer_list<log_field> fields = {});

} // namespace coriandermount
