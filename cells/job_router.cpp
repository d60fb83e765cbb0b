#include "cells/job_router.h"

#include <map>
#include <mutex>
#include <vector>

#include <fmt/format.h>

#include "core/log.h"

namespace coriandermount::cells {

namespace {

    /// Pause before an owner that did not take a job is asked again.
    constexpr std::chrono::milliseconds retryPause { 40 };
    /// Left of the caller's time when a job without an answer is given up.
    constexpr std::chrono::milliseconds answerReserve { 30 };

    /// A caller that waits for the end of its job.
    struct waiting_run {
        jobs::accepted_job accepted;
        std::optional<jobs::lender> lentBy;
        time_point since;
        time_point deadline;
        job_completion done;
        /// Epoch of the owner that was asked last; 0 for none.
        std::uint64_t askedEpoch = 0;
        bool inFlight = false;
        /// An owner may have started it.
        bool mayHaveRun = false;
        /// The same before the owner was asked that has not answered yet.
        bool mightHaveRunBefore = false;
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
    std::map<std::uint64_t, waiting_run> runs;

    data(const clock_source& time, cell_owner& local, owner_link& remote, target_source source)
        : clock(time)
        , owner(local)
        , link(remote)
        , target(std::move(source))
    {
    }

    void ask(std::uint64_t number);
    void onAnswer(std::uint64_t number, std::uint64_t epoch, const result<jobs::job_state>& answer);
    void finish(std::uint64_t number, const result<jobs::job_state>& answer);
    std::vector<std::uint64_t> dueRuns(time_point now, const std::optional<run_target>& where);
    std::vector<std::uint64_t> expiredRuns(time_point now) const;
    void expire(std::uint64_t number);
};

void job_router::data::ask(std::uint64_t number)
{
    const auto where = target();
    const auto now = clock.now();
    jobs::run_request request;
    {
        const std::scoped_lock lock(mutex);
        const auto found = runs.find(number);
        if (found == runs.end())
            return;
        waiting_run& current = found->second;
        current.retryAt = now + retryPause;
        if (!where)
            return;
        request.accepted = current.accepted;
        request.mayHaveStarted = current.mayHaveRun;
        request.lentBy = current.lentBy;
        request.ownerEpoch = where->epoch;
        request.timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(current.deadline - now);
        current.askedEpoch = where->epoch;
        current.inFlight = true;
        current.mightHaveRunBefore = current.mayHaveRun;
        current.mayHaveRun = true;
    }
    auto done = [self = shared_from_this(), number, epoch = where->epoch](
                    const result<jobs::job_state>& answer) { self->onAnswer(number, epoch, answer); };
    if (where->local)
        owner.run(std::move(request), std::move(done));
    else
        link.run(where->address, request, std::move(done));
}

void job_router::data::onAnswer(std::uint64_t number, std::uint64_t epoch, const result<jobs::job_state>& answer)
{
    const bool notTaken = !answer && answer.error().kind == error_kind::claim_unavailable;
    {
        const std::scoped_lock lock(mutex);
        const auto found = runs.find(number);
        if (found == runs.end())
            return;
        // An earlier owner can't tell any more what the one that was asked after it does.
        if (!answer && found->second.askedEpoch != epoch)
            return;
        if (notTaken || (!answer && answer.error().kind == error_kind::owner_unknown)) {
            found->second.inFlight = false;
            if (notTaken)
                found->second.mayHaveRun = found->second.mightHaveRunBefore;
            found->second.retryAt = clock.now() + retryPause;
            return;
        }
    }
    finish(number, answer);
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

std::vector<std::uint64_t> job_router::data::dueRuns(time_point now, const std::optional<run_target>& where)
{
    std::vector<std::uint64_t> due;
    const std::scoped_lock lock(mutex);
    for (const auto& [number, current] : runs) {
        const bool superseded = where && current.inFlight && where->epoch > current.askedEpoch;
        if (superseded || (!current.inFlight && where && now >= current.retryAt))
            due.push_back(number);
    }
    return due;
}

std::vector<std::uint64_t> job_router::data::expiredRuns(time_point now) const
{
    std::vector<std::uint64_t> expired;
    const std::scoped_lock lock(mutex);
    for (const auto& [number, current] : runs) {
        // A job that was never handed over is refused while its caller can still try elsewhere.
        const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(current.accepted.objective * maxWaitShare);
        const bool hopeless = !current.mayHaveRun && now > current.since + std::max(wait, resubmissionLimit);
        if (hopeless || now > current.deadline - answerReserve)
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
    writeLog(log_level::warning, "router", "a job is given up",
        { { "job", id }, { "outcome", mayHaveRun ? "may_have_run" : "not_run" } });
    finish(number,
        mayHaveRun ? fail(error_kind::deadline_passed_while_running, "the owner did not answer in time")
                   : fail(error_kind::no_worker, "the cell has had no owner for too long"));
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
        waiting_run& added = m_data->runs[number];
        added.accepted = std::move(request.accepted);
        added.lentBy = request.lentBy;
        added.since = m_data->clock.now();
        added.deadline = added.since + request.timeLeft;
        added.done = std::move(done);
        added.mayHaveRun = request.mayHaveStarted;
    }
    m_data->ask(number);
}

void job_router::tick()
{
    const auto now = m_data->clock.now();
    for (const std::uint64_t number : m_data->dueRuns(now, m_data->target()))
        m_data->ask(number);
    for (const std::uint64_t number : m_data->expiredRuns(now))
        m_data->expire(number);
}

void job_router::forget()
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
