/// Structured logging: one JSON object a line, on standard error by default. All functions are thread-safe.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace coriandermount {

enum class log_level { debug, info, warning, error };

/// Sets the lowest level that is written, for the whole process.
void setLogLevel(log_level lowest);

/// Sets the file descriptor that log lines are written to. A line that can't be written without blocking is dropped
/// and counted.
void setLogDescriptor(int descriptor);

/// Returns the number of lines that were dropped or suppressed since the start of the process.
std::uint64_t droppedLogLines();

/// Name and value of a field of a log line.
using log_field = std::pair<std::string_view, std::string>;

/// Writes one JSON line with time, level, component, message and `fields`. Lines with the same component and message are
/// limited in each second; the number of suppressed lines is logged with the next line of that kind.
void writeLog(
    log_level level, std::string_view component, std::string_view message, std::initializer_list<log_field> fields = {});

} // namespace coriandermount
