/// Expects when waiting jobs start, and keeps the starts that their callers were promised.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

#include "core/clock.h"

namespace coriandermount::cells {

/// Position in the order of starts: by priority, then by the time until which the job should start.
struct start_position {
    /// Priority as the owner ranks it, see `priorityOf`; 0 comes first.
    std::uint32_t priority = 0;
    time_point order;

    friend bool operator<(const start_position& left, const start_position& right)
    {
        return std::tie(left.priority, left.order) < std::tie(right.priority, right.order);
    }
};

/// Job that waits for its first start, as the plan sees it.
struct planned_job {
    start_position position;
    /// Time for which the job uses the whole capacity.
    std::chrono::microseconds serviceTime { 0 };
    /// Latest start that the job was promised when it was admitted.
    time_point latestStart;
};

/// Waiting jobs that share a capacity, in the order of their starts. Each is expected to start after the service times of those
/// ahead of it. Starts are points in time, so that the plan stays valid while the jobs at its front start.
class start_plan {
public:
    /// Makes an empty plan whose first job starts at `now`.
    explicit start_plan(time_point now)
        : m_begin(now)
    {
    }

    bool isEmpty() const { return m_entries.empty(); }

    /// Adds a job and returns its expected start.
    time_point add(const planned_job& job);

    /// Returns the first position, from `job.position` on, at which the job delays no other one of its priority beyond the latest
    /// start of that job. Jobs of higher priority come ahead of all lower ones.
    start_position positionFor(const planned_job& job) const;

    /// Returns the time until a job that arrives at `now` starts at the given position, if nothing else arrives.
    std::chrono::microseconds waitAt(const start_position& position, time_point now) const;

    /// Returns the time until all jobs have started.
    std::chrono::milliseconds drainTime(time_point now) const;

private:
    struct entry {
        planned_job job;
        /// Sum of the service times of this job and of all jobs ahead of it.
        std::chrono::microseconds end { 0 };
    };

    std::vector<entry>::const_iterator firstAfter(const start_position& position) const;

    time_point m_begin;
    std::vector<entry> m_entries;
};

/// Jobs of one priority that may wait for about the same time until they start: what comes ahead of them is the same.
struct arrival_class {
    std::uint32_t priority = 0;
    /// Number of binary digits of the time in milliseconds, so that a class spans a factor of two.
    int slack = 0;

    arrival_class(std::uint32_t jobPriority, std::chrono::milliseconds slackTime);

    friend auto operator<=>(const arrival_class&, const arrival_class&) = default;
};

/// Moving average of the share of a capacity that arriving jobs use, by class.
class arriving_load {
public:
    /// Adds a job that uses the whole capacity for `serviceTime`.
    void add(arrival_class job, std::chrono::microseconds serviceTime, time_point now);
    /// Returns the share of the capacity that the arriving jobs of a class use.
    double ofClass(arrival_class jobs, time_point now) const;
    /// Returns the share that the arriving jobs of a priority use.
    double ofPriority(std::uint32_t priority, time_point now) const;
    /// Returns the share that those of all higher priorities use.
    double abovePriority(std::uint32_t priority, time_point now) const;
    void clear() { m_rates.clear(); }

private:
    struct rate {
        double share = 0;
        time_point at;

        double shareAt(time_point now) const;
    };

    std::map<arrival_class, rate> m_rates;
};

} // namespace coriandermount::cells
