#include "cells/worker_session.h"

#include <algorithm>
#include <utility>

namespace coriandermount::cells {

namespace {

    /// Weight of the newest run time in the moving average.
    constexpr double slownessWeight = 0.1;
    /// Bounds of one observation, because estimates may be far off.
    constexpr double minSlowness = 0.2;
    constexpr double maxSlowness = 8.0;

} // namespace

worker_session::worker_session(worker_registration registration, time_point now)
    : nextPoll(now)
    , lastAnswerAt(now)
    , m_registration(std::move(registration))
    , m_appearedAt(now)
{
    m_warmup.note(m_registration.coldLeft, now);
}

void worker_session::noteClock(worker_time clock, time_point now)
{
    m_clock = clock;
    m_clockAt = now;
}

worker_time worker_session::extendLease(std::chrono::milliseconds maxLease, time_point limit, time_point now)
{
    if (!m_clockAt)
        return worker_time(0);
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - *m_clockAt);
    const worker_time unlimited = m_clock + elapsed + maxLease;
    if (limit == time_point::max()) {
        m_leaseEnd = std::max(m_leaseEnd, unlimited);
        return m_leaseEnd;
    }
    const std::chrono::duration<double, std::milli> left = limit - *m_clockAt;
    const worker_time limited = m_clock + std::chrono::floor<std::chrono::milliseconds>(left * (1.0 - maxClockDrift));
    const worker_time granted = std::min(unlimited, limited);
    m_leaseEnd = std::max(m_leaseEnd, granted);
    return granted;
}

time_point worker_session::leaseLimit() const
{
    time_point earliest = time_point::max();
    if (m_limitedRuns == 0)
        return earliest;
    for (const auto& [key, current] : m_runs)
        earliest = std::min(earliest, current.leaseLimit.value_or(time_point::max()));
    return earliest;
}

void worker_session::limitLease(const std::string& jobId, time_point limit)
{
    for (auto run = m_runs.lower_bound({ jobId, 0, 0, 0 }); run != m_runs.end() && run->first.jobId == jobId; ++run) {
        m_limitedRuns += run->second.leaseLimit ? 0 : 1;
        run->second.leaseLimit = std::min(run->second.leaseLimit.value_or(limit), limit);
    }
}

bool worker_session::liftLeaseLimit(const std::string& jobId)
{
    const std::size_t before = m_limitedRuns;
    for (auto run = m_runs.lower_bound({ jobId, 0, 0, 0 }); run != m_runs.end() && run->first.jobId == jobId; ++run)
        m_limitedRuns -= std::exchange(run->second.leaseLimit, std::nullopt) ? 1 : 0;
    return m_limitedRuns < before;
}

time_point worker_session::leasesEnded(time_point now) const
{
    if (!m_clockAt)
        return std::max(now, m_unknownLeasesUntil);
    const auto left = std::max(m_leaseEnd - m_clock, worker_time(0));
    const std::chrono::duration<double, std::milli> stretched(static_cast<double>(left.count()) / (1.0 - maxClockDrift));
    return std::max(*m_clockAt + std::chrono::ceil<std::chrono::milliseconds>(stretched), m_unknownLeasesUntil);
}

bool worker_session::mayHoldUnlistedEnds(std::chrono::milliseconds grace, time_point now) const
{
    const bool silent = failedPolls > 1 && now - grace >= leasesEnded(now - grace);
    return listed && !earlierEndsKnown && !silent;
}

std::map<task_key, worker_run> worker_session::inheritUncertainRuns(
    const worker_session& earlier, std::chrono::milliseconds maxLease, time_point now)
{
    std::map<task_key, worker_run> ended;
    for (const auto& [key, current] : earlier.m_runs) {
        // A listed run shows that one try of its order arrived; the others may still arrive. How often an earlier owner sent the
        // order of an adopted run is not known.
        if (current.listed && current.tries == 1) {
            ended.emplace(key, current);
            continue;
        }
        worker_run carried = current;
        carried.uncertain = true;
        carried.listed = false;
        carried.confirmedAt.reset();
        carried.provableFrom.reset();
        carried.stopSentAt.reset();
        carried.startInFlight = false;
        // The lease in the start order refers to the clock of the previous boot, so this boot would not refuse a late start.
        carried.startableUntil = noStartLimit;
        addRun(key, carried);
    }
    if (!m_runs.empty())
        m_unknownLeasesUntil = now
            + std::chrono::ceil<std::chrono::milliseconds>(
                std::chrono::duration<double, std::milli>(maxLease) / (1.0 - maxClockDrift));
    return ended;
}

void worker_session::addRun(const task_key& task, const worker_run& added)
{
    removeRun(task);
    m_runs.emplace(task, added);
    m_used += added.need;
    m_limitedRuns += added.leaseLimit ? 1 : 0;
}

