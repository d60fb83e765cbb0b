#include "explain/journal_query.h"

#include <nlohmann/json.hpp>

#include "event_log/event_codec.h"

namespace coriandermount::explain {

using nlohmann::json;

namespace {

    /// Maximum number of faults in the context of a reply; the newest are sent.
    constexpr std::size_t maxContextFaults = 500;
    /// Maximum number of detail events near the job's last event that are searched for ended tasks.
    constexpr std::size_t maxDetailEvents = 2000;

    std::string dump(const json& value) { return value.dump(-1, ' ', false, json::error_handler_t::replace); }

    /// Adds the tasks that ended near the job's last event, so that the job's worker can be compared with others.
    void addEndedTasks(const event_log::memory_journal& journal, journal_reply& reply)
    {
        const wall_time end = reply.events.back().at;
        auto detail = journal.detailBetween(end - event_log::failureWindow, end + event_log::failureWindow, maxDetailEvents);
        for (auto& entry : detail) {
            if (entry.kind == event_log::event_kind::task_answered)
                reply.context.push_back(std::move(entry));
        }
    }

} // namespace

std::string encodeQuery(const journal_query& query)
{
    json object { { "since_ms", query.since.time_since_epoch().count() } };
    if (query.job) {
        object["customer"] = query.job->customer.value;
        object["job"] = query.job->name;
        object["issued_at_ms"] = query.job->issuedAt.time_since_epoch().count();
    }
    return dump(object);
}

result<journal_query> decodeQuery(const std::string& text)
{
    try {
        const json object = json::parse(text);
        journal_query query;
        query.since = wall_time(std::chrono::milliseconds(object.at("since_ms").get<std::int64_t>()));
        if (object.contains("job")) {
            query.job = job_key { { object.at("customer").get<std::string>() }, object.at("job").get<std::string>(),
                wall_time(std::chrono::milliseconds(object.at("issued_at_ms").get<std::int64_t>())) };
        }
        return query;
    } catch (const json::exception& problem) {
        return fail(error_kind::malformed_request, problem.what());
    }
}

std::string encodeReply(const journal_reply& reply)
{
    return dump({ { "vm", reply.vm.value }, { "incarnation", reply.incarnation },
        { "events", json::parse(event_log::encodeEvents(reply.events)) },
        { "context", json::parse(event_log::encodeEvents(reply.context)) },
        { "counts", json::parse(event_log::encodeCounts(reply.counts)) } });
}

result<journal_reply> decodeReply(const std::string& text)
{
    try {
        const json object = json::parse(text);
        journal_reply reply;
        reply.vm.value = object.at("vm").get<std::string>();
        reply.incarnation = object.at("incarnation").get<std::uint64_t>();
        auto events = event_log::decodeEvents(object.at("events").dump(), reply.vm);
        auto context = event_log::decodeEvents(object.at("context").dump(), reply.vm);
        auto counts = event_log::decodeCounts(object.at("counts").dump());
        if (!events || !context || !counts)
            return fail(error_kind::malformed_request, "the events, context or counts of the reply can't be decoded");
        reply.events = std::move(*events);
        reply.context = std::move(*context);
        reply.counts = std::move(*counts);
        return reply;
    } catch (const json::exception& problem) {
        return fail(error_kind::malformed_request, problem.what());
    }
}

journal_reply answerQuery(const journal_query& query, const vm_id& vm, std::uint64_t incarnation,
    const event_log::memory_journal& journal, event_log::stream_writer& writer)
{
    journal_reply reply;
    reply.vm = vm;
    reply.incarnation = incarnation;
    if (query.job) {
        reply.events = journal.eventsOf(*query.job);
        reply.context = journal.faultsSince(query.since, maxContextFaults);
        if (!reply.events.empty())
            addEndedTasks(journal, reply);
    } else {
        reply.counts = writer.countsSince(query.since);
    }
    return reply;
}

} // namespace coriandermount::explain
