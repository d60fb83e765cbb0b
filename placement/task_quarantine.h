/// Tells tasks that fail wherever they run from workers that fail whatever they run.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

#include "core/job.h"
#include "placement/worker_pool.h"

namespace coriandermount::placement {

struct task_quarantine_options {
    /// Different workers on which a content has to fail before it is held back.
    unsigned workersToQuarantine = 3;
    /// Different workers from which on its failures are not held against them.
    unsigned workersToBlameTask = 2;
    std::chrono::milliseconds duration { 60000 };
    /// Contents that are remembered at a time.
    std::size_t capacity = 4096;
};

/// Digest of what a worker is asked to do: service and payload.
enum class content_digest : std::uint64_t {};

content_digest contentDigestOf(const task_spec& task);

/// Remembers contents that failed. A content that also succeeded lately is never held back.
class task_quarantine {
public:
    explicit task_quarantine(task_quarantine_options options);
    ~task_quarantine();

    task_quarantine(const task_quarantine&) = delete;
    task_quarantine& operator=(const task_quarantine&) = delete;

    void onSuccess(content_digest content, time_point now);

    /// Returns the workers whose failures with this content are to be excused.
    std::vector<worker_index> onFailure(content_digest content, worker_index worker, time_point now);

    /// Number of workers on which a content that is held back failed; 0 when it isn't held back.
    unsigned checkQuarantine(content_digest content, time_point now) const;

    /// Whether nothing at all is held back, so that contents need not be looked at.
    bool empty() const;

    /// Lets contents go whose time is over.
    void tick(time_point now);

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::placement
