/// JSON encoding of jobs, answers and errors, as specified in docs/API.md.
#pragma once

#include <string>

#include "core/job.h"

namespace coriandermount::front {

/// Decodes a submission and computes its content digest. Fails with `malformed_request` or `too_many_tasks`; the detail names the
/// invalid field or the position of a syntax error.
result<job_request> decodeJob(const std::string& text);

/// Encodes a job in the form that `decodeJob` accepts.
std::string encodeJob(const job_request& job);

/// Encodes the answer of a job. Task outputs are included only if the job is done.
std::string encodeAnswer(const job_answer& answer);

/// Decodes an answer. Fails with `malformed_request`. An unknown error name becomes `internal_error`, an unknown outcome
/// `may_have_run`.
result<job_answer> decodeAnswer(const std::string& text);

/// Encodes an error as a JSON object, with its outcome, responsible party and retry delay in milliseconds.
std::string encodeError(const error& problem);

} // namespace coriandermount::front
