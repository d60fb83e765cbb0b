#include "cells/vm_directory.h"

#include <algorithm>

#include <map>
#include <mutex>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "core/log.h"
#include "jobs/record_tail.h"

namespace coriandermount::cells {

using json = nlohmann::json;

namespace {

    /// Time between beats of an owner, and of the other VMs.
    constexpr std::chrono::milliseconds ownerBeatInterval { 100 };
    constexpr std::chrono::milliseconds beatInterval { 200 };
    /// Time between beats to VMs that only have to know the owner; two of them within `ownerLimit`.
    constexpr std::chrono::milliseconds seldomBeatInterval { 400 };
    /// Pause before a failed registration is repeated.
    constexpr std::chrono::milliseconds registrationRetry { 200 };
    /// Age after which an owner that was heard is no longer relied on; ten beats.
    constexpr std::chrono::milliseconds ownerLimit { 1000 };

    std::string encodeVm(const vm_registration& registration)
    {
        std::string packed;
        json::to_msgpack(json::array({ registration.vm.id.value, registration.vm.incarnation, registration.address,
                             registration.failureDomain.value, registration.vm.processorMillis }),
            packed);
        return packed;
    }

    result<vm_registration> decodeVm(const std::string& value)
    {
        try {
            const json fields = json::from_msgpack(value);
            return vm_registration { { { fields.at(0) }, fields.at(1), fields.at(4) }, fields.at(2), { fields.at(3) } };
        } catch (const json::exception& problem) {
            return fail(error_kind::malformed_request, fmt::format("a registration can't be read: {}", problem.what()));
        }
    }

} // namespace

struct vm_directory::data final : jobs::record_listener, std::enable_shared_from_this<vm_directory::data> {
    struct known_owner {
        vm_id vm;
        std::uint64_t epoch = 0;
        cell_load load;
        time_point at;
    };

    jobs::record_store& store;
    heartbeat_link& link;
    const clock_source& clock;
    jobs::record_stream stream;
    vm_registration self;
    heartbeat_source source;
    std::unique_ptr<jobs::record_tail> tail;

    mutable std::mutex mutex;
    heartbeat_plan plan;
    std::map<cell_number, known_owner> owners;
    bool registered = false;
    bool registering = false;
    time_point nextRegistration;
    time_point nextBeat;
    time_point nextSeldomBeat;

    data(jobs::record_store& target, heartbeat_link& beats, const clock_source& time, jobs::record_stream where,
        vm_registration registration, heartbeat_source what)
        : store(target)
        , link(beats)
        , clock(time)
        , stream(std::move(where))
        , self(std::move(registration))
        , source(std::move(what))
    {
    }

    void onSnapshot(const std::vector<jobs::record>& records) override;
    void onRecord(const jobs::record& current) override;
    void onContact(time_point) override { }
    void registerSelf(time_point now);
    void sendBeat(time_point now);
    void note(const heartbeat& current);
    void noteOwner(const cell_view& view, const vm_id& vm, time_point at);
    std::vector<vm_id> freshOwners(time_point now) const;
    std::vector<relayed_owner> relayedOwners(time_point now) const;
};

void vm_directory::data::onSnapshot(const std::vector<jobs::record>& records)
{
    for (const auto& current : records)
        onRecord(current);
}

void vm_directory::data::onRecord(const jobs::record& current)
{
    const std::scoped_lock lock(mutex);
    if (!current.value) {
        plan.forget({ current.key });
        return;
    }
    const auto registration = decodeVm(*current.value);
    if (!registration)
        return;
    plan.note(*registration);
    if (registration->failureDomain == self.failureDomain)
        writeLog(log_level::info, "directory", "a VM is registered",
            { { "vm", registration->vm.id.value }, { "address", registration->address },
                { "boot", fmt::to_string(registration->vm.incarnation) },
                { "processor_millis", fmt::to_string(registration->vm.processorMillis) } });
}

void vm_directory::data::registerSelf(time_point now)
{
    {
        const std::scoped_lock lock(mutex);
        if (registered || registering || now < nextRegistration)
            return;
        registering = true;
    }
    jobs::append_request request;
    request.stream = stream;
    request.records.push_back({ self.vm.id.value, encodeVm(self), 0 });
    store.append(std::move(request), [data = shared_from_this()](const result<std::uint64_t>& answer) {
        const std::scoped_lock lock(data->mutex);
        data->registering = false;
        data->registered = answer.has_value();
        data->nextRegistration = data->clock.now() + registrationRetry;
    });
}

std::vector<vm_id> vm_directory::data::freshOwners(time_point now) const
{
    std::vector<vm_id> fresh;
    for (const auto& [cell, owner] : owners) {
        if (now - owner.at <= ownerLimit)
            fresh.push_back(owner.vm);
    }
    return fresh;
}

std::vector<relayed_owner> vm_directory::data::relayedOwners(time_point now) const
{
    std::vector<relayed_owner> relayed;
    for (const auto& [cell, owner] : owners) {
        if (owner.vm == self.vm.id || now - owner.at > ownerLimit)
            continue;
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - owner.at);
        relayed.push_back({ owner.vm, age, { cell, owner.epoch, true, std::nullopt, owner.load } });
    }
    return relayed;
}

