/// Evacuated failure domains, and the capacity of workers that return to service or have just started.
#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "cells/worker_link.h"
#include "core/clock.h"

namespace coriandermount::cells {

/// Cells whose workers get no starts because operators evacuate their failure domain, as last read from the store.
struct evacuation_state {
    /// Evacuated cells.
    std::set<cell_number> cells;
    /// All changes that were made before this time are included.
    time_point asOf;

    bool contains(cell_number cell) const { return cells.contains(cell); }
};

/// Phase of a cell during an evacuation and after it.
enum class evacuation_phase {
    /// The cell serves with all its capacity.
    serving,
    /// No new job starts here. Jobs that have started may still place their remaining tasks.
    finishing,
    /// No task starts here.
    evacuated,
    /// The evacuation has ended, and the usable capacity grows.
    returning,
};

/// Returns the name of a value, as used in logs and metrics.
std::string_view nameOf(evacuation_phase value);

/// Follows the evacuation of one cell. Not thread-safe.
class cell_evacuation {
public:
    /// `bound` is the time after which no task may start in an evacuated cell.
    explicit cell_evacuation(std::chrono::milliseconds bound);

    /// Applies a state that was read at `now`; returns whether the evacuation has begun or ended by it. The request is not older
    /// than `lastRead`, the time as of which the state before was read. Without one it may be of any age.
    bool update(bool evacuated, std::optional<time_point> lastRead, time_point now);

    evacuation_phase phase(time_point now) const;
    /// Returns whether the cell is evacuated, so that jobs run elsewhere.
    bool isActive() const { return m_since.has_value(); }
    /// Returns the earliest time at which the evacuation may have been requested; empty while there is none.
    std::optional<time_point> since() const { return m_since; }

    /// Returns whether tasks of jobs that have started may be placed here. The rest of the bound is left for the order, which a
    /// worker may carry out late.
    bool allowsStartedJobs(time_point now) const { return !m_since || now < *m_since + m_bound * 7 / 10; }

    /// Returns the share of the capacity that may be used: 1, or less while the cell returns to service. It grows linearly, so
    /// that the load which was moved away comes back over `returnRamp` and not in one burst.
    double usableShare(time_point now) const;

private:
    std::chrono::milliseconds m_bound;
    std::optional<time_point> m_since;
    std::optional<time_point> m_endedAt;
};

/// Time in which the usable capacity of a cell grows to the whole after an evacuation; as long as the load report of its owner
/// takes a few times to reach the others.
inline constexpr std::chrono::milliseconds returnRamp { 2000 };
/// Usable share of the capacity at the beginning of the ramp.
inline constexpr double returnShare = 0.1;

/// Usable share of the capacity of a worker that is slow for some time after its start. The share grows linearly to 1 until the
/// worker is warm. Not thread-safe.
class worker_warmup {
public:
    /// Records how much longer the worker says that it will be slow.
    void note(std::chrono::milliseconds coldLeft, time_point now);
    /// Returns the share of the capacity that tasks may use.
    double usableShare(time_point now) const;

private:
    time_point m_coldFrom;
    time_point m_warmAt;
};

/// What an owner knows about a cell that may take a job of an evacuated one.
struct relocation_target {
    cell_number cell = 0;
    /// Free capacity in thousandths of a core, less what was sent there since it was reported.
    std::int64_t idleCpu = 0;
    /// Reported wait until the first start of a job of this priority.
    std::chrono::milliseconds wait { 0 };
};

/// What a job needs that an evacuated cell lends.
struct relocation_need {
    service_id service;
    std::uint32_t priority = 0;
    /// Processors that its widest step uses, in thousandths of a core.
    std::int64_t cpuMillis = 0;
    /// Time for which the job uses the capacity of a cell; cells are taken to be of about the same size.
    std::chrono::microseconds serviceTime { 0 };
};

/// Returns the cell that a job of an evacuated cell runs in: the one with most free capacity that has room for it, otherwise the
/// one with the shortest wait. Empty if there is no cell.
std::optional<cell_number> chooseRelocationTarget(const std::vector<relocation_target>& targets, std::int64_t cpuMillis);

} // namespace coriandermount::cells
