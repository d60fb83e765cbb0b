#include "cells/job_router.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <random>
#include <vector>

#include <fmt/format.h>

#include "cells/admission_policy.h"
#include "core/log.h"
#include "core/pause_monitor.h"
#include "core/tick_gaps.h"

namespace coriandermount::cells {

namespace {

    /// Pause before a job is sent again to an owner that did not accept it.
    constexpr std::chrono::milliseconds retryPause { 40 };
    /// Time before the caller's deadline at which a job without an answer is abandoned, so that the error still arrives.
    constexpr std::chrono::milliseconds answerReserve { 30 };
    /// Time for which a cell is without an owner after which jobs do not wait for the next one any more: takeovers usually take
    /// less than half of it.
    constexpr std::chrono::milliseconds ownerWaitLimit { 2500 };
    /// Usual time from the loss of an owner to the first start under the next one.
    constexpr std::chrono::milliseconds usualTakeover { 1000 };
    /// How long the owners that follow are told of a withdrawn request: the platform's delay of resubmissions.
    constexpr std::chrono::milliseconds withdrawalRetention { 1300 };
    /// Time within which the owner stops the runs of a withdrawn request whose caller has its answer.
    constexpr std::chrono::milliseconds stopTime { 150 };
    /// Pause between two of these messages; the next owner finds the runs of the last one little by little.
    constexpr std::chrono::milliseconds withdrawalPause { 100 };
    /// Time between the returns of callers that were refused because their cell had no owner.
    constexpr std::chrono::microseconds returnSpacing { 5000 };

    /// Job whose caller waits for its end.
    struct pending_run {
        jobs::accepted_job accepted;
        std::optional<jobs::lender> lentBy;
        time_point since;
        time_point deadline;
        /// Latest useful start: a job that no owner has accepted by then is refused.
        time_point latestStart;
        job_completion done;
        /// Epoch of the owner that the job was last sent to; 0 if it was sent to none.
        std::uint64_t lastSentEpoch = 0;
        /// Owner that the job was last sent to, and the id of that request.
        run_target lastTarget;
        jobs::request_id lastRequest;
        time_point lastSentAt;
        bool inFlight = false;
        /// Whether an owner may have started the job.
        bool mayHaveRun = false;
        /// Value of `mayHaveRun` before the job was last sent, restored if that owner refuses the job.
        bool mayHaveRunBefore = false;
        time_point retryAt;
    };

    /// Withdrawn request whose runs the next owner of the cell may find.
    struct withdrawn_run {
        std::string jobId;
        jobs::request_id request;
        /// Epoch of the owner that the request was withdrawn at.
        std::uint64_t epoch = 0;
        withdrawal_reason reason = withdrawal_reason::caller_left;
        /// Time by which that owner has stopped the runs if it is not lost.
        time_point settledAt;
        time_point until;
        time_point nextMessage;
    };

} // namespace

std::string_view nameOf(abandon_reason value)
{
    constexpr std::array<std::string_view, abandonReasonCount> names { "deadline", "not_accepted", "stopping" };
    return names[static_cast<std::size_t>(value)];
}

struct job_router::data : std::enable_shared_from_this<job_router::data> {
    const clock_source& clock;
    cell_owner& owner;
    owner_link& link;
    target_source target;
    contact_source contact;
    mutable std::mutex mutex;
    std::uint64_t lastNumber = 0;
    /// Tells the requests of this router from those of others.
    const std::uint64_t senderNumber = (std::uint64_t { std::random_device()() } << 32U) | std::random_device()();
    std::uint64_t lastRequestNumber = 0;
    std::map<std::uint64_t, pending_run> runs;
    std::vector<withdrawn_run> withdrawnRuns;
    time_point nextKeepAlive;
    /// Since when the cell has had no known owner; empty while it has one.
    std::optional<time_point> ownerlessSince;
    return_schedule returns;
    pause_monitor pauses;
    tick_gaps gaps;
    /// Time by which all jobs have to end because the VM stops; empty if it does not.
    std::optional<time_point> endLimit;
    std::array<std::uint64_t, abandonReasonCount> abandoned {};

    data(const clock_source& time, cell_owner& local, owner_link& remote, target_source source, contact_source callers)
        : clock(time)
        , owner(local)
        , link(remote)
        , target(std::move(source))
        , contact(std::move(callers))
    {
    }

