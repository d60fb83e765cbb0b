#include "main/program.h"

#include <exception>

#include <fmt/format.h>

namespace coriandermount {

int runProgram(const char* name, int (*run)(int, char**), int argc, char** argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception& problem) {
        fmt::print(stderr, "{}: {}\n", name, problem.what());
        return exitUsage;
    }
}

} // namespace coriandermount
