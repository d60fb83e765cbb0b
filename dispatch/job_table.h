/// Jobs that are not answered yet, or of which tasks still run.
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
    /// Expected work of one task.
    admission::slot_seconds work = 0;
    /// When a task of this part has to start to end in time.
    time_point latestStart;
    /// Tasks that wait; the last one is started first.
    std::vector<std::uint32_t> waiting;
    /// Whether the queues hold an entry for this part.
    bool queued = false;
};

/// Where one task of a job stands.
struct task_progress {
    std::uint16_t attempts = 0;
    std::uint16_t part = 0;
    /// Worker of the last start.
    placement::worker_index worker {};
    /// Whether a start before the present one may have run.
    bool mayHaveRun = false;
};

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
    std::size_t unfinished = 0;
    /// Starts that have not been answered.
    std::size_t running = 0;
    /// Tasks that run, ran, or may have run: starts with proof of the contrary are taken off.
    std::size_t started = 0;
    bool answered = false;
};

/// Finds jobs by number and by key.
class job_table {
public:
    open_job& add(open_job job);
    open_job* find(job_serial serial);

    /// Returns the job with that key unless it is answered.
    open_job* findUnanswered(const job_key& key);

    /// Marks a job as answered: its key is free again.
    void markAnswered(open_job& job);

    void erase(job_serial serial);

    std::size_t size() const { return m_jobs.size(); }

private:
    std::unordered_map<job_serial, open_job> m_jobs;
    std::unordered_map<job_key, job_serial> m_byKey;
};

} // namespace coriandermount::dispatch
