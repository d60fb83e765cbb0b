#include "load/record.h"

#include <array>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace coriandermount::load {

using nlohmann::json;

namespace {

    constexpr std::array<std::string_view, 3> statusNames { "answered", "not_sent", "lost" };
    constexpr std::array allOutcomes { outcome::done, outcome::not_run, outcome::may_have_run };

    std::int64_t milliseconds(wall_time at) { return at.time_since_epoch().count(); }

    wall_time wallTime(const json& value) { return wall_time(std::chrono::milliseconds(value.get<std::int64_t>())); }

    submission_status statusNamed(const std::string& name)
    {
        for (std::size_t index = 0; index < statusNames.size(); ++index) {
            if (statusNames[index] == name)
                return static_cast<submission_status>(index);
        }
        return submission_status::lost;
    }

    outcome outcomeNamed(const std::string& name)
    {
        for (const outcome value : allOutcomes) {
            if (nameOf(value) == name)
                return value;
        }
        return outcome::may_have_run;
    }

    submission_record readSubmission(const json& line)
    {
        submission_record record;
        record.key = { { line.at("customer").get<std::string>() }, line.at("job").get<std::string>(),
            wallTime(line.at("issued_at_ms")) };
        record.taskCount = line.at("tasks").get<std::size_t>();
        record.node = line.at("node").get<std::string>();
        record.sentAt = wallTime(line.at("sent_ms"));
        record.endedAt = wallTime(line.at("ended_ms"));
        record.status = statusNamed(line.at("end").get<std::string>());
        record.result = outcomeNamed(line.at("outcome").get<std::string>());
        if (line.contains("problem"))
            record.problem = findErrorKind(line.at("problem").get<std::string>());
        record.outputsConsistent = line.at("whole").get<bool>();
        return record;
    }

    template <class Reader> auto decodeLine(const std::string& line, Reader read) -> result<decltype(read(json()))>
    {
        try {
            return read(json::parse(line));
        } catch (const json::exception& problem) {
            return fail(error_kind::malformed_request, problem.what());
        }
    }

} // namespace

std::string encodeRecord(const submission_record& record)
{
    json line { { "customer", record.key.customer.value }, { "job", record.key.name },
        { "issued_at_ms", milliseconds(record.key.issuedAt) }, { "tasks", record.taskCount }, { "node", record.node },
        { "sent_ms", milliseconds(record.sentAt) }, { "ended_ms", milliseconds(record.endedAt) },
        { "end", statusNames[static_cast<std::size_t>(record.status)] }, { "outcome", nameOf(record.result) },
        { "whole", record.outputsConsistent } };
    if (record.problem)
        line["problem"] = nameOf(*record.problem);
    return line.dump();
}

std::string encodeRecord(const version_record& record)
{
    return json {
        { "node", record.node }, { "vm", record.vm }, { "at_ms", milliseconds(record.at) }, { "version", record.version }
    }.dump();
}

result<submission_record> decodeSubmission(const std::string& line) { return decodeLine(line, &readSubmission); }

result<version_record> decodeVersion(const std::string& line)
{
    return decodeLine(line, [](const json& value) {
        return version_record { value.at("node").get<std::string>(), value.at("vm").get<std::string>(),
            wallTime(value.at("at_ms")), value.at("version").get<std::uint64_t>() };
    });
}

result<start_record> decodeStart(const std::string& line)
{
    return decodeLine(line, [](const json& value) {
        return start_record { value.at("task").get<std::string>(), wallTime(value.at("at_ms")) };
    });
}

std::string taskIdOf(const job_key& key, std::size_t index)
{
    return fmt::format("{}.{}.{}.{}", key.customer.value, key.name, milliseconds(key.issuedAt), index);
}

} // namespace coriandermount::load
