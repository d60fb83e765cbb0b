#include "load/load_generator.h"

#include <condition_variable>
#include <fstream>
#include <map>
#include <mutex>
#include <thread>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "front/job_codec.h"
#include "load/record.h"
#include "net/http_client.h"

namespace coriandermount::load {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

    constexpr milliseconds timeoutMargin { 3000 };
    constexpr milliseconds connectTimeout { 500 };
    constexpr milliseconds retryDelay { 300 };
    constexpr milliseconds resubmissionDelay { 700 };
    constexpr milliseconds cancelDelay { 60 };
    constexpr milliseconds versionPollInterval { 250 };
    constexpr int statusOk = 200;

    using http_outcome = tl::expected<net::http_reply, net::transport_error>;

    wall_time wallNow() { return std::chrono::time_point_cast<milliseconds>(std::chrono::system_clock::now()); }

    bool areOutputsConsistent(const job_request& job, const job_answer& answer)
    {
        if (answer.key != job.key)
            return false;
        for (std::size_t index = 0; index < answer.tasks.size(); ++index) {
            const bool expectsOutput = answer.result == outcome::done;
            if (expectsOutput && (index >= job.tasks.size() || answer.tasks[index].output != job.tasks[index].payload))
                return false;
            if (!expectsOutput && !answer.tasks[index].output.empty())
                return false;
        }
        return answer.result != outcome::done || answer.tasks.size() == job.tasks.size();
    }

    struct submitted_job {
        job_request request;
        std::string body;
        unsigned submissions = 0;
        bool done = false;
    };

} // namespace

struct load_generator::data {
    load_options options;
    std::mt19937_64 random;
    net::http_client client { { .maxConnectionsPerServer = 4096, .maxCachedConnections = 8192 } };
    std::ofstream submissionsFile;
    std::ofstream versionsFile;
    std::mutex mutex;
    /// Notified when `timers` or `pendingOperations` changes.
    std::condition_variable changed;
    std::multimap<steady_clock::time_point, std::function<void()>> timers;
    std::vector<std::shared_ptr<submitted_job>> jobs;
    /// Requests and scheduled resubmissions that the run waits for.
    std::size_t pendingOperations = 0;
    std::size_t submissions = 0;

    void schedule(steady_clock::time_point at, std::function<void()> action);
    void startJob(std::size_t number);
    void submit(const std::shared_ptr<submitted_job>& job);
    void submitTo(const std::shared_ptr<submitted_job>& job, const std::string& node);
    void finish(const std::shared_ptr<submitted_job>& job, submission_record record, const http_outcome& reply);
    void scheduleResubmission(const std::shared_ptr<submitted_job>& job, const submission_record& record);
    void cancel(const std::shared_ptr<submitted_job>& job);
    void pollVersions(steady_clock::time_point until);
    const std::string& drawNode();
    bool drawWithProbability(double probability) { return std::uniform_real_distribution<double>(0, 1)(random) < probability; }
    void runTimers();
};

void load_generator::data::schedule(steady_clock::time_point at, std::function<void()> action)
{
    timers.emplace(at, std::move(action));
    changed.notify_all();
}

const std::string& load_generator::data::drawNode()
{
    return options.nodes[std::uniform_int_distribution<std::size_t>(0, options.nodes.size() - 1)(random)];
}

void load_generator::data::startJob(std::size_t number)
{
    auto job = std::make_shared<submitted_job>();
    const std::string name = fmt::format("{}-{}-{}", options.workload.name, options.seed, number);
    job->request = drawJob(options.workload, name, random);
    job->request.key = { options.workload.customer, name, wallNow() };
    job->body = front::encodeJob(job->request);
    jobs.push_back(job);
    submit(job);
    if (drawWithProbability(options.duplicateShare))
        submit(job);
    if (drawWithProbability(options.cancelShare))
        schedule(steady_clock::now() + cancelDelay, [this, job] { cancel(job); });
}

void load_generator::data::submit(const std::shared_ptr<submitted_job>& job) { submitTo(job, drawNode()); }

void load_generator::data::submitTo(const std::shared_ptr<submitted_job>& job, const std::string& node)
{
    ++job->submissions;
    ++submissions;
    ++pendingOperations;
    submission_record record;
    record.key = job->request.key;
    record.taskCount = job->request.tasks.size();
    record.node = node;
    record.sentAt = wallNow();
    net::http_call call;
    call.method = "POST";
    call.url = fmt::format("http://{}/v1/jobs", node);
    call.body = job->body;
    call.timeout = job->request.timeLimit + timeoutMargin;
    call.connectTimeout = connectTimeout;
    client.send(std::move(call), [this, job, record = std::move(record)](const http_outcome& reply) {
        const std::scoped_lock lock(mutex);
        finish(job, record, reply);
    });
}

