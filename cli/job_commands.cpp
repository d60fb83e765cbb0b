// Commands for one job: `status`, `cancel` and `explain`.
#include <fmt/format.h>

#include "cli/job_argument.h"
#include "cli/node_client.h"

namespace coriandermount::cli {

namespace {

    constexpr std::chrono::seconds explainTimeout { 30 };
    constexpr std::chrono::seconds statusTimeout { 60 };

    void declareJob(cxxopts::Options& options)
    {
        declareNodeOptions(options);
        declareJobArgument(options);
    }

    int reportUsageError(console& terminal, const error& problem)
    {
        terminal.err(problem.detail + "\n");
        return exit_usage;
    }

    int runStatus(const cxxopts::ParseResult& parsedOptions, console& terminal)
    {
        const auto path = jobPathOf(parsedOptions);
        if (!path)
            return reportUsageError(terminal, path.error());
        node_client node(parsedOptions, terminal);
        const auto reply = node.call("GET", "/v1/jobs/" + *path, {}, statusTimeout);
        if (!reply)
            return reply.error();
        if (!reply->object.is_object() || !reply->object.contains("tasks"))
            return node.reportError(*reply);
        const auto outcome = reply->object.at("outcome").get<std::string>();
        const int code = outcome == "done" ? exit_done : outcome == "not_run" ? exit_refused : exit_may_have_run;
        if (node.json()) {
            terminal.out(reply->body + "\n");
            return code;
        }
        std::map<std::string, unsigned> states;
        for (const auto& task : reply->object.at("tasks"))
            ++states[task.value("state", "")];
        std::string line = fmt::format("{}  {}", *path, outcome);
        for (const auto& [state, count] : states)
            line += fmt::format("  {} {}", count, state);
        terminal.out(line + "\n");
        if (reply->object.contains("problem"))
            node.reportError({ reply->status, reply->object.at("problem").dump(), reply->object.at("problem") });
        return code;
    }

    int runCancel(const cxxopts::ParseResult& parsedOptions, console& terminal)
    {
        const auto path = jobPathOf(parsedOptions);
        if (!path)
            return reportUsageError(terminal, path.error());
        node_client node(parsedOptions, terminal);
        const auto reply = node.call("DELETE", "/v1/jobs/" + *path);
        if (!reply)
            return reply.error();
        if (!reply->ok())
            return node.reportError(*reply);
        terminal.out(node.json() ? reply->body + "\n"
                                 : fmt::format("cancelling {}; to see what had run: coriandermount status {}\n", *path, *path));
        return exit_done;
    }

    int runExplain(const cxxopts::ParseResult& parsedOptions, console& terminal)
    {
        const auto path = jobPathOf(parsedOptions);
        if (!path)
            return reportUsageError(terminal, path.error());
        node_client node(parsedOptions, terminal);
        const auto reply = node.call("GET", "/v1/explain/" + *path, {}, explainTimeout);
        if (!reply)
            return reply.error();
        if (!reply->ok())
            return node.reportError(*reply);
        terminal.out(node.json() ? reply->body + "\n" : reply->object.value("text", ""));
        return exit_done;
    }

} // namespace

const command& statusCommand()
{
    static const command entry { "status", "Wait for the answer of a submitted job.",
        "coriandermount status kellari/release-7/1796342400000", declareJob, runStatus, "" };
    return entry;
}

const command& cancelCommand()
{
    static const command entry { "cancel", "Cancel a job.", "coriandermount cancel kellari/release-7/1796342400000", declareJob,
        runCancel, "" };
    return entry;
}

const command& explainCommand()
{
    static const command entry { "explain", "Explain the outcome of a job, the responsible party and the remedy.",
        "coriandermount explain kellari/release-7/1796342400000\n"
        "coriandermount explain kellari release-7 1796342400000 --json | jq .fault",
        declareJob, runExplain, "" };
    return entry;
}

} // namespace coriandermount::cli
