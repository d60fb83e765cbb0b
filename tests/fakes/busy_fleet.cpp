#include "tests/fakes/busy_fleet.h"

#include <algorithm>

#include <fmt/format.h>

namespace coriandermount::fakes {

namespace {

    constexpr std::chrono::milliseconds tick { 20 };
    constexpr std::chrono::milliseconds latency { 1 };
    constexpr std::chrono::milliseconds minRunTime { 50 };
    constexpr std::chrono::milliseconds maxRunTime { 600 };
    constexpr double load = 0.6;

} // namespace

busy_fleet::busy_fleet(unsigned workers, std::uint32_t slots)
{
    driver.setDefaultWorkers(workers, slots);
    const double meanTicks = static_cast<double>((minRunTime + maxRunTime).count()) / 2 / static_cast<double>(tick.count());
    m_tasksPerTick = load * workers * slots / meanTicks;
}

std::chrono::milliseconds busy_fleet::drawRunTime()
{
    return std::chrono::milliseconds(
        std::uniform_int_distribution<std::int64_t>(minRunTime.count(), maxRunTime.count())(m_random));
}

void busy_fleet::submitDueTasks()
{
    for (m_taskCredit += m_tasksPerTick; m_taskCredit >= 1; m_taskCredit -= 1) {
        driver.submit(fmt::format("load {}", m_nextName++), 1);
        ++m_submitted;
        scheduleNewStarts();
    }
}

void busy_fleet::scheduleNewStarts()
{
    for (; m_processedStarts < driver.starts.size(); ++m_processedStarts) {
        const auto& start = driver.starts[m_processedStarts];
        const auto found = behaviours.find(start.worker->id.value);
        const worker_behaviour behaviour = found == behaviours.end() ? worker_behaviour {} : found->second;
        const bool poisoned = !poisonedPayload.empty() && start.job->tasks[start.index].payload == poisonedPayload;
        if (behaviour.hangs)
            continue;
        if (behaviour.problem)
            m_scheduledAnswers.insert({ driver.now + latency, start.lease, behaviour.problem });
        else if (poisoned)
            m_scheduledAnswers.insert({ driver.now + minRunTime, start.lease, error_kind::task_failed });
        else
            m_scheduledAnswers.insert(
                { driver.now + std::chrono::duration_cast<time_point::duration>(drawRunTime() * behaviour.slowdown), start.lease,
                    std::nullopt });
    }
}

void busy_fleet::sendDueAnswers()
{
    while (!m_scheduledAnswers.empty() && m_scheduledAnswers.begin()->at <= driver.now) {
        const scheduled_answer answer = *m_scheduledAnswers.begin();
        m_scheduledAnswers.erase(m_scheduledAnswers.begin());
        if (answer.problem)
            driver.fail(answer.lease, *answer.problem);
        else
            driver.succeed(answer.lease);
        scheduleNewStarts();
    }
}

void busy_fleet::run(std::chrono::milliseconds time)
{
    const time_point end = driver.now + time;
    while (driver.now < end) {
        driver.advanceTime(tick);
        scheduleNewStarts();
        sendDueAnswers();
        submitDueTasks();
    }
}

std::size_t busy_fleet::failedJobs() const
{
    return static_cast<std::size_t>(std::count_if(driver.finished.begin(), driver.finished.end(),
        [](const auto& finish) { return finish.answer.result != outcome::done; }));
}

std::size_t busy_fleet::maxEjectedWorkers() const
{
    std::set<std::string> ejected;
    std::size_t most = 0;
    for (const auto& entry : driver.journal) {
        if (entry.kind == event_log::event_kind::worker_ejected)
            ejected.insert(entry.subject);
        else if (entry.kind == event_log::event_kind::worker_readmitted)
            ejected.erase(entry.subject);
        most = std::max(most, ejected.size());
    }
    return most;
}

} // namespace coriandermount::fakes
