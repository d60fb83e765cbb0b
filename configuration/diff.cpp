#include "configuration/diff.h"

#include <algorithm>
#include <iterator>
#include <set>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace coriandermount::configuration {

namespace {

    constexpr std::size_t maxNamesInSentence = 5;

    template <class Key, class Value>
    std::map<Key, std::optional<Value>> diffMaps(const std::map<Key, Value>& before, const std::map<Key, Value>& after)
    {
        std::map<Key, std::optional<Value>> changes;
        for (const auto& [key, value] : before) {
            if (!after.contains(key))
                changes.emplace(key, std::nullopt);
        }
        for (const auto& [key, value] : after) {
            const auto old = before.find(key);
            if (old == before.end() || old->second != value)
                changes.emplace(key, value);
        }
        return changes;
    }

    template <class Key, class Value>
    void applyTo(std::map<Key, Value>& target, const std::map<Key, std::optional<Value>>& changes)
    {
        for (const auto& [key, value] : changes) {
            if (value)
                target[key] = *value;
            else
                target.erase(key);
        }
    }

    /// Customers that share one change.
    using customer_group = std::vector<customer_id>;

    std::string formatNames(const customer_group& group)
    {
        std::vector<std::string> names;
        for (std::size_t index = 0; index < std::min(group.size(), maxNamesInSentence); ++index)
            names.push_back(group[index].value);
        if (group.size() > maxNamesInSentence)
            names.emplace_back("...");
        return fmt::format("{}", fmt::join(names, ", "));
    }

    /// Returns "customer a loses ..." or "3 customers lose ... (a, b, c)".
    std::string formatSentence(const customer_group& group, const std::string& singular, const std::string& plural)
    {
        if (group.size() == 1)
            return fmt::format("customer {} {}", group.front().value, singular);
        return fmt::format("{} customers {} ({})", group.size(), plural, formatNames(group));
    }

    /// Returns descriptions of the services that a customer loses access to; empty when there are none.
    std::set<std::string> lostServices(const plan_limits& before, const plan_limits& after)
    {
        std::set<std::string> lost;
        if (after.services.empty())
            return lost;
        if (before.services.empty()) {
            std::vector<std::string> kept;
            for (const auto& service : after.services)
                kept.push_back(service.value);
            lost.insert(fmt::format("all services but {}", fmt::join(kept, ", ")));
            return lost;
        }
        for (const auto& service : before.services) {
            if (!after.services.contains(service))
                lost.insert(fmt::format("service {}", service.value));
        }
        return lost;
    }

    void describeCustomers(const snapshot& before, const snapshot& after, std::vector<std::string>& sentences)
    {
        customer_group removed;
        std::map<std::string, customer_group> losses;
        std::map<std::pair<plan_id, plan_id>, customer_group> moved;
        std::map<plan_id, customer_group> added;
        for (const auto& [customer, oldPlan] : before.customers) {
            const auto found = after.customers.find(customer);
            if (found == after.customers.end()) {
                removed.push_back(customer);
                continue;
            }
            if (found->second != oldPlan)
                moved[{ oldPlan, found->second }].push_back(customer);
            const auto oldLimits = before.plans.find(oldPlan);
            const auto newLimits = after.plans.find(found->second);
            if (oldLimits == before.plans.end() || newLimits == after.plans.end() || oldLimits->second == newLimits->second)
                continue;
            for (const auto& service : lostServices(oldLimits->second, newLimits->second))
                losses[service].push_back(customer);
        }
        for (const auto& [customer, plan] : after.customers) {
            if (!before.customers.contains(customer))
                added[plan].push_back(customer);
        }
        if (!removed.empty())
            sentences.push_back(formatSentence(removed, "is removed and loses all access", "are removed and lose all access"));
        for (const auto& [service, group] : losses)
            sentences.push_back(formatSentence(group, "loses access to " + service, "lose access to " + service));
        for (const auto& [plans, group] : moved) {
            const std::string where = fmt::format("from plan {} to plan {}", plans.first.value, plans.second.value);
            sentences.push_back(formatSentence(group, "moves " + where, "move " + where));
        }
        for (const auto& [plan, group] : added)
            sentences.push_back(formatSentence(group, "is added with plan " + plan.value, "are added with plan " + plan.value));
    }

    std::string formatLimit(std::uint64_t value) { return value == 0 ? "no limit" : fmt::format("{}", value); }

    std::string formatServices(const plan_limits& plan)
    {
        std::vector<std::string> names;
        for (const auto& service : plan.services)
            names.push_back(service.value);
        return names.empty() ? "all services" : fmt::format("{}", fmt::join(names, ", "));
    }

    void describePlan(const plan_id& id, const plan_limits& before, const plan_limits& after, std::vector<std::string>& sentences)
    {
        const auto compare = [&](const char* name, const std::string& old, const std::string& now) {
            if (old != now)
                sentences.push_back(fmt::format("plan {}: {} changes from {} to {}", id.value, name, old, now));
        };
        compare("weight", fmt::format("{}", before.weight), fmt::format("{}", after.weight));
        compare("tasks per second", formatLimit(before.tasksPerSecond), formatLimit(after.tasksPerSecond));
        compare("concurrent tasks", formatLimit(before.concurrentTasks), formatLimit(after.concurrentTasks));
        compare("accelerators", formatLimit(before.accelerators), formatLimit(after.accelerators));
        compare("memory in MB", formatLimit(before.memoryMegabytes), formatLimit(after.memoryMegabytes));
        compare("tasks per job", formatLimit(before.tasksPerJob), formatLimit(after.tasksPerJob));
        compare("run time of a task in ms", formatLimit(static_cast<std::uint64_t>(before.taskRunTime.count())),
            formatLimit(static_cast<std::uint64_t>(after.taskRunTime.count())));
        compare("services", formatServices(before), formatServices(after));
    }

    void describePlans(const snapshot& before, const snapshot& after, std::vector<std::string>& sentences)
    {
        for (const auto& [id, limits] : before.plans) {
            const auto found = after.plans.find(id);
            if (found == after.plans.end())
                sentences.push_back(fmt::format("plan {} is removed", id.value));
            else
                describePlan(id, limits, found->second, sentences);
        }
        for (const auto& [id, limits] : after.plans) {
            if (!before.plans.contains(id))
                sentences.push_back(fmt::format("plan {} is new, with weight {}", id.value, limits.weight));
        }
    }

} // namespace

change_set computeChanges(const snapshot& before, const snapshot& after)
{
    return { diffMaps(before.customers, after.customers), diffMaps(before.plans, after.plans) };
}

void applyChanges(const change_set& changes, snapshot& target)
{
    applyTo(target.customers, changes.customers);
    applyTo(target.plans, changes.plans);
}

std::vector<std::string> describeChanges(const snapshot& before, const snapshot& after)
{
    std::vector<std::string> sentences;
    describeCustomers(before, after, sentences);
    describePlans(before, after, sentences);
    return sentences;
}

} // namespace coriandermount::configuration
