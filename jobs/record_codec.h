/// Durable forms of jobs: accepted, cancelled, in progress, finished.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "jobs/job.h"
#include "jobs/record_store.h"

namespace coriandermount::jobs {

/// A job as it was accepted, with the rules that held then.
struct accepted_job {
    job work;
    service_id service;
    std::uint32_t priority = 0;
    std::uint32_t maxAttempts = 1;
    /// Time within which the job should be completed, counted from its arrival.
    std::chrono::milliseconds objective { 0 };
    wall_time acceptedAt;
};

/// Durable part of what happened to one task.
struct task_outcome {
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    bool done = false;
    /// Attempts that ended as failed.
    std::vector<std::uint64_t> failedAttempts;
};

/// Asks the owner of a cell to run a job and to answer at its end.
/// A cell in one term of its owner, in whose name another cell runs jobs.
struct lender {
    std::uint32_t cell = 0;
    std::uint64_t epoch = 0;
};

struct run_request {
    accepted_job accepted;
    /// The job was sent to an earlier owner, which may have started it.
    bool mayHaveStarted = false;
    /// How long the caller still waits.
    std::chrono::milliseconds timeLeft { 0 };
    /// Who lends the job; nothing when its own cell is asked.
    std::optional<lender> lentBy;
    /// Epoch of the owner that is asked: the request may arrive late, when the VM owns the cell in another term.
    std::uint64_t ownerEpoch = 0;
};

struct finished_job {
    std::string id;
    job_state state = job_state::completed;
};

enum class record_kind { accepted, cancelled, progress, finished, owner, unknown };

/// Tells records apart by their keys.
record_kind recordKindOf(const std::string& key);
/// Id of the job that an `accepted`, `cancelled` or `progress` record is about.
std::string jobIdOf(const std::string& key);

std::string acceptedKey(const std::string& jobId);
std::string cancelledKey(const std::string& jobId);
std::string progressKey(const std::string& jobId);
/// Key of the list of jobs that an owner finished together.
std::string finishedKey(std::uint64_t epoch, std::uint64_t number);

/// Key of the record with which an owner marks where its ownership begins.
std::string ownerKey();

std::string encodeOwner(std::uint64_t epoch);
result<std::uint64_t> decodeOwner(const std::string& value);

std::string encodeAccepted(const accepted_job& accepted);
/// Fails with `malformed_request`.
result<accepted_job> decodeAccepted(const std::string& value);

std::string encodeRunRequest(const run_request& request);
result<run_request> decodeRunRequest(const std::string& value);

std::string encodeProgress(const std::vector<task_outcome>& outcomes);
result<std::vector<task_outcome>> decodeProgress(const std::string& value);

/// Jobs that were finished together, and when.
struct finished_list {
    wall_time at;
    std::vector<finished_job> jobs;
};

std::string encodeFinished(const finished_list& list);
result<finished_list> decodeFinished(const std::string& value);

} // namespace coriandermount::jobs
