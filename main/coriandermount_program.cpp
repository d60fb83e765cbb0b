// Command-line tool for callers and operators.
#include <cstdio>
#include <exception>

#include "cli/command.h"

using namespace coriandermount;

int main(int argc, char** argv)
{
    try {
        cli::standard_console terminal;
        return cli::runCommandLine({ argv + 1, argv + argc }, terminal);
    } catch (const std::exception& problem) {
        std::fprintf(stderr, "coriandermount: %s\n", problem.what());
        return cli::exit_usage;
    }
}
