/// Reads the journal's stream back, newest records first.
#pragma once

#include <vector>

#include "event_log/batch_planner.h"
#include "platform/log.h"

namespace coriandermount::event_log {

struct stream_contents {
    /// Oldest first; each batch once, also when it was appended twice.
    std::vector<batch> batches;
    /// False when the log no longer keeps records from the time asked for, or the limit on records was reached.
    bool complete = true;
};

/// Reads batches written at `since` or later. Blocks for at most `timeout` per page. Fails with `log_unavailable`.
result<stream_contents> readStream(
    platform::log& log, const std::string& stream, wall_time since, std::chrono::milliseconds timeout);

} // namespace coriandermount::event_log
