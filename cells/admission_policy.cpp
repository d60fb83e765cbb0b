#include "cells/admission_policy.h"

#include <algorithm>
#include <cmath>

namespace coriandermount::cells {

namespace {

    /// Share of its objective that a job may wait under `objective_admission`.
    constexpr double objectiveShare = 0.45;
    /// Share of the slack of a job, the part of its objective in which it does not run, that it may use up before its start. The
    /// rest covers estimates that are too short.
    constexpr double punctualSlackShare = 0.7;
    /// Slack below which a job does not meet its objective if it waits for a worker to become free.
    constexpr std::chrono::milliseconds tightSlack { 100 };
    /// Places such jobs before all that arrive at the same time, but not before those that have waited for long.
    constexpr std::chrono::milliseconds headStart { 1000 };
    /// Time for the answer to reach the caller before its deadline.
    constexpr std::chrono::milliseconds answerTime { 30 };
    /// Bounds of the time until a refused caller should return. Nothing is known about the load after the longest one.
    constexpr std::chrono::milliseconds shortestReturn { 100 };
    constexpr std::chrono::milliseconds longestReturn { 10000 };
    /// Time constant of `arrival_rate`. A backlog that arrives at once after a takeover must not count as a lasting rate.
    constexpr std::chrono::milliseconds arrivalWindow { 1000 };
    /// Least share of the capacity that late jobs are expected to get: punctual jobs leave gaps, and bursts end.
    constexpr double leastLateShare = 0.08;

    std::chrono::milliseconds timeFor(double work, double cores)
    {
        return std::chrono::milliseconds(cores > 0 ? static_cast<std::int64_t>(work / cores) : 0);
    }

    std::chrono::milliseconds shareOf(std::chrono::nanoseconds time, double share)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::duration<double, std::nano>(static_cast<double>(time.count()) * share));
    }

} // namespace

time_point objective_admission::latestStart(const waiting_job& job) const
{
    return std::min(job.arrivedAt + shareOf(job.objective - job.arrivedAt, objectiveShare), job.objective - job.runTime);
}

time_point deadline_admission::punctualUntil(const waiting_job& job) const
{
    return job.arrivedAt + shareOf(job.objective - job.runTime - job.arrivedAt, punctualSlackShare);
}

time_point deadline_admission::startOrder(const waiting_job& job) const
{
    const bool tight = job.objective - job.runTime - job.arrivedAt < tightSlack;
    return tight ? job.arrivedAt - headStart : punctualUntil(job);
}

time_point deadline_admission::latestStart(const waiting_job& job) const { return job.deadline - job.runTime - answerTime; }

std::shared_ptr<const admission_policy> defaultAdmission()
{
    static const auto policy = std::make_shared<const deadline_admission>();
    return policy;
}

std::shared_ptr<const admission_policy> findAdmission(std::string_view name)
{
    if (name == "deadline")
        return defaultAdmission();
    if (name == "objective")
        return std::make_shared<const objective_admission>();
    return nullptr;
}

void arrival_rate::add(time_point now, double work)
{
    m_cores = cores(now) + work / static_cast<double>(arrivalWindow.count());
    m_at = now;
}

double arrival_rate::cores(time_point now) const
{
    return m_cores * std::exp(-std::chrono::duration<double, std::milli>(now - m_at).count() / arrivalWindow.count());
}

start_forecast::start_forecast(time_point now, double cores, double arriving)
    : m_now(now)
    , m_cores(cores)
    , m_lateCores(std::max(cores - arriving, cores * leastLateShare))
{
}

time_point start_forecast::addPunctual(const waiting_job& job)
{
    const time_point start = m_now + timeFor(m_punctualWork, m_cores);
    m_punctualWork += job.work;
    return start;
}

time_point start_forecast::addLate(const waiting_job& job)
{
    const time_point start = m_now + drainTime();
    m_lateWork += job.work;
    return start;
}

std::chrono::milliseconds start_forecast::drainTime() const
{
    return timeFor(m_punctualWork, m_cores) + timeFor(m_lateWork, m_lateCores);
}

std::chrono::microseconds start_forecast::serviceTime(const waiting_job& job) const
{
    return std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::duration<double, std::milli>(m_cores > 0 ? job.work / m_cores : 0));
}

std::chrono::milliseconds return_schedule::reserve(
    time_point now, std::chrono::milliseconds drainTime, std::chrono::microseconds serviceTime)
{
    const time_point earliest = now + std::max(drainTime, shortestReturn);
    const time_point latest = now + longestReturn;
    const time_point assigned = std::min(std::max(earliest, m_nextReturn), latest);
    m_nextReturn = assigned + serviceTime;
    return std::chrono::ceil<std::chrono::milliseconds>(assigned - now);
}

} // namespace coriandermount::cells
