/// Jobs that are not answered yet or still have running tasks.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "admission/backlog_profile.h"
#include "admission/plan_limits.h"
#include "core/job.h"
#include "dispatch/task_queues.h"
#include "placement/run_times.h"
#include "placement/worker_pool.h"

namespace coriandermount::dispatch {

/// Tasks of one job that wait in the same lane.
struct job_part {
    queue_lane lane;
    placement::run_time_group group {};
    /// Expected work of one task of this part.
    admission::slot_seconds work = 0;
    /// Latest time at which a task of this part has to start in order to end in time.
    time_point latestStart;
    /// Indexes of the tasks that wait. The last one is started first.
    std::vector<std::uint32_t> waiting;
    /// True while the queues hold an entry for this part.
    bool queued = false;
};

/// Scheduling state of one task of a job.
struct task_progress {
    /// Number of starts so far.
    std::uint16_t attempts = 0;
    /// Index of the `job_part` that the task belongs to.
    std::uint16_t part = 0;
    /// Worker of the latest start.
    placement::worker_index worker {};
    /// True if a start before the latest one may have run.
    bool mayHaveRun = false;
};

/// A job with the state of its tasks. Vectors by task have the order of the tasks in the request.
struct open_job {
    job_serial serial {};
    std::shared_ptr<const job_request> request;
    std::uint64_t epoch = 0;
    admission::plan_index plan {};
    time_point arrivedAt;
    time_point deadline;
    std::vector<job_part> parts;
    std::vector<task_progress> progress;
    std::vector<task_report> reports;
    /// Number of tasks that are not done.
    std::size_t unfinished = 0;
    /// Number of starts whose end has not been reported.
    std::size_t running = 0;
    /// Number of tasks that run, ran or may have run. A task is subtracted again once there is proof that it did not run.
    std::size_t started = 0;
    bool answered = false;
};

/// Table of open jobs by serial and by key. Pointers and references to a job stay valid until the job is erased.
class job_table {
public:
    /// Adds a job. Its serial must be new.
    open_job& add(open_job job);
    /// Returns the job, or null if there is none.
    open_job* find(job_serial serial);

    /// Returns the unanswered job with this key, or null if there is none.
    open_job* findUnanswered(const job_key& key);

    /// Marks a job as answered, after which a new job may use its key.
    void markAnswered(open_job& job);

    void erase(job_serial serial);

    std::size_t size() const { return m_jobs.size(); }

private:
    std::unordered_map<job_serial, open_job> m_jobs;
    std::unordered_map<job_key, job_serial> m_byKey;
};

} // namespace coriandermount::dispatch
