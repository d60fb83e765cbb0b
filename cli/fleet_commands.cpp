// Commands for the fleet: `fleet` and `drain`.
#include <fmt/format.h>

#include "cli/node_client.h"
#include "cli/table.h"

namespace coriandermount::cli {

namespace {

    std::string fieldText(const nlohmann::json& object, const char* name)
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
            vms.add({ fieldText(vm, "id"), fieldText(vm, "domain"), fieldText(vm, "rack"), fieldText(vm, "state"),
                fieldText(vm, "peer_address"), fieldText(vm, "incarnation") });
        }
        table domains({ "DOMAIN", "REACHABLE", "VMS", "WORKERS", "FREE SLOTS" });
        for (const auto& domain : fleet.at("other_domains")) {
            domains.add({ fieldText(domain, "domain"), domain.value("reachable", false) ? "yes" : "no",
                fieldText(domain, "live_vms"), fieldText(domain, "live_workers"), fieldText(domain, "free_slots") });
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
            workers.add(
                { fieldText(worker, "id"), fieldText(worker, "domain"), fieldText(worker, "rack"), fieldText(worker, "state"),
                    fieldText(worker, "slots"), fieldText(worker, "used"), fieldText(worker, "services") });
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
            terminal.out(fmt::format("\nprogram {}, configuration {}\n", fieldText(status->object, "version"),
                fieldText(status->object, "configuration_version")));
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
            terminal.err("the name of the VM is missing; coriandermount fleet lists all VMs\n");
            return exit_usage;
        }
        node_client node(parsedOptions, terminal);
        const auto vm = parsedOptions["vm"].as<std::string>();
        const auto reply = node.call("POST", fmt::format("/v1/vms/{}/drain", vm));
        if (!reply)
            return reply.error();
        if (!reply->ok())
            return node.reportError(*reply);
        terminal.out(node.json()
                ? reply->body + "\n"
                : fmt::format("draining {}: no new jobs are accepted; stop the VM with SIGTERM once its jobs have ended\n", vm));
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
    static const command entry { "drain", "Drain an entry VM: finish its jobs and accept no new ones.",
        "coriandermount drain entry-3", declareDrain, runDrain, "" };
    return entry;
}

} // namespace coriandermount::cli
