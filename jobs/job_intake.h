/// Accepts jobs at any VM: stores them for the owner of their cell, or refuses them with the reason.
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

namespace coriandermount::jobs {

struct intake_settings {
    /// How long a store that refuses is asked again before the job is refused.
    std::chrono::milliseconds refusedLimit { 250 };
    /// How long an append without an answer is repeated.
    std::chrono::milliseconds unansweredLimit { 2500 };
    /// Pause between tries.
    std::chrono::milliseconds retryPause { 60 };
    /// When a refused caller is told to come back.
    std::chrono::milliseconds comeBackAfter { 1000 };
};

/// Every method may be called from any thread.
class job_intake {
public:
    /// Store and clock outlive the intake.
    job_intake(record_store& store, const clock_source& clock, record_stream stream, intake_settings settings = {});
    ~job_intake();

    job_intake(const job_intake&) = delete;
    job_intake& operator=(const job_intake&) = delete;

    using completion = std::function<void(result<void>)>;

    /// Stores a job. Completes with `log_unavailable` or `log_full` when it was not stored, and with `log_answer_lost` when
    /// it may have been.
    void store(const accepted_job& accepted, completion done);

    /// Stores that a job is cancelled.
    void cancel(const std::string& jobId, completion done);

    /// Answers everything that is on its way to the store as unanswered.
    void stop();

    /// Repeats appends that are due. Called every few tens of milliseconds.
    void tick();

    /// Time of the last success at the store.
    time_point lastStored() const;

private:
    struct data;
    std::shared_ptr<data> m_data;
};

} // namespace coriandermount::jobs
