#include "explain/limit_changes.h"

#include <fmt/format.h>

#include "event_log/rules.h"

namespace coriandermount::explain {

namespace {

    using configuration::plan_limits;
    using configuration::snapshot;
    namespace rules = event_log::rules;

    /// Collects the differences of one pair of versions.
    class difference {
    public:
        explicit difference(const snapshot& after)
            : m_after(after)
        {
        }

        void compare(const std::string& subject, std::string_view rule, std::string before, std::string after)
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

        std::vector<event_log::event> take() { return std::move(m_changes); }

    private:
        const snapshot& m_after;
        std::vector<event_log::event> m_changes;
    };

    std::string number(std::int64_t value) { return fmt::format("{}", value); }

    std::string serviceList(const plan_limits& plan)
    {
        std::string list;
        for (const auto& service : plan.services)
            list += (list.empty() ? "" : ",") + service.value;
        return list;
    }

    void comparePlan(difference& found, const std::string& plan, const plan_limits& before, const plan_limits& after)
    {
        found.compare(plan, rules::planConcurrentTasks, number(before.concurrentTasks), number(after.concurrentTasks));
        found.compare(plan, rules::planTasksPerSecond, number(before.tasksPerSecond), number(after.tasksPerSecond));
        found.compare(plan, rules::planAccelerators, number(before.accelerators), number(after.accelerators));
        found.compare(plan, rules::planMemory, number(before.memoryMegabytes), number(after.memoryMegabytes));
        found.compare(plan, rules::planTasksPerJob, number(before.tasksPerJob), number(after.tasksPerJob));
        found.compare(plan, rules::planTaskRunTime, number(before.taskRunTime.count()), number(after.taskRunTime.count()));
        found.compare(plan, rules::planServices, serviceList(before), serviceList(after));
    }

    std::string planOf(const snapshot& value, const customer_id& customer)
    {
        const auto found = value.customers.find(customer);
        return found == value.customers.end() ? std::string() : found->second.value;
    }

} // namespace

std::vector<event_log::event> limitChanges(const snapshot& before, const snapshot& after)
{
    difference found(after);
    for (const auto& [id, plan] : after.plans) {
        if (const auto old = before.plans.find(id); old != before.plans.end())
            comparePlan(found, id.value, old->second, plan);
    }
    for (const auto& [customer, plan] : before.customers)
        found.compare(customer.value, rules::customerPlan, plan.value, planOf(after, customer));
    for (const auto& [customer, plan] : after.customers) {
        if (!before.customers.contains(customer))
            found.compare(customer.value, rules::customerPlan, "", plan.value);
    }
    return found.take();
}

} // namespace coriandermount::explain
