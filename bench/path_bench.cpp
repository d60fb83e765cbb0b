// Measures a running node: the ratio of the response time through the node to that of a direct call to the worker, starts per
// second, and memory per waiting task. bench/path.sh starts the measured programs.
#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <fstream>
#include <mutex>
#include <sstream>

#include <cxxopts.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "front/job_codec.h"
#include "net/http_client.h"

using namespace coriandermount;
using std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

namespace {

constexpr milliseconds timeLimit { 60000 };
constexpr int statusOk = 200;

wall_time wallNow() { return std::chrono::time_point_cast<milliseconds>(std::chrono::system_clock::now()); }

/// Runs calls in a closed loop: each caller sends its next call when its previous call has been answered. The constructor returns
/// when all calls have been answered or have failed.
class closed_loop {
public:
    using call_maker = std::function<net::http_call(std::size_t)>;

    closed_loop(net::http_client& client, call_maker makeCall, std::size_t callers, std::size_t total)
        : m_client(client)
        , m_makeCall(std::move(makeCall))
        , m_total(total)
    {
        m_times.reserve(total);
        const std::size_t first = std::min(callers, total);
        m_sent = first;
        for (std::size_t index = 0; index < first; ++index)
            send(index);
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [this] { return m_times.size() + m_failed == m_total; });
        std::sort(m_times.begin(), m_times.end());
    }

    /// Returns a quantile of the response times of successful calls, in milliseconds.
    double quantile(double share) const
    {
        if (m_times.empty())
            return 0;
        return m_times[std::min(m_times.size() - 1, static_cast<std::size_t>(share * static_cast<double>(m_times.size())))];
    }

    std::size_t failed() const { return m_failed; }

private:
    void send(std::size_t index)
    {
        const auto begin = steady_clock::now();
        m_client.send(m_makeCall(index), [this, begin](const tl::expected<net::http_reply, net::transport_error>& reply) {
            const std::chrono::duration<double, std::milli> elapsed = steady_clock::now() - begin;
            std::size_t next = 0;
            {
                const std::scoped_lock lock(m_mutex);
                if (reply && reply->status == statusOk)
                    m_times.push_back(elapsed.count());
                else
                    ++m_failed;
                next = m_sent < m_total ? m_sent++ : m_total;
                m_changed.notify_all();
            }
            if (next < m_total)
                send(next);
        });
    }

    net::http_client& m_client;
    call_maker m_makeCall;
    std::size_t m_total;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<double> m_times;
    std::size_t m_sent = 0;
    std::size_t m_failed = 0;
};

/// Addresses of the measured processes.
struct targets {
    std::string nodeAddress;
    std::vector<std::string> workers;
    int nodePid = 0;
    std::string prefix = fmt::format("bench-{}", wallNow().time_since_epoch().count());
    std::atomic<std::uint64_t> nextName { 0 };
};

net::http_call nodeCall(targets& target, const std::string& payload, std::size_t tasks)
{
    job_request job;
    job.key = { { "kellari" }, fmt::format("{}-{}", target.prefix, target.nextName.fetch_add(1)), wallNow() };
    job.timeLimit = timeLimit;
    task_spec task;
    task.service.value = "sleep";
    task.payload = payload;
    job.tasks.assign(tasks, task);
    net::http_call call;
    call.method = "POST";
    call.url = fmt::format("http://{}/v1/jobs", target.nodeAddress);
    call.body = front::encodeJob(job);
    call.timeout = timeLimit;
    return call;
}

net::http_call workerCall(targets& target, const std::string& payload, std::size_t index)
{
    const std::string id = fmt::format("{}-direct-{}", target.prefix, target.nextName.fetch_add(1));
    net::http_call call;
    call.method = "POST";
    call.url = fmt::format("http://{}/tasks", target.workers[index % target.workers.size()]);
    call.body = nlohmann::json { { "task", id }, { "lease", id }, { "epoch", 1 }, { "payload", payload } }.dump();
    call.timeout = timeLimit;
    return call;
}

std::size_t residentKilobytes(int pid)
{
    std::ifstream status(fmt::format("/proc/{}/status", pid));
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with("VmRSS:"))
            return std::strtoul(line.c_str() + 6, nullptr, 10);
    }
    return 0;
}

