/// Commands of the `coriandermount` program and their dispatch.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <cxxopts.hpp>

#include "cli/console.h"

namespace coriandermount::cli {

/// Exit codes of `coriandermount`, as listed by `coriandermount --help`.
enum exit_code : int {
    /// The command succeeded.
    exit_done = 0,
    /// The request was refused or failed; nothing was executed or changed.
    exit_refused = 1,
    /// The command line is invalid.
    exit_usage = 2,
    /// The node is unreachable.
    exit_unreachable = 3,
    /// It is unknown whether something was executed or changed.
    exit_may_have_run = 4,
};

/// Arguments that follow the name of a program or command.
using arguments = std::vector<std::string>;

/// Declaration of a command.
struct command {
    std::string_view name;
    /// One sentence for the overview and for `--help`.
    std::string_view summary;
    /// Example command lines for `--help`, one a line, without indentation.
    std::string_view examples;
    /// Declares the options of the command; `--help` is added to all.
    void (*declare)(cxxopts::Options& options);
    /// Runs the command and returns the exit code.
    int (*run)(const cxxopts::ParseResult& parsedOptions, console& terminal);
    /// Positional words for shell completion, separated by spaces.
    std::string_view words;
};

/// Returns all commands, in the order of the help text.
std::span<const command> commands();

/// Runs the command that the first of `words` names with the other words as its arguments. Returns the exit code.
int runCommandLine(const arguments& words, console& terminal);

/// Returns the options of a command as sorted `--name` flags, for shell completion.
std::vector<std::string> optionFlags(const command& entry);

/// Declarations of the commands. The references stay valid until the program ends.
const command& devCommand();
const command& submitCommand();
const command& statusCommand();
const command& cancelCommand();
const command& explainCommand();
const command& faultsCommand();
const command& fleetCommand();
const command& configCommand();
const command& drainCommand();
const command& topCommand();
const command& refusalsCommand();
const command& completionCommand();

} // namespace coriandermount::cli
