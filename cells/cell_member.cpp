#include "cells/cell_member.h"

#include <mutex>

#include <fmt/format.h>

#include "cells/ownership_codec.h"
#include "core/log.h"
#include "core/skipped_input.h"
#include "jobs/record_tail.h"

namespace coriandermount::cells {

namespace {

    /// Pause before a failed append is repeated.
    constexpr std::chrono::milliseconds appendRetryPause { 200 };
    /// Longest duration of a store call for which the cell changes hands while its owner is alive. A handover takes about six
    /// store calls, during which no task of the cell can start.
    constexpr std::chrono::milliseconds handoverCallLimit { 60 };
    /// Age up to which a measured duration of a store call is used, and pause between two measurements.
    constexpr std::chrono::milliseconds storeProbeInterval { 250 };
    /// Interval of liveness records while a draining owner waits for the store to become fast enough for a handover.
    constexpr std::chrono::milliseconds drainingRecordInterval { 250 };

} // namespace

struct cell_member::data : jobs::record_listener, std::enable_shared_from_this<cell_member::data> {
    jobs::record_store& store;
    const clock_source& clock;
    cell_owner& owner;
    worker_source& workers;
    jobs::record_stream stream;
    vm_incarnation self;
    ownership_settings settings;
    std::function<void()> ownershipChanged;

    mutable std::mutex mutex;
    std::vector<std::function<void()>> deferredCalls;
    ownership state;
    std::unique_ptr<jobs::record_tail> tail;
    std::uint64_t end = 0;
    bool wasOwner = false;
    bool appendInFlight = false;
    time_point nextAppendAt;
    time_point nextLivenessRecordAt;
    std::uint64_t livenessSequence = 0;
    /// Whether an append of the liveness record `livenessSequence` was not answered, so that its number may be used.
    bool livenessUnanswered = false;
    /// When the last stored liveness record of this owner was sent, and how long the append took.
    time_point lastAppendSentAt;
    std::chrono::nanoseconds lastAppendDuration { 0 };
    time_point drainingSince;
    /// From when on a draining owner hands the cell over to any VM.
    time_point preferenceLimit;
    bool probeInFlight = false;
    time_point nextProbeAt;
    /// When the store last answered a probe within `handoverCallLimit`.
    std::optional<time_point> storeFastAt;
    bool releaseRequested = false;
    /// Whether the owner has stopped in order to release the cell. The record of that may not be stored yet.
    bool releasing = false;
    /// Whether the previous owner had released the cell before the claim.
    bool claimedAfterRelease = false;
    bool draining = false;
    /// Whether the owner was told that the other VMs know of its term.
    bool termKnown = false;

    data(jobs::record_store& target, const clock_source& time, cell_owner& controlled, worker_source& workerSource,
        jobs::record_stream cellStream, cell_number cell, vm_incarnation vm, ownership_settings limits)
        : store(target)
        , clock(time)
        , owner(controlled)
        , workers(workerSource)
        , stream(std::move(cellStream))
        , self(std::move(vm))
        , settings(limits)
        , state(cell, self, limits, time.now())
    {
    }

    /// Runs `work` under the lock, then the deferred calls without the lock.
    template <class Work> void withLock(const Work& work)
    {
        std::vector<std::function<void()>> calls;
        {
            const std::scoped_lock lock(mutex);
            work();
            calls.swap(deferredCalls);
        }
        for (const auto& call : calls)
            call();
    }

