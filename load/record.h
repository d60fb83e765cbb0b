/// What a caller saw of one submission, as one JSON line.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/error.h"
#include "core/types.h"

namespace coriandermount::load {

enum class submission_status {
    answered,
    /// The request never left the caller.
    not_sent,
    /// The connection was lost after the request may have arrived.
    lost,
};

struct submission_record {
    job_key key;
    std::size_t tasks = 0;
    /// Address of the node that it was sent to.
    std::string node;
    wall_time sentAt {};
    wall_time endedAt {};
    submission_status end = submission_status::lost;
    outcome result = outcome::may_have_run;
    std::optional<error_kind> problem;
    /// For `done`: every output is that of its own task. Otherwise: no output was handed out.
    bool outputsConsistent = true;
};

/// Configuration version that a node had in force.
struct version_record {
    std::string node;
    /// VM that answered; a replaced VM starts anew.
    std::string vm;
    wall_time at {};
    std::uint64_t version = 0;
};

/// One start that a worker wrote down.
struct start_record {
    std::string taskId;
    wall_time at {};
};

std::string encodeRecord(const submission_record& record);
std::string encodeRecord(const version_record& record);

/// Fail with `malformed_request` when the line is none of that kind.
result<submission_record> decodeSubmission(const std::string& line);
result<version_record> decodeVersion(const std::string& line);
result<start_record> decodeStart(const std::string& line);

/// Returns the id under which task `index` of a job is started.
std::string taskIdOf(const job_key& key, std::size_t index);

} // namespace coriandermount::load
