/// Recent events that the attribution of faults uses as evidence.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "event_log/event.h"

namespace coriandermount::event_log {

/// Time for which a lowered limit counts as the cause of refusals.
inline constexpr std::chrono::minutes limitChangeWindow { 15 };
/// Largest time between a fault and a failure of a worker, a VM or the log that counts as evidence for the fault.
inline constexpr std::chrono::seconds failureWindow { 30 };

/// One change of a bound by a published configuration version.
struct limit_change {
    /// Plan or customer.
    std::string subject;
    /// Name of the limit, as in event_log/rules.h.
    std::string rule;
    std::string before;
    std::string after;
    std::uint64_t version = 0;
    std::string author;
    wall_time at {};
};

/// Counters over the tasks that ended on one worker, or on a group of workers, near a point in time.
struct worker_task_stats {
    unsigned ended = 0;
    unsigned failed = 0;
    /// Failed tasks whose worker could not be reached.
    unsigned unreachable = 0;
    std::chrono::microseconds longestRun { 0 };
    std::chrono::microseconds totalRun { 0 };
};

/// Stores the newest events that can explain a fault, and finds those near it. The memory is bounded: the oldest events are
/// dropped. Not thread-safe.
class evidence {
public:
    /// Adds an event if its kind can explain a fault. Events may arrive in any order.
    void add(const event& entry);

    /// Returns the result of `findLimitChange` if that change lowered the bound, else nothing.
    std::optional<limit_change> findLoweredLimit(std::string_view rule, std::string_view subject, wall_time at) const;

    /// Returns the newest change of the bound that `rule` names for a plan or customer, from `limitChangeWindow` before `at` to
    /// `failureWindow` after it; nothing if there is none.
    std::optional<limit_change> findLimitChange(std::string_view rule, std::string_view subject, wall_time at) const;

    /// Returns the counters of the tasks of one worker that ended within `failureWindow` of `at`.
    worker_task_stats taskStatsOf(const std::string& worker, wall_time at) const;

    /// Returns the counters of the tasks of all workers but `worker` that ended within `failureWindow` of `at`; `unreachable` is
    /// not counted.
    worker_task_stats taskStatsOfOthers(const std::string& worker, wall_time at) const;

    /// Returns the number of workers that could not be reached within `failureWindow` of `at`.
    unsigned countUnreachableWorkers(wall_time at) const;

    /// Returns the newest event of `kind` within `failureWindow` of `at`, or null; with `subject` set, only events of that
    /// subject are considered. The pointer is valid until the next `add`.
    const event* findNear(event_kind kind, wall_time at, std::string_view subject = {}) const;

private:
    struct ended_task {
        std::string worker;
        wall_time at {};
        std::optional<error_kind> problem;
        std::chrono::microseconds runTime { 0 };
    };

    void addEndedTask(const event& entry);

    std::deque<limit_change> m_changes;
    std::deque<ended_task> m_ended;
    std::map<event_kind, std::deque<event>> m_eventsByKind;
};

/// Parses the number at the start of a text such as "40" or "40 tasks"; returns nothing if there is none.
std::optional<double> parseLeadingNumber(std::string_view text);

} // namespace coriandermount::event_log
