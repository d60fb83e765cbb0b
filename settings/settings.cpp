#include "settings/settings.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>

#include <fmt/format.h>
#include <toml++/toml.h>

namespace coriandermount::settings {

namespace {

    constexpr std::int64_t maxPort = 65535;

    const std::array table = std::to_array<declaration>({
        { "vm.id", &values::vmId, 0, 0, "", "", "Name of this VM, unique over all failure domains." },
        { "vm.failure_domain", &values::failureDomain, 0, 0, "", "", "Failure domain that this VM belongs to." },
        { "vm.rack", &values::rack, 0, 0, "", "", "Rack of this VM." },
        { "listen.address", &values::listenAddress, 0, 0, "", "", "IPv4 address for callers and operators." },
        { "listen.port", &values::listenPort, 0, maxPort, "", "", "Port for callers and operators; 0 lets the system choose." },
        { "listen.threads", &values::httpThreads, 1, 64, "", "threads", "Threads that serve requests of callers." },
        { "listen.max_connections", &values::maxConnections, 16, 65536, "", "connections",
            "Largest number of open connections of callers." },
        { "listen.max_body_bytes", &values::maxBodyBytes, 1024, 64 * 1024 * 1024, "", "bytes", "Largest request body." },
        { "listen.memory_mb", &values::memoryMegabytes, 64, 1024 * 1024, "", "MB",
            "Memory of this VM. Request bodies may take a quarter of it, or four bodies of the largest size if that is more." },
        { "peers.address", &values::peerAddress, 0, 0, "", "", "IPv4 address for other entry VMs." },
        { "peers.port", &values::peerPort, 0, maxPort, "", "", "Port for other entry VMs; 0 lets the system choose." },
        { "peers.advertised_address", &values::peerAdvertisedAddress, 0, 0, "", "",
            "Address that other entry VMs call, as a.b.c.d:port; empty for peers.address and peers.port." },
        { "peers.seeds", &values::peerSeeds, 0, 0, "", "",
            "Addresses of entry VMs to contact at startup besides those in the VM list, as a.b.c.d:port, separated by commas." },
        { "fleet.domains", &values::fleetDomains, 0, 0, "", "",
            "Known failure domains, separated by commas; others are discovered." },
        { "fleet.dead_after_ms", &values::deadAfter, 1000, 3600000, "", "ms",
            "Time after which an unresponsive entry VM counts as dead while the VM list contains it or can't be read." },
        { "fleet.dead_after_unlisted_ms", &values::deadAfterUnlisted, 500, 3600000, "", "ms",
            "Time after which an unresponsive entry VM that is not in the VM list counts as dead." },
        { "fleet.worker_hold_ms", &values::workerHold, 0, 3600000, "", "ms",
            "Time for which workers are kept that disappear from the VM list together with at least half of all workers." },
        { "configuration.poll_interval_ms", &values::configurationPollInterval, 50, 10000, "", "ms",
            "Time between two reads of the log's stream of configurations." },
        { "configuration.copy_after_ms", &values::configurationCopyAfter, 1000, 86400000, "", "ms",
            "Age at which the configuration in force is appended to the log again; well below the log's retention time." },
        { "platform.address", &values::platformAddress, 0, 0, "", "",
            "Address of the platform's log and VM list, as a.b.c.d:port." },
        { "platform.timeout_ms", &values::platformTimeout, 10, 60000, "", "ms", "Longest wait for a response of the platform." },
        { "platform.vm_list_interval_ms", &values::vmListInterval, 50, 60000, "", "ms",
            "Time between two reads of the VM list." },
        { "platform.vm_list_lag_ms", &values::vmListLag, 0, 600000, "", "ms",
            "Largest age of the VM list; the list does not mark an entry VM as leaving that started more recently." },
        { "queue.max_tasks", &values::maxQueuedTasks, 1, 10000000, "", "tasks", "Largest number of tasks that wait on this VM." },
        { "retry.max_attempts", &values::maxAttempts, 1, 10, "", "starts",
            "Starts per task, counting only those that provably did not run." },
        { "retry.budget_percent", &values::retryBudgetPercent, 0, 100, "", "%",
            "Retries allowed per hundred first attempts, for each customer and each service." },
        { "admission.require_configuration", &values::requireConfiguration, 0, 0, "yes|no", "",
            "Whether jobs are refused until a configuration has been learned; otherwise they run without limits until then." },
        { "admission.planned_utilization_percent", &values::plannedUtilizationPercent, 10, 100, "", "%",
            "Share of a plan's slots that the prediction of queue waits assumes; with lower values, jobs are refused earlier." },
        { "placement.short_reserve_percent", &values::shortReservePercent, 0, 90, "", "%",
            "Share of the slots that long work may not use while there is short work." },
        { "placement.long_work_ms", &values::longWork, 100, 3600000, "", "ms", "Run time from which a task is long work." },
        { "health.max_ejected_percent", &values::maxEjectedPercent, 0, 100, "", "%",
            "Largest share of the workers that may be ejected at the same time." },
        { "claims.resubmission_window_ms", &values::resubmissionWindow, 1000, 86400000, "", "ms",
            "Time after its issue time during which a job id may be submitted." },
        { "claims.max_clock_skew_ms", &values::maxClockSkew, 0, 600000, "", "ms",
            "Largest lead of a job id's issue time over this VM's clock." },
        { "claims.max_vm_clock_error_ms", &values::maxVmClockError, 0, 600000, "", "ms", "Largest error of a VM's clock." },
        { "claims.timeout_ms", &values::claimTimeout, 100, 60000, "", "ms", "Longest time to the decision on a claim." },
        { "claims.view_lease_ms", &values::claimViewLease, 10000, 86400000, "", "ms",
            "Time for which a VM grants claims in a view without reading the log; must exceed the length of log outages." },
        { "claims.answer_megabytes", &values::claimAnswerMegabytes, 1, 65536, "", "MB",
            "Memory for the answers that are kept for resubmissions." },
        { "quota.start_wait_ms", &values::quotaStartWait, 0, 60000, "", "ms",
            "Time after its start during which a VM takes no part in the election of its domain's arbiter." },
        { "quota.withholding_ms", &values::quotaWithholding, 0, 60000, "", "ms",
            "Time for which a new arbiter withholds units that no VM reports; set below 5200 only where no VM was lost." },
        { "shutdown.limit_ms", &values::shutdownLimit, 0, 600000, "", "ms", "Longest wait for jobs in flight after SIGTERM." },
        { "journal.memory_kilobytes", &values::journalMemoryKilobytes, 256, 1048576, "", "KB",
            "Memory for events; the oldest are dropped first." },
        { "journal.log_bytes_per_second", &values::journalLogBytesPerSecond, 100, 1000000, "", "bytes/s",
            "Average rate at which the journal may append to the platform's log." },
        { "log.level", &values::logLevel, 0, 0, "debug|info|warning|error", "",
            "Lowest level of the log lines that are written." },
    });

