#include <fstream>
#include <iterator>

#include <fmt/format.h>

#include "cli/node_client.h"
#include "cli/table.h"

namespace coriandermount::cli {

namespace {

    using nlohmann::json;

    constexpr std::string_view steps = "check show diff publish history";
    constexpr std::chrono::seconds publishTimeout { 30 };

    void declare(cxxopts::Options& options)
    {
        declareNodeOptions(options);
        options.add_options()("step", "check, show, diff, publish or history", cxxopts::value<std::string>())(
            "file", "JSON file with customers and plans; - for standard input", cxxopts::value<std::string>())(
            "author", "Author of the publication", cxxopts::value<std::string>()->default_value(""))(
            "reason", "Reason for the publication", cxxopts::value<std::string>()->default_value(""))("based-on",
            "Version that the file is based on; defaults to based_on in the file, then to the version in force",
            cxxopts::value<std::uint64_t>());
        options.parse_positional({ "step", "file" });
        options.positional_help("check|show|diff|publish|history [FILE]");
    }

    result<json> readConfigurationFile(const cxxopts::ParseResult& parsedOptions, console& terminal)
    {
        if (!parsedOptions.count("file"))
            return fail(error_kind::malformed_request, "the configuration file is missing; name a file, or - for standard input");
        const auto path = parsedOptions["file"].as<std::string>();
        std::ifstream file(path);
        if (path != "-" && !file)
            return fail(error_kind::malformed_request, fmt::format("cannot read {}", path));
        const std::string text = path == "-" ? terminal.readInput() : std::string(std::istreambuf_iterator<char>(file), {});
        auto object = json::parse(text, nullptr, false);
        if (!object.is_object())
            return fail(error_kind::malformed_request, fmt::format("{} does not contain a JSON object", path));
        return object;
    }

    /// Reads the configuration file and sets author, reason and base version from the options. Without a base version, the
    /// version in force is fetched from the node. Returns the exit code on failure, after the error has been printed.
    tl::expected<json, int> readCandidate(const cxxopts::ParseResult& parsedOptions, node_client& node, console& terminal)
    {
        auto candidate = readConfigurationFile(parsedOptions, terminal);
        if (!candidate) {
            terminal.err(candidate.error().detail + "\n");
            return tl::unexpected<int>(exit_usage);
        }
        for (const char* name : { "author", "reason" }) {
            if (const auto text = parsedOptions[name].as<std::string>(); !text.empty())
                (*candidate)[name] = text;
        }
        if (parsedOptions.count("based-on")) {
            (*candidate)["based_on"] = parsedOptions["based-on"].as<std::uint64_t>();
        } else if (!candidate->contains("based_on")) {
            const auto current = node.call("GET", "/v1/configuration");
            if (!current)
                return tl::unexpected<int>(current.error());
            (*candidate)["based_on"]
                = current->ok() ? current->object.value("version", std::uint64_t { 0 }) : std::uint64_t { 0 };
        }
        return *candidate;
    }

    void printList(const json& lines, std::string_view prefix, console& terminal)
    {
        for (const auto& line : lines)
            terminal.out(fmt::format("{} {}\n", prefix, line.get<std::string>()));
    }

    int show(node_client& node, console& terminal)
    {
        const auto reply = node.call("GET", "/v1/configuration");
        if (!reply)
            return reply.error();
        if (!reply->ok())
            return node.reportError(*reply);
        terminal.out((node.json() ? reply->body : reply->object.dump(2)) + "\n");
        return exit_done;
    }

    int history(node_client& node, console& terminal)
    {
        const auto reply = node.call("GET", "/v1/configuration/history");
        if (!reply)
            return reply.error();
        if (!reply->ok())
            return node.reportError(*reply);
        if (node.json()) {
            terminal.out(reply->body + "\n");
            return exit_done;
        }
        table lines({ "VERSION", "STATE", "AUTHOR", "REASON", "CHANGES" });
        for (const auto& entry : reply->object.at("records")) {
            std::string changes;
            for (const auto& change : entry.value("changes", json::array()))
                changes += (changes.empty() ? "" : "; ") + change.get<std::string>();
            const auto accepted = entry.find("accepted");
            lines.add({ fmt::format("{}", entry.value("version", entry.value("offset", std::uint64_t { 0 }))),
                accepted == entry.end() || accepted->get<bool>() ? "accepted" : "refused", entry.value("author", ""),
                entry.value("reason", ""), changes });
        }
        terminal.out(lines.text(!terminal.isTerminal()));
        return exit_done;
    }

