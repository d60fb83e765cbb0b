#include <algorithm>
#include <thread>

#include <fmt/format.h>

#include "cli/node_client.h"
#include "cli/table.h"

namespace coriandermount::cli {

namespace {

    using nlohmann::json;

    constexpr std::string_view clearScreen = "\033[H\033[2J";
    constexpr std::size_t maxChartBars = 60;

    void declare(cxxopts::Options& options)
    {
        declareNodeOptions(options);
        options.add_options()("interval", "Seconds between updates", cxxopts::value<unsigned>()->default_value("1"))(
            "count", "Number of updates; 0 for no limit", cxxopts::value<unsigned>()->default_value("0"));
    }

    /// Returns a bar chart of one value in a line of text, with one character a second that is scaled to the largest value.
    std::string chartLine(const json& seconds, const char* name)
    {
        constexpr std::string_view heights = " .:-=+*#";
        std::uint64_t largest = 1;
        for (const auto& second : seconds)
            largest = std::max(largest, second.value(name, std::uint64_t { 0 }));
        std::string line;
        const std::size_t skipped = seconds.size() - std::min(seconds.size(), maxChartBars);
        for (std::size_t index = skipped; index < seconds.size(); ++index)
            line += heights[seconds[index].value(name, std::uint64_t { 0 }) * (heights.size() - 1) / largest];
        return fmt::format("{:<9}|{}| max {}/s\n", name, line, largest);
    }

    std::string statusText(const json& status, bool plain)
    {
        table plans({ "PLAN", "RUNNING", "QUEUED", "SHARE", "ARRIVALS/S" });
        for (const auto& plan : status.at("plans")) {
            plans.add(
                { plan.value("plan", ""), fmt::format("{}", plan.value("running", 0)), fmt::format("{}", plan.value("queued", 0)),
                    fmt::format("{}", plan.value("share", 0)), fmt::format("{}", plan.value("arrivals", 0)) });
        }
        if (plain)
            return plans.text(true);
        std::string text = fmt::format("{}  queue {}  running {}  open jobs {}  configuration {} ({} s)  journal dropped {}\n",
            status.value("vm", ""), status.value("queued_tasks", 0), status.value("running_tasks", 0),
            status.value("open_jobs", 0), status.value("configuration_version", 0),
            status.value("configuration_age_ms", std::int64_t { 0 }) / 1000, status.value("journal_dropped", 0));
        for (const char* name : { "arrivals", "queued", "starts", "refusals" })
            text += chartLine(status.at("seconds"), name);
        return text + plans.text(false);
    }

    int run(const cxxopts::ParseResult& parsedOptions, console& terminal)
    {
        node_client node(parsedOptions, terminal);
        const unsigned updates
            = parsedOptions["count"].as<unsigned>() == 0 && !terminal.isTerminal() ? 1 : parsedOptions["count"].as<unsigned>();
        for (unsigned shown = 0; updates == 0 || shown < updates; ++shown) {
            if (shown > 0)
                std::this_thread::sleep_for(std::chrono::seconds(parsedOptions["interval"].as<unsigned>()));
            const auto reply = node.call("GET", "/v1/status");
            if (!reply)
                return reply.error();
            if (!reply->ok())
                return node.reportError(*reply);
            if (node.json())
                terminal.out(reply->body + "\n");
            else
                terminal.out(fmt::format(
                    "{}{}", terminal.isTerminal() ? clearScreen : "", statusText(reply->object, !terminal.isTerminal())));
        }
        return exit_done;
    }

} // namespace

const command& topCommand()
{
    static const command entry { "top", "Show queues, plans and recent load of one node, continuously.",
        "coriandermount top\n"
        "coriandermount top --count 1 --json",
        declare, run, "" };
    return entry;
}

} // namespace coriandermount::cli
