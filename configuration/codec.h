/// JSON encoding of configurations and plans.
#pragma once

#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "configuration/configuration.h"

namespace coriandermount::configuration {

/// Encodes all fields of a snapshot, including its version.
std::string encodeSnapshot(const snapshot& value);

/// Decodes a snapshot. Fails with `configuration_invalid` when the text is not valid JSON or violates rules; the detail lists the
/// first violations (see `joinProblems`).
result<snapshot> decodeSnapshot(const std::string& text);

/// Reads a snapshot and appends a message to `problems` for each field that is unknown or has an invalid type or number. Such a
/// value is left out or keeps its default. The rules of `findRuleViolations` are not checked.
snapshot readSnapshot(const nlohmann::json& body, std::vector<std::string>& problems);

/// Encodes all limits of a plan.
nlohmann::json encodePlan(const plan_limits& plan);

/// Reads the limits of the plan `name` and appends messages to `problems` as `readSnapshot` does.
plan_limits readPlan(const std::string& name, const nlohmann::json& value, std::vector<std::string>& problems);

} // namespace coriandermount::configuration
