#include "configuration/codec.h"

#include <algorithm>
#include <array>
#include <limits>
#include <span>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "configuration/rules.h"

namespace coriandermount::configuration {

using nlohmann::json;

namespace {

    /// Where a value stands and where what is wrong with it goes.
    struct reading_place {
        const json& object;
        std::string owner;
        std::vector<std::string>& problems;
    };

    std::uint64_t numberIn(const reading_place& place, const char* key, std::uint64_t absent, std::uint64_t highest)
    {
        const auto found = place.object.find(key);
        if (found == place.object.end())
            return absent;
        if (!found->is_number_unsigned() || found->get<std::uint64_t>() > highest) {
            place.problems.push_back(
                fmt::format("{}: {} is {}, must be a whole number between 0 and {}", place.owner, key, found->dump(), highest));
            return absent;
        }
        return found->get<std::uint64_t>();
    }

    std::string textIn(const reading_place& place, const char* key)
    {
        const auto found = place.object.find(key);
        if (found == place.object.end())
            return {};
        if (!found->is_string()) {
            place.problems.push_back(fmt::format("{}: {} must be a text", place.owner, key));
            return {};
        }
        return found->get<std::string>();
    }

    void checkFields(const reading_place& place, std::span<const std::string_view> known)
    {
        for (const auto& [key, value] : place.object.items()) {
            if (std::find(known.begin(), known.end(), key) == known.end())
                place.problems.push_back(fmt::format("{}: there is no field \"{}\"", place.owner, key));
        }
    }

    const json* objectIn(const json& body, const char* key, std::vector<std::string>& problems)
    {
        const auto found = body.find(key);
        if (found != body.end() && found->is_object())
            return &*found;
        problems.push_back(fmt::format("\"{}\" must be an object", key));
        return nullptr;
    }

} // namespace

json encodePlan(const plan_limits& plan)
{
    json services = json::array();
    for (const auto& service : plan.services)
        services.push_back(service.value);
    return { { "weight", plan.weight }, { "tasks_per_second", plan.tasksPerSecond }, { "concurrent_tasks", plan.concurrentTasks },
        { "accelerators", plan.accelerators }, { "memory_mb", plan.memoryMegabytes }, { "tasks_per_job", plan.tasksPerJob },
        { "task_run_time_ms", plan.taskRunTime.count() }, { "services", services } };
}

plan_limits readPlan(const std::string& name, const json& value, std::vector<std::string>& problems)
{
    constexpr std::array<std::string_view, 8> fields { "weight", "tasks_per_second", "concurrent_tasks", "accelerators",
        "memory_mb", "tasks_per_job", "task_run_time_ms", "services" };
    plan_limits plan;
    if (!value.is_object()) {
        problems.push_back(fmt::format("plan \"{}\" must be an object", name));
        return plan;
    }
    const reading_place place { value, fmt::format("plan \"{}\"", name), problems };
    checkFields(place, fields);
    const auto limit = [&place](const char* key) { return static_cast<std::uint32_t>(numberIn(place, key, 0, maxLimit)); };
    plan.weight = static_cast<std::uint32_t>(numberIn(place, "weight", plan.weight, maxWeight));
    plan.tasksPerSecond = limit("tasks_per_second");
    plan.concurrentTasks = limit("concurrent_tasks");
    plan.accelerators = limit("accelerators");
    plan.memoryMegabytes = limit("memory_mb");
    plan.tasksPerJob = limit("tasks_per_job");
    plan.taskRunTime = std::chrono::milliseconds(limit("task_run_time_ms"));
    const auto services = value.find("services");
    if (services == value.end())
        return plan;
    for (const auto& service : *services) {
        if (service.is_string())
            plan.services.insert({ service.get<std::string>() });
        else
            problems.push_back(fmt::format("plan \"{}\": services must be a list of texts", name));
    }
    return plan;
}

std::string encodeSnapshot(const snapshot& value)
{
    json customers = json::object();
    for (const auto& [customer, plan] : value.customers)
        customers[customer.value] = plan.value;
    json plans = json::object();
    for (const auto& [id, plan] : value.plans)
        plans[id.value] = encodePlan(plan);
    return json {
        { "version", value.version }, { "based_on", value.basedOn }, { "record", value.recordId }, { "author", value.author },
        { "reason", value.reason }, { "published_at_ms", value.publishedAt.time_since_epoch().count() },
        { "customers", customers }, { "plans", plans }
    }.dump(-1, ' ', false, json::error_handler_t::replace);
}

snapshot readSnapshot(const json& body, std::vector<std::string>& problems)
{
    // The answer to a reader has the age too; it is ignored, so that an edited answer can be published.
    constexpr std::array<std::string_view, 9> fields { "version", "based_on", "record", "author", "reason", "published_at_ms",
        "in_force_for_ms", "customers", "plans" };
    constexpr std::uint64_t anyNumber = std::numeric_limits<std::int64_t>::max();
    snapshot value;
    if (!body.is_object()) {
        problems.emplace_back("the configuration must be an object");
        return value;
    }
    const reading_place place { body, "the configuration", problems };
    checkFields(place, fields);
    value.version = numberIn(place, "version", 0, anyNumber);
    value.basedOn = numberIn(place, "based_on", 0, anyNumber);
    value.recordId = textIn(place, "record");
    value.author = textIn(place, "author");
    value.reason = textIn(place, "reason");
    value.publishedAt = wall_time(std::chrono::milliseconds(numberIn(place, "published_at_ms", 0, anyNumber)));
    if (const json* customers = objectIn(body, "customers", problems)) {
        for (const auto& [customer, plan] : customers->items()) {
            if (plan.is_string())
                value.customers[{ customer }] = { plan.get<std::string>() };
            else
                problems.push_back(fmt::format("customer \"{}\" must have the name of a plan", customer));
        }
    }
    if (const json* plans = objectIn(body, "plans", problems)) {
        for (const auto& [id, plan] : plans->items())
            value.plans[{ id }] = readPlan(id, plan, problems);
    }
    return value;
}

result<snapshot> decodeSnapshot(const std::string& text)
{
    const json body = json::parse(text, nullptr, false);
    if (body.is_discarded())
        return fail(error_kind::configuration_invalid, "the text is no JSON");
    std::vector<std::string> problems;
    snapshot value = readSnapshot(body, problems);
    const auto broken = findRuleViolations(value);
    problems.insert(problems.end(), broken.begin(), broken.end());
    if (!problems.empty())
        return fail(error_kind::configuration_invalid, joinProblems(problems));
    return value;
}

} // namespace coriandermount::configuration
