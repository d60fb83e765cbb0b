#include "front/job_codec.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "core/json_bounds.h"

namespace coriandermount::front {

using nlohmann::json;

namespace {

    constexpr std::size_t maxNameBytes = 128;
    constexpr std::int64_t maxTimeLimitMilliseconds = 3600000;
    constexpr std::int64_t maxRunTimeMilliseconds = 86400000;
    constexpr std::int64_t maxMemoryMegabytes = 16 * 1024 * 1024;
    constexpr std::int64_t maxAccelerators = 1024;
    constexpr std::int64_t maxIssueTimeMilliseconds = 253402300799000;

    /// Exception for a missing or invalid field. `decodeJob` and `decodeAnswer` turn it into an error.
    struct field_problem {
        error_kind kind;
        std::string detail;
    };

    std::string stringField(const json& object, const char* name, std::size_t maxBytes)
    {
        const auto found = object.find(name);
        if (found == object.end() || !found->is_string())
            throw field_problem { error_kind::malformed_request, fmt::format("\"{}\" must be a string", name) };
        auto text = found->get<std::string>();
        if (text.empty() || text.size() > maxBytes)
            throw field_problem { error_kind::malformed_request,
                fmt::format("\"{}\" must be 1 to {} bytes long", name, maxBytes) };
        return text;
    }

