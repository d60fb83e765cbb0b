#include "standins/worker_server.h"

#include <condition_variable>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <unordered_map>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "net/http_server.h"

namespace coriandermount::standins {

using nlohmann::json;
using std::chrono::steady_clock;

namespace {

    constexpr int statusOk = 200;
    constexpr int statusBadRequest = 400;
    constexpr int statusRefused = 409;
    constexpr unsigned serverThreads = 1;

    net::http_response jsonResponse(int status, const json& body)
    {
        net::http_response response;
        response.status = status;
        response.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
        return response;
    }

    struct running_task {
        std::string taskId;
        std::string leaseId;
        std::string output;
        steady_clock::time_point startedAt;
        std::shared_ptr<net::responder> responder;
        bool closeWithoutAnswer = false;
        std::string failure;
    };

    /// Returns the run time that a payload asks for: MS milliseconds for `sleep:MS`, 0 for any other payload.
    std::chrono::milliseconds requestedRunTime(const std::string& payload)
    {
        constexpr std::string_view prefix = "sleep:";
        if (!payload.starts_with(prefix))
            return std::chrono::milliseconds(0);
        return std::chrono::milliseconds(std::strtol(payload.c_str() + prefix.size(), nullptr, 10));
    }

} // namespace

struct worker_server::data {
    worker_server_options options;
    std::unique_ptr<net::http_server> server;
    mutable std::mutex mutex;
    std::condition_variable timerWakeup;
    /// Running tasks by the time at which they end.
    std::multimap<steady_clock::time_point, running_task> running;
    /// Epochs of all tasks started so far, by task id.
    std::unordered_map<std::string, std::uint64_t> startedEpochs;
    std::vector<started_task> started;
    std::ofstream startsFile;
    bool stopping = false;
    std::thread timer;

    void handle(const net::http_request& request, const std::shared_ptr<net::responder>& responder);
    void startTask(const net::http_request& request, const std::shared_ptr<net::responder>& responder);
    std::string refusalReason(const std::string& taskId) const;
    void writeStart(const started_task& start);
    void stopTask(const std::string& taskId, const std::shared_ptr<net::responder>& responder);
    void listStarts(const std::shared_ptr<net::responder>& responder);
    void handleSetFaults(const net::http_request& request, const std::shared_ptr<net::responder>& responder);
    void runTimer();
    static void finish(const running_task& task);
};

void worker_server::data::handle(const net::http_request& request, const std::shared_ptr<net::responder>& responder)
{
    constexpr std::string_view tasksPrefix = "/tasks/";
    constexpr std::string_view stopSuffix = "/stop";
    if (request.method == "POST" && request.path == "/tasks") {
        startTask(request, responder);
        return;
    }
    if (request.method == "POST" && request.path.starts_with(tasksPrefix) && request.path.ends_with(stopSuffix)) {
        const std::size_t length = request.path.size() - tasksPrefix.size() - stopSuffix.size();
        stopTask(request.path.substr(tasksPrefix.size(), length), responder);
        return;
    }
    if (request.method == "GET" && request.path == "/starts") {
        listStarts(responder);
        return;
    }
    if (request.method == "POST" && request.path == "/faults") {
        handleSetFaults(request, responder);
        return;
    }
    responder->reply(jsonResponse(statusBadRequest, { { "reason", "unknown method or path" } }));
}

std::string worker_server::data::refusalReason(const std::string& taskId) const
{
    if (options.faults.refuseAll)
        return "fault refuse_all is set";
    if (running.size() >= options.slots)
        return fmt::format("all {} slots are in use", options.slots);
    if (taskId.empty())
        return "the task id is empty";
    return {};
}

void worker_server::data::startTask(const net::http_request& request, const std::shared_ptr<net::responder>& responder)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("task") || !body.contains("lease")) {
        responder->reply(
            jsonResponse(statusBadRequest, { { "reason", "the body is not an object with the fields task and lease" } }));
        return;
    }
    const std::unique_lock lock(mutex);
    running_task task;
    task.taskId = body.at("task").get<std::string>();
    task.leaseId = body.at("lease").get<std::string>();
    task.output = body.value("payload", "");
    task.startedAt = steady_clock::now();
    task.responder = responder;
    if (startedEpochs.contains(task.taskId)) {
        responder->reply(jsonResponse(statusOk,
            { { "task", task.taskId }, { "lease", task.leaseId }, { "state", "duplicate" },
                { "reason", "the task was already started on this worker" } }));
        return;
    }
    if (const std::string reason = refusalReason(task.taskId); !reason.empty()) {
        responder->reply(
            jsonResponse(statusRefused, { { "task", task.taskId }, { "lease", task.leaseId }, { "reason", reason } }));
        return;
    }
    startedEpochs[task.taskId] = body.value("epoch", std::uint64_t { 0 });
    started.push_back({ task.taskId, task.leaseId, std::chrono::system_clock::now() });
    writeStart(started.back());
    task.closeWithoutAnswer = options.faults.closeAfterStart;
    if (options.faults.failAll)
        task.failure = "fault fail_all is set";
    auto end = task.startedAt
        + std::chrono::duration_cast<steady_clock::duration>(requestedRunTime(task.output) * options.faults.slowdown);
    if (options.faults.hang)
        end = task.startedAt + std::chrono::hours(1);
    if (options.faults.failAll)
        end = task.startedAt;
    running.emplace(end, std::move(task));
    timerWakeup.notify_one();
}

