#include "cells/cell_owner_data.h"

#include <fmt/format.h>

namespace coriandermount::cells {

std::string_view nameOf(start_decision value)
{
    constexpr std::array<std::string_view, startDecisionCount> names { "sent_again", "requeued", "kept", "term_ended" };
    return names[static_cast<std::size_t>(value)];
}

std::string_view nameOf(refusal_reason value)
{
    constexpr std::array<std::string_view, refusalReasonCount> names { "expected_too_late", "waited_too_long", "owner_overloaded",
        "no_worker", "fits_no_worker", "evacuated" };
    return names[static_cast<std::size_t>(value)];
}

std::string_view nameOfTimeUsed(std::size_t index)
{
    constexpr std::array<std::string_view, timeUsedBoundCount> names { "up_to_10_percent", "up_to_25_percent", "up_to_50_percent",
        "up_to_75_percent", "up_to_90_percent", "more" };
    return names[index];
}

std::string_view nameOf(withdrawal_outcome value)
{
    constexpr std::array<std::string_view, withdrawalOutcomeCount> names { "discarded", "returned", "ended", "stopped",
        "resubmitted" };
    return names[static_cast<std::size_t>(value)];
}

std::string_view nameOf(run_end_proof value)
{
    constexpr std::array<std::string_view, runEndProofCount> names { "not_listed", "order_expired", "leases_ended",
        "worker_restarted", "worker_gone" };
    return names[static_cast<std::size_t>(value)];
}

std::string_view nameOf(orphan_outcome value)
{
    constexpr std::array<std::string_view, orphanOutcomeCount> names { "adopted", "withdrawn", "not_resubmitted" };
    return names[static_cast<std::size_t>(value)];
}

std::string_view nameOfResolution(std::size_t index)
{
    constexpr std::array<std::string_view, resolutionBounds.size() + 1> names { "within_30_ms", "within_60_ms", "within_120_ms",
        "within_300_ms", "within_600_ms", "within_1200_ms", "later" };
    return names[index];
}

cell_owner::cell_owner(jobs::record_store& store, worker_link& link, const clock_source& clock, jobs::record_stream stream,
    const cell_settings& settings)
    : m_data(std::make_shared<data>(store, link, clock, std::move(stream), settings))
{
}

cell_owner::~cell_owner()
{
    // The neighbors may have been destroyed already.
    m_data->locked([&] { m_data->neighbors = nullptr; });
    stepDown();
}

void cell_owner::data::beginTerm(const ownership_term& next)
{
    endTerm();
    term = next;
    phase = owner_phase::fencing;
    takenOverAt = clock.now();
    acceptingSince.reset();
    termKnownAt.reset();
    resubmissionsOver = false;
    countArrivalsFrom = takenOverAt + resubmissionLimit;
    recordsAsOf = {};
    ownershipVerifiedAt = {};
    nextOwnerRecord = takenOverAt;
    lag = {};
    pace = {};
    writeLog(log_level::info, "cell", "ownership term started",
        { { "epoch", fmt::to_string(term.epoch) }, { "previous_stopped", term.previousOwnerStopped ? "yes" : "no" } });
    evacuationLog = {};
    if (evacuation.isActive())
        reportEvacuation("cell is evacuated", takenOverAt);
    writeOwnerRecord(takenOverAt);
}

void cell_owner::data::endTerm()
{
    if (phase != owner_phase::idle)
        writeLog(log_level::info, "cell", "ownership term ended", { { "epoch", fmt::to_string(term.epoch) } });
    failWaiters("the ownership term ended before the job");
    endedUnstoredJobs.clear();
    orphanedEnds.clear();
    suspicion.clear();
    trials = {};
    toGiveUp.clear();
    jobsKeptAlive.clear();
    jobsLentEarlier.clear();
    jobsLentUnanswered.clear();
    lentJobsQueryCompleted = false;
    lentJobsComplete = false;
    if (neighbors && phase != owner_phase::idle)
        deferredCalls.emplace_back([self = shared_from_this()] { self->neighbors->forgetLentJobs(); });
    ++termNumber;
    phase = owner_phase::idle;
    expireWatches(time_point::max());
    paused = false;
    ownerRecordInFlight = false;
    workersKnown = false;
    previousRunsKnown = false;
    unlistedWorkerRemoved = false;
    unverifiedLosses.clear();
    verificationInFlight = false;
    workersAwaitVerification = false;
    nextVerification = {};
    verificationOffset = 0;
    verificationReadsNewest = false;
    nextRecord = 0;
    jobTable.clear();
    sessions.clear();
    waiting.clear();
    resumeAt = {};
    plans.clear();
    capacitiesValidUntil = {};
    ownerPlan.reset();
    admittedLoad.clear();
    offeredLoad.clear();
    sequence = 0;
    flushNumber = 0;
    flush.reset();
    flushInFlight = false;
    flushedJobs.clear();
    changedJobs.clear();
    storedProgress.clear();
    flushedEnds.clear();
    obsoleteKeys.clear();
    finishedKeys.clear();
    if (tail)
        tail->stop();
    tail.reset();
    termRecords.reset();
}

void cell_owner::data::writeOwnerRecord(time_point now)
{
    if (phase != owner_phase::fencing || ownerRecordInFlight || now < nextOwnerRecord)
        return;
    ownerRecordInFlight = true;
    jobs::append_request request;
    request.stream = stream;
    request.records.push_back({ jobs::ownerKey(), jobs::encodeOwner(term.epoch), 0 });
    request.from = jobs::writer { "owner", term.epoch, 0 };
    deferredCalls.emplace_back([self = shared_from_this(), request = std::move(request), number = termNumber] {
        self->store.append(request, [self, number](const result<std::uint64_t>& answer) {
            self->locked([&] {
                if (number == self->termNumber)
                    self->onOwnerRecordWritten(answer);
            });
        });
    });
}

void cell_owner::data::onOwnerRecordWritten(const result<std::uint64_t>& answer)
{
    ownerRecordInFlight = false;
    if (!answer && answer.error().kind == error_kind::log_epoch_fenced) {
        endSupersededTerm("the store has seen a higher epoch");
        return;
    }
    if (!answer) {
        nextOwnerRecord = clock.now() + flushRetry;
        return;
    }
    ownerRecordOffset = *answer;
    nextRecord = ownerRecordOffset + 1;
    sequence = 1;
    phase = owner_phase::replaying;
    termRecords = std::make_shared<term_records>(weak_from_this(), termNumber);
    tail = std::make_shared<jobs::record_tail>(store, clock, stream, termRecords);
    deferredCalls.emplace_back([started = tail] { started->start(); });
}

void cell_owner::data::endSupersededTerm(std::string_view reason)
{
    writeLog(log_level::warning, "cell", "ownership term superseded",
        { { "epoch", fmt::to_string(term.epoch) }, { "reason", std::string(reason) } });
    endTerm();
    if (onTermSuperseded)
        deferredCalls.push_back(onTermSuperseded);
}

bool cell_owner::data::isSettling()
{
    // The caller may have read the clock before the pause.
    const time_point now = clock.now();
    if (const auto pause = pauses.noteRunning(now); pause.count() > 0) {
        ++counters.pauses;
        writeLog(log_level::warning, "cell", "process did not run", { { "duration_ms", fmt::to_string(pause.count()) } });
    }
    return pauses.isSettling(now);
}

/// Logs and counts a pass over the cell that has taken long.
class cell_owner::data::pass_report {
public:
    pass_report(data& owner, time_point now)
        : m_owner(owner)
        , m_begin(now)
    {
    }

