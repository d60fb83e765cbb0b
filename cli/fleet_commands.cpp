// Commands about the fleet: fleet and drain.
#include <fmt/format.h>

#include "cli/node_client.h"
#include "cli/table.h"

namespace coriandermount::cli {

namespace {

    std::string textOf(const nlohmann::json& object, const char* name)
    {
        const auto found = object.find(name);
        if (found == object.end())
            return "";
        return found->is_string() ? found->get<std::string>() : found->dump();
    }

    std::string fleetText(const nlohmann::json& fleet, bool plain)
    {
        table vms({ "VM", "DOMAIN", "RACK", "STATE", "PEER ADDRESS", "INCARNATION" });
        for (const auto& vm : fleet.at("members")) {
            vms.add({ textOf(vm, "id"), textOf(vm, "domain"), textOf(vm, "rack"), textOf(vm, "state"), textOf(vm, "peer_address"),
                textOf(vm, "incarnation") });
        }
        table domains({ "DOMAIN", "REACHABLE", "VMS", "WORKERS", "FREE SLOTS" });
        for (const auto& domain : fleet.at("other_domains")) {
            domains.add({ textOf(domain, "domain"), domain.value("reachable", false) ? "yes" : "no", textOf(domain, "live_vms"),
                textOf(domain, "live_workers"), textOf(domain, "free_slots") });
        }
        if (plain)
            return vms.text(true) + domains.text(true);
        return fmt::format(
            "entry VMs of this failure domain\n{}\nother failure domains\n{}", vms.text(false), domains.text(false));
    }

    std::string workersText(const nlohmann::json& status, bool plain)
    {
        table workers({ "WORKER", "DOMAIN", "RACK", "STATE", "SLOTS", "USED", "SERVICES" });
        for (const auto& worker : status.at("workers")) {
            workers.add({ textOf(worker, "id"), textOf(worker, "domain"), textOf(worker, "rack"), textOf(worker, "state"),
                textOf(worker, "slots"), textOf(worker, "used"), textOf(worker, "services") });
        }
        return plain ? workers.text(true) : "\nworkers\n" + workers.text(false);
    }

    int runFleet(const cxxopts::ParseResult& parsedOptions, console& terminal)
    {
        node_client node(parsedOptions, terminal);
        const auto fleet = node.call("GET", "/v1/fleet");
        if (!fleet)
            return fleet.error();
        if (!fleet->ok())
            return node.reportError(*fleet);
        const auto status = node.call("GET", "/v1/status");
        if (!status)
            return status.error();
        if (!status->ok())
            return node.reportError(*status);
        if (node.json()) {
            auto all = fleet->object;
            all["workers"] = status->object.at("workers");
            all["version"] = status->object.at("version");
            all["configuration_version"] = status->object.at("configuration_version");
            terminal.out(all.dump() + "\n");
            return exit_done;
        }
        const bool plain = !terminal.isTerminal();
        terminal.out(fleetText(fleet->object, plain) + workersText(status->object, plain));
        if (!plain) {
            terminal.out(fmt::format("\nprogram {}, configuration {}\n", textOf(status->object, "version"),
                textOf(status->object, "configuration_version")));
        }
        return exit_done;
    }

    void declareDrain(cxxopts::Options& options)
    {
        declareNodeOptions(options);
        options.add_options()("vm", "Name of the VM", cxxopts::value<std::string>());
        options.parse_positional({ "vm" });
        options.positional_help("VM");
    }

    int runDrain(const cxxopts::ParseResult& parsedOptions, console& terminal)
    {
        if (!parsedOptions.count("vm")) {
            terminal.err("name the VM; coriandermount fleet lists them\n");
            return exit_usage;
        }
        node_client node(parsedOptions, terminal);
        const auto vm = parsedOptions["vm"].as<std::string>();
        const auto reply = node.call("POST", fmt::format("/v1/vms/{}/drain", vm));
        if (!reply)
            return reply.error();
        if (!reply->ok())
            return node.reportError(*reply);
        terminal.out(node.json() ? reply->body + "\n"
                                 : fmt::format("{} takes no new work; stop it with SIGTERM once its jobs have ended\n", vm));
        return exit_done;
    }

} // namespace

const command& fleetCommand()
{
    static const command entry { "fleet", "List entry VMs, failure domains and workers with their state.",
        "coriandermount fleet\n"
        "coriandermount fleet --json | jq '.members[] | select(.state != \"alive\")'",
        declareNodeOptions, runFleet, "" };
    return entry;
}

const command& drainCommand()
{
    static const command entry { "drain", "Let an entry VM finish its jobs and take no new ones.", "coriandermount drain entry-3",
        declareDrain, runDrain, "" };
    return entry;
}

} // namespace coriandermount::cli
