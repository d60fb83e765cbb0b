#include "configuration/rules.h"

#include <algorithm>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace coriandermount::configuration {

namespace {

    constexpr std::size_t maxProblemsInDetail = 5;

    bool isValidName(const std::string& text)
    {
        const auto isAllowed = [](char c) { return static_cast<unsigned char>(c) > ' ' && c != '/' && c != '"' && c != '\x7f'; };
        return !text.empty() && text.size() <= maxNameLength && std::all_of(text.begin(), text.end(), isAllowed);
    }

    void checkName(const char* kind, const std::string& name, std::vector<std::string>& problems)
    {
        if (isValidName(name))
            return;
        problems.push_back(
            fmt::format("{} name \"{}\" must have 1 to {} bytes without spaces, control characters, double quotes and slashes",
                kind, name, maxNameLength));
    }

    void checkCount(const char* itemName, std::size_t count, std::size_t maxCount, std::vector<std::string>& problems)
    {
        if (count > maxCount)
            problems.push_back(fmt::format("there are {} {}, at most {} are allowed", count, itemName, maxCount));
    }

} // namespace

std::vector<std::string> findRuleViolations(const snapshot& value)
{
    std::vector<std::string> problems;
    if (value.author.empty() || value.author.size() > maxNameLength)
        problems.push_back(fmt::format("author has {} bytes, must have 1 to {}", value.author.size(), maxNameLength));
    if (value.reason.empty() || value.reason.size() > maxReasonLength)
        problems.push_back(fmt::format("reason has {} bytes, must have 1 to {}", value.reason.size(), maxReasonLength));
    if (!value.recordId.empty())
        checkName("record", value.recordId, problems);
    checkCount("plans", value.plans.size(), maxPlans, problems);
    checkCount("customers", value.customers.size(), maxCustomers, problems);
    for (const auto& [id, plan] : value.plans) {
        checkName("plan", id.value, problems);
        if (plan.weight == 0 || plan.weight > maxWeight)
            problems.push_back(
                fmt::format("plan \"{}\" has weight {}, must lie between 1 and {}", id.value, plan.weight, maxWeight));
        checkCount("services in one plan", plan.services.size(), maxServicesPerPlan, problems);
        for (const auto& service : plan.services)
            checkName("service", service.value, problems);
    }
    for (const auto& [customer, plan] : value.customers) {
        checkName("customer", customer.value, problems);
        if (!value.plans.contains(plan))
            problems.push_back(fmt::format("customer \"{}\" has plan \"{}\", which is not listed", customer.value, plan.value));
    }
    return problems;
}

std::string joinProblems(const std::vector<std::string>& problems)
{
    if (problems.size() <= maxProblemsInDetail)
        return fmt::format("{}", fmt::join(problems, "; "));
    return fmt::format("{}; and {} more", fmt::join(problems.begin(), problems.begin() + maxProblemsInDetail, "; "),
        problems.size() - maxProblemsInDetail);
}

} // namespace coriandermount::configuration
