#include "cells/cell_owner_data.h"

#include <algorithm>

#include <fmt/format.h>

namespace coriandermount::cells {

namespace {

    constexpr std::chrono::milliseconds checkInterval { 50 };
    constexpr std::chrono::milliseconds cleanupInterval { 1000 };

} // namespace

void cell_owner::data::noteKeepAlive(const keep_alive& current, time_point now)
{
    // One that is read after a pause or a gap may have been sent before the caller left.
    if (isSettling() || contactChecks.isSettling(now))
        return;
    for (const std::uint64_t number : current.requests) {
        const jobs::request_id request { current.sender, number };
        const auto known = jobsKeptAlive.find(request);
        open_job* job = known == jobsKeptAlive.end() ? nullptr : jobTable.find(known->second);
        if (!job)
            continue;
        for (job_waiter& waiter : job->waiters) {
            if (waiter.request == request)
                waiter.heardAt = now;
        }
    }
}

void cell_owner::data::addWaiter(open_job& job, const jobs::run_request& request, job_completion done, time_point now)
{
    job.waiters.push_back({ request.id, std::move(done), request.lentBy.has_value(), std::nullopt });
    if (!request.keptAlive)
        return;
    job.waiters.back().heardAt = now;
    jobsKeptAlive.insert_or_assign(request.id, job.accepted.work.id);
}

std::optional<time_point> cell_owner::data::lastContact(const open_job& job)
{
    std::optional<time_point> latest;
    for (const job_waiter& waiter : job.waiters) {
        if (!waiter.heardAt)
            return std::nullopt;
        latest = std::max(latest.value_or(*waiter.heardAt), *waiter.heardAt);
    }
    return latest;
}

bool cell_owner::data::hasContact(const open_job& job, std::chrono::milliseconds limit, time_point now) const
{
    const auto heardAt = lastContact(job);
    return !heardAt || now - *heardAt <= limit || now - *heardAt <= limit + lagAllowance(now);
}

time_point cell_owner::data::leaseLimit(const worker_session& session) const
{
    time_point limit = session.leaseLimit();
    const std::string* lastJob = nullptr;
    for (const auto& [key, current] : session.runs()) {
        if (lastJob && *lastJob == key.jobId)
            continue;
        lastJob = &key.jobId;
        const open_job* job = jobTable.find(key.jobId);
        if (const auto heardAt = job ? lastContact(*job) : std::nullopt)
            limit = std::min(limit, *heardAt + withdrawnLeaseLimit);
    }
    return limit;
}

void cell_owner::data::checkContacts(time_point now)
{
    contactChecks.noteTick(now);
    if (now < nextContactCheck)
        return;
    nextContactCheck = now + checkInterval;
    if (now >= nextContactCleanup) {
        nextContactCleanup = now + cleanupInterval;
        std::erase_if(jobsKeptAlive, [this](const auto& entry) { return jobTable.find(entry.second) == nullptr; });
    }
    // Keep-alives that are ignored now are followed by others.
    if (contactChecks.isSettling(now - keepAliveInterval))
        return;
    for (const auto& [id, job] : jobTable.unstored()) {
        if (job->ended || job->waiters.empty() || hasContact(*job, contactLimit, now) != job->outOfContact)
            continue;
        job->outOfContact = !job->outOfContact;
        if (job->outOfContact)
            stopWithoutContact(*job, now);
        else
            resumeContact(*job, now);
    }
}

void cell_owner::data::stopWithoutContact(const open_job& job, time_point now)
{
    const std::string& id = job.accepted.work.id;
    const time_point heardAt = lastContact(job).value_or(now);
    ++counters.jobsOutOfContact;
    writeLog(log_level::warning, "cell", "callers are not heard",
        { { "job", id }, { "lent", job.lentTo ? "yes" : "no" },
            { "silence_ms", fmt::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now - heardAt).count()) } });
    limitLeases(id, heardAt + withdrawnLeaseLimit);
    stopRunsOf(job, now);
}

void cell_owner::data::resumeContact(const open_job& job, time_point now)
{
    writeLog(log_level::info, "cell", "callers are heard again", { { "job", job.accepted.work.id } });
    liftLeaseLimits(job.accepted.work.id, now);
}

void cell_owner::noteKeepAlive(const keep_alive& current)
{
    m_data->locked([&] { m_data->noteKeepAlive(current, m_data->clock.now()); });
}

bool cell_owner::hearsCallers(const std::string& jobId) const
{
    const std::scoped_lock lock(m_data->mutex);
    const open_job* job = m_data->jobTable.find(jobId);
    return job && m_data->hasContact(*job, relayedContactLimit, m_data->clock.now());
}

} // namespace coriandermount::cells