    ~pass_report()
    {
        const time_point end = m_owner.clock.now();
        const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(end - m_begin);
        if (took < longPass)
            return;
        ++m_owner.counters.longPasses;
        if (end < m_owner.nextPassReport)
            return;
        m_owner.nextPassReport = end + passReportInterval;
        writeLog(log_level::warning, "cell", "pass over the cell took long",
            { { "duration_ms", fmt::to_string(took.count()) }, { "waiting_jobs", fmt::to_string(m_owner.waitingJobs()) },
                { "open_jobs", fmt::to_string(m_owner.jobTable.open().size()) },
                { "workers", fmt::to_string(m_owner.sessions.size()) },
                { "long_passes", fmt::to_string(m_owner.counters.longPasses) } });
    }

    pass_report(const pass_report&) = delete;
    pass_report& operator=(const pass_report&) = delete;

private:
    /// Duration from which on answers of workers are handled noticeably late.
    static constexpr std::chrono::milliseconds longPass { 50 };
    static constexpr std::chrono::milliseconds passReportInterval { 1000 };

    data& m_owner;
    time_point m_begin;
};

void cell_owner::data::tick(time_point now)
{
    const bool settling = isSettling();
    const pass_report report(*this, now);
    writeOwnerRecord(now);
    if (tail)
        tail->tick(now);
    expireWatches(now);
    std::erase_if(withdrawnEarly, [now](const auto& entry) { return now > entry.second; });
    lag.noteTick(now);
    limitStarts(now);
    if (!givesOrders())
        return;
    if (!acceptingSince)
        acceptingSince = now;
    stopUnclaimedRuns(now);
    checkContacts(now);
    pollWorkers(now);
    verifyOwnership(now);
    checkSuspicions(now);
    releaseHeldJobs(now);
    schedule(now);
    trackEvacuation(now);
    if (!settling)
        lendWaitingJobs(now);
    planStarts(now);
    checkUnstoredJobs(now);
    if (lentJobsQueryCompleted && !lentJobsComplete && now >= nextLentJobsQuery)
        queryLentJobs();
    prepareFlush(now);
    sendFlush(now);
}

void cell_owner::takeOver(const ownership_term& term)
{
    m_data->locked([&] { m_data->beginTerm(term); });
}

void cell_owner::stepDown()
{
    m_data->locked([&] {
        if (m_data->phase != owner_phase::idle)
            m_data->endTerm();
    });
}

void cell_owner::handOver()
{
    m_data->locked([&] {
        if (m_data->phase == owner_phase::idle)
            return;
        const auto now = m_data->clock.now();
        m_data->endWithdrawnJobs(now);
        m_data->storeUnstoredEnds(now);
        m_data->endTerm();
    });
}

void cell_owner::pause()
{
    m_data->locked([&] {
        if (!m_data->paused && m_data->phase != owner_phase::idle)
            writeLog(log_level::warning, "cell", "orders paused: ownership is not verified");
        m_data->paused = true;
        m_data->acceptingSince.reset();
    });
}

void cell_owner::resume()
{
    m_data->locked([&] {
        if (m_data->paused)
            m_data->countArrivalsFrom = m_data->clock.now() + resubmissionLimit;
        m_data->paused = false;
    });
}

void cell_owner::noteTermKnown(std::uint64_t epoch)
{
    m_data->locked([&] {
        if (m_data->phase != owner_phase::idle && m_data->term.epoch == epoch && !m_data->termKnownAt)
            m_data->termKnownAt = m_data->clock.now();
    });
}

void cell_owner::setNeighbors(neighbor_cells& neighbors)
{
    m_data->locked([&] { m_data->neighbors = &neighbors; });
}

lent_report cell_owner::jobsLentBy(jobs::lender home)
{
    const std::scoped_lock lock(m_data->mutex);
    auto& known = m_data->lenderEpochs[home.cell];
    known = std::max(known, home.epoch);
    if (!m_data->givesOrders())
        return {};
    // The answer to an ended job may not have reached the earlier owner of the home cell.
    std::vector<std::string> ids = m_data->jobTable.finishedFor(home.cell);
    for (const auto& [id, job] : m_data->jobTable.unstored()) {
        if (job->lentBy == home.cell)
            ids.push_back(id);
    }
    // Any cell may have lent the jobs of the other runs: orphaned ones, whose jobs have not been resubmitted, and those that have
    // not stopped since their job ended.
    for (const auto& [worker, session] : m_data->sessions) {
        for (const auto& [key, current] : session.runs()) {
            const open_job* job = m_data->jobTable.find(key.jobId);
            if (current.orphaned || !job || job->ended)
                ids.push_back(key.jobId);
        }
    }
    for (const auto& lost : m_data->unverifiedLosses)
        ids.push_back(lost.task.jobId);
    return { std::move(ids), m_data->knowsPreviousRuns(m_data->clock.now()) };
}

void cell_owner::onSuperseded(std::function<void()> callback)
{
    m_data->locked([&] { m_data->onTermSuperseded = std::move(callback); });
}

void cell_owner::setWorkers(std::vector<worker_registration> workers)
{
    m_data->locked([&] {
        std::set<worker_id> listed;
        for (auto& worker : workers) {
            listed.insert(worker.id);
            m_data->updateWorker(std::move(worker), m_data->clock.now());
        }
        for (auto& [id, session] : m_data->sessions) {
            if (!listed.contains(id))
                m_data->removeWorker(id);
        }
        m_data->workersKnown = true;
    });
}

void cell_owner::updateWorker(worker_registration worker)
{
    m_data->locked([&] { m_data->updateWorker(std::move(worker), m_data->clock.now()); });
}

void cell_owner::removeWorker(const worker_id& id)
{
    m_data->locked([&] { m_data->removeWorker(id); });
}

void cell_owner::tick()
{
    m_data->locked([&] { m_data->tick(m_data->clock.now()); });
}

result<jobs::job_state> cell_owner::data::stateOf(const std::string& id) const
{
    if (phase != owner_phase::serving)
        return fail(error_kind::owner_unknown, "the records of the cell have not been replayed yet");
    const auto known = jobTable.state(id);
    if (!known && !recordsAreCurrent(clock.now()))
        return fail(error_kind::owner_unknown, "the newest records of the cell could not be read");
    if (!known)
        return fail(error_kind::job_unknown, id);
    return *known;
}

void cell_owner::data::watchState(const std::string& id, job_completion done, time_point now)
{
    const auto known = stateOf(id);
    const open_job* job = jobTable.find(id);
    if (known == jobs::job_state::running && job->isPlaced())
        stateWatches.emplace(id, state_watch { std::move(done), now + maxStateWait });
    else
        deferredCalls.emplace_back([done = std::move(done), known] { done(known); });
}

void cell_owner::data::answerWatches(const std::string& id, jobs::job_state state)
{
    const auto [first, last] = stateWatches.equal_range(id);
    for (auto entry = first; entry != last; ++entry)
        deferredCalls.emplace_back([done = std::move(entry->second.done), state] { done(state); });
    stateWatches.erase(first, last);
}

void cell_owner::data::expireWatches(time_point now)
{
    for (auto entry = stateWatches.begin(); entry != stateWatches.end();) {
        if (now < entry->second.until) {
            ++entry;
            continue;
        }
        deferredCalls.emplace_back([done = std::move(entry->second.done), known = stateOf(entry->first)] { done(known); });
        entry = stateWatches.erase(entry);
    }
}

void cell_owner::awaitState(const std::string& jobId, job_completion done)
{
    m_data->locked([&] { m_data->watchState(jobId, std::move(done), m_data->clock.now()); });
}

result<jobs::job_state> cell_owner::state(const std::string& jobId) const
{
    const std::scoped_lock lock(m_data->mutex);
    return m_data->stateOf(jobId);
}

bool cell_owner::isServing() const
{
    const std::scoped_lock lock(m_data->mutex);
    return m_data->phase == owner_phase::serving;
}

result<std::uint32_t> cell_owner::pending(const std::string& queue) const
{
    const std::scoped_lock lock(m_data->mutex);
    const auto now = m_data->clock.now();
    if (!m_data->recordsAreCurrent(now))
        return fail(error_kind::owner_unknown, "the owner of the cell has not read the newest records");
    const auto counts = m_data->jobTable.pendingByQueue(now);
    const auto found = counts->find(queue);
    return found == counts->end() ? 0 : found->second;
}

cell_load cell_owner::load() const
{
    const std::scoped_lock lock(m_data->mutex);
    return m_data->currentLoad();
}

std::chrono::milliseconds cell_owner::lag() const
{
    const std::scoped_lock lock(m_data->mutex);
    return m_data->givesOrders() ? m_data->lag.value(m_data->clock.now()) : std::chrono::milliseconds(0);
}

cell_counters cell_owner::counterValues() const
{
    const std::scoped_lock lock(m_data->mutex);
    return m_data->counters;
}

} // namespace coriandermount::cells
