/// Reads the journal's stream in the platform's log, newest records first.
#pragma once

#include <vector>

#include "event_log/batch_planner.h"
#include "platform/log.h"

namespace coriandermount::event_log {

/// Batches read from one stream.
struct stream_contents {
    /// Oldest first. A batch that was appended twice is listed once.
    std::vector<batch> batches;
    /// False if the log no longer keeps the records back to the requested time, or if the limit of 5000 records was reached.
    bool complete = true;
};

/// Reads the batches written at `since` or later; skips records that can't be decoded. Blocks for at most `timeout` per page of
/// 100 records. Fails with `log_unavailable` after the timeout, and with the log's own errors.
result<stream_contents> readStream(
    platform::log& log, const std::string& stream, wall_time since, std::chrono::milliseconds timeout);

} // namespace coriandermount::event_log
