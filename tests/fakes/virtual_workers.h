/// Workers of the platform in virtual time. They implement leases, fencing tokens and attempt numbers, and list ended runs until
/// these are acknowledged.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cells/worker_link.h"
#include "tests/fakes/event_timeline.h"
#include "tests/fakes/virtual_loop.h"
#include "tests/fakes/worker_path.h"

namespace coriandermount::fakes {

/// Faults of one worker.
struct worker_faults {
    /// Neither orders nor answers are delivered.
    bool partitioned = false;
    /// Every run fails after 10 ms.
    bool failsAll = false;
    /// Runs never end by themselves.
    bool hangs = false;
    /// Delay before orders are executed. A start or stop order that is delayed is not answered.
    std::chrono::milliseconds orderDelay { 0 };
    /// Time from a stop order to the end of the run. Meanwhile the worker lists the run neither as running nor as ended.
    std::chrono::milliseconds stopTime { 0 };
    /// Polls are carried out, but their answers are lost.
    bool losesPollAnswers = false;
    /// Transports of the next start and stop orders, which are removed as they are used. Later orders take the path.
    std::deque<order_transport> nextStarts;
    std::deque<order_transport> nextStops;
    worker_path path;
};

/// A run of a task as the worker executed it.
struct recorded_run {
    cells::task_key task;
    worker_id worker;
    std::uint64_t attempt = 0;
    time_point start;
    std::optional<time_point> end;
    bool done = false;
    /// Whether the end was acknowledged before the lease of the worker ended.
    bool noted = false;
    /// Whether the run ended because its worker crashed.
    bool crashed = false;
};

/// A crash of a worker, whatever it executed.
struct recorded_crash {
    worker_id worker;
    time_point at;
};

/// Executes orders for any number of workers on a `virtual_loop`, records all runs and checks the guarantees of the platform.
class virtual_workers {
public:
    explicit virtual_workers(virtual_loop& loop)
        : m_loop(loop)
    {
    }

    /// Adds a worker and returns its registration. The payload of each task is its run time in milliseconds.
    cells::worker_registration add(const std::string& id, const std::string& domain, std::int64_t cpuMillis);
    /// Sets the labels of a worker, the last of which names its rack; none by default. To be called before owners read them.
    void setLabels(const std::string& id, const std::vector<std::string>& labels)
    {
        m_workers.at(id).registration.labels = labels;
    }
    /// Returns the faults of a worker, which a test may change at any time.
    worker_faults& faults(const std::string& id) { return m_workers.at(id).faults; }
    /// Ends all runs of a worker without reporting them, and starts a new boot with the same id and address. Faults stay.
    cells::worker_registration restart(const std::string& id);
    /// Crashes a worker: its runs end without reports, and it does not answer until it has restarted after the downtime.
    void crash(const std::string& id);
    /// Sets the time from a crash to the restart; `crashDowntime` by default.
    void restartAfterCrash(std::chrono::milliseconds downtime) { m_downtime = downtime; }
    /// Returns all crashes in the order of their times.
    const std::vector<recorded_crash>& crashes() const { return m_crashes; }
    /// Sets the time after a crash from which on a worker is not registered until it has restarted; never by default.
    void unregisterAfterCrash(std::chrono::milliseconds silence) { m_silenceUntilUnregistered = silence; }
    /// Sets whether a worker that has crashed returns under a new id, at the same address; not by default.
    void renameAfterCrash() { m_renamesAfterCrash = true; }
    /// Sets that workers that crash never return; not by default.
    void neverRestartAfterCrash() { m_restartsAfterCrash = false; }
    /// Sets that the addresses of workers that have crashed refuse connections, as when only the process has ended; by default
    /// they don't answer.
    void refuseConnectionsAfterCrash() { m_refusesAfterCrash = true; }
    /// Returns the workers of a failure domain that are not registered because they have crashed.
    std::vector<worker_id> unregistered(const std::string& domain) const;
    /// Makes a task crash every worker that starts it, `delay` after its start. Without a delay the worker does not answer.
    void makeDeadly(const cells::task_key& task, std::chrono::milliseconds delay = std::chrono::milliseconds(20))
    {
        m_deadlyTasks[task] = delay;
    }
    /// Returns the number of runs of a task that ended because their worker crashed.
    std::size_t crashesUnder(const cells::task_key& task) const;

    static constexpr std::chrono::milliseconds crashDowntime { 2000 };
    /// Ends all runs of a worker for `reason` and lists these ends.
    void endRuns(const std::string& id, cells::run_end_reason reason);

    /// Number of ends that a worker lists in one answer to a poll.
    static constexpr std::size_t mostListedEnds = 500;
    /// Returns the largest number of ends of a worker that were not acknowledged at a time.
    std::size_t mostUnacknowledgedEnds(const std::string& id) const { return m_workers.at(id).mostUnacknowledged; }

