#include "cells/cell_owner_data.h"

#include <fmt/format.h>

namespace coriandermount::cells {

cell_owner::cell_owner(
    jobs::record_store& store, worker_link& link, const clock_source& clock, jobs::record_stream stream, cell_settings settings)
    : m_data(std::make_shared<data>(store, link, clock, std::move(stream), settings))
{
}

cell_owner::~cell_owner()
{
    // The neighbors may have ended before.
    m_data->locked([&] { m_data->neighbors = nullptr; });
    stepDown();
}

void cell_owner::data::begin(const ownership_term& next)
{
    end();
    term = next;
    phase = owner_phase::fencing;
    takenOverAt = clock.now();
    recordsAsOf = {};
    nextMark = takenOverAt;
    writeLog(log_level::info, "cell", "takes over",
        { { "epoch", fmt::to_string(term.epoch) }, { "previous_stopped", term.previousOwnerStopped ? "yes" : "no" } });
    writeMark(takenOverAt);
}

void cell_owner::data::end()
{
    if (phase != owner_phase::idle)
        writeLog(log_level::info, "cell", "steps down", { { "epoch", fmt::to_string(term.epoch) } });
    failWaiters("the term has ended");
    endedRuns.clear();
    orphanEnds.clear();
    lentBefore.clear();
    lentKnown = false;
    lentComplete = false;
    if (neighbors && phase != owner_phase::idle)
        outbox.emplace_back([self = shared_from_this()] { self->neighbors->forgetLentJobs(); });
    ++termNumber;
    phase = owner_phase::idle;
    expireWatches(time_point::max());
    paused = false;
    markInFlight = false;
    workersKnown = false;
    settled = false;
    book.clear();
    sessions.clear();
    ready.clear();
    sequence = 0;
    flushNumber = 0;
    flush.reset();
    flushInFlight = false;
    flushedJobs.clear();
    flushedEnds.clear();
    strayKeys.clear();
    finishedKeys.clear();
    if (tail)
        tail->stop();
    tail.reset();
}

void cell_owner::data::writeMark(time_point now)
{
    if (phase != owner_phase::fencing || markInFlight || now < nextMark)
        return;
    markInFlight = true;
    jobs::append_request request;
    request.stream = stream;
    request.records.push_back({ jobs::ownerKey(), jobs::encodeOwner(term.epoch), 0 });
    request.from = jobs::writer { "owner", term.epoch, 0 };
    outbox.emplace_back([self = shared_from_this(), request = std::move(request), number = termNumber] {
        self->store.append(request, [self, number](const result<std::uint64_t>& answer) {
            self->locked([&] {
                if (number == self->termNumber)
                    self->onMark(answer);
            });
        });
    });
}

void cell_owner::data::onMark(const result<std::uint64_t>& answer)
{
    markInFlight = false;
    if (!answer && answer.error().kind == error_kind::log_epoch_fenced) {
        loseTerm("the store has seen a higher epoch");
        return;
    }
    if (!answer) {
        nextMark = clock.now() + flushRetry;
        return;
    }
    markOffset = *answer;
    sequence = 1;
    phase = owner_phase::replaying;
    tail = std::make_unique<jobs::record_tail>(store, clock, stream, *this);
    outbox.emplace_back([self = shared_from_this(), started = tail.get(), number = termNumber] {
        if (number == self->termNumber)
            started->start();
    });
}

void cell_owner::data::loseTerm(std::string_view reason)
{
    writeLog(log_level::warning, "cell", "is superseded",
        { { "epoch", fmt::to_string(term.epoch) }, { "reason", std::string(reason) } });
    end();
    if (superseded)
        outbox.push_back(superseded);
}

void cell_owner::data::tick(time_point now)
{
    writeMark(now);
    if (tail)
        tail->tick(now);
    expireWatches(now);
    if (!givesOrders())
        return;
    holdWorkers(now);
    schedule(now);
    checkRuns(now);
    if (lentKnown && !lentComplete && now >= nextLentQuestion)
        queryLentJobs();
    prepareFlush(now);
    sendFlush(now);
}

void cell_owner::takeOver(const ownership_term& term)
{
    m_data->locked([&] { m_data->begin(term); });
}

void cell_owner::stepDown()
{
    m_data->locked([&] {
        if (m_data->phase != owner_phase::idle)
            m_data->end();
    });
}

void cell_owner::pause()
{
    m_data->locked([&] {
        if (!m_data->paused && m_data->phase != owner_phase::idle)
            writeLog(log_level::warning, "cell", "pauses: the ownership is not verified");
        m_data->paused = true;
    });
}

void cell_owner::resume()
{
    m_data->locked([&] { m_data->paused = false; });
}

void cell_owner::lendTo(neighbor_cells& neighbors)
{
    m_data->locked([&] { m_data->neighbors = &neighbors; });
}

std::optional<std::vector<std::string>> cell_owner::jobsRunFor(jobs::lender home)
{
    std::vector<std::string> ids;
    const std::scoped_lock lock(m_data->mutex);
    auto& known = m_data->lenderEpochs[home.cell];
    known = std::max(known, home.epoch);
    if (!m_data->givesOrders() || !m_data->isSettled(m_data->clock.now()))
        return std::nullopt;
    for (const auto& [id, job] : m_data->book.open()) {
        if (job.lentBy == home.cell)
            ids.push_back(id);
    }
    // Nobody has handed these in again: any cell may have lent them.
    for (const auto& [worker, session] : m_data->sessions) {
        for (const auto& [key, current] : session.runs()) {
            if (current.orphaned)
                ids.push_back(key.jobId);
        }
    }
    return ids;
}

void cell_owner::onSuperseded(std::function<void()> lost)
{
    m_data->locked([&] { m_data->superseded = std::move(lost); });
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
        return fail(error_kind::owner_unknown, "the records of the cell are not replayed yet");
    const auto known = book.state(id);
    if (!known && !recordsAreCurrent(clock.now()))
        return fail(error_kind::owner_unknown, "the newest records of the cell could not be read");
    if (!known)
        return fail(error_kind::job_unknown, id);
    return *known;
}

void cell_owner::data::watchState(const std::string& id, job_completion done, time_point now)
{
    const auto known = stateOf(id);
    const open_job* job = book.find(id);
    if (known == jobs::job_state::running && job->isPlaced())
        stateWatches.emplace(id, state_watch { std::move(done), now + stateWait });
    else
        outbox.emplace_back([done = std::move(done), known] { done(known); });
}

void cell_owner::data::answerWatches(const std::string& id, jobs::job_state state)
{
    const auto [first, last] = stateWatches.equal_range(id);
    for (auto entry = first; entry != last; ++entry)
        outbox.emplace_back([done = std::move(entry->second.done), state] { done(state); });
    stateWatches.erase(first, last);
}

void cell_owner::data::expireWatches(time_point now)
{
    for (auto entry = stateWatches.begin(); entry != stateWatches.end();) {
        if (now < entry->second.until) {
            ++entry;
            continue;
        }
        outbox.emplace_back([done = std::move(entry->second.done), known = stateOf(entry->first)] { done(known); });
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

cell_load cell_owner::load() const
{
    const std::scoped_lock lock(m_data->mutex);
    return m_data->currentLoad();
}

cell_figures cell_owner::figures() const
{
    const std::scoped_lock lock(m_data->mutex);
    return m_data->figures;
}

} // namespace coriandermount::cells
