#include "event_log/fault_counter.h"

#include <algorithm>
#include <array>
#include <deque>
#include <unordered_map>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace coriandermount::event_log {

using nlohmann::json;

namespace {

    /// Time between a fault and its attribution, for evidence that is recorded after the fault.
    constexpr std::chrono::seconds evidenceDelay { 3 };
    constexpr std::size_t maxKeys = 20000;
    constexpr std::size_t maxCauses = 10000;
    constexpr std::chrono::hours countRetention { 24 };
    /// Customer under which faults are counted beyond the limit on keys.
    constexpr std::string_view otherCustomersName = "(other)";

    std::optional<fault_class> classOf(const event& entry)
    {
        switch (entry.kind) {
        case event_kind::job_answered:
            if (!entry.problem)
                return std::nullopt;
            return outcomeOf(entry) == outcome::not_run ? fault_class::refusal : fault_class::failure;
        case event_kind::task_retried:
            return fault_class::retry;
        case event_kind::worker_ejected:
            return fault_class::ejection;
        case event_kind::takeover:
            return fault_class::takeover;
        case event_kind::lease_lapsed:
            return fault_class::lease;
        case event_kind::log_failed:
            return fault_class::log;
        case event_kind::configuration_rejected:
            return fault_class::configuration;
        default:
            return std::nullopt;
        }
    }

    fault_key keyOf(const event& fault, fault_class kind, attribution_rule rule)
    {
        fault_key key;
        key.minute = std::chrono::floor<std::chrono::minutes>(fault.at);
        key.kind = kind;
        key.problem = fault.problem;
        key.rule = rule;
        if (fault.job)
            key.customer = fault.job->customer;
        key.configurationVersion = fault.configurationVersion;
        return key;
    }

    void addCount(fault_counts& counts, fault_key key, std::uint64_t count, std::size_t keyLimit)
    {
        if (counts.size() >= keyLimit && !counts.contains(key)) {
            key.customer.value = otherCustomersName;
            key.configurationVersion = 0;
        }
        counts[key] += count;
    }

} // namespace

std::string_view nameOf(fault_class value)
{
    constexpr std::array<std::string_view, faultClassCount> names { "refusal", "failure", "retry", "ejection", "takeover",
        "lease", "log", "configuration", "unrecorded" };
    return names[static_cast<std::size_t>(value)];
}

void addCounts(fault_counts& counts, const fault_counts& added, std::size_t keyLimit)
{
    for (const auto& [key, count] : added)
        addCount(counts, key, count, keyLimit);
}