    void onSnapshot(const std::vector<jobs::record>& records) override;
    void onRecord(const jobs::record& current) override;
    void onCaughtUp(time_point requestedAt) override;
    void apply(const jobs::record& current);
    void tick(time_point now);
    void notifyOwnershipChange() const
    {
        if (ownershipChanged)
            ownershipChanged();
    }
    void handleOwnershipChange();
    /// Tells the owner once the other VMs know of its term.
    void checkTermKnown(time_point now);
    /// Returns whether this owner has to release the cell now.
    bool shouldRelease(time_point now);
    /// Pauses or resumes the orders of this owner, also while an append is in flight.
    void pauseOrResume(time_point now);
    void runDueActions(time_point now);
    void appendRecords(jobs::append_request request, std::function<void(const result<std::uint64_t>&)> done);
    void claim();
    /// Claims the cell of an owner with less processor time once the store has been found fast enough for a handover.
    void preempt(time_point now);
    void onProbeAnswer(time_point sentAt, bool answered);
    void appendLivenessRecord(time_point now);
    void release();
};

void cell_member::data::onSnapshot(const std::vector<jobs::record>& records)
{
    withLock([&] {
        for (const auto& current : records)
            apply(current);
        handleOwnershipChange();
    });
}

void cell_member::data::onRecord(const jobs::record& current)
{
    withLock([&] {
        apply(current);
        handleOwnershipChange();
    });
}

void cell_member::data::onCaughtUp(time_point requestedAt)
{
    withLock([&] { state.onStoreContact(requestedAt); });
}

void cell_member::data::apply(const jobs::record& current)
{
    const auto now = clock.now();
    end = std::max(end, current.offset + 1);
    if (!current.value)
        return;
    if (current.key == ownerRecordKey) {
        if (const auto record = decodeOwnerRecord(*current.value)) {
            state.onOwnerRecord(*record, now);
            writeLog(log_level::info, "member", "received an owner record of the cell",
                { { "owner", record->owner.value }, { "epoch", fmt::to_string(record->epoch) },
                    { "released", record->released ? "yes" : "no" }, { "offset", fmt::to_string(current.offset) } });
        } else {
            reportSkippedInput("member", "owner record", current.key, record.error().detail);
        }
    } else if (current.key == livenessRecordKey) {
        if (const auto epoch = decodeLiveness(*current.value))
            state.onLivenessRecord(*epoch, now);
        else
            reportSkippedInput("member", "liveness record", current.key, epoch.error().detail);
    }
}

void cell_member::data::handleOwnershipChange()
{
    const bool owns = state.isOwner();
    if (owns == wasOwner)
        return;
    wasOwner = owns;
    livenessSequence = 1;
    livenessUnanswered = false;
    releasing = false;
    nextLivenessRecordAt = clock.now();
    if (!owns) {
        deferredCalls.emplace_back([self = shared_from_this()] {
            self->workers.stop();
            self->owner.stepDown();
            self->notifyOwnershipChange();
        });
        return;
    }
    state.onOwnershipVerified(clock.now());
    const ownership_term term { state.epoch(), claimedAfterRelease, state.previousOwnerSeenAt() };
    termKnown = false;
    deferredCalls.emplace_back([self = shared_from_this(), term] {
        self->owner.takeOver(term);
        self->workers.start();
        self->notifyOwnershipChange();
    });
}

void cell_member::data::checkTermKnown(time_point now)
{
    if (termKnown || !state.isKnownToPeers(now))
        return;
    termKnown = true;
    deferredCalls.emplace_back([self = shared_from_this(), epoch = state.epoch()] { self->owner.noteTermKnown(epoch); });
}

void cell_member::data::appendRecords(jobs::append_request request, std::function<void(const result<std::uint64_t>&)> done)
{
    appendInFlight = true;
    request.stream = stream;
    deferredCalls.emplace_back([self = shared_from_this(), request = std::move(request), done = std::move(done)] {
        self->store.append(request, [self, done](const result<std::uint64_t>& answer) {
            self->withLock([&] {
                self->appendInFlight = false;
                if (!answer)
                    self->nextAppendAt = self->clock.now() + appendRetryPause;
                done(answer);
            });
        });
    });
}

void cell_member::data::claim()
{
    const owner_record record { state.epoch() + 1, self.id, self.incarnation, false, self.processorMillis };
    claimedAfterRelease = state.owner() && state.owner()->released;
    jobs::append_request request;
    request.records.push_back({ std::string(ownerRecordKey), encodeOwnerRecord(record), 0 });
    request.expectedEnd = end;
    request.from = jobs::writer { "owner", record.epoch, 0 };
    writeLog(log_level::info, "member", "claiming the cell",
        { { "epoch", fmt::to_string(record.epoch) }, { "end", fmt::to_string(end) } });
    appendRecords(std::move(request), [](const result<std::uint64_t>& answer) {
        // The claim takes effect when it is read back from the store, so a lost answer needs no further handling.
        if (!answer)
            writeLog(log_level::info, "member", "the claim of the cell failed or its answer was lost",
                { { "detail", answer.error().detail } });
    });
}

void cell_member::data::preempt(time_point now)
{
    if (storeFastAt && now - *storeFastAt < storeProbeInterval) {
        writeLog(log_level::info, "member", "taking the cell over from a VM with less processor time",
            { { "owner", state.owner()->owner.value },
                { "owner_processor_millis", fmt::to_string(state.owner()->processorMillis) },
                { "processor_millis", fmt::to_string(self.processorMillis) } });
        storeFastAt.reset();
        claim();
        return;
    }
    if (probeInFlight || now < nextProbeAt)
        return;
    probeInFlight = true;
    deferredCalls.emplace_back([self = shared_from_this(), from = end, now] {
        self->store.read(self->stream, from, std::chrono::milliseconds(0),
            [self, now](const auto& answer) { self->withLock([&] { self->onProbeAnswer(now, answer.has_value()); }); });
    });
}

void cell_member::data::onProbeAnswer(time_point sentAt, bool answered)
{
    const auto now = clock.now();
    probeInFlight = false;
    nextProbeAt = now + storeProbeInterval;
    if (answered && now - sentAt <= handoverCallLimit)
        storeFastAt = now;
}

void cell_member::data::appendLivenessRecord(time_point now)
{
    jobs::append_request request;
    request.records.push_back({ std::string(livenessRecordKey), encodeLiveness(state.epoch()), 0 });
    request.from = jobs::writer { "owner", state.epoch(), livenessSequence };
    appendRecords(std::move(request), [this, now, epoch = state.epoch()](const result<std::uint64_t>& answer) {
        if (epoch != state.epoch())
            return;
        livenessUnanswered = livenessUnanswered || (!answer && answer.error().kind == error_kind::log_answer_lost);
        if (!answer)
            return;
        livenessUnanswered = false;
        ++livenessSequence;
        lastAppendSentAt = now;
        lastAppendDuration = clock.now() - now;
        nextLivenessRecordAt = now + (draining ? drainingRecordInterval : settings.recordInterval);
        state.onOwnershipVerified(now);
    });
}

void cell_member::data::release()
{
    owner_record record = *state.owner();
    record.released = true;
    releasing = true;
    jobs::append_request request;
    request.records.push_back({ std::string(ownerRecordKey), encodeOwnerRecord(record), 0 });
    request.from = jobs::writer { "owner", record.epoch, livenessSequence };
    deferredCalls.emplace_back([self = shared_from_this()] {
        self->workers.stop();
        self->owner.handOver();
    });
    appendRecords(std::move(request), [](const result<std::uint64_t>&) {});
}

bool cell_member::data::shouldRelease(time_point now)
{
    if (releaseRequested || releasing)
        return true;
    if (lastAppendDuration > handoverCallLimit || lastAppendSentAt < drainingSince)
        return false;
    const auto choice = now < preferenceLimit ? successor_choice::comparable : successor_choice::any;
    if (draining && state.hasSuccessor(choice, now))
        return true;
    if (draining || !state.hasStrongerSuccessor(now))
        return false;
    writeLog(log_level::info, "member", "handing the cell over to a VM with more processor time",
        { { "epoch", fmt::to_string(state.epoch()) } });
    return true;
}

void cell_member::data::pauseOrResume(time_point now)
{
    if (!state.isOwner())
        return;
    const auto advice = state.advise(now);
    if (advice != ownership_advice::pause && advice != ownership_advice::resume)
        return;
    deferredCalls.emplace_back([self = shared_from_this(), advice] {
        if (advice == ownership_advice::pause)
            self->owner.pause();
        else
            self->owner.resume();
    });
}

void cell_member::data::runDueActions(time_point now)
{
    pauseOrResume(now);
    if (appendInFlight || now < nextAppendAt)
        return;
    const bool owns = state.isOwner();
    const auto advice = owns ? ownership_advice::none : state.advise(now);
    if (advice == ownership_advice::claim)
        claim();
    else if (advice == ownership_advice::preempt)
        preempt(now);
    else if (owns && !livenessUnanswered && shouldRelease(now))
        release();
    else if (owns && (livenessUnanswered || now >= nextLivenessRecordAt || state.needsVerification(now)))
        appendLivenessRecord(now);
}

void cell_member::data::tick(time_point now)
{
    handleOwnershipChange();
    checkTermKnown(now);
    runDueActions(now);
    deferredCalls.emplace_back([self = shared_from_this(), now] {
        self->tail->tick(now);
        self->workers.tick(now);
    });
}

cell_member::cell_member(jobs::record_store& store, const clock_source& clock, cell_owner& owner, worker_source& workers,
    jobs::record_stream stream, cell_number cell, vm_incarnation self, ownership_settings settings)
    : m_data(std::make_shared<data>(store, clock, owner, workers, std::move(stream), cell, std::move(self), settings))
{
    m_data->tail = std::make_unique<jobs::record_tail>(store, clock, m_data->stream, m_data);
}

cell_member::~cell_member() { stop(); }

void cell_member::start() { m_data->tail->start(); }

void cell_member::stop() { m_data->tail->stop(); }

void cell_member::tick()
{
    m_data->withLock([&] { m_data->tick(m_data->clock.now()); });
}

void cell_member::onHeartbeat(const heartbeat& current)
{
    m_data->withLock([&] {
        const auto now = m_data->clock.now();
        m_data->state.onHeartbeat(current, now);
        m_data->handleOwnershipChange();
        if (m_data->state.needsVerification(now))
            m_data->runDueActions(now);
    });
}

void cell_member::setHeartbeatScope(heartbeat_scope scope)
{
    m_data->withLock([&] { m_data->state.setHeartbeatScope(scope); });
}

void cell_member::drain(time_point preferenceLimit)
{
    m_data->withLock([&] {
        m_data->state.drain();
        m_data->draining = true;
        m_data->drainingSince = m_data->clock.now();
        m_data->preferenceLimit = preferenceLimit;
        // The duration of this append shows whether the store is fast enough for a handover.
        m_data->nextLivenessRecordAt = m_data->drainingSince;
    });
}

void cell_member::release()
{
    m_data->withLock([&] { m_data->releaseRequested = true; });
}

bool cell_member::isOwner() const
{
    const std::scoped_lock lock(m_data->mutex);
    return m_data->state.isOwner();
}

bool cell_member::isDraining() const
{
    const std::scoped_lock lock(m_data->mutex);
    return m_data->draining;
}

vm_id cell_member::ownerVm() const
{
    const std::scoped_lock lock(m_data->mutex);
    const auto& owner = m_data->state.owner();
    return owner && !owner->released ? owner->owner : vm_id {};
}

void cell_member::onOwnershipChange(std::function<void()> ownershipChanged)
{
    const std::scoped_lock lock(m_data->mutex);
    m_data->ownershipChanged = std::move(ownershipChanged);
}

bool cell_member::storeReachable() const
{
    const std::scoped_lock lock(m_data->mutex);
    return m_data->state.storeReachable(m_data->clock.now());
}

std::uint64_t cell_member::epoch() const
{
    const std::scoped_lock lock(m_data->mutex);
    return m_data->state.view(m_data->clock.now()).epoch;
}

cell_view cell_member::view() const
{
    cell_view current;
    {
        const std::scoped_lock lock(m_data->mutex);
        current = m_data->state.view(m_data->clock.now());
    }
    if (current.owned)
        current.load = m_data->owner.load();
    return current;
}

} // namespace coriandermount::cells
