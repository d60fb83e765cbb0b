#include "configuration/record.h"

#include <nlohmann/json.hpp>

#include "configuration/codec.h"
#include "configuration/rules.h"

namespace coriandermount::configuration {

using nlohmann::json;

namespace {

    json encodeChanges(const change_set& changes)
    {
        json customers = json::object();
        for (const auto& [customer, plan] : changes.customers)
            customers[customer.value] = plan ? json(plan->value) : json(nullptr);
        json plans = json::object();
        for (const auto& [id, plan] : changes.plans)
            plans[id.value] = plan ? encodePlan(*plan) : json(nullptr);
        return { { "customers", customers }, { "plans", plans } };
    }

    change_set decodeChanges(const json& value, std::vector<std::string>& problems)
    {
        change_set changes;
        for (const auto& [customer, plan] : value.at("customers").items()) {
            auto& target = changes.customers[{ customer }];
            if (!plan.is_null())
                target = plan_id { plan.get<std::string>() };
        }
        for (const auto& [id, plan] : value.at("plans").items()) {
            auto& target = changes.plans[{ id }];
            if (!plan.is_null())
                target = readPlan(id, plan, problems);
        }
        return changes;
    }

    record makeFullRecord(const snapshot& source)
    {
        record value;
        value.recordId = source.recordId;
        value.author = source.author;
        value.reason = source.reason;
        value.publishedAt = source.publishedAt;
        value.basedOn = source.basedOn;
        value.customers = source.customers;
        value.plans = source.plans;
        return value;
    }

    void readFullLists(const json& body, record& value, std::vector<std::string>& problems)
    {
        const snapshot lists = readSnapshot({ { "customers", body.at("customers") }, { "plans", body.at("plans") } }, problems);
        value.customers = lists.customers;
        value.plans = lists.plans;
    }

} // namespace

record makeRecord(const snapshot& candidate, const snapshot& current)
{
    record value = makeFullRecord(candidate);
    change_set changes = computeChanges(current, candidate);
    const std::size_t changed = changes.customers.size() + changes.plans.size();
    if (current.version == 0 || changed * 2 > candidate.customers.size() + candidate.plans.size())
        return value;
    value.changes = std::move(changes);
    value.customers.clear();
    value.plans.clear();
    return value;
}

record makeCopy(const snapshot& accepted)
{
    record value = makeFullRecord(accepted);
    value.acceptedVersion = accepted.version;
    return value;
}

std::string encodeRecord(const record& value)
{
    json body = { { "record", value.recordId }, { "author", value.author }, { "reason", value.reason },
        { "published_at_ms", value.publishedAt.time_since_epoch().count() }, { "based_on", value.basedOn } };
    if (value.acceptedVersion)
        body["version"] = *value.acceptedVersion;
    if (value.changes) {
        body["changes"] = encodeChanges(*value.changes);
        return body.dump(-1, ' ', false, json::error_handler_t::replace);
    }
    body["customers"] = json::object();
    for (const auto& [customer, plan] : value.customers)
        body["customers"][customer.value] = plan.value;
    body["plans"] = json::object();
    for (const auto& [id, plan] : value.plans)
        body["plans"][id.value] = encodePlan(plan);
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<record> decodeRecord(const std::string& text)
{
    std::vector<std::string> problems;
    record value;
    try {
        const json body = json::parse(text);
        value.recordId = body.at("record").get<std::string>();
        value.author = body.value("author", "");
        value.reason = body.value("reason", "");
        value.publishedAt = wall_time(std::chrono::milliseconds(body.value("published_at_ms", std::int64_t { 0 })));
        value.basedOn = body.value("based_on", std::uint64_t { 0 });
        if (body.contains("version"))
            value.acceptedVersion = body.at("version").get<std::uint64_t>();
        if (body.contains("changes"))
            value.changes = decodeChanges(body.at("changes"), problems);
        else
            readFullLists(body, value, problems);
    } catch (const json::exception& problem) {
        return fail(error_kind::configuration_invalid, problem.what());
    }
    if (value.recordId.empty())
        problems.emplace_back("the record has no id");
    if (value.acceptedVersion && (value.changes || *value.acceptedVersion <= value.basedOn))
        problems.emplace_back("a copy must hold all lists, and its version must exceed the version that it is based on");
    if (!problems.empty())
        return fail(error_kind::configuration_invalid, joinProblems(problems));
    return value;
}

result<snapshot> applyRecord(const record& value, const snapshot& current)
{
    snapshot next = current;
    next.version = 0;
    next.basedOn = value.basedOn;
    next.recordId = value.recordId;
    next.author = value.author;
    next.reason = value.reason;
    next.publishedAt = value.publishedAt;
    if (value.changes) {
        applyChanges(*value.changes, next);
    } else {
        next.customers = value.customers;
        next.plans = value.plans;
    }
    const auto problems = findRuleViolations(next);
    if (!problems.empty())
        return fail(error_kind::configuration_invalid, joinProblems(problems));
    return next;
}

} // namespace coriandermount::configuration
