#include <algorithm>

#include <fmt/format.h>

#include "cli/duration.h"
#include "cli/node_client.h"
#include "cli/table.h"

namespace coriandermount::cli {

namespace {

    constexpr std::chrono::seconds faultsTimeout { 30 };
    constexpr double percent = 100;

    void declare(cxxopts::Options& options)
    {
        declareNodeOptions(options);
        options.add_options()("since", "Length of the period that ends now, such as 90s, 10m or 2h",
            cxxopts::value<std::string>()->default_value("10m"));
    }

    void addRows(table& target, const nlohmann::json& report, const char* name, const char* title)
    {
        std::vector<std::pair<std::uint64_t, std::string>> counts;
        for (const auto& [key, count] : report.at(name).items())
            counts.emplace_back(count.get<std::uint64_t>(), key);
        std::sort(counts.rbegin(), counts.rend());
        const double total = report.at("total").get<double>();
        for (const auto& [count, key] : counts) {
            target.add({ title, key, fmt::format("{}", count),
                total > 0 ? fmt::format("{:.1f} %", percent * static_cast<double>(count) / total) : "" });
        }
    }

    std::string reportText(const nlohmann::json& report, bool plain)
    {
        table lines({ "BY", "WHAT", "FAULTS", "SHARE" });
        addRows(lines, report, "by_party", "party");
        addRows(lines, report, "by_kind", "kind");
        addRows(lines, report, "by_rule", "rule");
        addRows(lines, report, "by_customer", "customer");
        addRows(lines, report, "by_version", "version");
        if (plain)
            return lines.text(true);
        const auto& sources = report.at("sources");
        std::string text = fmt::format("{} faults, {:.1f} % of them caused by the dispatcher; queried VMs: {}\n",
            report.at("total").get<std::uint64_t>(), percent * report.at("dispatcher_share").get<double>(),
            fmt::join(sources.at("vms").get<std::vector<std::string>>(), ", "));
        for (const auto& unresponsive : sources.at("silent_vms"))
            text += fmt::format("no response from {}; only its faults in the log are counted\n", unresponsive.get<std::string>());
        for (const auto& problem : sources.at("problems"))
            text += problem.get<std::string>() + "\n";
        return text + lines.text(false);
    }

    int run(const cxxopts::ParseResult& parsedOptions, console& terminal)
    {
        const auto period = parseDuration(parsedOptions["since"].as<std::string>());
        if (!period) {
            terminal.err(period.error().detail + "\n");
            return exit_usage;
        }
        const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch() - *period);
        node_client node(parsedOptions, terminal);
        const auto reply = node.call("GET", fmt::format("/v1/faults?since_ms={}", since.count()), {}, faultsTimeout);
        if (!reply)
            return reply.error();
        if (!reply->ok())
            return node.reportError(*reply);
        terminal.out(node.json() ? reply->body + "\n" : reportText(reply->object, !terminal.isTerminal()));
        return exit_done;
    }

} // namespace

const command& faultsCommand()
{
    static const command entry { "faults", "Count faults by party, kind, customer and configuration version.",
        "coriandermount faults --since 10m\n"
        "coriandermount faults --since 2h --json | jq .by_party",
        declare, run, "" };
    return entry;
}

} // namespace coriandermount::cli
