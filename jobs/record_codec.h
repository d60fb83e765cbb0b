/// Encoding of the stored records about jobs (accepted, cancelled, progress, finished, owner) and of run requests.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "jobs/job.h"
#include "jobs/record_store.h"

namespace coriandermount::jobs {

/// Job with the queue rules that were in force when it was accepted.
struct accepted_job {
    job work;
    service_id service;
    std::uint32_t priority = 0;
    std::uint32_t maxAttempts = 1;
    /// Time from the job's arrival within which it should be completed.
    std::chrono::milliseconds objective { 0 };
    wall_time acceptedAt;
};

/// Crashes of workers that had started one task.
struct crash_counts {
    /// Crashes of workers that had confirmed the run.
    std::uint32_t confirmed = 0;
    /// Crashes of workers that may have started the task.
    std::uint32_t possible = 0;
    /// Whether the last of these workers ran no task of another job that was as likely a cause.
    bool alone = false;
    /// Losses of workers under the task that are not put down to it.
    std::uint32_t unattributed = 0;
    /// Crashes of workers that are not put down to the task, and a start that may have led to one: it is counted before it is
    /// made.
    std::uint32_t unattributedCrashes = 0;

    friend auto operator<=>(const crash_counts&, const crash_counts&) = default;
};

/// Stored progress of one task.
struct task_outcome {
    /// Index of the step in the job.
    std::uint32_t step = 0;
    /// Index of the task in the step.
    std::uint32_t index = 0;
    bool done = false;
    /// Numbers of the attempts that failed.
    std::vector<std::uint64_t> failedAttempts;
    crash_counts crashes;
};

/// Cell that lends jobs to another cell, in one ownership term.
struct lender {
    std::uint32_t cell = 0;
    std::uint64_t epoch = 0;
};

/// Identifies one request to run a job, so that its sender can withdraw it. Empty in requests of earlier builds.
struct request_id {
    /// Random number of the sending router.
    std::uint64_t sender = 0;
    /// Number of the request at its sender, from 1; 0 if the request cannot be withdrawn.
    std::uint64_t number = 0;

    friend auto operator<=>(const request_id&, const request_id&) = default;
};

/// Request to the owner of a cell to run a job and to answer with the job's final state.
struct run_request {
    accepted_job accepted;
    /// Whether the job was sent to an earlier owner, which may have started it.
    bool mayHaveStarted = false;
    /// Time for which the caller still waits.
    std::chrono::milliseconds timeLeft { 0 };
    /// Cell that lends the job; empty when the request goes to the job's own cell.
    std::optional<lender> lentBy;
    /// Epoch of the owner to which the request was sent. A late request may reach the same VM in another ownership term.
    std::uint64_t ownerEpoch = 0;
    request_id id;
    /// Whether the sender lists the request in keep-alives while the caller waits; earlier builds do not.
    bool keptAlive = false;
};

/// Final state of a job.
struct finished_job {
    std::string id;
    job_state state = job_state::completed;
    /// Cell that lent the job; empty if the job was not lent.
    std::optional<std::uint32_t> home;
};

/// Kind of a stored record, encoded in its key.
enum class record_kind { accepted, cancelled, progress, finished, owner, unknown };

/// Returns the kind of the record with this key; `unknown` for other keys.
record_kind recordKindOf(const std::string& key);
/// Returns the id of the job from the key of an `accepted`, `cancelled` or `progress` record. `key` must not be empty.
std::string jobIdOf(const std::string& key);

/// Returns the key of the `accepted` record of a job.
std::string acceptedKey(const std::string& jobId);
/// Returns the key of the `cancelled` record of a job.
std::string cancelledKey(const std::string& jobId);
/// Returns the key of the `progress` record of a job.
std::string progressKey(const std::string& jobId);
/// Returns the key of list `number` of finished jobs that the owner of `epoch` stored.
std::string finishedKey(std::uint64_t epoch, std::uint64_t number);

/// Returns the key of the record that an owner appends at the start of its ownership term.
std::string ownerKey();

/// Encodes the value of an `owner` record.
std::string encodeOwner(std::uint64_t epoch);
/// Returns the epoch in an `owner` record; fails with `malformed_request`.
result<std::uint64_t> decodeOwner(const std::string& value);

/// Encodes the value of an `accepted` record.
std::string encodeAccepted(const accepted_job& accepted);
/// Decodes an `accepted` record; fails with `malformed_request`.
result<accepted_job> decodeAccepted(const std::string& value);

/// Encodes a run request as sent between VMs.
std::string encodeRunRequest(const run_request& request);
/// Decodes a run request; fails with `malformed_request`.
result<run_request> decodeRunRequest(const std::string& value);

/// Encodes the value of a `progress` record.
std::string encodeProgress(const std::vector<task_outcome>& outcomes);
/// Decodes a `progress` record; fails with `malformed_request`.
result<std::vector<task_outcome>> decodeProgress(const std::string& value);

/// Jobs that an owner stored as finished in one record, with the time.
struct finished_list {
    wall_time at;
    std::vector<finished_job> jobs;
};

/// Encodes the value of a `finished` record.
std::string encodeFinished(const finished_list& list);
/// Decodes a `finished` record; fails with `malformed_request`.
result<finished_list> decodeFinished(const std::string& value);

} // namespace coriandermount::jobs
