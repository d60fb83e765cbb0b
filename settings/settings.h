/// Settings of one VM: loading from TOML, validation and the generated reference.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include "core/error.h"

namespace coriandermount::settings {

/// Holds the settings of one VM. The initial values are the defaults; `declarations` gives name, bounds and unit of each.
struct values {
    std::string vmId = "entry-1";
    std::string failureDomain = "domain-1";
    std::string rack = "rack-1";

    std::string listenAddress = "127.0.0.1";
    std::int64_t listenPort = 7400;
    std::string peerAddress = "127.0.0.1";
    std::int64_t peerPort = 7401;
    std::string peerAdvertisedAddress;
    std::string peerSeeds;
    std::int64_t httpThreads = 2;
    std::int64_t maxConnections = 8192;
    std::int64_t maxBodyBytes = 4 * 1024 * 1024;
    std::int64_t memoryMegabytes = 512;

    std::string platformAddress = "127.0.0.1:7500";
    std::chrono::milliseconds platformTimeout { 1000 };
    std::chrono::milliseconds vmListInterval { 1000 };
    std::chrono::milliseconds vmListLag { 10000 };

    std::string fleetDomains;
    std::chrono::milliseconds deadAfter { 60000 };
    std::chrono::milliseconds deadAfterUnlisted { 5000 };
    std::chrono::milliseconds workerHold { 60000 };

    std::chrono::milliseconds configurationPollInterval { 1000 };
    std::chrono::milliseconds configurationCopyAfter { 600000 };

    std::int64_t maxQueuedTasks = 100000;
    std::int64_t maxAttempts = 3;
    std::int64_t retryBudgetPercent = 10;
    std::string requireConfiguration = "no";
    std::int64_t shortReservePercent = 25;
    std::int64_t plannedUtilizationPercent = 90;
    std::chrono::milliseconds longWork { 8000 };
    std::int64_t maxEjectedPercent = 50;
    std::chrono::milliseconds resubmissionWindow { 600000 };
    std::chrono::milliseconds maxClockSkew { 10000 };
    std::chrono::milliseconds maxVmClockError { 10000 };
    std::chrono::milliseconds claimTimeout { 1000 };
    std::chrono::milliseconds claimViewLease { 900000 };
    std::int64_t claimAnswerMegabytes = 32;
    std::chrono::milliseconds quotaStartWait { 1900 };
    std::chrono::milliseconds quotaWithholding { 5200 };
    std::chrono::milliseconds shutdownLimit { 30000 };

    std::int64_t journalMemoryKilobytes = 16384;
    std::int64_t journalLogBytesPerSecond = 2000;
    std::string logLevel = "info";
};

using text_field = std::string values::*;
using integer_field = std::int64_t values::*;
using duration_field = std::chrono::milliseconds values::*;

/// Declaration of one setting. Loading, validation, printing and the reference page are all driven by it.
struct declaration {
    /// Name in the TOML file, as `table.key`.
    std::string_view name;
    /// Member of `values` that holds the setting.
    std::variant<text_field, integer_field, duration_field> field;
    /// Inclusive bounds of a number or of a duration in milliseconds; unused for text.
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
    /// Allowed values of a text setting, separated by `|`; empty if every text is allowed.
    std::string_view choices;
    std::string_view unit;
    std::string_view description;
};

/// Returns the declarations of all settings, grouped by table.
std::span<const declaration> declarations();

/// Parses settings from TOML text; settings that are absent keep their defaults. Fails with `settings_invalid` on a syntax error,
/// an unknown name, a wrong type or a value out of bounds; the detail names `fileName`, the line and the accepted values.
result<values> parse(std::string_view text, std::string_view fileName);

/// Parses the settings file at `path`. Fails with `settings_invalid`, as `parse` does, and if the file can't be read.
result<values> load(const std::string& path);

/// Returns the settings as TOML that `parse` accepts.
std::string print(const values& current);

/// Returns the reference page of all settings, with their defaults and bounds, as Markdown.
std::string referencePage();

} // namespace coriandermount::settings