    void sendToOwner(std::uint64_t number);
    void onAnswer(std::uint64_t number, std::uint64_t epoch, const result<jobs::job_state>& answer);
    /// Answers a job. If it may have run, owners after `toldEpoch` are told that nobody waits for it.
    void finish(std::uint64_t number, std::uint64_t toldEpoch, const result<jobs::job_state>& answer);
    void withdraw(std::uint64_t number, withdrawal_reason reason);
    /// Returns a pending job and removes it; returns nothing if it has ended. If an owner may run the job, its request is
    /// withdrawn there, and at later owners.
    std::optional<pending_run> takeOut(std::uint64_t number, withdrawal_reason reason);
    /// Remembers a request that was withdrawn at the owner of `toldEpoch`, so that later owners are told.
    void rememberWithdrawn(const pending_run& withdrawn, std::uint64_t toldEpoch, withdrawal_reason reason, time_point now);
    /// Returns the answer to a job that can't end before the VM stops; empty if it can.
    std::optional<error> refuseForStop(const pending_run& added, time_point now);
    void sendWithdrawal(
        const run_target& location, const std::string& jobId, const jobs::request_id& request, withdrawal_reason reason);
    /// Tells a new owner of the requests that were withdrawn at the last one.
    void repeatWithdrawals(const std::optional<run_target>& location, time_point now);
    /// Tells an owner for which of its requests callers wait.
    void sendKeepAlives(const std::optional<run_target>& location, time_point now);
    /// Returns the numbers of these requests, unless a keep-alive is not due.
    std::vector<std::uint64_t> requestsToKeepAlive(const std::optional<run_target>& location, time_point now);
    std::vector<std::uint64_t> dueRuns(time_point now, const std::optional<run_target>& location);
    std::vector<std::uint64_t> expiredRuns(time_point now) const;
    void expire(std::uint64_t number);
    void noteOwner(bool known, time_point now);
};

void job_router::data::sendToOwner(std::uint64_t number)
{
    const auto location = target();
    const auto now = clock.now();
    jobs::run_request request;
    {
        const std::scoped_lock lock(mutex);
        const auto found = runs.find(number);
        if (found == runs.end())
            return;
        pending_run& current = found->second;
        current.retryAt = now + retryPause;
        (void)pauses.noteRunning(now);
        // After a pause, the caller may have left without that being noticed yet.
        if (!location || pauses.isSettling(now))
            return;
        // Another thread may have sent the job since this one found it due.
        if (current.inFlight && location->epoch <= current.lastSentEpoch)
            return;
        request.accepted = current.accepted;
        request.mayHaveStarted = current.mayHaveRun;
        request.lentBy = current.lentBy;
        request.ownerEpoch = location->epoch;
        request.timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(current.deadline - now);
        current.lastSentEpoch = location->epoch;
        request.id = { senderNumber, ++lastRequestNumber };
        request.keptAlive = true;
        current.lastRequest = request.id;
        current.lastSentAt = now;
        current.lastTarget = *location;
        current.inFlight = true;
        current.mayHaveRunBefore = current.mayHaveRun;
        current.mayHaveRun = true;
    }
    auto done = [self = shared_from_this(), number, epoch = location->epoch](
                    const result<jobs::job_state>& answer) { self->onAnswer(number, epoch, answer); };
    if (location->local)
        owner.run(std::move(request), std::move(done));
    else
        link.run(location->address, request, std::move(done));
}

void job_router::data::onAnswer(std::uint64_t number, std::uint64_t epoch, const result<jobs::job_state>& answer)
{
    const bool refused = !answer && answer.error().kind == error_kind::claim_unavailable;
    bool mayHaveRunBefore = false;
    {
        const std::scoped_lock lock(mutex);
        const auto found = runs.find(number);
        if (found == runs.end())
            return;
        // An error from an earlier owner says nothing about the owner that the job was sent to afterwards.
        if (!answer && found->second.lastSentEpoch != epoch)
            return;
        if (refused || (!answer && answer.error().kind == error_kind::owner_unknown)) {
            found->second.inFlight = false;
            if (refused)
                found->second.mayHaveRun = found->second.mayHaveRunBefore;
            found->second.retryAt = clock.now() + retryPause;
            return;
        }
        mayHaveRunBefore = found->second.mayHaveRunBefore;
    }
    // A refusal holds for the request that was refused. Requests before it may have been accepted, or may still arrive.
    const bool refusalHolds = answer || rowOf(answer.error().kind).result != outcome::not_run || !mayHaveRunBefore;
    // An owner that refused a request may find runs of the one before, so it has to be told like a later owner.
    const std::uint64_t toldEpoch = refusalHolds ? epoch : epoch - 1;
    finish(number, toldEpoch,
        refusalHolds ? answer : fail(error_kind::owner_unknown, "an earlier request for the job was not answered"));
}

void job_router::data::finish(std::uint64_t number, std::uint64_t toldEpoch, const result<jobs::job_state>& answer)
{
    job_completion done;
    {
        const std::scoped_lock lock(mutex);
        const auto found = runs.find(number);
        if (found == runs.end())
            return;
        done = std::move(found->second.done);
        // The owner has given the job up; if it is lost before it has stopped the runs, the next one finds them.
        if (!answer && rowOf(answer.error().kind).result == outcome::may_have_run)
            rememberWithdrawn(found->second, toldEpoch, withdrawal_reason::answered, clock.now());
        runs.erase(found);
    }
    done(answer);
}

std::optional<pending_run> job_router::data::takeOut(std::uint64_t number, withdrawal_reason reason)
{
    pending_run taken;
    {
        const std::scoped_lock lock(mutex);
        const auto found = runs.find(number);
        if (found == runs.end())
            return std::nullopt;
        taken = std::move(found->second);
        runs.erase(found);
        const auto now = clock.now();
        // An owner that did not accept the request may find runs of an earlier one, so it has to be told like a later owner.
        const std::uint64_t toldEpoch
            = taken.inFlight ? taken.lastSentEpoch : std::max<std::uint64_t>(taken.lastSentEpoch, 1) - 1;
        if (taken.mayHaveRun)
            rememberWithdrawn(taken, toldEpoch, reason, now);
    }
    if (taken.inFlight)
        sendWithdrawal(taken.lastTarget, taken.accepted.work.id, taken.lastRequest, reason);
    return taken;
}

void job_router::data::rememberWithdrawn(
    const pending_run& withdrawn, std::uint64_t toldEpoch, withdrawal_reason reason, time_point now)
{
    const auto goesOn = reason == withdrawal_reason::answered ? std::chrono::milliseconds(0) : withdrawnRunLimit;
    withdrawnRuns.push_back({ withdrawn.accepted.work.id, withdrawn.lastRequest, toldEpoch, reason, now + stopTime + goesOn,
        now + withdrawalRetention, now });
}

void job_router::data::withdraw(std::uint64_t number, withdrawal_reason reason)
{
    const auto withdrawn = takeOut(number, reason);
    if (!withdrawn)
        return;
    withdrawn->done(fail(
        withdrawn->mayHaveRun ? error_kind::cancelled_while_running : error_kind::cancelled_before_start, "the caller has left"));
}

void job_router::data::sendWithdrawal(
    const run_target& location, const std::string& jobId, const jobs::request_id& request, withdrawal_reason reason)
{
    if (location.local)
        owner.withdraw(jobId, request, reason);
    else
        link.withdraw(location.address, jobId, request, reason);
}

void job_router::data::repeatWithdrawals(const std::optional<run_target>& location, time_point now)
{
    std::vector<withdrawn_run> due;
    {
        const std::scoped_lock lock(mutex);
        std::erase_if(withdrawnRuns, [now](const withdrawn_run& withdrawn) { return now > withdrawn.until; });
        for (withdrawn_run& withdrawn : withdrawnRuns) {
            if (!location || location->epoch <= withdrawn.epoch || now < withdrawn.nextMessage)
                continue;
            withdrawn.nextMessage = now + withdrawalPause;
            due.push_back(withdrawn);
        }
    }
    for (const withdrawn_run& withdrawn : due)
        sendWithdrawal(*location, withdrawn.jobId, withdrawn.request, withdrawn.reason);
}

std::vector<std::uint64_t> job_router::data::requestsToKeepAlive(const std::optional<run_target>& location, time_point now)
{
    std::vector<std::pair<std::uint64_t, std::string>> held;
    {
        const std::scoped_lock lock(mutex);
        gaps.noteTick(now);
        // After a pause or a gap, callers may have left without that being noticed yet.
        if (!location || now < nextKeepAlive || pauses.isSettling(now) || gaps.isSettling(now))
            return {};
        nextKeepAlive = now + keepAliveInterval;
        for (const auto& [number, current] : runs) {
            if (current.inFlight && current.lastSentEpoch == location->epoch && now - current.lastSentAt >= keptAliveAge)
                held.emplace_back(current.lastRequest.number, current.accepted.work.id);
        }
    }
    std::vector<std::uint64_t> requests;
    for (const auto& [number, jobId] : held) {
        if (!contact || contact(jobId))
            requests.push_back(number);
    }
    std::sort(requests.begin(), requests.end());
    return requests;
}

void job_router::data::sendKeepAlives(const std::optional<run_target>& location, time_point now)
{
    const auto requests = requestsToKeepAlive(location, now);
    for (std::size_t first = 0; first < requests.size(); first += mostRequestsKeptAlive) {
        const std::size_t last = std::min(first + mostRequestsKeptAlive, requests.size());
        const keep_alive current { senderNumber,
            { requests.begin() + static_cast<std::ptrdiff_t>(first), requests.begin() + static_cast<std::ptrdiff_t>(last) } };
        if (location->local)
            owner.noteKeepAlive(current);
        else
            link.sendKeepAlive(location->address, current);
    }
}

std::vector<std::uint64_t> job_router::data::dueRuns(time_point now, const std::optional<run_target>& location)
{
    std::vector<std::uint64_t> due;
    const std::scoped_lock lock(mutex);
    for (const auto& [number, current] : runs) {
        const bool superseded = location && current.inFlight && location->epoch > current.lastSentEpoch;
        if (superseded || (!current.inFlight && location && now >= current.retryAt))
            due.push_back(number);
    }
    return due;
}

void job_router::data::noteOwner(bool known, time_point now)
{
    const std::scoped_lock lock(mutex);
    (void)pauses.noteRunning(now);
    if (known)
        ownerlessSince.reset();
    else if (!ownerlessSince)
        ownerlessSince = now;
}

std::vector<std::uint64_t> job_router::data::expiredRuns(time_point now) const
{
    std::vector<std::uint64_t> expired;
    const std::scoped_lock lock(mutex);
    for (const auto& [number, current] : runs) {
        const bool outlastsTakeover = ownerlessSince && now > *ownerlessSince + ownerWaitLimit;
        const bool acceptedTooLate = !current.mayHaveRun && (outlastsTakeover || now > current.latestStart);
        if (acceptedTooLate || now > current.deadline - answerReserve)
            expired.push_back(number);
    }
    return expired;
}

void job_router::data::expire(std::uint64_t number)
{
    const auto expired = takeOut(number, withdrawal_reason::answered);
    if (!expired)
        return;
    const auto now = clock.now();
    const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(now - expired->since);
    const auto timeLimit = std::chrono::duration_cast<std::chrono::milliseconds>(expired->deadline - expired->since);
    std::chrono::milliseconds ownerless { 0 };
    std::chrono::milliseconds returnAfter { 0 };
    auto reason = abandon_reason::deadline;
    {
        const std::scoped_lock lock(mutex);
        if (endLimit && expired->deadline >= *endLimit)
            reason = abandon_reason::stopping;
        else if (now <= expired->deadline - answerReserve)
            reason = abandon_reason::not_accepted;
        ++abandoned[static_cast<std::size_t>(reason)];
        if (ownerlessSince)
            ownerless = std::chrono::duration_cast<std::chrono::milliseconds>(now - *ownerlessSince);
        if (!expired->mayHaveRun)
            returnAfter = returns.reserve(now, std::max(usualTakeover - ownerless, std::chrono::milliseconds(0)), returnSpacing);
    }
    writeLog(log_level::warning, "router", "abandoned a job",
        { { "job", expired->accepted.work.id }, { "outcome", expired->mayHaveRun ? "may_have_run" : "not_run" },
            { "waited_ms", fmt::to_string(waited.count()) }, { "time_limit_ms", fmt::to_string(timeLimit.count()) },
            { "ownerless_ms", fmt::to_string(ownerless.count()) }, { "reason", std::string(nameOf(reason)) } });
    if (!expired->mayHaveRun)
        expired->done(
            tl::unexpected(error { error_kind::no_worker, "no owner of the cell accepted the job in time", returnAfter }));
    else if (reason == abandon_reason::stopping)
        expired->done(fail(error_kind::shutdown_limit_reached, "the VM that the caller waits at stopped before the job ended"));
    else
        expired->done(fail(
            error_kind::deadline_passed_while_running, "the owner of the cell did not answer before the deadline of the job"));
}

std::optional<error> job_router::data::refuseForStop(const pending_run& added, time_point now)
{
    if (!endLimit || now + jobs::criticalPathLength(added.accepted.work) <= *endLimit - answerReserve)
        return std::nullopt;
    if (added.mayHaveRun)
        return error { error_kind::shutdown_limit_reached, "the VM stops before the job could end", std::nullopt };
    const auto returnAfter = returns.reserve(now, std::chrono::milliseconds(0), returnSpacing);
    return error { error_kind::shutting_down, "the VM stops before the job could end", returnAfter };
}

job_router::job_router(
    const clock_source& clock, cell_owner& owner, owner_link& link, target_source target, contact_source contact)
    : m_data(std::make_shared<data>(clock, owner, link, std::move(target), std::move(contact)))
{
}

job_router::~job_router() = default;

std::uint64_t job_router::run(jobs::run_request request, job_completion done)
{
    std::unique_lock lock(m_data->mutex);
    const auto now = m_data->clock.now();
    const std::uint64_t number = ++m_data->lastNumber;
    pending_run added;
    added.accepted = std::move(request.accepted);
    added.lentBy = request.lentBy;
    added.since = now;
    added.deadline = std::min(now + request.timeLeft, m_data->endLimit.value_or(time_point::max()));
    added.latestStart = latestStart(
        { added.since, added.since + added.accepted.objective, added.deadline, jobs::criticalPathLength(added.accepted.work) });
    // The home cell of a lent job may have free capacity again.
    if (added.lentBy)
        added.latestStart = std::min(added.latestStart, added.since + resubmissionLimit);
    added.mayHaveRun = request.mayHaveStarted;
    if (auto refusal = m_data->refuseForStop(added, now)) {
        lock.unlock();
        done(tl::unexpected(std::move(*refusal)));
        return number;
    }
    added.done = std::move(done);
    m_data->runs.emplace(number, std::move(added));
    lock.unlock();
    m_data->sendToOwner(number);
    return number;
}

void job_router::endBy(time_point limit)
{
    const std::scoped_lock lock(m_data->mutex);
    m_data->endLimit = std::min(limit, m_data->endLimit.value_or(limit));
    for (auto& [number, current] : m_data->runs) {
        current.deadline = std::min(current.deadline, limit);
        current.latestStart = std::min(current.latestStart, limit - jobs::criticalPathLength(current.accepted.work));
    }
}

void job_router::withdraw(std::uint64_t number) { m_data->withdraw(number, withdrawal_reason::caller_left); }

void job_router::withdrawJob(const std::string& jobId, withdrawal_reason reason)
{
    std::vector<std::uint64_t> numbers;
    {
        const std::scoped_lock lock(m_data->mutex);
        for (const auto& [number, current] : m_data->runs) {
            if (current.accepted.work.id == jobId)
                numbers.push_back(number);
        }
    }
    for (const std::uint64_t number : numbers)
        m_data->withdraw(number, reason);
}

void job_router::tick()
{
    const auto now = m_data->clock.now();
    const auto location = m_data->target();
    m_data->noteOwner(location.has_value(), now);
    m_data->repeatWithdrawals(location, now);
    m_data->sendKeepAlives(location, now);
    for (const std::uint64_t number : m_data->dueRuns(now, location))
        m_data->sendToOwner(number);
    for (const std::uint64_t number : m_data->expiredRuns(now))
        m_data->expire(number);
}

void job_router::dropAll()
{
    const std::scoped_lock lock(m_data->mutex);
    m_data->runs.clear();
}

void job_router::stop()
{
    endBy(m_data->clock.now());
    std::vector<std::uint64_t> numbers;
    {
        const std::scoped_lock lock(m_data->mutex);
        for (const auto& [number, current] : m_data->runs)
            numbers.push_back(number);
    }
    for (const std::uint64_t number : numbers)
        m_data->expire(number);
}

std::size_t job_router::waiting() const
{
    const std::scoped_lock lock(m_data->mutex);
    return m_data->runs.size();
}

std::size_t job_router::unsettledWithdrawals() const
{
    const std::scoped_lock lock(m_data->mutex);
    const auto now = m_data->clock.now();
    return static_cast<std::size_t>(std::count_if(m_data->withdrawnRuns.begin(), m_data->withdrawnRuns.end(),
        [now](const withdrawn_run& withdrawn) { return withdrawn.settledAt > now; }));
}

std::array<std::uint64_t, abandonReasonCount> job_router::abandonedJobs() const
{
    const std::scoped_lock lock(m_data->mutex);
    return m_data->abandoned;
}

} // namespace coriandermount::cells
