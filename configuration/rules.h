/// Rules that every configuration keeps.
#pragma once

#include <string>
#include <vector>

#include "configuration/configuration.h"

namespace coriandermount::configuration {

inline constexpr std::uint32_t maxWeight = 1000000;
/// Largest value of any limit of a plan.
inline constexpr std::uint32_t maxLimit = 1000000000;
inline constexpr std::size_t maxPlans = 1000;
inline constexpr std::size_t maxCustomers = 100000;
inline constexpr std::size_t maxServicesPerPlan = 1000;
inline constexpr std::size_t maxNameLength = 128;
inline constexpr std::size_t maxReasonLength = 1000;

/// Returns a sentence for each rule that `value` breaks.
std::vector<std::string> findRuleViolations(const snapshot& value);

/// Joins sentences for the detail of an error; long lists are cut.
std::string joinProblems(const std::vector<std::string>& problems);

} // namespace coriandermount::configuration