void worker_server::data::writeStart(const started_task& start)
{
    if (!startsFile.is_open())
        return;
    const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(start.at.time_since_epoch());
    startsFile << json { { "task", start.taskId }, { "lease", start.leaseId }, { "at_ms", at.count() } }.dump() << std::endl;
}

void worker_server::data::stopTask(const std::string& taskId, const std::shared_ptr<net::responder>& responder)
{
    const std::scoped_lock lock(mutex);
    for (auto entry = running.begin(); entry != running.end(); ++entry) {
        if (entry->second.taskId != taskId)
            continue;
        running_task task = std::move(entry->second);
        running.erase(entry);
        task.failure = "stopped";
        finish(task);
        break;
    }
    responder->reply(jsonResponse(statusOk, json::object()));
}

void worker_server::data::listStarts(const std::shared_ptr<net::responder>& responder)
{
    json list = json::array();
    const std::scoped_lock lock(mutex);
    for (const auto& start : started) {
        const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(start.at.time_since_epoch());
        list.push_back({ { "task", start.taskId }, { "lease", start.leaseId }, { "at_ms", at.count() } });
    }
    responder->reply(jsonResponse(statusOk, list));
}

void worker_server::data::handleSetFaults(const net::http_request& request, const std::shared_ptr<net::responder>& responder)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        responder->reply(jsonResponse(statusBadRequest, { { "reason", "the body is not a JSON object of faults" } }));
        return;
    }
    const std::scoped_lock lock(mutex);
    options.faults.failAll = body.value("fail_all", false);
    options.faults.closeAfterStart = body.value("close_after_start", false);
    options.faults.refuseAll = body.value("refuse_all", false);
    options.faults.hang = body.value("hang", false);
    options.faults.slowdown = body.value("slowdown", 1.0);
    responder->reply(jsonResponse(statusOk, json::object()));
}

void worker_server::data::finish(const running_task& task)
{
    if (task.closeWithoutAnswer) {
        net::http_response response;
        response.dropConnection = true;
        task.responder->reply(response);
        return;
    }
    const auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(steady_clock::now() - task.startedAt);
    json body { { "task", task.taskId }, { "lease", task.leaseId }, { "ran_us", elapsed.count() } };
    body["state"] = task.failure.empty() ? "done" : "failed";
    if (task.failure.empty())
        body["output"] = task.output;
    else
        body["reason"] = task.failure;
    task.responder->reply(jsonResponse(statusOk, body));
}

void worker_server::data::runTimer()
{
    std::unique_lock lock(mutex);
    while (!stopping) {
        if (running.empty()) {
            timerWakeup.wait(lock);
            continue;
        }
        const auto next = running.begin()->first;
        if (steady_clock::now() < next) {
            timerWakeup.wait_until(lock, next);
            continue;
        }
        const running_task task = std::move(running.begin()->second);
        running.erase(running.begin());
        finish(task);
    }
}

worker_server::worker_server(worker_server_options options)
    : m_data(std::make_unique<data>())
{
    m_data->options = std::move(options);
}

worker_server::~worker_server() { stop(); }

result<void> worker_server::start()
{
    if (!m_data->options.startsFile.empty())
        m_data->startsFile.open(m_data->options.startsFile, std::ios::app);
    net::http_server_options server;
    server.address = m_data->options.address;
    server.port = m_data->options.port;
    server.threads = serverThreads;
    m_data->server = std::make_unique<net::http_server>(
        server, [this](const net::http_request& request, const std::shared_ptr<net::responder>& responder) {
            m_data->handle(request, responder);
        });
    if (auto listening = m_data->server->start(); !listening)
        return listening;
    m_data->timer = std::thread([this] { m_data->runTimer(); });
    return {};
}

void worker_server::stop()
{
    if (!m_data->timer.joinable())
        return;
    {
        const std::scoped_lock lock(m_data->mutex);
        m_data->stopping = true;
    }
    m_data->timerWakeup.notify_one();
    m_data->timer.join();
    m_data->server->stop();
    m_data->running.clear();
}

std::uint16_t worker_server::port() const { return m_data->server->port(); }

void worker_server::setFaults(const worker_faults& faults)
{
    const std::scoped_lock lock(m_data->mutex);
    m_data->options.faults = faults;
}

std::vector<started_task> worker_server::starts() const
{
    const std::scoped_lock lock(m_data->mutex);
    return m_data->started;
}

} // namespace coriandermount::standins