    struct location {
        std::string_view file;
        toml::source_position position;
    };

    tl::unexpected<error> invalidSetting(const location& where, const std::string& problem)
    {
        return fail(error_kind::settings_invalid, fmt::format("{}:{}: {}", where.file, where.position.line, problem));
    }

    bool isAllowedChoice(std::string_view choices, std::string_view text)
    {
        std::istringstream list { std::string(choices) };
        std::string choice;
        while (std::getline(list, choice, '|')) {
            if (choice == text)
                return true;
        }
        return false;
    }

    result<void> assign(values& target, const declaration& entry, const toml::node& node, const location& where)
    {
        if (const auto* field = std::get_if<text_field>(&entry.field)) {
            const auto text = node.value_exact<std::string>();
            if (!text)
                return invalidSetting(where, fmt::format("{} must be a quoted string", entry.name));
            if (!entry.choices.empty() && !isAllowedChoice(entry.choices, *text))
                return invalidSetting(where, fmt::format("{} is \"{}\", must be one of {}", entry.name, *text, entry.choices));
            target.*(*field) = *text;
            return {};
        }
        const auto number = node.value_exact<std::int64_t>();
        if (!number)
            return invalidSetting(where, fmt::format("{} must be an integer", entry.name));
        if (*number < entry.minimum || *number > entry.maximum) {
            return invalidSetting(where,
                fmt::format(
                    "{} is {}, must be between {} and {} {}", entry.name, *number, entry.minimum, entry.maximum, entry.unit));
        }
        if (const auto* field = std::get_if<integer_field>(&entry.field))
            target.*(*field) = *number;
        else
            target.*std::get<duration_field>(entry.field) = std::chrono::milliseconds(*number);
        return {};
    }