std::string encodeCounts(const fault_counts& counts)
{
    json lines = json::array();
    for (const auto& [key, count] : counts) {
        lines.push_back({ std::chrono::duration_cast<std::chrono::minutes>(key.minute.time_since_epoch()).count(),
            nameOf(key.kind), key.problem ? nameOf(*key.problem) : "", rowOf(key.rule).name, key.customer.value,
            key.configurationVersion, count });
    }
    return lines.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<fault_counts> decodeCounts(const std::string& text)
{
    try {
        fault_counts counts;
        for (const auto& line : json::parse(text)) {
            fault_key key;
            key.minute = wall_time(std::chrono::minutes(line.at(0).get<std::int64_t>()));
            for (std::size_t kind = 0; kind < faultClassCount; ++kind) {
                if (nameOf(static_cast<fault_class>(kind)) == line.at(1).get<std::string>())
                    key.kind = static_cast<fault_class>(kind);
            }
            key.problem = findErrorKind(line.at(2).get<std::string>());
            key.rule = findAttributionRule(line.at(3).get<std::string>()).value_or(attribution_rule::own_fault);
            key.customer.value = line.at(4).get<std::string>();
            key.configurationVersion = line.at(5).get<std::uint64_t>();
            counts[key] += line.at(6).get<std::uint64_t>();
        }
        return counts;
    } catch (const json::exception& problem) {
        return fail(error_kind::malformed_request, problem.what());
    }
}

struct fault_counter::data {
    evidence recentEvidence;
    /// Newest refusal or failed task of each job whose answer has not been added yet.
    std::unordered_map<job_key, event> causes;
    std::deque<event> waiting;
    fault_counts counts;
    fault_counts countedSinceLastCall;

    void addEvent(const event& entry)
    {
        recentEvidence.add(entry);
        const bool isCause = entry.kind == event_kind::job_refused || entry.kind == event_kind::task_answered;
        if (isCause && entry.job && entry.problem) {
            if (causes.size() >= maxCauses)
                causes.clear();
            causes[*entry.job] = entry;
        }
        if (classOf(entry))
            waiting.push_back(withCause(entry));
    }

    /// The event of an answer holds only the error; the rule, the bound and the worker are in the event that caused it.
    event withCause(event answer)
    {
        if (!answer.job)
            return answer;
        const auto found = causes.find(*answer.job);
        if (found == causes.end() || answer.kind != event_kind::job_answered)
            return answer;
        if (found->second.problem == answer.problem)
            answer = mergedWithCause(answer, found->second);
        causes.erase(found);
        return answer;
    }

    void count(const event& fault, fault_counts& target) const
    {
        addCount(target, keyOf(fault, *classOf(fault), attribute(fault, recentEvidence).rule), 1, maxKeys);
    }

    void countUnrecorded(std::uint64_t missed, wall_time now)
    {
        if (missed == 0)
            return;
        event lost;
        lost.at = now;
        const auto key = keyOf(lost, fault_class::unrecorded, attribution_rule::not_recorded);
        counts[key] += missed;
        countedSinceLastCall[key] += missed;
    }
};

event mergedWithCause(event answer, const event& cause)
{
    answer.subject = cause.subject;
    answer.rule = cause.rule;
    if (answer.limit.empty())
        answer.limit = cause.limit;
    if (!cause.value.empty())
        answer.value = cause.value;
    if (cause.kind == event_kind::task_answered)
        answer.elapsed = cause.elapsed;
    if (cause.configurationVersion > 0)
        answer.configurationVersion = cause.configurationVersion;
    return answer;
}

fault_counter::fault_counter()
    : m_data(std::make_unique<data>())
{
}

fault_counter::~fault_counter() = default;

void fault_counter::add(const unread_events& unread, wall_time now)
{
    std::vector<const event*> merged;
    for (const auto* events : { &unread.faults, &unread.detail }) {
        for (const auto& entry : *events)
            merged.push_back(&entry);
    }
    std::sort(
        merged.begin(), merged.end(), [](const event* left, const event* right) { return left->sequence < right->sequence; });
    for (const auto* entry : merged)
        m_data->addEvent(*entry);
    m_data->countUnrecorded(unread.missedFaults, now);
}

fault_counts fault_counter::countSettled(wall_time now)
{
    while (!m_data->waiting.empty() && m_data->waiting.front().at + evidenceDelay <= now) {
        m_data->count(m_data->waiting.front(), m_data->counts);
        m_data->count(m_data->waiting.front(), m_data->countedSinceLastCall);
        m_data->waiting.pop_front();
    }
    const auto oldest = now - countRetention;
    while (!m_data->counts.empty() && m_data->counts.begin()->first.minute < oldest)
        m_data->counts.erase(m_data->counts.begin());
    return std::exchange(m_data->countedSinceLastCall, {});
}

fault_counts fault_counter::countsSince(wall_time since) const
{
    fault_key first;
    first.minute = std::chrono::floor<std::chrono::minutes>(since);
    fault_counts found(m_data->counts.lower_bound(first), m_data->counts.end());
    for (const auto& fault : m_data->waiting) {
        if (fault.at >= since)
            m_data->count(fault, found);
    }
    return found;
}

void fault_counter::addEvidence(const event& entry) { m_data->recentEvidence.add(entry); }

const evidence& fault_counter::collectedEvidence() const { return m_data->recentEvidence; }

} // namespace coriandermount::event_log
