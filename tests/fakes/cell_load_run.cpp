#include "tests/fakes/cell_load_run.h"

#include <algorithm>

#include <fmt/format.h>

namespace coriandermount::fakes {

using namespace std::chrono_literals;

namespace {

    constexpr std::chrono::milliseconds step { 10 };
    constexpr std::int64_t workerCpu = 16000;

} // namespace

cell_load_run::cell_load_run(unsigned workerCount, std::uint32_t seed)
    : m_workers(workerCount)
    , m_random(seed)
{
    for (unsigned number = 0; number < workerCount; ++number)
        workers.add(nameOf(number), "0", workerCpu);
    owner.takeOver({ epoch, true });
    owner.setWorkers(workers.registrations("0"));
}

void cell_load_run::submit(const job_kind& kind, std::chrono::milliseconds age)
{
    auto current = std::make_shared<submitted_job>(submitted_job { kind, loop.now() - age, std::nullopt, std::nullopt });
    m_jobs.push_back(current);
    auto request = this->request(epoch, fmt::format("{:016x}", m_jobs.size()), kind.tasks, kind.runTime);
    // Run times differ from the estimate by up to a fifth.
    m_random = m_random * 1664525U + 1013904223U;
    const double factor = 0.8 + 0.4 * static_cast<double>(m_random >> 16U) / 65536.0;
    const auto actual = std::chrono::milliseconds(static_cast<std::int64_t>(static_cast<double>(kind.runTime.count()) * factor));
    request.accepted.work.payload = std::to_string(actual.count());
    request.accepted.work.steps[0].need.cpuMillis = kind.cpuMillis;
    request.accepted.objective = kind.objective - age;
    request.timeLeft = kind.callerTimeout - age;
    runOnOwner(std::move(request), [this, current](const result<jobs::job_state>& answer) {
        current->answer = answer;
        current->answeredAt = loop.now();
        if (answer)
            m_completed.push_back(loop.now());
    });
}

void cell_load_run::runOnOwner(jobs::run_request request, cells::job_completion done)
{
    owner.run(std::move(request), std::move(done));
}

void cell_load_run::runAtRate(std::vector<job_kind>& kinds, double rate, std::chrono::milliseconds duration)
{
    for (auto passed = 0ms; passed < duration; passed += step) {
        for (const auto& kind : kinds) {
            double& due = m_due[kind.name];
            due += kind.arrivalsPerSecond * rate * std::chrono::duration<double>(step).count();
            for (; due >= 1; due -= 1)
                submit(kind);
        }
        runFor(step);
    }
}

void cell_load_run::submitBacklog(std::vector<job_kind>& kinds, std::chrono::milliseconds duration)
{
    for (const auto& kind : kinds) {
        const double count = kind.arrivalsPerSecond * std::chrono::duration<double>(duration).count();
        for (int number = 0; number < static_cast<int>(count); ++number)
            submit(kind,
                std::chrono::milliseconds(static_cast<std::int64_t>(number / count * static_cast<double>(duration.count()))));
    }
}

void cell_load_run::loseCalls(double share)
{
    for (unsigned number = 0; number < m_workers; ++number)
        workers.faults(nameOf(number)).path = worker_path::losing(share, number + 1);
}

void cell_load_run::removeWorkers(unsigned count)
{
    for (unsigned number = 0; number < count; ++number) {
        const std::string name = nameOf(m_removed++);
        workers.faults(name).partitioned = true;
        workers.endRuns(name, cells::run_end_reason::lapsed);
        owner.removeWorker({ name });
    }
}

load_outcome cell_load_run::outcome(const std::string& kind, time_point from) const
{
    load_outcome found;
    for (const auto& job : m_jobs) {
        if ((!kind.empty() && job->kind.name != kind) || job->arrivedAt < from)
            continue;
        ++found.jobs;
        found.tasksServed += job->answer && *job->answer ? job->kind.tasks : 0;
        found.longestWait = std::max(found.longestWait,
            std::chrono::duration_cast<std::chrono::milliseconds>(job->answeredAt.value_or(loop.now()) - job->arrivedAt));
        if (!job->answer) {
            ++found.abandoned;
            continue;
        }
        const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(*job->answeredAt - job->arrivedAt);
        if (*job->answer)
            took <= job->kind.objective ? ++found.punctual : ++found.late;
        else if (rowOf(job->answer->error().kind).result == coriandermount::outcome::not_run) {
            ++found.refused;
            found.refusedLate += took > job->kind.callerTimeout / 2 ? 1 : 0;
            found.longestRefusalWait = std::max(found.longestRefusalWait, took);
        } else
            ++found.abandoned;
    }
    return found;
}

std::chrono::milliseconds cell_load_run::longestPause() const
{
    std::chrono::milliseconds longest { 0 };
    for (std::size_t number = 1; number < m_completed.size(); ++number)
        longest = std::max(
            longest, std::chrono::duration_cast<std::chrono::milliseconds>(m_completed[number] - m_completed[number - 1]));
    return longest;
}

} // namespace coriandermount::fakes
