/// Drives an engine step by step: submits jobs, records actions and answers starts.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/engine.h"

namespace coriandermount::fakes {

/// Owns an engine and its virtual time, and records all actions by kind.
class engine_driver {
public:
    explicit engine_driver(dispatch::engine_options options = {});

    /// Replaces all workers by `count` workers with `slots` slots each, three to a rack, that offer the services "lookup" and
    /// "fetch".
    void setDefaultWorkers(unsigned count, std::uint32_t slots);
    /// Replaces all workers.
    void setWorkers(std::vector<worker_info> workers);
    /// Returns the worker that `setDefaultWorkers` would add with this number.
    static worker_info makeWorker(unsigned number, std::uint32_t slots);

    /// Sets a configuration. `plans` maps plan names to limits, and `customers` maps customer names to plan names.
    void configure(
        const std::map<std::string, configuration::plan_limits>& plans, const std::map<std::string, std::string>& customers);

    /// Returns a job of the customer "kellari" with a time limit of 10 s and `tasks` tasks of the service "lookup".
    static job_request makeJob(const std::string& name, std::size_t tasks);
    job_serial submit(job_request job);
    job_serial submit(const std::string& name, std::size_t tasks) { return submit(makeJob(name, tasks)); }
    /// Cancels the job that `makeJob` made under this name.
    void cancel(const std::string& name);

    /// Reports the end of a start, with output or with an error.
    void succeed(lease_id lease);
    void fail(lease_id lease, error_kind kind);

    /// Reports success for open starts, including those that result, until none is open.
    void succeedAll();

    /// Advances the time, with a timer tick every 20 ms.
    void advanceTime(std::chrono::milliseconds time);

    void handle(const dispatch::event& input);

    /// Returns the answer to a job, or null if the job has not been answered.
    const job_answer* answerOf(job_serial serial) const;
    /// Returns the error in the answer to a job, or nothing if there is no answer or no error.
    std::optional<error_kind> problemOf(job_serial serial) const;
    /// Returns the number of answers to a job.
    unsigned answerCountOf(job_serial serial) const;
    /// Returns how often the engine counted a decision of this kind.
    std::size_t countOf(metrics::decision_counter counter) const;
    std::size_t startsOn(const std::string& worker) const;

    dispatch::engine engine;
    time_point now { std::chrono::hours(1) };
    std::vector<dispatch::start_task> starts;
    std::vector<dispatch::stop_task> stops;
    std::vector<dispatch::finish_job> finished;
    std::vector<event_log::event> journal;
    std::vector<quota::demand> demands;
    /// Starts whose end has not been reported.
    std::map<lease_id, dispatch::start_task> openStarts;

private:
    void recordAction(dispatch::action& action);

    std::map<metrics::decision_counter, std::size_t> m_counted;
    std::uint64_t m_nextSerial = 1;
};

} // namespace coriandermount::fakes
