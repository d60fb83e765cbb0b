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
          "*not_run* is proved: nothing was executed. *may_have_run* means that some or all of it may have been executed; ask\n"
          "`coriandermount explain` before the same work is submitted under another id.\n\n"
          "## What callers are told\n\n"
          "The party is the one that usually has to act; `explain` decides for the single case by the second table.\n\n"
          "| Kind | Status | Outcome | Usual party | Retry | Meaning |\n| --- | --- | --- | --- | --- | --- |\n";
    for (const auto& row : errorTable()) {
        page += fmt::format("| `{}` | {} | {} | {} | {} | {} |\n", row.name, row.httpStatus, nameOf(row.result),
            nameOf(row.responsible), row.retryable ? "yes" : "no", row.message);
    }
    return page + "\n## Whose move it is\n\n" + event_log::attributionTableMarkdown();
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
