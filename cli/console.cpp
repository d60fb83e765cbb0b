#include "cli/console.h"

#include <cstdio>
#include <iostream>
#include <iterator>

#include <fmt/format.h>
#include <unistd.h>

namespace coriandermount::cli {

void standard_console::out(std::string_view text)
{
    fmt::print("{}", text);
    std::fflush(stdout);
}

void standard_console::err(std::string_view text) { fmt::print(stderr, "{}", text); }

bool standard_console::isTerminal() const { return isatty(STDOUT_FILENO) == 1; }

std::string standard_console::readInput() { return { std::istreambuf_iterator<char>(std::cin), {} }; }

} // namespace coriandermount::cli