void vm_directory::data::sendBeat(time_point now)
{
    {
        const std::scoped_lock lock(mutex);
        if (now < nextBeat)
            return;
    }
    heartbeat current = source();
    const bool owns = std::any_of(current.cells.begin(), current.cells.end(), [](const cell_view& view) { return view.owned; });
    note(current);
    heartbeat_targets targets;
    {
        const std::scoped_lock lock(mutex);
        nextBeat = now + (owns ? ownerBeatInterval : beatInterval);
        targets = plan.targets(self.vm.id, owns, freshOwners(now));
        if (owns && !plan.isFullMesh())
            current.relayed = relayedOwners(now);
        if (now < nextSeldomBeat)
            targets.seldom.clear();
        else
            nextSeldomBeat = now + seldomBeatInterval;
    }
    if (targets.often.empty() && targets.seldom.empty())
        return;
    const std::string datagram = encode(current);
    for (const auto& target : targets.often)
        link.send(target, datagram);
    for (const auto& target : targets.seldom)
        link.send(target, datagram);
}

void vm_directory::data::note(const heartbeat& current)
{
    const std::scoped_lock lock(mutex);
    const auto now = clock.now();
    for (const auto& view : current.cells) {
        if (view.owned)
            noteOwner(view, current.sender, now);
    }
    for (const auto& told : current.relayed)
        noteOwner(told.view, told.owner, now - told.age);
}

void vm_directory::data::noteOwner(const cell_view& view, const vm_id& vm, time_point at)
{
    known_owner& known = owners[view.cell];
    if (view.epoch > known.epoch || (view.epoch == known.epoch && at > known.at))
        known = { vm, view.epoch, view.load.value_or(cell_load {}), at };
}

vm_directory::vm_directory(jobs::record_store& store, heartbeat_link& link, const clock_source& clock, jobs::record_stream stream,
    vm_registration self, heartbeat_source source)
    : m_data(std::make_shared<data>(store, link, clock, std::move(stream), std::move(self), std::move(source)))
{
    m_data->tail = std::make_unique<jobs::record_tail>(store, clock, m_data->stream, *m_data);
}

vm_directory::~vm_directory() { stop(); }

void vm_directory::start() { m_data->tail->start(); }

void vm_directory::stop() { m_data->tail->stop(); }

void vm_directory::tick()
{
    const auto now = m_data->clock.now();
    m_data->tail->tick(now);
    m_data->registerSelf(now);
    m_data->sendBeat(now);
}

void vm_directory::sendHeartbeatOnNextTick()
{
    const std::scoped_lock lock(m_data->mutex);
    m_data->nextBeat = {};
    m_data->nextSeldomBeat = {};
}

void vm_directory::onHeartbeat(const heartbeat& current) { m_data->note(current); }

std::optional<heard_owner> vm_directory::owner(cell_number cell) const
{
    const std::scoped_lock lock(m_data->mutex);
    const auto found = m_data->owners.find(cell);
    if (found == m_data->owners.end() || m_data->clock.now() - found->second.at > ownerLimit)
        return std::nullopt;
    const auto& registrations = m_data->plan.registrations();
    const auto vm = registrations.find(found->second.vm);
    if (vm == registrations.end())
        return std::nullopt;
    return heard_owner { found->second.vm, vm->second.address, found->second.epoch, found->second.load, found->second.at };
}

std::string vm_directory::address(const vm_id& vm) const
{
    const std::scoped_lock lock(m_data->mutex);
    const auto& registrations = m_data->plan.registrations();
    const auto found = registrations.find(vm);
    return found == registrations.end() ? std::string() : found->second.address;
}

heartbeat_scope vm_directory::heartbeatScope() const
{
    const std::scoped_lock lock(m_data->mutex);
    return m_data->plan.scopeOf(m_data->self.vm.id);
}

} // namespace coriandermount::cells
