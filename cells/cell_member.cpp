#include "cells/cell_member.h"

#include <mutex>

#include <fmt/format.h>

#include "cells/ownership_codec.h"
#include "core/log.h"
#include "jobs/record_tail.h"

namespace coriandermount::cells {

namespace {

    /// Pause before a failed write is repeated.
    constexpr std::chrono::milliseconds writeRetry { 200 };
    /// Time of a write up to which the cell is handed over: a handover takes about six calls of the store, in which nobody
    /// starts anything.
    constexpr std::chrono::milliseconds quickWrite { 60 };
    /// Time between the records of an owner that waits for the store to become quick.
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
    std::function<void()> changed;

    mutable std::mutex mutex;
    std::vector<std::function<void()>> outbox;
    ownership state;
    std::unique_ptr<jobs::record_tail> tail;
    std::uint64_t end = 0;
    bool wasOwner = false;
    bool writeInFlight = false;
    time_point nextWrite;
    time_point nextRecord;
    std::uint64_t aliveSequence = 0;
    /// The last record of this owner that was sent and stored, and how long that took.
    time_point storedAt;
    std::chrono::nanoseconds storedWithin { 0 };
    time_point drainingSince;
    bool releaseAnyway = false;
    /// The claim followed a release of the previous owner.
    bool claimedAfterRelease = false;
    bool draining = false;

    data(jobs::record_store& target, const clock_source& time, cell_owner& controlled, worker_source& directory,
        jobs::record_stream source, cell_number cell, vm_incarnation vm, ownership_settings limits)
        : store(target)
        , clock(time)
        , owner(controlled)
        , workers(directory)
        , stream(std::move(source))
        , self(std::move(vm))
        , settings(limits)
        , state(cell, self, limits, time.now())
    {
    }

    template <class Work> void locked(const Work& work)
    {
        std::vector<std::function<void()>> calls;
        {
            const std::scoped_lock lock(mutex);
            work();
            calls.swap(outbox);
        }
        for (const auto& call : calls)
            call();
    }

