#include "cli/command.h"

#include <algorithm>
#include <array>
#include <sstream>

#include <fmt/format.h>

namespace coriandermount::cli {

namespace {

    cxxopts::Options optionsOf(const command& entry)
    {
        cxxopts::Options options(fmt::format("coriandermount {}", entry.name), std::string(entry.summary));
        entry.declare(options);
        options.add_options()("help", "Print this help");
        return options;
    }

    std::string helpOf(const command& entry)
    {
        std::string text = optionsOf(entry).help() + "\nExamples:\n";
        std::istringstream lines { std::string(entry.examples) };
        std::string line;
        while (std::getline(lines, line))
            text += "  " + line + "\n";
        return text;
    }

    std::string overview()
    {
        std::string text = "Dispatches jobs of short tasks and explains their outcomes.\n\nUsage:\n"
                           "  coriandermount COMMAND [OPTIONS]\n\nCommands:\n";
        for (const auto& entry : commands())
            text += fmt::format("  {:<11} {}\n", entry.name, entry.summary);
        return text
            + "\nExit codes:\n"
              "  0  done\n"
              "  1  refused or failed; nothing was executed or changed\n"
              "  2  the command line is invalid\n"
              "  3  the node is unreachable\n"
              "  4  it is unknown whether something was executed or changed\n"
              "\nSee coriandermount COMMAND --help for the options and examples of a command.\n";
    }

    int runCommand(const command& entry, const arguments& words, console& terminal)
    {
        std::vector<const char*> argv { entry.name.data() };
        for (const auto& word : words)
            argv.push_back(word.c_str());
        auto options = optionsOf(entry);
        try {
            const auto parsedOptions = options.parse(static_cast<int>(argv.size()), argv.data());
            if (parsedOptions.count("help")) {
                terminal.out(helpOf(entry));
                return exit_done;
            }
            return entry.run(parsedOptions, terminal);
        } catch (const std::exception& problem) {
            terminal.err(fmt::format("{}\nsee coriandermount {} --help\n", problem.what(), entry.name));
            return exit_usage;
        }
    }

} // namespace

std::span<const command> commands()
{
    static const std::array all { devCommand(), submitCommand(), statusCommand(), cancelCommand(), explainCommand(),
        faultsCommand(), fleetCommand(), configCommand(), drainCommand(), topCommand(), refusalsCommand(), completionCommand() };
    return all;
}

int runCommandLine(const arguments& words, console& terminal)
{
    if (words.empty()) {
        terminal.err(overview());
        return exit_usage;
    }
    if (words.front() == "--help" || words.front() == "help") {
        terminal.out(overview());
        return exit_done;
    }
    for (const auto& entry : commands()) {
        if (entry.name == words.front())
            return runCommand(entry, { words.begin() + 1, words.end() }, terminal);
    }
    terminal.err(fmt::format("unknown command \"{}\"; see coriandermount --help\n", words.front()));
    return exit_usage;
}

std::vector<std::string> optionFlags(const command& entry)
{
    std::vector<std::string> words;
    const auto options = optionsOf(entry);
    for (const auto& group : options.groups()) {
        for (const auto& option : options.group_help(group).options)
            words.push_back("--" + option.l.front());
    }
    std::sort(words.begin(), words.end());
    return words;
}

} // namespace coriandermount::cli