    /// Returns the registrations of all workers in a failure domain.
    std::vector<cells::worker_registration> registrations(const std::string& domain) const;

    /// Orders to a worker, with the semantics of `cells::worker_link`.
    void start(
        const worker_id& id, const cells::start_order& order, const cells::worker_link::completion<cells::order_answer>& done);
    void stop(
        const worker_id& id, const cells::stop_order& order, const cells::worker_link::completion<cells::order_answer>& done);
    void poll(
        const worker_id& id, const cells::poll_order& order, const cells::worker_link::completion<cells::poll_answer>& done);

    /// Sets where orders and ends of runs are noted; nowhere by default. `timeline` must outlive the workers.
    void noteEventsIn(event_timeline& timeline) { m_timeline = &timeline; }

    /// Returns all runs in the order of their starts.
    const std::vector<recorded_run>& runs() const { return m_runs; }
    /// Returns a message for each violated guarantee: two concurrent runs of the same task.
    const std::vector<std::string>& violations() const { return m_violations; }
    /// Returns the tasks that were started again after a run was done whose end was noted. The platform forbids that for stored
    /// jobs.
    std::vector<cells::task_key> startsAfterNotedEnd() const;

private:
    struct active_run {
        std::uint64_t attempt = 0;
        std::size_t index = 0;
        std::int64_t cpuMillis = 0;
        bool stopping = false;
    };
    struct worker {
        cells::worker_registration registration;
        worker_faults faults;
        time_point bootTime;
        std::uint64_t boot = 0;
        /// Whether the worker has crashed and not restarted yet.
        bool down = false;
        time_point crashedAt;
        cells::fencing_token token = 0;
        time_point leaseEnd;
        /// End of the last lease that was not extended in time.
        time_point lastLapse;
        std::map<cells::task_key, active_run> running;
        std::map<cells::task_key, std::uint64_t> highestAttempts;
        std::vector<cells::ended_task> ended;
        std::size_t mostUnacknowledged = 0;
        /// Indexes of the ended runs by the numbers of their ends.
        std::map<std::uint64_t, std::size_t> endedRuns;
        std::uint64_t lastEndNumber = 0;
    };

    order_transport nextTransport(const worker& current, worker_path& path, std::deque<order_transport>& scripted) const;
    /// Passes an order to `execute` when it reaches the worker, and the answer to `done`, as `transport` determines.
    void deliver(const worker_id& id, const order_transport& transport, std::chrono::milliseconds timeout,
        std::function<tl::expected<cells::order_answer, cells::order_failure>(worker&)> execute,
        cells::worker_link::completion<cells::order_answer> done);
    void executePoll(const worker_id& id, cells::poll_order order, std::uint64_t boot,
        const cells::worker_link::completion<cells::poll_answer>& done);
    bool isRegistered(const worker& current) const;
    /// Returns whether the worker's address refuses connections.
    bool refusesConnections(const worker& current) const
    {
        return m_refusesAfterCrash && current.down && !current.faults.partitioned;
    }
    int percentOf(const recorded_run& run, bool hangs) const;
    cells::worker_time workerTimeOf(const worker& current) const;
    tl::expected<cells::order_answer, cells::order_failure> executeOrder(worker& current, const cells::start_order& order);
    tl::expected<cells::order_answer, cells::order_failure> refuseOrder(
        worker& current, const cells::start_order& order, cells::order_failure refusal);
    tl::expected<cells::order_answer, cells::order_failure> executeStop(worker& current, const cells::stop_order& order);
    void finish(worker& current, const cells::task_key& task, cells::run_end_reason endReason);
    void noteEvent(const worker& current, const cells::task_key& task, std::uint64_t attempt, std::string_view what) const;
    /// Ends a run after the time that a stop takes on the worker.
    void endStoppedRun(worker& current, const cells::task_key& task, active_run& stopped);
    void acknowledgeEnds(worker& current, std::uint64_t acknowledged);
    void checkLease(worker& current);
    void extendLease(worker& current, cells::worker_time until);
    void recordStart(worker& current, const cells::start_order& order);
    /// Starts a worker under a new id at the address of a crashed one.
    void replace(const std::string& id);
    /// Crashes the worker later if the task that it has started is deadly.
    void scheduleCrash(const worker& current, const cells::start_order& order);

    virtual_loop& m_loop;
    event_timeline* m_timeline = nullptr;
    std::map<std::string, worker> m_workers;
    std::map<cells::task_key, std::chrono::milliseconds> m_deadlyTasks;
    std::optional<std::chrono::milliseconds> m_silenceUntilUnregistered;
    std::chrono::milliseconds m_downtime = crashDowntime;
    bool m_renamesAfterCrash = false;
    bool m_restartsAfterCrash = true;
    bool m_refusesAfterCrash = false;
    std::vector<recorded_run> m_runs;
    std::vector<recorded_crash> m_crashes;
    std::vector<std::string> m_violations;
};

} // namespace coriandermount::fakes
