/// Placement policies that the policy benchmark compares.
#pragma once

#include <deque>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include <fmt/format.h>

#include "bench/task_stream.h"
#include "dispatch/engine.h"

namespace coriandermount::bench {

/// A task that was sent to a worker.
struct placed_task {
    /// Number of the start.
    std::uint64_t start = 0;
    std::size_t job = 0;
    std::uint32_t task = 0;
    std::size_t worker = 0;
};

/// A job that the dispatcher answered before its last task ended, because it was refused or failed.
struct ended_job {
    std::size_t job = 0;
    bool notRun = false;
};

/// Decisions that follow from one event.
struct decisions {
    std::vector<placed_task> placed;
    std::vector<ended_job> failed;
    std::size_t stops = 0;
};

/// Size of a fleet of equal workers, and the latency of a message between the dispatcher and a worker.
struct cluster_shape {
    std::size_t workers = 48;
    std::uint32_t slots = 8;
    std::size_t workersPerRack = 6;
    seconds oneWayLatency { 0.0015 };
};

/// Decides which worker runs which task. All functions return the decisions that follow from the event.
class policy {
public:
    virtual ~policy() = default;

    virtual decisions submit(std::size_t job, const stream_job& content, seconds now) = 0;
    /// Reports that a task ended after `runTime`, or that its worker could not be reached if `connected` is false.
    virtual decisions ended(const placed_task& task, bool connected, seconds runTime, seconds now) = 0;
    virtual decisions tick(seconds) { return {}; }
};

/// Sends each task to a worker at once. The tasks queue at the workers.
class push_policy : public policy {
public:
    explicit push_policy(const cluster_shape& shape)
        : m_outstanding(shape.workers)
    {
    }

    decisions submit(std::size_t job, const stream_job& content, seconds) override
    {
        decisions decided;
        for (std::uint32_t task = 0; task < content.tasks.size(); ++task) {
            const std::size_t worker = choose();
            ++m_outstanding[worker];
            decided.placed.push_back({ m_next++, job, task, worker });
        }
        return decided;
    }

    decisions ended(const placed_task& task, bool, seconds, seconds) override
    {
        --m_outstanding[task.worker];
        return {};
    }

protected:
    virtual std::size_t choose() = 0;

    std::vector<std::size_t> m_outstanding;
    std::mt19937_64 m_random { 7 };

private:
    std::uint64_t m_next = 0;
};

/// Chooses a random worker.
class random_policy final : public push_policy {
public:
    using push_policy::push_policy;

private:
    std::size_t choose() override { return m_random() % m_outstanding.size(); }
};

/// Chooses the workers in turn.
class round_robin_policy final : public push_policy {
public:
    using push_policy::push_policy;

private:
    std::size_t choose() override { return m_last++ % m_outstanding.size(); }

    std::size_t m_last = 0;
};

/// Chooses the worker with fewer outstanding tasks out of two random ones.
class two_choices_policy final : public push_policy {
public:
    using push_policy::push_policy;

private:
    std::size_t choose() override
    {
        const std::size_t first = m_random() % m_outstanding.size();
        const std::size_t second = m_random() % m_outstanding.size();
        return m_outstanding[second] < m_outstanding[first] ? second : first;
    }
};

/// Central queue in order of arrival. A task is assigned to a worker when a slot becomes free.
class fifo_policy final : public policy {
public:
    explicit fifo_policy(const cluster_shape& shape)
    {
        for (std::uint32_t slot = 0; slot < shape.slots; ++slot) {
            for (std::size_t worker = 0; worker < shape.workers; ++worker)
                m_free.push_back(worker);
        }
    }

    decisions submit(std::size_t job, const stream_job& content, seconds) override
    {
        for (std::uint32_t task = 0; task < content.tasks.size(); ++task)
            m_queue.push_back({ 0, job, task, 0 });
        return place();
    }

    decisions ended(const placed_task& task, bool, seconds, seconds) override
    {
        m_free.push_back(task.worker);
        return place();
    }

private:
    decisions place()
    {
        decisions decided;
        while (!m_queue.empty() && !m_free.empty()) {
            placed_task task = m_queue.front();
            m_queue.pop_front();
            task.start = m_next++;
            task.worker = m_free.front();
            m_free.pop_front();
            decided.placed.push_back(task);
        }
        return decided;
    }

