/// Limits and rules that every configuration must satisfy.
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
/// Largest length in bytes of the names of customers, plans, services and authors, and of record ids.
inline constexpr std::size_t maxNameLength = 128;
/// Largest length in bytes of the reason of a publication.
inline constexpr std::size_t maxReasonLength = 1000;

/// Returns a message for each violation of a rule; empty when `value` is valid.
std::vector<std::string> findRuleViolations(const snapshot& value);

/// Joins messages for the detail of an error. Messages beyond the first five are only counted.
std::string joinProblems(const std::vector<std::string>& problems);

} // namespace coriandermount::configuration