std::optional<worker_run> worker_session::removeRun(const task_key& task)
{
    const auto found = m_runs.find(task);
    if (found == m_runs.end())
        return std::nullopt;
    worker_run removed = found->second;
    m_used -= removed.need;
    m_limitedRuns -= removed.leaseLimit ? 1 : 0;
    m_runs.erase(found);
    return removed;
}

worker_run* worker_session::find(const task_key& task)
{
    const auto found = m_runs.find(task);
    return found == m_runs.end() ? nullptr : &found->second;
}

bool worker_session::awaitsProof(time_point now) const
{
    return std::any_of(m_runs.begin(), m_runs.end(), [this, now](const auto& entry) {
        const auto& from = entry.second.provableFrom;
        return entry.second.uncertain && from && *from < now && *from >= pollSentAt;
    });
}

jobs::resources worker_session::free() const
{
    jobs::resources left = m_registration.capacity;
    left -= m_used;
    return left;
}

bool worker_session::hasRoomFor(const jobs::resources& need, time_point now) const
{
    if (!need.fitsInto(free()))
        return false;
    const double usable = usableShare(now) * static_cast<double>(m_registration.capacity.cpuMillis);
    return m_used.cpuMillis == 0 || static_cast<double>(m_used.cpuMillis + need.cpuMillis) <= usable;
}

std::uint32_t worker_session::lastingRoomFor(const jobs::step& step) const
{
    jobs::resources left = m_registration.capacity;
    for (const auto& [key, current] : m_runs) {
        if (current.longRunning)
            left -= current.need;
    }
    const std::uint32_t most = step.maxPerWorker > 0 ? std::min(step.maxPerWorker, step.taskCount) : step.taskCount;
    std::uint32_t room = 0;
    for (; room < most && step.need.fitsInto(left); ++room)
        left -= step.need;
    return room;
}

std::uint32_t worker_session::runsOfStep(const std::string& jobId, std::uint32_t step) const
{
    return static_cast<std::uint32_t>(std::count_if(
        m_runs.begin(), m_runs.end(), [&](const auto& entry) { return entry.first.jobId == jobId && entry.first.step == step; }));
}

bool worker_session::hasLabel(const std::string& label) const
{
    const auto& labels = m_registration.labels;
    return std::find(labels.begin(), labels.end(), label) != labels.end();
}

std::string worker_session::rack() const { return m_registration.labels.empty() ? std::string() : m_registration.labels.back(); }

std::uint32_t worker_session::runsOfJob(const std::string& jobId) const
{
    return static_cast<std::uint32_t>(
        std::count_if(m_runs.begin(), m_runs.end(), [&jobId](const auto& entry) { return entry.first.jobId == jobId; }));
}

bool worker_session::isEstablished(const worker_run& current) const
{
    return current.confirmedAt && m_clockAt && *m_clockAt - *current.confirmedAt >= establishedTime;
}

bool worker_session::onlyEstablishedBeside(const std::string& jobId) const
{
    return std::all_of(m_runs.begin(), m_runs.end(),
        [&](const auto& entry) { return entry.first.jobId == jobId || isEstablished(entry.second); });
}

bool worker_session::isHealthy(time_point now) const
{
    return listed && !deregistered && !m_registration.draining && lostCalls <= toleratedLosses && now >= m_startsPausedUntil;
}

void worker_session::noteAnswer(time_point now)
{
    lostCalls = 0;
    lastAnswerAt = now;
    refusedAt.reset();
}

std::chrono::milliseconds worker_session::timeToNextEnd(time_point now) const
{
    auto shortest = std::chrono::milliseconds::max();
    for (const auto& [key, current] : m_runs) {
        if (current.longRunning)
            continue;
        const auto elapsed
            = std::chrono::duration_cast<std::chrono::milliseconds>(now - current.confirmedAt.value_or(current.sentAt));
        shortest = std::min(shortest, std::max(current.estimate - elapsed, std::chrono::milliseconds(0)));
    }
    return shortest;
}

void worker_session::noteUnanswered(time_point now)
{
    constexpr int maxDoublings = 6;
    pauseStartsUntil(now + noCapacityPause * (1 << std::min(m_unanswered++, maxDoublings)));
}

void worker_session::noteEnd(run_end_reason endReason, const worker_run& ended, time_point now)
{
    if (endReason == run_end_reason::failed) {
        if (++m_failures >= failuresUntilQuarantine)
            pauseStartsUntil(now + quarantineTime);
        return;
    }
    if (endReason != run_end_reason::done)
        return;
    m_failures = 0;
    if (ended.longRunning || ended.estimate.count() <= 0 || !ended.confirmedAt)
        return;
    const std::chrono::duration<double, std::milli> took = now - *ended.confirmedAt;
    const double observed = std::clamp(took.count() / static_cast<double>(ended.estimate.count()), minSlowness, maxSlowness);
    m_slowness += slownessWeight * (observed - m_slowness);
}

} // namespace coriandermount::cells