void load_generator::data::finish(const std::shared_ptr<submitted_job>& job, submission_record record, const http_outcome& reply)
{
    record.endedAt = wallNow();
    if (!reply) {
        const bool mayHaveArrived = reply.error().progress == net::transport_progress::may_have_arrived;
        record.status = mayHaveArrived ? submission_status::lost : submission_status::not_sent;
    } else if (const auto answer = front::decodeAnswer(reply->body)) {
        record.status = submission_status::answered;
        record.result = answer->result;
        if (answer->problem)
            record.problem = answer->problem->kind;
        record.outputsConsistent = areOutputsConsistent(job->request, *answer);
    } else {
        const auto body = nlohmann::json::parse(reply->body, nullptr, false);
        const auto kind = body.is_object() ? findErrorKind(body.value("error", "")) : std::nullopt;
        record.status = kind ? submission_status::answered : submission_status::lost;
        record.problem = kind;
        record.result = kind ? rowOf(*kind).result : outcome::may_have_run;
    }
    submissionsFile << encodeRecord(record) << '\n';
    job->done = job->done || (record.status == submission_status::answered && record.result == outcome::done);
    scheduleResubmission(job, record);
    --pendingOperations;
    changed.notify_all();
}

void load_generator::data::scheduleResubmission(const std::shared_ptr<submitted_job>& job, const submission_record& record)
{
    if (job->submissions >= options.maxSubmissions)
        return;
    const bool isRetryable = record.status == submission_status::answered && record.result == outcome::not_run && record.problem
        && rowOf(*record.problem).retryable;
    if (record.status != submission_status::answered || isRetryable) {
        ++pendingOperations;
        schedule(steady_clock::now() + retryDelay, [this, job] {
            --pendingOperations;
            submit(job);
        });
        return;
    }
    if (!drawWithProbability(options.resubmissionShare))
        return;
    ++pendingOperations;
    schedule(steady_clock::now() + resubmissionDelay, [this, job] {
        --pendingOperations;
        submit(job);
    });
}

void load_generator::data::cancel(const std::shared_ptr<submitted_job>& job)
{
    const job_key& key = job->request.key;
    net::http_call call;
    call.method = "DELETE";
    call.url = fmt::format(
        "http://{}/v1/jobs/{}/{}/{}", drawNode(), key.customer.value, key.name, key.issuedAt.time_since_epoch().count());
    call.timeout = timeoutMargin;
    call.connectTimeout = connectTimeout;
    client.send(std::move(call), [](const http_outcome&) {});
}

void load_generator::data::pollVersions(steady_clock::time_point until)
{
    for (const auto& node : options.nodes) {
        net::http_call call;
        call.url = fmt::format("http://{}/v1/configuration", node);
        call.timeout = connectTimeout;
        call.connectTimeout = connectTimeout;
        ++pendingOperations;
        client.send(std::move(call), [this, node](const http_outcome& reply) {
            const std::scoped_lock lock(mutex);
            --pendingOperations;
            changed.notify_all();
            const auto body
                = reply && reply->status == statusOk ? nlohmann::json::parse(reply->body, nullptr, false) : nlohmann::json();
            if (!body.is_object() || !body.contains("version"))
                return;
            versionsFile << encodeRecord(
                version_record { node, body.value("vm", ""), wallNow(), body.at("version").get<std::uint64_t>() })
                         << '\n';
        });
    }
    if (steady_clock::now() < until)
        schedule(steady_clock::now() + versionPollInterval, [this, until] { pollVersions(until); });
}

void load_generator::data::runTimers()
{
    std::unique_lock lock(mutex);
    while (!timers.empty() || pendingOperations > 0) {
        if (timers.empty()) {
            changed.wait(lock);
            continue;
        }
        const auto next = timers.begin()->first;
        if (steady_clock::now() < next) {
            changed.wait_until(lock, next);
            continue;
        }
        const auto action = std::move(timers.begin()->second);
        timers.erase(timers.begin());
        action();
    }
}

load_generator::load_generator(load_options options)
    : m_data(std::make_unique<data>())
{
    m_data->options = std::move(options);
    m_data->random.seed(m_data->options.seed);
    m_data->submissionsFile.open(m_data->options.submissionsFile, std::ios::app);
    m_data->versionsFile.open(m_data->options.versionsFile, std::ios::app);
}

load_generator::~load_generator() = default;

load_summary load_generator::run()
{
    const auto begin = steady_clock::now();
    const auto jobs = static_cast<std::size_t>(
        m_data->options.jobsPerSecond * std::chrono::duration<double>(m_data->options.duration).count());
    {
        const std::scoped_lock lock(m_data->mutex);
        for (std::size_t number = 0; number < jobs; ++number) {
            const std::chrono::duration<double> offset(static_cast<double>(number) / m_data->options.jobsPerSecond);
            m_data->schedule(
                begin + std::chrono::duration_cast<steady_clock::duration>(offset), [this, number] { m_data->startJob(number); });
        }
        m_data->schedule(begin, [this, begin] { m_data->pollVersions(begin + m_data->options.duration); });
    }
    m_data->runTimers();
    load_summary summary;
    summary.jobs = m_data->jobs.size();
    summary.submissions = m_data->submissions;
    for (const auto& job : m_data->jobs)
        summary.jobsNeverDone += job->done ? 0 : 1;
    return summary;
}

} // namespace coriandermount::load
