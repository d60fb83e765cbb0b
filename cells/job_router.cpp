#include "cells/job_router.h"

#include <map>
#include <mutex>
#include <vector>

#include <fmt/format.h>

#include "core/log.h"

namespace coriandermount::cells {

namespace {

    /// Pause before a job is sent again to an owner that did not accept it.
    constexpr std::chrono::milliseconds retryPause { 40 };
    /// Time before the caller's deadline at which a job without an answer is abandoned, so that the error still arrives.
    constexpr std::chrono::milliseconds answerReserve { 30 };

    /// Job whose caller waits for its end.
    struct pending_run {
        jobs::accepted_job accepted;
        std::optional<jobs::lender> lentBy;
        time_point since;
        time_point deadline;
        job_completion done;
        /// Epoch of the owner that the job was last sent to; 0 if it was sent to none.
        std::uint64_t lastSentEpoch = 0;
        bool inFlight = false;
        /// Whether an owner may have started the job.
        bool mayHaveRun = false;
        /// Value of `mayHaveRun` before the job was last sent, restored if that owner refuses the job.
        bool mayHaveRunBefore = false;
        time_point retryAt;
    };

} // namespace

struct job_router::data : std::enable_shared_from_this<job_router::data> {
    const clock_source& clock;
    cell_owner& owner;
    owner_link& link;
    target_source target;
    mutable std::mutex mutex;
    std::uint64_t lastNumber = 0;
    std::map<std::uint64_t, pending_run> runs;

    data(const clock_source& time, cell_owner& local, owner_link& remote, target_source source)
        : clock(time)
        , owner(local)
        , link(remote)
        , target(std::move(source))
    {
    }

    void sendToOwner(std::uint64_t number);
    void onAnswer(std::uint64_t number, std::uint64_t epoch, const result<jobs::job_state>& answer);
    void finish(std::uint64_t number, const result<jobs::job_state>& answer);
    std::vector<std::uint64_t> dueRuns(time_point now, const std::optional<run_target>& location);
    std::vector<std::uint64_t> expiredRuns(time_point now) const;
    void expire(std::uint64_t number);
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
        if (!location)
            return;
        request.accepted = current.accepted;
        request.mayHaveStarted = current.mayHaveRun;
        request.lentBy = current.lentBy;
        request.ownerEpoch = location->epoch;
        request.timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(current.deadline - now);
        current.lastSentEpoch = location->epoch;
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
    finish(number, refusalHolds ? answer : fail(error_kind::owner_unknown, "an earlier request for the job was not answered"));
}

void job_router::data::finish(std::uint64_t number, const result<jobs::job_state>& answer)
{
    job_completion done;
    {
        const std::scoped_lock lock(mutex);
        const auto found = runs.find(number);
        if (found == runs.end())
            return;
        done = std::move(found->second.done);
        runs.erase(found);
    }
    done(answer);
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

std::vector<std::uint64_t> job_router::data::expiredRuns(time_point now) const
{
    std::vector<std::uint64_t> expired;
    const std::scoped_lock lock(mutex);
    for (const auto& [number, current] : runs) {
        // A job that no owner has accepted is refused early enough for its caller to try elsewhere.
        const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(current.accepted.objective * maxWaitShare);
        const bool notAcceptedInTime = !current.mayHaveRun && now > current.since + std::max(wait, resubmissionLimit);
        if (notAcceptedInTime || now > current.deadline - answerReserve)
            expired.push_back(number);
    }
    return expired;
}

void job_router::data::expire(std::uint64_t number)
{
    bool mayHaveRun = false;
    std::string id;
    {
        const std::scoped_lock lock(mutex);
        const auto found = runs.find(number);
        if (found == runs.end())
            return;
        mayHaveRun = found->second.mayHaveRun;
        id = found->second.accepted.work.id;
    }
    writeLog(log_level::warning, "router", "abandoned a job",
        { { "job", id }, { "outcome", mayHaveRun ? "may_have_run" : "not_run" } });
    finish(number,
        mayHaveRun ? fail(
            error_kind::deadline_passed_while_running, "the owner of the cell did not answer before the deadline of the job")
                   : fail(error_kind::no_worker, "no owner of the cell accepted the job in time"));
}

job_router::job_router(const clock_source& clock, cell_owner& owner, owner_link& link, target_source target)
    : m_data(std::make_shared<data>(clock, owner, link, std::move(target)))
{
}

job_router::~job_router() = default;

void job_router::run(jobs::run_request request, job_completion done)
{
    std::uint64_t number = 0;
    {
        const std::scoped_lock lock(m_data->mutex);
        number = ++m_data->lastNumber;
        pending_run& added = m_data->runs[number];
        added.accepted = std::move(request.accepted);
        added.lentBy = request.lentBy;
        added.since = m_data->clock.now();
        added.deadline = added.since + request.timeLeft;
        added.done = std::move(done);
        added.mayHaveRun = request.mayHaveStarted;
    }
    m_data->sendToOwner(number);
}

void job_router::tick()
{
    const auto now = m_data->clock.now();
    for (const std::uint64_t number : m_data->dueRuns(now, m_data->target()))
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

} // namespace coriandermount::cells