    std::deque<placed_task> m_queue;
    std::deque<std::size_t> m_free;
    std::uint64_t m_next = 0;
};

/// Placement by the scheduling engine of the dispatcher.
class engine_policy final : public policy {
public:
    engine_policy(const cluster_shape& shape, const std::vector<double>& weights)
        : m_engine(options())
    {
        configure(weights);
        auto table = std::make_shared<worker_table>();
        for (std::size_t number = 0; number < shape.workers; ++number) {
            worker_info worker;
            worker.id.value = fmt::format("worker-{:05}", number);
            worker.rack = fmt::format("rack-{}", number / shape.workersPerRack);
            worker.slots = shape.slots;
            worker.memoryMegabytes = 32 * 1024;
            worker.services = { { "service" } };
            m_numbers[worker.id] = number;
            table->workers.push_back(std::move(worker));
        }
        m_engine.handle(dispatch::workers_changed { table }, at(seconds(0)));
    }

    decisions submit(std::size_t job, const stream_job& content, seconds now) override
    {
        auto request = std::make_shared<job_request>();
        request->key = { { fmt::format("customer-{}", content.plan) }, fmt::format("{}", job), wall_time() };
        request->timeLimit = std::chrono::duration_cast<std::chrono::milliseconds>(content.timeLimit);
        for (std::size_t index = 0; index < content.tasks.size(); ++index) {
            task_spec task;
            task.service.value = "service";
            task.payload = fmt::format("{} {}", job, index);
            task.declaredRunTime = std::chrono::duration_cast<std::chrono::milliseconds>(content.tasks[index].declared);
            task.declaredClass = content.tasks[index].declaredLong ? task_class::long_work : task_class::short_work;
            request->tasks.push_back(std::move(task));
        }
        return run(dispatch::job_submitted { job_serial { job }, std::move(request), 1 }, now);
    }

    decisions ended(const placed_task& task, bool connected, seconds runTime, seconds now) override
    {
        dispatch::task_ended ended;
        ended.lease = lease_id { task.start };
        ended.runTime = std::chrono::duration_cast<std::chrono::microseconds>(runTime);
        if (connected)
            ended.output = std::string("ok");
        else
            ended.output = fail(error_kind::worker_unreachable);
        return run(std::move(ended), now);
    }

    decisions tick(seconds now) override { return run(dispatch::timer_ticked {}, now); }

private:
    static dispatch::engine_options options()
    {
        dispatch::engine_options options;
        options.recordTaskEvents = false;
        return options;
    }

    static time_point at(seconds now)
    {
        return time_point(std::chrono::hours(1)) + std::chrono::duration_cast<std::chrono::nanoseconds>(now);
    }

    void configure(const std::vector<double>& weights)
    {
        auto snapshot = std::make_shared<configuration::snapshot>();
        snapshot->version = 1;
        for (std::size_t plan = 0; plan < weights.size(); ++plan) {
            const plan_id id { fmt::format("plan-{}", plan) };
            snapshot->customers[{ fmt::format("customer-{}", plan) }] = id;
            snapshot->plans[id].weight = static_cast<std::uint32_t>(weights[plan]);
        }
        m_engine.handle(dispatch::configuration_changed { snapshot }, at(seconds(0)));
    }

    decisions run(const dispatch::event& input, seconds now)
    {
        decisions decided;
        for (auto& action : m_engine.handle(input, at(now))) {
            if (const auto* start = std::get_if<dispatch::start_task>(&action)) {
                decided.placed.push_back({ static_cast<std::uint64_t>(start->lease), static_cast<std::size_t>(start->serial),
                    start->index, m_numbers.at(start->worker->id) });
            } else if (const auto* finish = std::get_if<dispatch::finish_job>(&action)) {
                if (finish->answer.result != outcome::done)
                    decided.failed.push_back(
                        { static_cast<std::size_t>(finish->serial), finish->answer.result == outcome::not_run });
            } else if (std::holds_alternative<dispatch::stop_task>(action)) {
                ++decided.stops;
            }
        }
        return decided;
    }

    dispatch::engine m_engine;
    std::unordered_map<worker_id, std::size_t> m_numbers;
};

} // namespace coriandermount::bench
