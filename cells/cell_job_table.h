/// All jobs of a cell: open ones with the state of their tasks, finished ones with their result.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cells/worker_link.h"
#include "core/types.h"
#include "jobs/record_codec.h"

namespace coriandermount::cells {

/// Called once with the final state, or with the reason why the job did not run.
using job_completion = std::function<void(result<jobs::job_state>)>;

enum class task_phase { waiting, placed, done };

struct task_state {
    task_phase phase = task_phase::waiting;
    std::vector<std::uint64_t> failedAttempts;
    /// Worker of the last run that failed; avoided by the next one.
    worker_id failedOn;
    /// Where the task is placed, and the number of its last start.
    worker_id runsOn;
    std::uint64_t attempt = 0;
    std::string checkpoint;
};

struct step_state {
    std::vector<task_state> tasks;
    std::vector<std::uint32_t> waiting;
    std::uint32_t done = 0;
    /// Newest state that a member of a gang has saved: all members resume from one.
    std::string checkpoint;
};

struct open_job {
    jobs::accepted_job accepted;
    time_point arrivedAt;
    /// When the job should be completed.
    time_point objective;
    /// Position of its record: tells jobs of an earlier owner apart.
    std::uint64_t offset = 0;
    std::vector<step_state> steps;
    std::uint32_t stepsDone = 0;
    bool started = false;
    std::optional<time_point> firstStart;
    /// Has ends that are not durable yet.
    bool dirty = false;
    /// Set once the job is over; the record of it may still have to be written.
    std::optional<jobs::job_state> ended;

    /// A record of its progress is stored.
    bool hasProgress = false;
    bool cancelRecorded = false;

    // Jobs that are answered at their end.
    std::vector<job_completion> waiters;
    /// A start after this time is of no use: the job is refused.
    time_point startBy;
    /// Cell that the job belongs to, when this one runs it for another.
    std::optional<cell_number> lentBy;
    /// Another cell runs the job.
    bool lent = false;
    /// The caller no longer waits.
    time_point giveUpAt;

    bool stepIsReady(std::uint32_t step) const;
    /// Tasks that wait and whose step may run.
    std::size_t readyTasks() const;
    /// The tasks run until the job is cancelled.
    bool isLongRunning() const { return accepted.work.steps.front().longRunning; }
    /// No task of it waits for a start.
    bool isPlaced() const;
    task_state& task(const task_key& key) { return steps[key.step].tasks[key.index]; }
    /// The key names a task of this job.
    bool contains(const task_key& key) const;
};

/// Not safe for use from several threads.
class cell_job_table {
public:
    /// Adds a job unless its id is known; returns nothing in that case.
    open_job* accept(jobs::accepted_job accepted, std::uint64_t offset, time_point arrivedAt);

    open_job* find(const std::string& id);
    const open_job* find(const std::string& id) const;
    std::map<std::string, open_job>& open() { return m_open; }

    /// State to be shown for a job; nothing when it is not known.
    std::optional<jobs::job_state> state(const std::string& id) const;

    /// Moves a job whose end is durable to the finished ones.
    void finish(const std::string& id, jobs::job_state state, time_point now);
    bool isFinished(const std::string& id) const { return m_finished.contains(id); }

    /// Forgets jobs that were finished before `oldest`.
    void expire(time_point oldest);

    /// Accepted jobs of each queue of which no task has started.
    std::map<std::string, std::uint32_t> pendingByQueue() const;

    /// Removes a job without a trace: its id may be used again.
    void erase(const std::string& id) { m_open.erase(id); }

    void clear();

private:
    struct finished_entry {
        jobs::job_state state;
        time_point at;
    };

    std::map<std::string, open_job> m_open;
    std::unordered_map<std::string, finished_entry> m_finished;
};

} // namespace coriandermount::cells
