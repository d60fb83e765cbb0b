/// Counters, gauges and histograms of one VM, exposed in the Prometheus text format.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "core/error.h"
#include "core/types.h"

namespace coriandermount::metrics {

/// Decisions of the dispatcher that are counted in addition to refusals and failures.
enum class decision_counter {
    retry_refused_start,
    retry_unreachable,
    retry_idempotent,
    retry_denied_customer_budget,
    retry_denied_service_budget,
    retry_denied_attempts,
    late_answer,
    task_turned_long,
    worker_ejected_dead,
    worker_ejected_failing,
    worker_ejected_hung,
    worker_ejected_straggling,
    worker_readmitted,
    worker_probed,
};

/// Returns the value of the label `decision`.
std::string_view nameOf(decision_counter counter);

/// Purpose of a message that this VM sends to another VM, a worker or the platform.
enum class message_kind { task_start, task_stop, peer_call, log_append };

inline constexpr std::size_t messageKindCount = static_cast<std::size_t>(message_kind::log_append) + 1;

/// Returns the value of the label `kind`.
std::string_view nameOf(message_kind value);

/// Maximum number of plans with time series of their own, which bounds the cardinality. Refusals of further plans are counted
/// under the plan "(other)"; their gauges are not exported.
inline constexpr std::size_t maxPlanSeries = 200;

/// Values of cumulative counters since the start of the VM, for rates over the last minutes. `refusals` counts jobs that were not
/// run, `failures` those that may have run.
struct counter_totals {
    std::uint64_t arrivals = 0;
    std::uint64_t starts = 0;
    std::uint64_t refusals = 0;
    std::uint64_t failures = 0;
};

/// Values for the gauges of this VM.
struct gauges {
    double queuedTasks = 0;
    double runningTasks = 0;
    double openJobs = 0;
    std::uint64_t configurationVersion = 0;
    std::chrono::milliseconds configurationAge { 0 };
    std::uint64_t journalBytes = 0;
    std::uint64_t journalDropped = 0;
};

/// Holds all metrics of this VM. Every method may be called from any thread.
class registry {
public:
    registry();
    ~registry();

    registry(const registry&) = delete;
    registry& operator=(const registry&) = delete;

    /// Counts a job that was refused or failed with the error `kind`.
    void count(error_kind kind);

    /// Counts a start of a task that was refused or failed with the error `kind`.
    void countTaskFailure(error_kind kind);

    /// Counts a decision.
    void count(decision_counter counter);

    /// Counts a refused or failed job of a plan, and adds it to the refusals or failures of `counterTotals`, depending on the
    /// outcome of `kind`.
    void countPlanRefusal(const plan_id& plan, error_kind kind);

    /// Counts the tasks of a submitted job.
    void countTaskArrivals(std::size_t tasks);

    /// Counts a task that was sent to a worker.
    void countTaskStart();

    /// Counts a message that was sent.
    void countMessage(message_kind kind);

    /// Records a completed job: its response time divided by the ideal one, which is the run time of its longest task, and the
    /// longest queue wait of its tasks.
    void observeAnswer(double responseOverIdeal, std::chrono::microseconds longestWait);

    /// Adds a counter whose value is read by calling `value` at each scrape, on the thread that scrapes and under a lock of the
    /// registry. `value` must stay callable until the registry is destroyed.
    void addCounterSource(std::string name, std::string help, std::function<double()> value);

    /// Sets the gauges of this VM.
    void setGauges(const gauges& current);

    /// Sets the gauges of one plan. Ignored for plans beyond the first `maxPlanSeries`.
    void setPlanGauges(const plan_id& plan, double running, double queued, double share);

    /// Returns the totals since the start of the VM.
    counter_totals counterTotals() const;

    /// Returns all metrics in the Prometheus text format.
    std::string expose() const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::metrics
