#include "workers/http_worker_link.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace coriandermount::workers {

using nlohmann::json;

namespace {

    constexpr int statusOk = 200;
    /// HTTP status of a refusal: the worker has not started the task.
    constexpr int statusRefused = 409;
    /// Time beyond the end of the lease for which an answer is awaited.
    constexpr std::chrono::milliseconds answerTimeoutMargin { 250 };
    constexpr std::chrono::milliseconds stopTimeout { 1000 };

    std::string encodeStart(const task_start& start)
    {
        const json body { { "task", start.taskId }, { "lease", start.leaseId }, { "epoch", start.epoch },
            { "lease_ms", start.leaseDuration.count() }, { "service", start.task.service.value },
            { "payload", start.task.payload }, { "memory_mb", start.task.memoryMegabytes },
            { "accelerators", start.task.accelerators } };
        return body.dump(-1, ' ', false, json::error_handler_t::replace);
    }

    result<task_answer> decodeAnswer(const net::http_reply& reply, const std::string& taskId, const std::string& leaseId)
    {
        try {
            const json body = json::parse(reply.body);
            if (body.at("task") != taskId || body.at("lease") != leaseId)
                return fail(
                    error_kind::worker_answer_invalid, fmt::format("the answer does not match task {} and its lease", taskId));
            if (reply.status == statusRefused)
                return fail(error_kind::worker_refused, body.value("reason", ""));
            if (reply.status != statusOk)
                return fail(error_kind::worker_answer_invalid, fmt::format("the worker answered with status {}", reply.status));
            const std::string state = body.at("state").get<std::string>();
            if (state != "done")
                return fail(error_kind::task_failed, body.value("reason", state));
            return task_answer { body.at("output").get<std::string>(),
                std::chrono::microseconds(body.at("ran_us").get<std::int64_t>()) };
        } catch (const json::exception& problem) {
            return fail(error_kind::worker_answer_invalid, problem.what());
        }
    }

    error transportProblem(const net::transport_error& problem, const worker_info& worker)
    {
        std::string detail = fmt::format("worker {} at {}: {}", worker.id.value, worker.address, problem.message);
        if (problem.progress == net::transport_progress::not_sent)
            return { error_kind::worker_unreachable, std::move(detail), std::nullopt };
        if (problem.timedOut)
            return { error_kind::lease_expired, std::move(detail), std::nullopt };
        return { error_kind::worker_lost, std::move(detail), std::nullopt };
    }

} // namespace

http_worker_link::http_worker_link(net::http_client& client)
    : m_client(client)
{
}

void http_worker_link::start(task_start start, completion done)
{
    net::http_call call;
    call.method = "POST";
    call.url = fmt::format("http://{}/tasks", start.worker.address);
    call.body = encodeStart(start);
    call.headers = { "Content-Type: application/json" };
    call.timeout = start.leaseDuration + answerTimeoutMargin;
    m_client.send(std::move(call),
        [taskId = std::move(start.taskId), leaseId = std::move(start.leaseId), worker = std::move(start.worker),
            done = std::move(done)](const tl::expected<net::http_reply, net::transport_error>& reply) {
            if (!reply)
                done(tl::unexpected<error>(transportProblem(reply.error(), worker)));
            else
                done(decodeAnswer(*reply, taskId, leaseId));
        });
}

void http_worker_link::stop(const worker_info& worker, const std::string& taskId)
{
    net::http_call call;
    call.method = "POST";
    call.url = fmt::format("http://{}/tasks/{}/stop", worker.address, taskId);
    call.timeout = stopTimeout;
    m_client.send(std::move(call), [](const tl::expected<net::http_reply, net::transport_error>&) {});
}

} // namespace coriandermount::workers