    void onSnapshot(const std::vector<jobs::record>& records) override;
    void onRecord(const jobs::record& current) override;
    void onContact(time_point asked) override;
    void apply(const jobs::record& current);
    void tick(time_point now);
    void tellChange() const
    {
        if (changed)
            changed();
    }
    void followOwnership();
    /// The owner is to release the cell.
    bool handsOver(time_point now);
    void writeDue(time_point now);
    void write(jobs::append_request request, std::function<void(const result<std::uint64_t>&)> done);
    void claim();
    void writeAlive(time_point now);
    void release();
};

void cell_member::data::onSnapshot(const std::vector<jobs::record>& records)
{
    locked([&] {
        for (const auto& current : records)
            apply(current);
        followOwnership();
    });
}

void cell_member::data::onRecord(const jobs::record& current)
{
    locked([&] {
        apply(current);
        followOwnership();
    });
}

void cell_member::data::onContact(time_point asked)
{
    locked([&] { state.onStoreContact(asked); });
}

void cell_member::data::apply(const jobs::record& current)
{
    const auto now = clock.now();
    end = std::max(end, current.offset + 1);
    if (!current.value)
        return;
    if (current.key == ownerRecordKey) {
        if (const auto record = decodeOwnerRecord(*current.value)) {
            state.onOwner(*record, now);
            writeLog(log_level::info, "member", "the cell has an owner",
                { { "owner", record->owner.value }, { "epoch", fmt::to_string(record->epoch) },
                    { "released", record->released ? "yes" : "no" }, { "offset", fmt::to_string(current.offset) } });
        }
    } else if (current.key == aliveRecordKey) {
        if (const auto epoch = decodeAlive(*current.value))
            state.onOwnerAlive(*epoch, now);
    }
}

void cell_member::data::followOwnership()
{
    const bool owns = state.isOwner();
    if (owns == wasOwner)
        return;
    wasOwner = owns;
    aliveSequence = 1;
    nextRecord = clock.now();
    if (!owns) {
        outbox.emplace_back([self = shared_from_this()] {
            self->workers.stop();
            self->owner.stepDown();
            self->tellChange();
        });
        return;
    }
    state.onVerified(clock.now());
    const ownership_term term { state.epoch(), claimedAfterRelease };
    outbox.emplace_back([self = shared_from_this(), term] {
        self->owner.takeOver(term);
        self->workers.start();
        self->tellChange();
    });
}

void cell_member::data::write(jobs::append_request request, std::function<void(const result<std::uint64_t>&)> done)
{
    writeInFlight = true;
    request.stream = stream;
    outbox.emplace_back([self = shared_from_this(), request = std::move(request), done = std::move(done)] {
        self->store.append(request, [self, done](const result<std::uint64_t>& answer) {
            self->locked([&] {
                self->writeInFlight = false;
                if (!answer)
                    self->nextWrite = self->clock.now() + writeRetry;
                done(answer);
            });
        });
    });
}

void cell_member::data::claim()
{
    const owner_record record { state.epoch() + 1, self.id, self.incarnation, false };
    claimedAfterRelease = state.owner() && state.owner()->released;
    jobs::append_request request;
    request.records.push_back({ std::string(ownerRecordKey), encodeOwnerRecord(record), 0 });
    request.expectedEnd = end;
    request.from = jobs::writer { "owner", record.epoch, 0 };
    writeLog(log_level::info, "member", "claims the cell",
        { { "epoch", fmt::to_string(record.epoch) }, { "end", fmt::to_string(end) } });
    write(std::move(request), [](const result<std::uint64_t>& answer) {
        // The claim counts once it is read back; a lost answer needs no other treatment.
        if (!answer)
            writeLog(
                log_level::info, "member", "the claim was not answered with success", { { "detail", answer.error().detail } });
    });
}

void cell_member::data::writeAlive(time_point now)
{
    jobs::append_request request;
    request.records.push_back({ std::string(aliveRecordKey), encodeAlive(state.epoch()), 0 });
    request.from = jobs::writer { "owner", state.epoch(), aliveSequence };
    write(std::move(request), [this, now, epoch = state.epoch()](const result<std::uint64_t>& answer) {
        if (!answer || epoch != state.epoch())
            return;
        ++aliveSequence;
        storedAt = now;
        storedWithin = clock.now() - now;
        nextRecord = now + (draining ? drainingRecordInterval : settings.recordInterval);
        state.onVerified(now);
    });
}

void cell_member::data::release()
{
    owner_record record = *state.owner();
    record.released = true;
    jobs::append_request request;
    request.records.push_back({ std::string(ownerRecordKey), encodeOwnerRecord(record), 0 });
    request.from = jobs::writer { "owner", record.epoch, aliveSequence };
    outbox.emplace_back([self = shared_from_this()] {
        self->workers.stop();
        self->owner.stepDown();
    });
    write(std::move(request), [](const result<std::uint64_t>&) {});
}

bool cell_member::data::handsOver(time_point now)
{
    if (releaseAnyway)
        return true;
    if (storedWithin > quickWrite || storedAt < drainingSince)
        return false;
    if (draining && state.hasSuccessor(now))
        return true;
    if (draining || !state.hasStrongerSuccessor(now))
        return false;
    writeLog(log_level::info, "member", "hands the cell over to a stronger VM", { { "epoch", fmt::to_string(state.epoch()) } });
    return true;
}

void cell_member::data::writeDue(time_point now)
{
    if (writeInFlight || now < nextWrite)
        return;
    const auto advice = state.advise(now);
    if (advice == ownership_advice::pause || advice == ownership_advice::resume) {
        outbox.emplace_back([self = shared_from_this(), advice] {
            if (advice == ownership_advice::pause)
                self->owner.pause();
            else
                self->owner.resume();
        });
    }
    if (advice == ownership_advice::claim)
        claim();
    else if (state.isOwner() && handsOver(now))
        release();
    else if (state.isOwner() && now >= nextRecord)
        writeAlive(now);
}

void cell_member::data::tick(time_point now)
{
    followOwnership();
    writeDue(now);
    outbox.emplace_back([self = shared_from_this(), now] {
        self->tail->tick(now);
        self->workers.tick(now);
    });
}

cell_member::cell_member(jobs::record_store& store, const clock_source& clock, cell_owner& owner, worker_source& workers,
    jobs::record_stream stream, cell_number cell, vm_incarnation self, ownership_settings settings)
    : m_data(std::make_shared<data>(store, clock, owner, workers, std::move(stream), cell, std::move(self), settings))
{
    m_data->tail = std::make_unique<jobs::record_tail>(store, clock, m_data->stream, *m_data);
}

cell_member::~cell_member() { stop(); }

void cell_member::start() { m_data->tail->start(); }

void cell_member::stop() { m_data->tail->stop(); }

void cell_member::tick()
{
    m_data->locked([&] { m_data->tick(m_data->clock.now()); });
}

void cell_member::onHeartbeat(const heartbeat& current)
{
    m_data->locked([&] {
        m_data->state.onHeartbeat(current, m_data->clock.now());
        m_data->followOwnership();
    });
}

void cell_member::setHeartbeatScope(heartbeat_scope scope)
{
    m_data->locked([&] { m_data->state.setHeartbeatScope(scope); });
}

void cell_member::drain()
{
    m_data->locked([&] {
        m_data->state.drain();
        m_data->draining = true;
        m_data->drainingSince = m_data->clock.now();
        // Its answer tells whether the store is quick.
        m_data->nextRecord = m_data->drainingSince;
    });
}

void cell_member::release()
{
    m_data->locked([&] { m_data->releaseAnyway = true; });
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

void cell_member::onOwnershipChange(std::function<void()> changed)
{
    const std::scoped_lock lock(m_data->mutex);
    m_data->changed = std::move(changed);
}

bool cell_member::storeReachable() const
{
    const std::scoped_lock lock(m_data->mutex);
    return m_data->state.storeReachable(m_data->clock.now());
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
