/// Calls that must not end the process: an exception is logged and counted at the boundary of a thread or a library.
#pragma once

#include <cstdint>
#include <exception>
#include <string_view>

namespace coriandermount {

/// Logs and counts an error that no code has handled.
void reportUnexpectedError(std::string_view component, std::string_view detail);

/// Returns the number of unexpected errors since the process started.
std::uint64_t unexpectedErrors();

/// Runs `work`; returns false if it has thrown.
template <class Work> bool runGuarded(std::string_view component, const Work& work)
{
    try {
        work();
        return true;
    } catch (const std::exception& problem) {
        reportUnexpectedError(component, problem.what());
    } catch (...) {
        reportUnexpectedError(component, "an exception of an unknown type");
    }
    return false;
}

} // namespace coriandermount
