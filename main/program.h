/// Code shared by the main functions of the programs.
#pragma once

namespace coriandermount {

/// Exit code for an invalid command line or invalid settings.
inline constexpr int exitUsage = 2;

/// Calls `run` and returns its exit code. If it throws, prints `name` and the message to standard error and returns `exitUsage`.
int runProgram(const char* name, int (*run)(int, char**), int argc, char** argv);

} // namespace coriandermount
