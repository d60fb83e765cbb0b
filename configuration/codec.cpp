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

    /// Holds the JSON object that is read, its name in messages, and the list that problems are added to.
    struct read_context {
        const json& object;
        std::string subject;
        std::vector<std::string>& problems;
    };

    std::uint64_t readNumber(const read_context& context, const char* key, std::uint64_t fallback, std::uint64_t maxValue)
    {
        const auto found = context.object.find(key);
        if (found == context.object.end())
            return fallback;
        if (!found->is_number_unsigned() || found->get<std::uint64_t>() > maxValue) {
            context.problems.push_back(fmt::format(
                "{}: {} is {}, must be a whole number between 0 and {}", context.subject, key, found->dump(), maxValue));
            return fallback;
        }
        return found->get<std::uint64_t>();
    }

    std::string readString(const read_context& context, const char* key)
    {
        const auto found = context.object.find(key);
        if (found == context.object.end())
            return {};
        if (!found->is_string()) {
            context.problems.push_back(fmt::format("{}: {} must be a string", context.subject, key));
            return {};
        }
        return found->get<std::string>();
    }

    void reportUnknownFields(const read_context& context, std::span<const std::string_view> knownFields)
    {
        for (const auto& [key, value] : context.object.items()) {
            if (std::find(knownFields.begin(), knownFields.end(), key) == knownFields.end())
                context.problems.push_back(fmt::format("{}: there is no field \"{}\"", context.subject, key));
        }
    }

    const json* findObject(const json& body, const char* key, std::vector<std::string>& problems)
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
    const read_context context { value, fmt::format("plan \"{}\"", name), problems };
    reportUnknownFields(context, fields);
    const auto limit = [&context](const char* key) { return static_cast<std::uint32_t>(readNumber(context, key, 0, maxLimit)); };
    plan.weight = static_cast<std::uint32_t>(readNumber(context, "weight", plan.weight, maxWeight));
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
            problems.push_back(fmt::format("plan \"{}\": services must be a list of strings", name));
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
    // "in_force_for_ms" is part of the response to a read; it is accepted and ignored, so that an edited response can be
    // published.
    constexpr std::array<std::string_view, 9> fields { "version", "based_on", "record", "author", "reason", "published_at_ms",
        "in_force_for_ms", "customers", "plans" };
    constexpr std::uint64_t maxNumber = std::numeric_limits<std::int64_t>::max();
    snapshot value;
    if (!body.is_object()) {
        problems.emplace_back("the configuration must be an object");
        return value;
    }
    const read_context context { body, "the configuration", problems };
    reportUnknownFields(context, fields);
    value.version = readNumber(context, "version", 0, maxNumber);
    value.basedOn = readNumber(context, "based_on", 0, maxNumber);
    value.recordId = readString(context, "record");
    value.author = readString(context, "author");
    value.reason = readString(context, "reason");
    value.publishedAt = wall_time(std::chrono::milliseconds(readNumber(context, "published_at_ms", 0, maxNumber)));
    if (const json* customers = findObject(body, "customers", problems)) {
        for (const auto& [customer, plan] : customers->items()) {
            if (plan.is_string())
                value.customers[{ customer }] = { plan.get<std::string>() };
            else
                problems.push_back(fmt::format("customer \"{}\": the plan must be given by its name, a string", customer));
        }
    }
    if (const json* plans = findObject(body, "plans", problems)) {
        for (const auto& [id, plan] : plans->items())
            value.plans[{ id }] = readPlan(id, plan, problems);
    }
    return value;
}

result<snapshot> decodeSnapshot(const std::string& text)
{
    const json body = json::parse(text, nullptr, false);
    if (body.is_discarded())
        return fail(error_kind::configuration_invalid, "the configuration is not valid JSON");
    std::vector<std::string> problems;
    snapshot value = readSnapshot(body, problems);
    const auto violations = findRuleViolations(value);
    problems.insert(problems.end(), violations.begin(), violations.end());
    if (!problems.empty())
        return fail(error_kind::configuration_invalid, joinProblems(problems));
    return value;
}

} // namespace coriandermount::configuration
