/// Records of one run and their encoding, one JSON object a line.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/error.h"
#include "core/types.h"

namespace coriandermount::load {

/// How a submission ended for its caller.
enum class submission_status {
    /// The node answered with an outcome or a known error kind.
    answered,
    /// The request never left the caller.
    not_sent,
    /// The request may have arrived, but no valid answer came back.
    lost,
};

/// Records one submission of a job as its caller saw it.
struct submission_record {
    job_key key;
    std::size_t taskCount = 0;
    /// Address of the node that received the submission.
    std::string node;
    wall_time sentAt {};
    wall_time endedAt {};
    submission_status status = submission_status::lost;
    outcome result = outcome::may_have_run;
    /// Error kind of the answer, if the answer carried an error.
    std::optional<error_kind> problem;
    /// For the outcome `done`: every task has its own output. For other outcomes: no task has an output.
    bool outputsConsistent = true;
};

/// Records the configuration version that was in force on a node at a time.
struct version_record {
    /// Address of the node.
    std::string node;
    /// Id of the VM that answered. The version may be lower after another VM has taken over the address.
    std::string vm;
    wall_time at {};
    std::uint64_t version = 0;
};

/// Records one start of a task on a worker.
struct start_record {
    std::string taskId;
    wall_time at {};
};

/// Returns the record as one line of JSON, without a line break.
std::string encodeRecord(const submission_record& record);
std::string encodeRecord(const version_record& record);

/// Decodes a line of the respective kind. Fails with `malformed_request` if the line is no JSON object, or if a
/// field is missing or has another type. An unknown status decodes as `lost`, an unknown outcome as `may_have_run`.
result<submission_record> decodeSubmission(const std::string& line);
result<version_record> decodeVersion(const std::string& line);
result<start_record> decodeStart(const std::string& line);

/// Returns the id that workers receive for task `index` of a job.
std::string taskIdOf(const job_key& key, std::size_t index);

} // namespace coriandermount::load
