#include "explain/limit_changes.h"

#include <fmt/format.h>

#include "event_log/rules.h"

namespace coriandermount::explain {

namespace {

    using configuration::plan_limits;
    using configuration::snapshot;
    namespace rules = event_log::rules;

    /// Collects the differences between two configuration versions as events.
    class change_collector {
    public:
        explicit change_collector(const snapshot& after)
            : m_after(after)
        {
        }

        void addIfDifferent(const std::string& subject, std::string_view rule, std::string before, std::string after)
        {
            if (before == after)
                return;
            event_log::event change;
            change.kind = event_log::event_kind::limit_changed;
            change.subject = subject;
            change.rule = rule;
            change.limit = std::move(before);
            change.value = std::move(after);
            change.configurationVersion = m_after.version;
            change.author = m_after.author;
            m_changes.push_back(std::move(change));
        }

        std::vector<event_log::event> takeChanges() { return std::move(m_changes); }

    private:
        const snapshot& m_after;
        std::vector<event_log::event> m_changes;
    };

    std::string numberText(std::int64_t value) { return fmt::format("{}", value); }

    std::string serviceList(const plan_limits& plan)
    {
        std::string list;
        for (const auto& service : plan.services)
            list += (list.empty() ? "" : ",") + service.value;
        return list;
    }

    void comparePlan(change_collector& collector, const std::string& plan, const plan_limits& before, const plan_limits& after)
    {
        collector.addIfDifferent(
            plan, rules::planConcurrentTasks, numberText(before.concurrentTasks), numberText(after.concurrentTasks));
        collector.addIfDifferent(
            plan, rules::planTasksPerSecond, numberText(before.tasksPerSecond), numberText(after.tasksPerSecond));
        collector.addIfDifferent(plan, rules::planAccelerators, numberText(before.accelerators), numberText(after.accelerators));
        collector.addIfDifferent(plan, rules::planMemory, numberText(before.memoryMegabytes), numberText(after.memoryMegabytes));
        collector.addIfDifferent(plan, rules::planTasksPerJob, numberText(before.tasksPerJob), numberText(after.tasksPerJob));
        collector.addIfDifferent(
            plan, rules::planTaskRunTime, numberText(before.taskRunTime.count()), numberText(after.taskRunTime.count()));
        collector.addIfDifferent(plan, rules::planServices, serviceList(before), serviceList(after));
    }

    std::string planOf(const snapshot& value, const customer_id& customer)
    {
        const auto found = value.customers.find(customer);
        return found == value.customers.end() ? std::string() : found->second.value;
    }

} // namespace

std::vector<event_log::event> computeLimitChanges(const snapshot& before, const snapshot& after)
{
    change_collector collector(after);
    for (const auto& [id, plan] : after.plans) {
        if (const auto old = before.plans.find(id); old != before.plans.end())
            comparePlan(collector, id.value, old->second, plan);
    }
    for (const auto& [customer, plan] : before.customers)
        collector.addIfDifferent(customer.value, rules::customerPlan, plan.value, planOf(after, customer));
    for (const auto& [customer, plan] : after.customers) {
        if (!before.customers.contains(customer))
            collector.addIfDifferent(customer.value, rules::customerPlan, "", plan.value);
    }
    return collector.takeChanges();
}

} // namespace coriandermount::explain
