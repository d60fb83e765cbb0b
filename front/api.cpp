#include "front/api.h"

#include <map>

#include <fmt/format.h>

#include "front/job_codec.h"
#include "front/job_path.h"

namespace coriandermount::front {

namespace {

    using net::http_request;
    using net::http_response;
    using responder_ptr = std::shared_ptr<net::responder>;

    constexpr int statusOk = 200;
    constexpr int statusAccepted = 202;
    constexpr std::string_view jobsPath = "/v1/jobs";

    http_response textResponse(std::string text)
    {
        http_response response;
        response.contentType = "text/plain; version=0.0.4";
        response.body = std::move(text);
        return response;
    }

} // namespace

http_response errorResponse(const error& problem)
{
    http_response response;
    response.status = rowOf(problem.kind).httpStatus;
    response.body = encodeError(problem);
    if (problem.retryAfter) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*problem.retryAfter);
        response.headers["Retry-After"] = fmt::format("{}", seconds.count());
    }
    return response;
}

http_response answerResponse(const job_answer& answer)
{
    http_response response;
    if (answer.problem)
        response = errorResponse(*answer.problem);
    response.body = encodeAnswer(answer);
    return response;
}

struct api::data {
    api_dependencies dependencies;
    std::map<std::string, std::map<std::string, route_handler>> routes;

    void addBuiltInRoutes(api& target);
    void recordMalformedSubmission(const error& problem) const;
    void submitJob(const http_request& request, const responder_ptr& responder);
    void fetchAnswer(const http_request& request, const responder_ptr& responder);
    void cancelJob(const http_request& request, const responder_ptr& responder);
    void replyReadiness(const responder_ptr& responder) const;
};

/// Counts a submission that can't be decoded and records it in the journal. The dispatcher does this for all other refused jobs.
void api::data::recordMalformedSubmission(const error& problem) const
{
    dependencies.metrics.count(problem.kind);
    event_log::event entry;
    entry.kind = event_log::event_kind::job_answered;
    entry.problem = problem.kind;
    entry.value = problem.detail;
    dependencies.journal.record(std::move(entry));
}

void api::data::submitJob(const http_request& request, const responder_ptr& responder)
{
    auto job = decodeJob(request.body);
    if (!job) {
        recordMalformedSubmission(job.error());
        responder->reply(errorResponse(job.error()));
        return;
    }
    const auto waitParameter = request.query.find("wait");
    if (waitParameter != request.query.end() && waitParameter->second == "false") {
        auto shared = std::make_shared<const job_request>(std::move(*job));
        dependencies.dispatcher.submit(shared, [](const job_answer&) {});
        responder->reply({ statusAccepted, "application/json", R"({"accepted":true})", {}, false });
        return;
    }
    auto shared = std::make_shared<const job_request>(std::move(*job));
    dependencies.dispatcher.submit(shared, [responder](const job_answer& answer) { responder->reply(answerResponse(answer)); });
}

void api::data::fetchAnswer(const http_request& request, const responder_ptr& responder)
{
    auto key = keyFromPath(request.path, jobsPath);
    if (!key) {
        responder->reply(errorResponse(key.error()));
        return;
    }
    dependencies.claims.awaitAnswer(*key, [responder](const result<job_answer>& answer) {
        responder->reply(answer ? answerResponse(*answer) : errorResponse(answer.error()));
    });
}

void api::data::cancelJob(const http_request& request, const responder_ptr& responder)
{
    auto key = keyFromPath(request.path, jobsPath);
    if (!key) {
        responder->reply(errorResponse(key.error()));
        return;
    }
    dependencies.dispatcher.post(dispatch::cancel_requested { *key });
    responder->reply({ statusAccepted, "application/json", R"({"cancelling":true})", {}, false });
}

void api::data::replyReadiness(const responder_ptr& responder) const
{
    if (dependencies.board.draining.load())
        responder->reply(errorResponse({ error_kind::shutting_down, {}, std::nullopt }));
    else if (!dependencies.board.ready.load())
        responder->reply(errorResponse({ error_kind::no_worker, "this VM does not know any worker yet", std::nullopt }));
    else
        responder->reply({ statusOk, "application/json", R"({"ready":true})", {}, false });
}

void api::data::addBuiltInRoutes(api& target)
{
    target.addRoute("POST", "/v1/jobs", [this](const auto& request, const auto& responder) { submitJob(request, responder); });
    target.addRoute("GET", "/v1/jobs/", [this](const auto& request, const auto& responder) { fetchAnswer(request, responder); });
    target.addRoute("DELETE", "/v1/jobs/", [this](const auto& request, const auto& responder) { cancelJob(request, responder); });
    target.addRoute("GET", "/readyz", [this](const auto&, const auto& responder) { replyReadiness(responder); });
    target.addRoute("GET", "/healthz", [](const auto&, const auto& responder) { responder->reply(textResponse("ok\n")); });
    target.addRoute("GET", "/metrics",
        [this](const auto&, const auto& responder) { responder->reply(textResponse(dependencies.metrics.expose())); });
}

api::api(api_dependencies dependencies)
    : m_data(new data { dependencies, {} })
{
    m_data->addBuiltInRoutes(*this);
}

api::~api() = default;

void api::addRoute(const std::string& method, const std::string& prefix, route_handler handler)
{
    m_data->routes[prefix][method] = std::move(handler);
}

void api::handle(const http_request& request, const responder_ptr& responder) const
{
    const std::map<std::string, route_handler>* matchedMethods = nullptr;
    std::size_t matchedLength = 0;
    for (const auto& [prefix, methods] : m_data->routes) {
        if (request.path.starts_with(prefix) && prefix.size() >= matchedLength) {
            matchedMethods = &methods;
            matchedLength = prefix.size();
        }
    }
    if (!matchedMethods) {
        responder->reply(errorResponse({ error_kind::not_found, request.path, std::nullopt }));
        return;
    }
    const auto handler = matchedMethods->find(request.method);
    if (handler == matchedMethods->end()) {
        responder->reply(errorResponse({ error_kind::method_not_allowed, request.method, std::nullopt }));
        return;
    }
    handler->second(request, responder);
}

} // namespace coriandermount::front
