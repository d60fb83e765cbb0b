#include "main/engine_options.h"

#include <random>

namespace coriandermount {

namespace {

    constexpr double percent = 100;

} // namespace

dispatch::engine_options engineOptions(const settings::values& settings)
{
    dispatch::engine_options options;
    options.maxQueuedTasks = static_cast<std::size_t>(settings.maxQueuedTasks);
    options.maxAttempts = static_cast<unsigned>(settings.maxAttempts);
    options.seed = std::random_device {}();
    options.requireConfiguration = settings.requireConfiguration == "yes";
    options.shortWorkReserve = static_cast<double>(settings.shortReservePercent) / percent;
    options.plannedUtilization = static_cast<double>(settings.plannedUtilizationPercent) / percent;
    options.runTimes.longWork = settings.longWork;
    options.health.maxEjectedShare = static_cast<double>(settings.maxEjectedPercent) / percent;
    options.retries.retriesPerFirstAttempt = static_cast<double>(settings.retryBudgetPercent) / percent;
    return options;
}

} // namespace coriandermount
