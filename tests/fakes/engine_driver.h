/// Drives an engine by hand: submits jobs, keeps its actions, answers its starts.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/engine.h"

namespace coriandermount::fakes {

class engine_driver {
public:
    explicit engine_driver(dispatch::engine_options options = {});

    /// Lists `count` workers with `slots` slots, three to a rack, that offer the services "lookup" and "fetch".
    void setDefaultWorkers(unsigned count, std::uint32_t slots);
    void setWorkers(std::vector<worker_info> workers);
    static worker_info makeWorker(unsigned number, std::uint32_t slots);

    /// Sets a configuration with plans by name and customers by name of their plan.
    void configure(
        const std::map<std::string, configuration::plan_limits>& plans, const std::map<std::string, std::string>& customers);

    static job_request makeJob(const std::string& name, std::size_t tasks);
    job_serial submit(job_request job);
    job_serial submit(const std::string& name, std::size_t tasks) { return submit(makeJob(name, tasks)); }
    void cancel(const std::string& name);

    void succeed(lease_id lease);
    void fail(lease_id lease, error_kind kind);

    /// Answers all open starts well, until nothing is left to do.
    void succeedAll();

    /// Moves the time and ticks every 20 ms.
    void advanceTime(std::chrono::milliseconds time);

    void handle(const dispatch::event& input);

    const job_answer* answerOf(job_serial serial) const;
    std::optional<error_kind> problemOf(job_serial serial) const;
    unsigned answersOf(job_serial serial) const;
    std::size_t counted(metrics::decision_counter counter) const;
    std::size_t startsOn(const std::string& worker) const;

    dispatch::engine engine;
    time_point now { std::chrono::hours(1) };
    std::vector<dispatch::start_task> starts;
    std::vector<dispatch::stop_task> stops;
    std::vector<dispatch::finish_job> finished;
    std::vector<event_log::event> journal;
    std::vector<quota::demand> demands;
    /// Starts that were not answered yet.
    std::map<lease_id, dispatch::start_task> openStarts;

private:
    void recordAction(dispatch::action& taken);

    std::map<metrics::decision_counter, std::size_t> m_counted;
    std::uint64_t m_nextSerial = 1;
};

} // namespace coriandermount::fakes