    /// Reads the name of a job, customer or service. The allowed characters are restricted because these names appear in URLs,
    /// task ids and log lines.
    std::string nameField(const json& object, const char* name)
    {
        auto text = stringField(object, name, maxNameBytes);
        const auto allowed = [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_' || c == ':'; };
        if (!std::all_of(text.begin(), text.end(), allowed))
            throw field_problem { error_kind::malformed_request,
                fmt::format("\"{}\" may contain only letters, digits, -, _ and :", name) };
        return text;
    }

    std::int64_t integerField(
        const json& object, const char* name, std::int64_t minimum, std::int64_t maximum, std::int64_t defaultValue)
    {
        const auto found = object.find(name);
        if (found == object.end())
            return defaultValue;
        const bool fits = found->is_number_integer()
            && (!found->is_number_unsigned() || found->get<std::uint64_t>() <= static_cast<std::uint64_t>(maximum));
        if (!fits || found->get<std::int64_t>() < minimum || found->get<std::int64_t>() > maximum)
            throw field_problem { error_kind::malformed_request,
                fmt::format("\"{}\" must be an integer from {} to {}", name, minimum, maximum) };
        return found->get<std::int64_t>();
    }

    bool booleanField(const json& object, const char* name)
    {
        const auto found = object.find(name);
        if (found == object.end())
            return false;
        if (!found->is_boolean())
            throw field_problem { error_kind::malformed_request, fmt::format("\"{}\" must be true or false", name) };
        return found->get<bool>();
    }

    task_class classField(const json& object)
    {
        const std::string name = object.contains("class") ? stringField(object, "class", maxNameBytes) : "short";
        if (name != "short" && name != "long")
            throw field_problem { error_kind::malformed_request, "\"class\" must be \"short\" or \"long\"" };
        return name == "long" ? task_class::long_work : task_class::short_work;
    }

    task_spec decodeTask(const json& object)
    {
        if (!object.is_object())
            throw field_problem { error_kind::malformed_request, "each task must be a JSON object" };
        task_spec task;
        task.service.value = nameField(object, "service");
        const auto payload = object.find("payload");
        if (payload != object.end() && !payload->is_string())
            throw field_problem { error_kind::malformed_request, "\"payload\" must be a string" };
        task.payload = payload == object.end() ? "" : payload->get<std::string>();
        task.declaredRunTime = std::chrono::milliseconds(integerField(object, "run_time_ms", 0, maxRunTimeMilliseconds, 0));
        task.memoryMegabytes = static_cast<std::uint32_t>(integerField(object, "memory_mb", 0, maxMemoryMegabytes, 0));
        task.accelerators = static_cast<std::uint32_t>(integerField(object, "accelerators", 0, maxAccelerators, 0));
        task.declaredClass = classField(object);
        return task;
    }

    job_request decodeFields(const json& object)
    {
        if (!object.is_object())
            throw field_problem { error_kind::malformed_request, "the body must be a JSON object" };
        job_request job;
        job.key.customer.value = nameField(object, "customer");
        job.key.name = nameField(object, "job");
        const std::int64_t issuedAt = integerField(object, "issued_at_ms", 0, maxIssueTimeMilliseconds, -1);
        if (issuedAt < 0)
            throw field_problem { error_kind::malformed_request, "\"issued_at_ms\" is missing" };
        job.key.issuedAt = wall_time(std::chrono::milliseconds(issuedAt));
        job.timeLimit = std::chrono::milliseconds(integerField(object, "time_limit_ms", 1, maxTimeLimitMilliseconds, 30000));
        job.idempotent = booleanField(object, "idempotent");
        const auto tasks = object.find("tasks");
        if (tasks == object.end() || !tasks->is_array() || tasks->empty())
            throw field_problem { error_kind::malformed_request, "\"tasks\" must be an array of at least one task" };
        if (tasks->size() > maxTasksPerJob)
            throw field_problem { error_kind::too_many_tasks,
                fmt::format("the job has {} tasks, the limit is {}", tasks->size(), maxTasksPerJob) };
        if (job.idempotent && tasks->size() > 1)
            throw field_problem { error_kind::malformed_request, "only a job with a single task can be idempotent" };
        job.tasks.reserve(tasks->size());
        for (const auto& task : *tasks)
            job.tasks.push_back(decodeTask(task));
        job.contentDigest = contentDigestOf(job);
        return job;
    }

    /// Encodes an error of a job or task that ended with `result`. The error may be that of the last start alone; advice to try
    /// again holds only if the error's own outcome is that of the job or task.
    json errorObject(const error& problem, outcome result)
    {
        const error_row& row = rowOf(problem.kind);
        json object { { "error", row.name }, { "outcome", nameOf(result) }, { "party", nameOf(row.responsible) },
            { "message", row.message }, { "detail", problem.detail }, { "retryable", row.retryable && row.result == result } };
        if (problem.retryAfter)
            object["retry_after_ms"] = problem.retryAfter->count();
        return object;
    }

    error decodeErrorObject(const json& object)
    {
        error problem;
        problem.kind = findErrorKind(object.at("error").get<std::string>()).value_or(error_kind::internal_error);
        problem.detail = object.value("detail", "");
        if (object.contains("retry_after_ms"))
            problem.retryAfter = std::chrono::milliseconds(object.at("retry_after_ms").get<std::int64_t>());
        return problem;
    }

    json encodeReport(const task_report& report, bool withOutput)
    {
        json object { { "state", nameOf(report.state) }, { "worker", report.worker.value },
            { "queued_us", report.queued.count() }, { "ran_us", report.runTime.count() } };
        if (withOutput)
            object["output"] = report.output;
        if (report.problem)
            object["problem"] = errorObject(
                *report.problem, report.state == task_state::not_started ? outcome::not_run : outcome::may_have_run);
        return object;
    }

    task_state parseTaskState(const std::string& name)
    {
        for (const auto state :
            { task_state::waiting, task_state::running, task_state::done, task_state::failed, task_state::not_started }) {
            if (nameOf(state) == name)
                return state;
        }
        throw field_problem { error_kind::malformed_request, fmt::format("\"{}\" is not a task state", name) };
    }

    task_report decodeReport(const json& object)
    {
        task_report report;
        report.state = parseTaskState(object.at("state").get<std::string>());
        report.worker.value = object.value("worker", "");
        report.queued = std::chrono::microseconds(object.value("queued_us", std::int64_t { 0 }));
        report.runTime = std::chrono::microseconds(object.value("ran_us", std::int64_t { 0 }));
        report.output = object.value("output", "");
        if (object.contains("problem"))
            report.problem = decodeErrorObject(object.at("problem"));
        return report;
    }

    /// Returns `may_have_run` for an unknown name, because it is the only outcome that rules nothing out.
    outcome parseOutcome(const std::string& name)
    {
        for (const auto value : { outcome::done, outcome::not_run }) {
            if (nameOf(value) == name)
                return value;
        }
        return outcome::may_have_run;
    }

    std::string dump(const json& value) { return value.dump(-1, ' ', false, json::error_handler_t::replace); }

} // namespace

result<job_request> decodeJob(const std::string& text)
{
    const json_bounds bounds;
    if (!isWithin(text, bounds))
        return fail(error_kind::malformed_request,
            fmt::format("the job has more than {} values, or they are nested deeper than {}", bounds.maxValues, bounds.maxDepth));
    try {
        return decodeFields(json::parse(text));
    } catch (const field_problem& problem) {
        return fail(problem.kind, problem.detail);
    } catch (const json::exception& problem) {
        return fail(error_kind::malformed_request, problem.what());
    }
}

std::string encodeJob(const job_request& job)
{
    json tasks = json::array();
    for (const auto& task : job.tasks) {
        tasks.push_back({ { "service", task.service.value }, { "payload", task.payload },
            { "run_time_ms", task.declaredRunTime.count() }, { "memory_mb", task.memoryMegabytes },
            { "accelerators", task.accelerators }, { "class", task.declaredClass == task_class::long_work ? "long" : "short" } });
    }
    return dump({ { "customer", job.key.customer.value }, { "job", job.key.name },
        { "issued_at_ms", job.key.issuedAt.time_since_epoch().count() }, { "time_limit_ms", job.timeLimit.count() },
        { "idempotent", job.idempotent }, { "tasks", tasks } });
}

std::string encodeAnswer(const job_answer& answer)
{
    json tasks = json::array();
    for (const auto& report : answer.tasks)
        tasks.push_back(encodeReport(report, answer.result == outcome::done));
    json object { { "customer", answer.key.customer.value }, { "job", answer.key.name },
        { "issued_at_ms", answer.key.issuedAt.time_since_epoch().count() }, { "outcome", nameOf(answer.result) },
        { "tasks", tasks } };
    if (answer.problem)
        object["problem"] = errorObject(*answer.problem, answer.result);
    return dump(object);
}

result<job_answer> decodeAnswer(const std::string& text)
{
    try {
        const json object = json::parse(text);
        job_answer answer;
        answer.key.customer.value = object.at("customer").get<std::string>();
        answer.key.name = object.at("job").get<std::string>();
        answer.key.issuedAt = wall_time(std::chrono::milliseconds(object.at("issued_at_ms").get<std::int64_t>()));
        answer.result = parseOutcome(object.at("outcome").get<std::string>());
        if (object.contains("problem"))
            answer.problem = decodeErrorObject(object.at("problem"));
        for (const auto& report : object.at("tasks"))
            answer.tasks.push_back(decodeReport(report));
        return answer;
    } catch (const field_problem& problem) {
        return fail(problem.kind, problem.detail);
    } catch (const json::exception& problem) {
        return fail(error_kind::malformed_request, problem.what());
    }
}

std::string encodeError(const error& problem) { return dump(errorObject(problem, rowOf(problem.kind).result)); }

} // namespace coriandermount::front
