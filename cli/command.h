/// The commands of `coriandermount` and how they are run.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <cxxopts.hpp>

#include "cli/console.h"

namespace coriandermount::cli {

/// Exit codes; `coriandermount --help` lists them.
enum exit_code : int {
    exit_done = 0,
    /// Refused or failed; nothing was executed or changed.
    exit_refused = 1,
    /// The command line can't be understood.
    exit_usage = 2,
    /// The node can't be reached.
    exit_unreachable = 3,
    /// It is not known whether something was executed or changed.
    exit_may_have_run = 4,
};

/// Words after the command's name.
using arguments = std::vector<std::string>;

/// One command; each is declared in a file of its own.
struct command {
    std::string_view name;
    std::string_view summary;
    /// Lines for `--help`, without indentation.
    std::string_view examples;
    /// Declares the command's own options.
    void (*declare)(cxxopts::Options& options);
    int (*run)(const cxxopts::ParseResult& parsedOptions, console& terminal);
    /// Words that may follow the name, for the completion.
    std::string_view words;
};

/// All commands, in the order of the help text.
std::span<const command> commands();

/// Runs `coriandermount WORDS...`; returns the exit code.
int runCommandLine(const arguments& words, console& terminal);

/// Returns the options of a command as `--name` words, for the completion.
std::vector<std::string> optionFlags(const command& entry);

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