    /// Validates a configuration and prints what it would change, without publishing it. `diff` differs from `check` only in not
    /// printing how to publish a valid configuration.
    int check(const cxxopts::ParseResult& parsedOptions, bool onlyChanges, node_client& node, console& terminal)
    {
        auto candidate = readCandidate(parsedOptions, node, terminal);
        if (!candidate)
            return candidate.error();
        // The rules require an author and a reason, which only matter to a publication; a placeholder satisfies them here.
        for (const char* name : { "author", "reason" }) {
            if (candidate->value(name, "").empty())
                (*candidate)[name] = "check";
        }
        const auto reply = node.call("POST", "/v1/configuration/check", candidate->dump());
        if (!reply)
            return reply.error();
        if (!reply->ok())
            return node.reportError(*reply);
        const auto& report = reply->object;
        const bool valid = report.value("valid", false);
        if (node.json()) {
            terminal.out(reply->body + "\n");
            return valid ? exit_done : exit_refused;
        }
        printList(report.value("problems", json::array()), "problem:", terminal);
        printList(report.value("changes", json::array()), "-", terminal);
        printList(report.value("recent_demand", json::array()), "recent demand:", terminal);
        if (report.value("changes", json::array()).empty())
            terminal.out("no changes\n");
        if (report.value("conflict", false)) {
            terminal.err(fmt::format("the file is based on version {}, but version {} is in force: merge it with the output of "
                                     "`coriandermount config show`\n",
                report.value("based_on", 0), report.value("in_force", 0)));
        }
        if (!onlyChanges && valid)
            terminal.out("the configuration is valid; publish it with `coriandermount config publish`\n");
        return valid ? exit_done : exit_refused;
    }

    int publish(const cxxopts::ParseResult& parsedOptions, node_client& node, console& terminal)
    {
        const auto candidate = readCandidate(parsedOptions, node, terminal);
        if (!candidate)
            return candidate.error();
        if (candidate->value("author", "").empty() || candidate->value("reason", "").empty()) {
            terminal.err("author and reason are required: --author NAME --reason TEXT\n");
            return exit_usage;
        }
        const auto reply = node.call("POST", "/v1/configuration", candidate->dump(), publishTimeout);
        if (!reply)
            return reply.error();
        if (node.json()) {
            terminal.out(reply->body + "\n");
            return reply->ok() ? static_cast<int>(exit_done) : exitCodeOf(reply->object);
        }
        if (!reply->ok()) {
            const int code = node.reportError(*reply);
            if (reply->object.contains("winner"))
                terminal.err(
                    fmt::format("version {} by {} was published first: {}\n", reply->object["winner"].value("version", 0),
                        reply->object["winner"].value("author", ""), reply->object["winner"].value("reason", "")));
            return code;
        }
        terminal.out(fmt::format("version {} was accepted\n", reply->object.value("version", 0)));
        printList(reply->object.value("changes", json::array()), "-", terminal);
        return exit_done;
    }

    int run(const cxxopts::ParseResult& parsedOptions, console& terminal)
    {
        const std::string step = parsedOptions.count("step") ? parsedOptions["step"].as<std::string>() : "";
        node_client node(parsedOptions, terminal);
        if (step == "show")
            return show(node, terminal);
        if (step == "history")
            return history(node, terminal);
        if (step == "check" || step == "diff")
            return check(parsedOptions, step == "diff", node, terminal);
        if (step == "publish")
            return publish(parsedOptions, node, terminal);
        terminal.err(fmt::format("unknown step \"{}\"; must be one of: {}\n", step, steps));
        return exit_usage;
    }

} // namespace

const command& configCommand()
{
    static const command entry { "config", "Check, show, compare and publish the configuration of customers and plans.",
        "coriandermount config show --json > plans.json\n"
        "coriandermount config diff plans.json\n"
        "coriandermount config check plans.json\n"
        "coriandermount config publish plans.json --author nikos --reason \"basic plan as in the contract of 4 December\"\n"
        "coriandermount config history",
        declare, run, steps };
    return entry;
}

} // namespace coriandermount::cli