std::size_t startsOn(net::http_client& client, const targets& target)
{
    std::size_t count = 0;
    for (const auto& worker : target.workers) {
        net::http_call call;
        call.url = fmt::format("http://{}/starts", worker);
        const auto reply = client.sendAndWait(call);
        count += reply ? nlohmann::json::parse(reply->body).size() : 0;
    }
    return count;
}

void compareResponse(net::http_client& client, targets& target, std::size_t callers, milliseconds runTime, std::size_t rounds)
{
    const std::string payload = fmt::format("sleep:{}", runTime.count());
    const std::size_t total = callers * rounds;
    const closed_loop direct(
        client, [&](std::size_t index) { return workerCall(target, payload, index); }, callers, total);
    const closed_loop throughNode(
        client, [&](std::size_t) { return nodeCall(target, payload, 1); }, callers, total);
    fmt::print("{:>8} {:>8} {:>10.2f} {:>10.2f} {:>8.3f} {:>8.3f} {:>8} {:>8}\n", runTime.count(), callers, direct.quantile(0.5),
        throughNode.quantile(0.5), throughNode.quantile(0.5) / direct.quantile(0.5),
        throughNode.quantile(0.99) / direct.quantile(0.99), direct.failed(), throughNode.failed());
}

void measureThroughput(net::http_client& client, targets& target, std::size_t callers, std::size_t jobs, std::size_t tasksPerJob)
{
    const std::size_t before = startsOn(client, target);
    const auto begin = steady_clock::now();
    const closed_loop loop(
        client, [&](std::size_t) { return nodeCall(target, "sleep:0", tasksPerJob); }, callers, jobs);
    const std::chrono::duration<double> elapsed = steady_clock::now() - begin;
    const std::size_t tasks = jobs * tasksPerJob;
    const std::size_t starts = startsOn(client, target) - before;
    fmt::print("{:>8} {:>8} {:>10.0f} {:>10.3f} {:>8}\n", tasksPerJob, callers, static_cast<double>(tasks) / elapsed.count(),
        2.0 * static_cast<double>(starts) / static_cast<double>(tasks), loop.failed());
}

void measureMemory(net::http_client& client, targets& target, std::size_t jobs)
{
    const std::size_t before = residentKilobytes(target.nodePid);
    std::atomic<std::size_t> peak { before };
    const auto sample = [&](std::size_t) {
        peak.store(std::max(peak.load(), residentKilobytes(target.nodePid)));
        return nodeCall(target, "sleep:1500", 1);
    };
    const closed_loop loop(client, sample, jobs, jobs);
    const double perTask = static_cast<double>(peak.load() - before) * 1024 / static_cast<double>(jobs);
    fmt::print("{} callers wait: resident {} KB before, {} KB at the peak, {:.0f} bytes per waiting caller, {} failed\n", jobs,
        before, peak.load(), perTask, loop.failed());
}

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    std::string part;
    while (std::getline(stream, part, ','))
        parts.push_back(part);
    return parts;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("path-bench", "Measures a running node and compares it with direct calls to its workers.");
    options.add_options()("node", "Address of the node", cxxopts::value<std::string>())("workers",
        "Addresses of the workers, separated by commas",
        cxxopts::value<std::string>())("pid", "Process id of the node", cxxopts::value<int>());
    const auto parsed = options.parse(argc, argv);
    targets target;
    target.nodeAddress = parsed["node"].as<std::string>();
    target.workers = split(parsed["workers"].as<std::string>());
    target.nodePid = parsed["pid"].as<int>();
    net::http_client client({ .maxConnectionsPerServer = 6000, .maxCachedConnections = 8000 });

    fmt::print("response time, ms\n{:>8} {:>8} {:>10} {:>10} {:>8} {:>8} {:>8} {:>8}\n", "run", "callers", "direct", "node",
        "median x", "p99 x", "failed", "failed");
    for (const auto runTime : { milliseconds(50), milliseconds(1000) }) {
        for (const std::size_t callers : { 1U, 64U, 1000U })
            compareResponse(client, target, callers, runTime, runTime.count() > 100 ? 2 : 10);
    }
    fmt::print("\nthroughput\n{:>8} {:>8} {:>10} {:>10} {:>8}\n", "tasks", "callers", "starts/s", "msgs/task", "failed");
    measureThroughput(client, target, 256, 20000, 1);
    measureThroughput(client, target, 16, 400, maxTasksPerJob);
    fmt::print("\nmemory\n");
    measureMemory(client, target, 5000);
    return 0;
}
