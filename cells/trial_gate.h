/// Spaces the trials of tasks that may crash their workers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "core/clock.h"
#include "core/types.h"

namespace coriandermount::cells {

/// Run of a suspected task that shows whether the task crashes its workers.
struct running_trial {
    std::int64_t bootTime = 0;
    time_point startedAt;
};

/// Decides when trials start in a cell: each on a worker without other young runs, and at a moment apart from the losses of
/// other workers, so that the loss of its worker has one explanation. A trial counts as running until it has shown what a crash
/// just after the start would show; its tasks may go on for longer. Not thread-safe.
class trial_gate {
public:
    /// Returns whether a trial may start in a cell of `workers` workers. Where workers are lost all the time, a few may start
    /// all the same each second.
    bool isOpen(std::size_t workers, time_point now) const;
    /// Records that tasks of a trial were started on a worker.
    void noteStart(const worker_id& worker, const running_trial& started);
    /// Records that a worker with runs was found lost.
    void noteFall(const worker_id& worker, time_point now);
    /// Records that the trial on a worker has shown what it can.
    void noteEnd(const worker_id& worker) { m_running.erase(worker); }

    /// Returns the running trials by their workers.
    const std::map<worker_id, running_trial>& running() const { return m_running; }

private:
    std::map<worker_id, running_trial> m_running;
    time_point m_lastFall;
    /// When trials last started although workers were lost.
    time_point m_forcedAt;
};

} // namespace coriandermount::cells
