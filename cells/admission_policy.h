/// Decides how long jobs whose callers wait for the end may wait for their first start, and when refused callers should return.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string_view>

#include "core/clock.h"

namespace coriandermount::cells {

/// What is known about a job that waits for its first start.
struct waiting_job {
    time_point arrivedAt;
    /// Time by which the job should have ended.
    time_point objective;
    /// Time at which the caller stops waiting.
    time_point deadline;
    /// Estimated run time from the first start to the end.
    std::chrono::milliseconds runTime { 0 };
    /// Estimated work of the tasks that wait, in core milliseconds.
    double work = 0;
};

/// Decides which jobs come first, and which ones are refused. Implementations have no state.
class admission_policy {
public:
    virtual ~admission_policy() = default;

    /// Returns the last time at which the job is counted among those that can meet their objective. After it, the job starts only
    /// when none of these waits for the same capacity.
    virtual time_point punctualUntil(const waiting_job& job) const = 0;

    /// Returns the place of the job in the order of starts; earlier ones start first.
    virtual time_point startOrder(const waiting_job& job) const = 0;

    /// Returns the last time at which a start is of use. A job that has not started by then is refused.
    virtual time_point latestStart(const waiting_job& job) const = 0;

    /// Returns whether a job is refused as soon as its expected start is later than `latestStart`.
    virtual bool refusesEarly() const = 0;
};

/// Refuses jobs that have waited for a share of their objective, whether their callers still wait or not.
class objective_admission final : public admission_policy {
public:
    time_point punctualUntil(const waiting_job& job) const override { return job.objective; }
    time_point startOrder(const waiting_job& job) const override { return job.objective; }
    time_point latestStart(const waiting_job& job) const override;
    bool refusesEarly() const override { return false; }
};

/// Lets jobs wait as long as they can end before their callers stop waiting, and refuses the others at once. Jobs that can meet
/// their objective come first, so that a backlog of late jobs does not make all later ones late.
class deadline_admission final : public admission_policy {
public:
    time_point punctualUntil(const waiting_job& job) const override;
    /// In the order of their objectives, long jobs would be late before they come ahead of short ones that arrive while they
    /// wait; so jobs start in the order of `punctualUntil`. Those with little slack miss their objective if they wait at all, and
    /// come before the others.
    time_point startOrder(const waiting_job& job) const override;
    time_point latestStart(const waiting_job& job) const override;
    bool refusesEarly() const override { return true; }
};

/// Returns the policy that is used unless another one is named.
std::shared_ptr<const admission_policy> defaultAdmission();
/// Returns the policy with that name, `deadline` or `objective`, or null.
std::shared_ptr<const admission_policy> findAdmission(std::string_view name);

/// Moving average of the work that arrives, in cores.
class arrival_rate {
public:
    /// Adds the work of a job, in core milliseconds.
    void add(time_point now, double work);
    /// Returns the cores that the arriving work would use.
    double cores(time_point now) const;

private:
    double m_cores = 0;
    time_point m_at;
};

/// Expects when waiting jobs start: each after the work ahead of it, which the workers carry out at a constant rate. Late jobs
/// start on what the punctual ones leave, those included that are yet to arrive.
class start_forecast {
public:
    /// `cores` is the capacity of the workers, and `arriving` the work that arrives. Without capacity nothing is known about
    /// starts, and all are expected at once.
    start_forecast(time_point now, double cores, double arriving);

    /// Returns the expected start of the next punctual job in the order of starts, and adds its work to that ahead of later jobs.
    time_point addPunctual(const waiting_job& job);
    /// Returns the same for the next late job. All punctual jobs must have been added before.
    time_point addLate(const waiting_job& job);
    /// Removes the work of a job that was refused.
    void removePunctual(const waiting_job& job) { m_punctualWork -= job.work; }
    void removeLate(const waiting_job& job) { m_lateWork -= job.work; }
    /// Returns the expected time until all added work has started.
    std::chrono::milliseconds drainTime() const;
    /// Returns the time for which the work of a job would use the whole capacity.
    std::chrono::microseconds serviceTime(const waiting_job& job) const;

private:
    time_point m_now;
    double m_cores;
    double m_lateCores;
    double m_punctualWork = 0;
    double m_lateWork = 0;
};

/// Tells refused callers when to return: once the backlog that caused the refusal is gone, one after the other, the caller
/// refused first before the others, and no faster than the workers can carry out their jobs.
class return_schedule {
public:
    /// Returns the time until a refused caller should return. `drainTime` is the expected time until the backlog is gone, and
    /// `serviceTime` the time for which the job would use the whole capacity.
    std::chrono::milliseconds reserve(time_point now, std::chrono::milliseconds drainTime, std::chrono::microseconds serviceTime);

private:
    time_point m_nextReturn;
};

} // namespace coriandermount::cells
