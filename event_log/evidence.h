/// What is known about the time around a fault.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "event_log/event.h"

namespace coriandermount::event_log {

/// How far back a lowered limit counts as the cause of a refusal.
inline constexpr std::chrono::minutes limitChangeWindow { 15 };
/// How far back failures of workers, VMs and the log count.
inline constexpr std::chrono::seconds failureWindow { 30 };

/// A published version that changed a bound.
struct limit_change {
    std::string subject;
    std::string rule;
    std::string before;
    std::string after;
    std::uint64_t version = 0;
    std::string author;
    wall_time at {};
};

/// What a set of workers did with the tasks that it was given lately.
struct worker_task_stats {
    unsigned ended = 0;
    unsigned failed = 0;
    unsigned unreachable = 0;
    std::chrono::microseconds longestRun { 0 };
    std::chrono::microseconds totalRun { 0 };
};

/// Collects events and answers questions about the time around a fault. Bounded: old events are forgotten.
class evidence {
public:
    /// Takes an event; events may come in any order within the windows.
    void add(const event& entry);

    /// Newest change of that bound that lowered it, within the window before `at`.
    std::optional<limit_change> findLoweredLimit(std::string_view rule, std::string_view subject, wall_time at) const;

    /// Newest change of that bound of any kind, within the window before `at`.
    std::optional<limit_change> findLimitChange(std::string_view rule, std::string_view subject, wall_time at) const;

    worker_task_stats taskStatsOf(const std::string& worker, wall_time at) const;
    worker_task_stats taskStatsOfOthers(const std::string& worker, wall_time at) const;

    /// Workers that could not be reached around `at`.
    unsigned countUnreachableWorkers(wall_time at) const;

    /// The newest event of `kind` around `at`; with `subject` set, only of that subject.
    const event* findNear(event_kind kind, wall_time at, std::string_view subject = {}) const;

private:
    struct ended_task {
        std::string worker;
        wall_time at {};
        std::optional<error_kind> problem;
        std::chrono::microseconds ran { 0 };
    };

    void addEndedTask(const event& entry);

    std::deque<limit_change> m_changes;
    std::deque<ended_task> m_ended;
    std::map<event_kind, std::deque<event>> m_notable;
};

/// Reads the number at the start of a text such as "40" or "40 tasks".
std::optional<double> parseLeadingNumber(std::string_view text);

} // namespace coriandermount::event_log
