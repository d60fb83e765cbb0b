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

/// Decisions that are counted besides refusals and failures.
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

std::string_view nameOf(decision_counter counter);

/// What a message between VMs, workers and the platform was for.
enum class message_kind { task_start, task_stop, peer_call, log_append };

inline constexpr std::size_t messageKindCount = static_cast<std::size_t>(message_kind::log_append) + 1;

std::string_view nameOf(message_kind value);

/// Plans that get series of their own; further ones are counted together as "(other)".
inline constexpr std::size_t maxPlanSeries = 200;

/// Sums since the start of the VM, for the view of the last minutes.
struct counter_totals {
    std::uint64_t arrivals = 0;
    std::uint64_t starts = 0;
    std::uint64_t refusals = 0;
    std::uint64_t failures = 0;
};

/// State that is shown as gauges.
struct gauges {
    double queuedTasks = 0;
    double runningTasks = 0;
    double openJobs = 0;
    std::uint64_t configurationVersion = 0;
    std::chrono::milliseconds configurationAge { 0 };
    std::uint64_t journalBytes = 0;
    std::uint64_t journalDropped = 0;
};

/// Owns all metrics; every method may be called from any thread.
class registry {
public:
    registry();
    ~registry();

    registry(const registry&) = delete;
    registry& operator=(const registry&) = delete;

    /// Counts one job that was refused or failed for that reason.
    void count(error_kind kind);

    /// Counts one start that was refused or failed for that reason.
    void countTaskFailure(error_kind kind);

    void count(decision_counter counter);

    /// Counts a refused or failed job of a plan.
    void countPlanRefusal(const plan_id& plan, error_kind kind);

    /// Counts the tasks of a submission.
    void countTaskArrivals(std::size_t tasks);

    /// Counts a task handed to a worker.
    void countTaskStart();

    void countMessage(message_kind kind);

    /// Observes a job that was done: its response time over the ideal, and the longest wait of its tasks.
    void observeAnswer(double responseOverIdeal, std::chrono::microseconds longestWait);

    /// Adds a counter that is read from `value` at each scrape; `value` may be called until the registry is destroyed.
    void addCounterSource(std::string name, std::string help, std::function<double()> value);

    void setGauges(const gauges& current);

    /// Sets the gauges of one plan.
    void setPlanGauges(const plan_id& plan, double running, double queued, double share);

    counter_totals counterTotals() const;

    /// Returns all metrics in the Prometheus text format.
    std::string expose() const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::metrics
