#include <fmt/format.h>

#include "cli/command.h"

namespace coriandermount::cli {

namespace {

    void declare(cxxopts::Options& options) { options.add_options()("bash", "Print the completion for bash (default)"); }

    /// Returns a bash script that completes the name of a command, then its options and positional words.
    std::string bashCompletion()
    {
        std::string names;
        std::string cases;
        for (const auto& entry : commands()) {
            names += (names.empty() ? "" : " ") + std::string(entry.name);
            cases += fmt::format("    {}) words=\"{}{}{}\" ;;\n", entry.name, fmt::join(optionFlags(entry), " "),
                entry.words.empty() ? "" : " ", entry.words);
        }
        return fmt::format("_coriandermount() {{\n"
                           "  local words=\"\"\n"
                           "  if [ \"$COMP_CWORD\" -eq 1 ]; then\n"
                           "    words=\"{} --help\"\n"
                           "  else\n"
                           "    case \"${{COMP_WORDS[1]}}\" in\n{}"
                           "    esac\n"
                           "  fi\n"
                           "  COMPREPLY=($(compgen -W \"$words\" -- \"${{COMP_WORDS[COMP_CWORD]}}\"))\n"
                           "}}\n"
                           "complete -o default -F _coriandermount coriandermount\n",
            names, cases);
    }

    int run(const cxxopts::ParseResult&, console& terminal)
    {
        terminal.out(bashCompletion());
        return exit_done;
    }

} // namespace

const command& completionCommand()
{
    static const command entry { "completion", "Print the completion script for bash.", "source <(coriandermount completion)",
        declare, run, "" };
    return entry;
}

} // namespace coriandermount::cli
