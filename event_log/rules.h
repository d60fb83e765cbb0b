/// Names of the rules that events refer to, as they are documented and logged.
#pragma once

#include <string_view>

namespace coriandermount::event_log::rules {

// Limits of a plan, by their names in the configuration.
inline constexpr std::string_view planConcurrentTasks = "plan.concurrent_tasks";
inline constexpr std::string_view planTasksPerSecond = "plan.tasks_per_second";
inline constexpr std::string_view planAccelerators = "plan.accelerators";
inline constexpr std::string_view planMemory = "plan.memory_mb";
inline constexpr std::string_view planTasksPerJob = "plan.tasks_per_job";
inline constexpr std::string_view planTaskRunTime = "plan.task_run_time_ms";
inline constexpr std::string_view planServices = "plan.services";
/// The plan that a customer is assigned to.
inline constexpr std::string_view customerPlan = "customer.plan";

} // namespace coriandermount::event_log::rules