    const declaration* findDeclaration(const std::string& name)
    {
        const auto* found
            = std::find_if(table.begin(), table.end(), [&name](const declaration& entry) { return entry.name == name; });
        return found == table.end() ? nullptr : found;
    }

    /// Returns the rest of the error message about an unknown setting: a declared setting with the same key in another table, or
    /// how to list all names.
    std::string unknownSettingHint(const std::string& name)
    {
        const std::string key = name.substr(name.find('.') + 1);
        for (const auto& entry : table) {
            if (entry.name.substr(entry.name.find('.') + 1) == key)
                return fmt::format("; did you mean {}?", entry.name);
        }
        return "; --print-settings lists all names";
    }

    std::string formatValue(const values& current, const declaration& entry)
    {
        if (const auto* field = std::get_if<text_field>(&entry.field))
            return fmt::format("\"{}\"", current.*(*field));
        if (const auto* field = std::get_if<integer_field>(&entry.field))
            return fmt::format("{}", current.*(*field));
        return fmt::format("{}", (current.*std::get<duration_field>(entry.field)).count());
    }

} // namespace

std::span<const declaration> declarations() { return table; }

result<values> parse(std::string_view text, std::string_view fileName)
{
    toml::table document;
    try {
        document = toml::parse(text, fileName);
    } catch (const toml::parse_error& problem) {
        return invalidSetting({ fileName, problem.source().begin }, std::string(problem.description()));
    }
    values loaded;
    for (const auto& [section, node] : document) {
        const toml::table* keys = node.as_table();
        if (!keys)
            return invalidSetting({ fileName, node.source().begin }, fmt::format("{} must be inside a table", section.str()));
        for (const auto& [key, value] : *keys) {
            const location where { fileName, value.source().begin };
            const std::string name = fmt::format("{}.{}", section.str(), key.str());
            const declaration* entry = findDeclaration(name);
            if (!entry)
                return invalidSetting(where, fmt::format("unknown setting {}{}", name, unknownSettingHint(name)));
            if (auto assigned = assign(loaded, *entry, value, where); !assigned)
                return tl::unexpected<error>(assigned.error());
        }
    }
    return loaded;
}

result<values> load(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return fail(error_kind::settings_invalid, fmt::format("{}: cannot read the file", path));
    std::ostringstream text;
    text << file.rdbuf();
    return parse(text.str(), path);
}

std::string print(const values& current)
{
    std::string text;
    std::string_view section;
    for (const auto& entry : table) {
        const std::size_t dot = entry.name.find('.');
        if (entry.name.substr(0, dot) != section) {
            section = entry.name.substr(0, dot);
            text += fmt::format("{}[{}]\n", text.empty() ? "" : "\n", section);
        }
        text += fmt::format("{} = {}\n", entry.name.substr(dot + 1), formatValue(current, entry));
    }
    return text;
}

std::string referencePage()
{
    const values defaults;
    std::string text = "# Settings\n\nThis page is generated by `coriandermountd --settings-reference`.\n\n"
                       "| Setting | Default | Range | Unit | Description |\n| --- | --- | --- | --- | --- |\n";
    for (const auto& entry : table) {
        const bool isText = std::holds_alternative<text_field>(entry.field);
        std::string range = isText ? std::string(entry.choices) : fmt::format("{} to {}", entry.minimum, entry.maximum);
        std::replace(range.begin(), range.end(), '|', ',');
        text += fmt::format(
            "| `{}` | `{}` | {} | {} | {} |\n", entry.name, formatValue(defaults, entry), range, entry.unit, entry.description);
    }
    return text;
}

} // namespace coriandermount::settings
