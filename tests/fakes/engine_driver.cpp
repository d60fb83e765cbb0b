#include "tests/fakes/engine_driver.h"

#include <algorithm>

#include <fmt/format.h>

namespace coriandermount::fakes {

namespace {

    constexpr std::chrono::milliseconds tick { 20 };
    constexpr unsigned workersPerRack = 3;

} // namespace

engine_driver::engine_driver(dispatch::engine_options options)
    : engine(options)
{
}

worker_info engine_driver::makeWorker(unsigned number, std::uint32_t slots)
{
    worker_info worker;
    worker.id.value = fmt::format("worker-{}", number);
    worker.rack = fmt::format("rack-{}", number / workersPerRack);
    worker.slots = slots;
    worker.memoryMegabytes = 32 * 1024;
    worker.services = { { "lookup" }, { "fetch" } };
    return worker;
}

void engine_driver::setDefaultWorkers(unsigned count, std::uint32_t slots)
{
    std::vector<worker_info> workers;
    for (unsigned number = 0; number < count; ++number)
        workers.push_back(makeWorker(number, slots));
    setWorkers(std::move(workers));
}

void engine_driver::setWorkers(std::vector<worker_info> workers)
{
    auto table = std::make_shared<worker_table>();
    table->workers = std::move(workers);
    handle(dispatch::workers_changed { table });
}

void engine_driver::configure(
    const std::map<std::string, configuration::plan_limits>& plans, const std::map<std::string, std::string>& customers)
{
    auto snapshot = std::make_shared<configuration::snapshot>();
    snapshot->version = 1;
    for (const auto& [name, limits] : plans)
        snapshot->plans[{ name }] = limits;
    for (const auto& [customer, plan] : customers)
        snapshot->customers[{ customer }] = { plan };
    handle(dispatch::configuration_changed { snapshot });
}

job_request engine_driver::makeJob(const std::string& name, std::size_t tasks)
{
    job_request job;
    job.key = { { "kellari" }, name, wall_time(std::chrono::hours(1)) };
    job.timeLimit = std::chrono::seconds(10);
    for (std::size_t index = 0; index < tasks; ++index) {
        task_spec task;
        task.service.value = "lookup";
        task.payload = fmt::format("{} {}", name, index);
        job.tasks.push_back(std::move(task));
    }
    return job;
}

job_serial engine_driver::submit(job_request job)
{
    const job_serial serial { m_nextSerial++ };
    handle(dispatch::job_submitted { serial, std::make_shared<const job_request>(std::move(job)), 1 });
    return serial;
}

void engine_driver::cancel(const std::string& name) { handle(dispatch::cancel_requested { makeJob(name, 0).key }); }

void engine_driver::succeed(lease_id lease)
{
    openStarts.erase(lease);
    handle(dispatch::task_ended { lease, std::string("ok"), {} });
}

void engine_driver::fail(lease_id lease, error_kind kind)
{
    openStarts.erase(lease);
    handle(dispatch::task_ended { lease, coriandermount::fail(kind), {} });
}

void engine_driver::succeedAll()
{
    while (!openStarts.empty())
        succeed(openStarts.begin()->first);
}

void engine_driver::advanceTime(std::chrono::milliseconds time)
{
    const time_point end = now + time;
    while (now < end) {
        now = std::min<time_point>(end, now + tick);
        handle(dispatch::timer_ticked {});
    }
}

void engine_driver::handle(const dispatch::event& input)
{
    for (auto& action : engine.handle(input, now))
        recordAction(action);
}

void engine_driver::recordAction(dispatch::action& action)
{
    if (auto* start = std::get_if<dispatch::start_task>(&action)) {
        openStarts.emplace(start->lease, *start);
        starts.push_back(std::move(*start));
    } else if (auto* stop = std::get_if<dispatch::stop_task>(&action)) {
        stops.push_back(std::move(*stop));
    } else if (auto* finish = std::get_if<dispatch::finish_job>(&action)) {
        finished.push_back(std::move(*finish));
    } else if (auto* entry = std::get_if<dispatch::record_event>(&action)) {
        journal.push_back(std::move(entry->entry));
    } else if (auto* report = std::get_if<dispatch::report_demand>(&action)) {
        demands.push_back(std::move(report->demand));
    } else if (const auto* decision = std::get_if<dispatch::count_decision>(&action)) {
        ++m_counted[decision->counter];
    }
}

const job_answer* engine_driver::answerOf(job_serial serial) const
{
    const auto found
        = std::find_if(finished.begin(), finished.end(), [serial](const auto& finish) { return finish.serial == serial; });
    return found == finished.end() ? nullptr : &found->answer;
}

std::optional<error_kind> engine_driver::problemOf(job_serial serial) const
{
    const job_answer* answer = answerOf(serial);
    return answer && answer->problem ? std::optional(answer->problem->kind) : std::nullopt;
}

unsigned engine_driver::answerCountOf(job_serial serial) const
{
    return static_cast<unsigned>(
        std::count_if(finished.begin(), finished.end(), [serial](const auto& finish) { return finish.serial == serial; }));
}

std::size_t engine_driver::countOf(metrics::decision_counter counter) const
{
    const auto found = m_counted.find(counter);
    return found == m_counted.end() ? 0 : found->second;
}

std::size_t engine_driver::startsOn(const std::string& worker) const
{
    return static_cast<std::size_t>(
        std::count_if(starts.begin(), starts.end(), [&worker](const auto& start) { return start.worker->id.value == worker; }));
}

} // namespace coriandermount::fakes
