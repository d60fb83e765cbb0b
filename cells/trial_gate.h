/// Spaces the trials of tasks that may crash their workers.
#pragma once

#include <cstdint>
#include <optional>

#include "core/clock.h"
#include "core/types.h"

namespace coriandermount::cells {

/// Run of a suspected task that shows whether the task crashes its workers.
struct running_trial {
    worker_id worker;
    std::int64_t bootTime = 0;
    time_point startedAt;
};

/// Lets one trial of a cell start at a time, and each at a moment apart from the losses of workers, so that the loss of its
/// worker has one explanation. A trial holds back others until it has shown what a crash just after the start would show; its run
/// may go on for longer. Not thread-safe.
class trial_gate {
public:
    /// Returns whether a trial may start. Where workers are lost all the time, it may start all the same after a while.
    bool isOpen(time_point now) const;
    /// Records the start of a trial.
    void noteStart(const running_trial& started);
    /// Records that a worker was found lost.
    void noteFall(time_point now) { m_lastFall = now; }
    /// Records that the trial has shown what it can.
    void noteEnd() { m_current.reset(); }

    /// Returns the trial that holds back others, if there is one.
    const std::optional<running_trial>& current() const { return m_current; }
    /// Returns whether this trial runs on the given worker.
    bool isOn(const worker_id& worker) const { return m_current && m_current->worker == worker; }

private:
    std::optional<running_trial> m_current;
    time_point m_lastStart;
    time_point m_lastFall;
};

} // namespace coriandermount::cells
