/// Distinguishes tasks that fail on every worker from workers that fail every task.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

#include "core/job.h"
#include "placement/worker_pool.h"

namespace coriandermount::placement {

struct task_quarantine_options {
    /// Number of different workers on which a content has to fail to be quarantined.
    unsigned workersToQuarantine = 3;
    /// Number of different workers on which a content has to fail for its failures to be blamed on the task instead of the
    /// workers.
    unsigned workersToBlameTask = 2;
    /// Time for which failures, successes and quarantines of a content are kept.
    std::chrono::milliseconds duration { 60000 };
    /// Limit on the number of failed contents that are kept, and size of the table of recent successes.
    std::size_t capacity = 4096;
};

/// Hash of the service and payload of a task. Tasks with the same digest have the same content.
enum class content_digest : std::uint64_t {};

content_digest contentDigestOf(const task_spec& task);

/// Tracks contents that failed. A content that also succeeded within `duration` is not quarantined.
class task_quarantine {
public:
    explicit task_quarantine(task_quarantine_options options);
    ~task_quarantine();

    task_quarantine(const task_quarantine&) = delete;
    task_quarantine& operator=(const task_quarantine&) = delete;

    /// Records that a task with this content succeeded, which ends a quarantine of the content.
    void onSuccess(content_digest content, time_point now);

    /// Records that a task with this content failed on `worker`. Returns the workers whose failures with this content should
    /// be retracted, because the task is to blame.
    std::vector<worker_index> onFailure(content_digest content, worker_index worker, time_point now);

    /// Returns the number of workers on which a quarantined content failed; 0 when the content is not quarantined.
    unsigned checkQuarantine(content_digest content, time_point now) const;

    /// Returns whether no content is quarantined, which saves the caller from computing digests.
    bool empty() const;

    /// Drops failed contents that are older than `duration`.
    void tick(time_point now);

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::placement
