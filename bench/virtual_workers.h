/// Simulation of a stream of jobs under a placement policy in virtual time.
#pragma once

#include <deque>
#include <functional>
#include <queue>
#include <vector>

#include "bench/policies.h"

namespace coriandermount::bench {

/// Result of one job.
struct job_record {
    seconds answeredAt { 0 };
    bool done = false;
    /// Whether the dispatcher answered that no task ran.
    bool notRun = false;
    std::size_t unfinished = 0;
    bool anyStarted = false;
};

/// Interval in which one task occupied a slot.
struct run_record {
    std::size_t job = 0;
    seconds from { 0 };
    seconds until { 0 };
};

/// Results of a simulation.
struct run_outcome {
    std::vector<job_record> jobs;
    std::vector<run_record> runs;
    std::size_t starts = 0;
    /// Messages in both directions.
    std::size_t messages = 0;
    /// Messages that had no effect or only stopped a task.
    std::size_t wastedMessages = 0;
};

/// Faults that are injected into a simulation.
struct fault_plan {
    /// Workers with a lower number are dead from time `at` on.
    std::size_t deadWorkers = 0;
    seconds at { 0 };
};

/// Simulates workers whose tasks occupy a slot for their run time.
class virtual_workers {
public:
    virtual_workers(
        const cluster_shape& shape, const std::vector<stream_job>& jobs, policy& placementPolicy, fault_plan faults = {})
        : m_shape(shape)
        , m_jobs(jobs)
        , m_policy(placementPolicy)
        , m_faults(faults)
        , m_workers(shape.workers)
    {
    }

    /// Simulates until the time `until` and returns the results. May be called once.
    run_outcome run(seconds until)
    {
        m_result.jobs.resize(m_jobs.size());
        for (std::size_t job = 0; job < m_jobs.size(); ++job)
            schedule(m_jobs[job].arrival, [this, job] { arrive(job); });
        for (seconds at { 0 }; at < until; at += tickLength)
            schedule(at, [this] { carryOut(m_policy.tick(m_now)); });
        while (!m_events.empty() && m_events.top().at < until) {
            m_now = m_events.top().at;
            const auto action = m_events.top().action;
            m_events.pop();
            action();
        }
        return std::move(m_result);
    }

private:
    static constexpr seconds tickLength { 0.02 };

    struct scheduled {
        seconds at;
        std::uint64_t order;
        std::function<void()> action;

        friend bool operator>(const scheduled& a, const scheduled& b) { return a.at != b.at ? a.at > b.at : a.order > b.order; }
    };

    struct worker {
        std::uint32_t running = 0;
        std::deque<placed_task> queue;
    };

    void schedule(seconds at, std::function<void()> action) { m_events.push({ at, m_order++, std::move(action) }); }

    bool isDead(std::size_t worker) const { return worker < m_faults.deadWorkers && m_now >= m_faults.at; }

    void arrive(std::size_t job)
    {
        m_result.jobs[job].unfinished = m_jobs[job].tasks.size();
        carryOut(m_policy.submit(job, m_jobs[job], m_now));
    }

    void carryOut(const decisions& decided)
    {
        m_result.messages += decided.stops;
        m_result.wastedMessages += decided.stops;
        for (const auto& end : decided.failed) {
            job_record& record = m_result.jobs[end.job];
            record.answeredAt = m_now;
            record.notRun = end.notRun;
            record.unfinished = 0;
        }
        for (const auto& task : decided.placed) {
            ++m_result.messages;
            schedule(m_now + m_shape.oneWayLatency, [this, task] { deliver(task); });
        }
    }

    void deliver(const placed_task& task)
    {
        if (isDead(task.worker)) {
            ++m_result.wastedMessages;
            schedule(m_now + m_shape.oneWayLatency, [this, task] { carryOut(m_policy.ended(task, false, seconds(0), m_now)); });
            return;
        }
        ++m_result.starts;
        worker& target = m_workers[task.worker];
        if (target.running == m_shape.slots)
            target.queue.push_back(task);
        else
            begin(task);
    }

    void begin(const placed_task& task)
    {
        ++m_workers[task.worker].running;
        m_result.jobs[task.job].anyStarted = true;
        const seconds end = m_now + m_jobs[task.job].tasks[task.task].runTime;
        m_result.runs.push_back({ task.job, m_now, end });
        schedule(end, [this, task] { finish(task); });
    }

    void finish(const placed_task& task)
    {
        worker& target = m_workers[task.worker];
        --target.running;
        if (isDead(task.worker))
            return;
        if (!target.queue.empty()) {
            const placed_task next = target.queue.front();
            target.queue.pop_front();
            begin(next);
        }
        ++m_result.messages;
        schedule(m_now + m_shape.oneWayLatency, [this, task] { answer(task); });
    }

    void answer(const placed_task& task)
    {
        job_record& record = m_result.jobs[task.job];
        if (record.unfinished > 0 && --record.unfinished == 0) {
            record.done = true;
            record.answeredAt = m_now;
        }
        carryOut(m_policy.ended(task, true, m_jobs[task.job].tasks[task.task].runTime, m_now));
    }

    cluster_shape m_shape;
    const std::vector<stream_job>& m_jobs;
    policy& m_policy;
    fault_plan m_faults;
    std::vector<worker> m_workers;
    std::priority_queue<scheduled, std::vector<scheduled>, std::greater<>> m_events;
    std::uint64_t m_order = 0;
    seconds m_now { 0 };
    run_outcome m_result;
};

} // namespace coriandermount::bench
