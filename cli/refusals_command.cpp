#include <fmt/format.h>

#include "cli/command.h"
#include "cli/refusals_page.h"
#include "cli/table.h"
#include "core/error.h"
#include "event_log/attribution.h"

namespace coriandermount::cli {

namespace {

    void declare(cxxopts::Options& options)
    {
        options.add_options()("page", "Print the reference page as Markdown")(
            "kind", "Show only this refusal", cxxopts::value<std::string>());
        options.parse_positional({ "kind" });
        options.positional_help("[KIND]");
    }

    int run(const cxxopts::ParseResult& parsedOptions, console& terminal)
    {
        if (parsedOptions.count("page")) {
            terminal.out(refusalsPage());
            return exit_done;
        }
        const std::string kind = parsedOptions.count("kind") ? parsedOptions["kind"].as<std::string>() : "";
        if (!kind.empty() && !findErrorKind(kind)) {
            terminal.err(fmt::format("unknown refusal \"{}\"; coriandermount refusals lists all\n", kind));
            return exit_usage;
        }
        table lines({ "KIND", "STATUS", "OUTCOME", "PARTY", "RETRY", "MEANING" });
        for (const auto& row : errorTable()) {
            if (kind.empty() || kind == row.name) {
                lines.add({ std::string(row.name), fmt::format("{}", row.httpStatus), std::string(nameOf(row.result)),
                    std::string(nameOf(row.responsible)), row.retryable ? "yes" : "no", std::string(row.message) });
            }
        }
        terminal.out(lines.text(!terminal.isTerminal()));
        return exit_done;
    }

} // namespace

std::string refusalsPage()
{
    std::string page
        = "# Refusals and failures\n\n"
          "This page is printed by `coriandermount refusals --page`.\n\n"
          "*not_run* means that provably nothing was executed, *may_have_run* that some or all of the job may have been; run\n"
          "`coriandermount explain` before you submit the same work under another id.\n\n"
          "## Errors that callers receive\n\n"
          "The usual party is the one that has to act in most cases; `coriandermount explain` determines the party of a single\n"
          "case by the second table.\n\n"
          "| Kind | Status | Outcome | Usual party | Retry | Meaning |\n| --- | --- | --- | --- | --- | --- |\n";
    for (const auto& row : errorTable()) {
        page += fmt::format("| `{}` | {} | {} | {} | {} | {} |\n", row.name, row.httpStatus, nameOf(row.result),
            nameOf(row.responsible), row.retryable ? "yes" : "no", row.message);
    }
    return page + "\n## Attribution of a fault\n\n" + event_log::attributionTableMarkdown();
}

const command& refusalsCommand()
{
    static const command entry { "refusals", "List the meaning and the responsible party of each refusal.",
        "coriandermount refusals\n"
        "coriandermount refusals plan_concurrency_exceeded\n"
        "coriandermount refusals --page > docs/operations/refusals.md",
        declare, run, "" };
    return entry;
}

} // namespace coriandermount::cli
