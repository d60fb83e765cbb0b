/// Accepts jobs on any VM by storing them for the owner of their cell.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/error.h"
#include "jobs/job.h"
#include "jobs/record_codec.h"
#include "jobs/record_store.h"
#include "jobs/store_contact.h"

namespace coriandermount::jobs {

/// Time limits of `job_intake`.
struct intake_settings {
    /// Time for which an append that the store refuses is retried before the job is refused.
    std::chrono::milliseconds refusedRetryLimit { 250 };
    /// Time for which an append is retried once an answer of the store is missing.
    std::chrono::milliseconds unansweredRetryLimit { 2500 };
    /// Delay before each retry.
    std::chrono::milliseconds retryDelay { 60 };
    /// Delay that callers are asked to wait before they retry.
    std::chrono::milliseconds suggestedRetryAfter { 1000 };
    /// For how long after the end of an unanswered append the store may still carry it out.
    std::chrono::milliseconds lateAppendLimit { 10000 };
};

/// Appends accepted and cancelled jobs to a record stream, with retries. All methods may be called from any thread.
class job_intake {
public:
    /// `store`, `clock` and `contact` have to outlive the intake. `contact` is told of the calls to `store`.
    job_intake(record_store& store, const clock_source& clock, record_stream stream, const store_contact& contact,
        intake_settings settings = {});
    ~job_intake();

    job_intake(const job_intake&) = delete;
    job_intake& operator=(const job_intake&) = delete;

    /// Called exactly once, from any thread.
    using completion = std::function<void(result<void>)>;

    /// Stores a job. Fails with `log_unavailable` or `log_full` when the job was not stored, and with `log_answer_lost` when the
    /// job may have been stored. While the store is known not to answer, fails at once and sends nothing to it: with
    /// `log_answer_lost` if an earlier append of this intake may have stored the job, else with `log_unavailable`.
    void store(const accepted_job& accepted, completion done);

    /// Stores the cancellation of a job. Fails like `store`.
    void cancel(const std::string& jobId, completion done);

    /// Completes all pending appends with `log_answer_lost`.
    void stop();

    /// Retries the appends that are due. Has to be called every few tens of milliseconds.
    void tick();

    /// Returns the time of the last successful append; a default-constructed `time_point` if there was none.
    time_point lastStored() const;

private:
    struct data;
    std::shared_ptr<data> m_data;
};

} // namespace coriandermount::jobs
