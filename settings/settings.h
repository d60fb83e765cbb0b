/// Settings of one VM: declared once, read from TOML, checked at start.
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

/// All settings with their defaults.
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

/// Declaration of one setting; loader, checker, printer and reference page are made from it.
struct declaration {
    /// `table.key` in the TOML file.
    std::string_view name;
    std::variant<text_field, integer_field, duration_field> field;
    /// Bounds of a number; of a duration in milliseconds.
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
    /// Allowed texts, separated by `|`; empty for any text.
    std::string_view choices;
    std::string_view unit;
    std::string_view description;
};

std::span<const declaration> declarations();

/// Reads settings from TOML text. Fails with `settings_invalid`; the detail names file, line and what would be right.
result<values> parse(std::string_view text, std::string_view fileName);

/// Reads settings from a file.
result<values> load(const std::string& path);

/// Returns the settings as TOML.
std::string print(const values& current);

/// Returns the reference page of all settings as Markdown.
std::string referencePage();

} // namespace coriandermount::settings
