#include "cells/cell_member.h"

#include <mutex>

#include <fmt/format.h>

#include "cells/ownership_codec.h"
#include "core/log.h"
#include "jobs/record_tail.h"

namespace coriandermount::cells {

namespace {

    /// Time between beats of the owner, and of the other VMs.
    constexpr std::chrono::milliseconds ownerBeatInterval { 100 };
    constexpr std::chrono::milliseconds beatInterval { 200 };
    /// Pause before a failed write is repeated.
    constexpr std::chrono::milliseconds writeRetry { 200 };
    /// Age after which a load that was heard is no longer acted upon.
    constexpr std::chrono::milliseconds loadLimit { 1000 };

} // namespace

struct cell_member::data : jobs::record_listener, std::enable_shared_from_this<cell_member::data> {
    jobs::record_store& store;
    beat_link& link;
    const clock_source& clock;
    cell_owner& owner;
    worker_directory& workers;
    jobs::record_stream stream;
    vm_registration self;
    ownership_settings settings;

    mutable std::mutex mutex;
    std::vector<std::function<void()>> outbox;
    ownership state;
    std::unique_ptr<jobs::record_tail> tail;
    std::uint64_t end = 0;
    bool wasOwner = false;
    bool registered = false;
    bool writeInFlight = false;
    time_point nextWrite;
    time_point nextRecord;
    time_point nextBeat;
    std::uint64_t aliveSequence = 0;
    bool releaseWanted = false;
    /// The claim followed a release of the previous owner.
    bool claimedAfterRelease = false;
    cell_load heardLoad;
    time_point loadAt;

    data(jobs::record_store& target, beat_link& beats, const clock_source& time, cell_owner& controlled, worker_directory& directory,
        jobs::record_stream source, vm_registration registration, ownership_settings limits)
        : store(target)
        , link(beats)
        , clock(time)
        , owner(controlled)
        , workers(directory)
        , stream(std::move(source))
        , self(std::move(registration))
        , settings(limits)
        , state(self.id, self.boot, limits, time.now())
        , loadAt(time.now())
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
    void onContactLost(const error& problem) override;
    void apply(const jobs::record& current);
    void tick(time_point now);
    void followOwnership();
    void sendBeats(time_point now);
    void writeDue(time_point now);
    void write(jobs::append_request request, std::function<void(const result<std::uint64_t>&)> done);
    void registerVm();
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

void cell_member::data::onContactLost(const error& problem)
{
    writeLog(log_level::warning, "member", "can't read the cell's records", { { "detail", problem.detail } });
}

void cell_member::data::apply(const jobs::record& current)
{
    const auto now = clock.now();
    end = std::max(end, current.offset + 1);
    if (current.key.starts_with(vmRecordPrefix)) {
        if (!current.value)
            state.onVmRemoved({ current.key.substr(vmRecordPrefix.size()) });
        else if (const auto registration = decodeVm(*current.value))
            state.onVm(*registration);
        return;
    }
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
        });
        return;
    }
    state.onVerified(clock.now());
    const ownership_term term { state.epoch(), claimedAfterRelease };
    outbox.emplace_back([self = shared_from_this(), term] {
        self->owner.takeOver(term);
        self->workers.start();
    });
}

void cell_member::data::sendBeats(time_point now)
{
    if (now < nextBeat)
        return;
    const bool owns = state.isOwner();
    nextBeat = now + (owns ? ownerBeatInterval : beatInterval);
    beat current = state.ownBeat(now);
    std::vector<std::string> addresses;
    for (const auto& [id, registration] : state.vms()) {
        if (id != self.id)
            addresses.push_back(registration.address);
    }
    outbox.emplace_back([self = shared_from_this(), current, owns, addresses = std::move(addresses)]() mutable {
        if (owns)
            current.load = self->owner.load();
        const std::string datagram = encode(current);
        for (const auto& address : addresses)
            self->link.send(address, datagram);
        if (owns)
            self->locked([&] {
                self->heardLoad = *current.load;
                self->loadAt = self->clock.now();
            });
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

void cell_member::data::registerVm()
{
    jobs::append_request request;
    request.records.push_back({ std::string(vmRecordPrefix) + self.id.value, encodeVm(self), 0 });
    write(std::move(request), [this](const result<std::uint64_t>& answer) { registered = answer.has_value(); });
}

void cell_member::data::claim()
{
    const owner_record record { state.epoch() + 1, self.id, self.boot, false };
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
            writeLog(log_level::info, "member", "the claim was not answered with success", { { "detail", answer.error().detail } });
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
        nextRecord = now + settings.recordInterval;
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
    write(std::move(request), [](const result<std::uint64_t>&) { });
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
    if (!registered)
        registerVm();
    else if (advice == ownership_advice::claim)
        claim();
    else if (releaseWanted && state.isOwner())
        release();
    else if (state.isOwner() && now >= nextRecord)
        writeAlive(now);
}

void cell_member::data::tick(time_point now)
{
    followOwnership();
    sendBeats(now);
    writeDue(now);
    outbox.emplace_back([self = shared_from_this(), now] {
        self->tail->tick(now);
        self->workers.tick(now);
    });
}

cell_member::cell_member(jobs::record_store& store, beat_link& link, const clock_source& clock, cell_owner& owner,
    worker_directory& workers, jobs::record_stream stream, vm_registration self, ownership_settings settings)
    : m_data(std::make_shared<data>(store, link, clock, owner, workers, std::move(stream), std::move(self), settings))
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

void cell_member::onDatagram(const std::string& datagram)
{
    const auto current = decodeBeat(datagram);
    if (!current)
        return;
    m_data->locked([&] {
        const auto now = m_data->clock.now();
        m_data->state.onBeat(*current, now);
        m_data->followOwnership();
        if (!current->load)
            return;
        m_data->heardLoad = *current->load;
        m_data->loadAt = now;
    });
}

void cell_member::drain()
{
    m_data->locked([&] {
        m_data->state.drain();
        m_data->releaseWanted = true;
    });
}

bool cell_member::isOwner() const
{
    const std::scoped_lock lock(m_data->mutex);
    return m_data->state.isOwner();
}

bool cell_member::ownerKnown() const
{
    const std::scoped_lock lock(m_data->mutex);
    return m_data->state.isOwner() || !m_data->state.ownerAddress().empty();
}

std::string cell_member::ownerAddress() const
{
    const std::scoped_lock lock(m_data->mutex);
    return m_data->state.ownerAddress();
}

bool cell_member::storeReachable() const
{
    const std::scoped_lock lock(m_data->mutex);
    return m_data->state.storeReachable(m_data->clock.now());
}

cell_load cell_member::load() const
{
    const std::scoped_lock lock(m_data->mutex);
    return m_data->clock.now() - m_data->loadAt < loadLimit ? m_data->heardLoad : cell_load {};
}

} // namespace coriandermount::cells
