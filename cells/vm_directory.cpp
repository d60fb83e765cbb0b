#include "cells/vm_directory.h"

#include <algorithm>

#include <map>
#include <mutex>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "core/json_number.h"
#include "core/log.h"
#include "core/skipped_input.h"
#include "jobs/record_tail.h"

namespace coriandermount::cells {

using json = nlohmann::json;

namespace {

    /// Heartbeat intervals of an owner and of the other VMs.
    constexpr std::chrono::milliseconds ownerHeartbeatInterval { 100 };
    constexpr std::chrono::milliseconds heartbeatInterval { 200 };
    /// Heartbeat interval towards VMs that only need to know the owner. Two heartbeats arrive within `ownerTimeout`.
    constexpr std::chrono::milliseconds infrequentHeartbeatInterval { 400 };
    /// Pause before a failed registration is repeated.
    constexpr std::chrono::milliseconds registrationRetry { 200 };
    /// Age of an owner's last heartbeat after which the owner counts as unknown: ten of its heartbeat intervals.
    constexpr std::chrono::milliseconds ownerTimeout { 1000 };
    /// Shortest time between two heartbeats that count as different ones: one that was relayed twice arrives with nearly the same
    /// time.
    constexpr std::chrono::milliseconds repetitionInterval = ownerHeartbeatInterval / 2;
    /// Number of cells from which a cell number is taken for an error of the datagram.
    constexpr cell_number mostCells = 1024;

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
            return vm_registration { { { fields.at(0) }, numberIn<std::uint64_t>(fields.at(1)),
                                         numberIn<std::uint32_t>(fields.at(4)) },
                fields.at(2), { fields.at(3) } };
        } catch (const json::exception& problem) {
            return fail(error_kind::malformed_request, fmt::format("malformed VM registration: {}", problem.what()));
        }
    }

} // namespace

struct vm_directory::data final : jobs::record_listener, std::enable_shared_from_this<vm_directory::data> {
    struct known_owner {
        vm_id vm;
        std::uint64_t epoch = 0;
        cell_load load;
        time_point heartbeatAt;
        /// Whether two heartbeats have named this VM and epoch.
        bool confirmed = false;

        /// Returns whether `next` names the same owner in a later heartbeat.
        bool isRepeatedBy(const known_owner& next) const
        {
            return vm == next.vm && epoch == next.epoch && next.heartbeatAt - heartbeatAt >= repetitionInterval;
        }
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
    /// Owners whose epoch is more than one higher than that of the known owner, until a second heartbeat confirms it.
    std::map<cell_number, known_owner> unconfirmedOwners;
    bool registered = false;
    bool registering = false;
    time_point nextRegistrationAt;
    time_point nextHeartbeatAt;
    time_point nextInfrequentHeartbeatAt;

    data(jobs::record_store& target, heartbeat_link& heartbeats, const clock_source& time, jobs::record_stream vmStream,
        vm_registration registration, heartbeat_source ownHeartbeat)
        : store(target)
        , link(heartbeats)
        , clock(time)
        , stream(std::move(vmStream))
        , self(std::move(registration))
        , source(std::move(ownHeartbeat))
    {
    }

    void onSnapshot(const std::vector<jobs::record>& records) override;
    void onRecord(const jobs::record& current) override;
    void onCaughtUp(time_point) override { }
    void registerSelf(time_point now);
    void sendHeartbeats(time_point now);
    void recordOwners(const heartbeat& current);
    void recordOwner(const cell_view& view, const vm_id& vm, time_point heartbeatAt);
    std::vector<vm_id> recentOwners(time_point now) const;
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
        plan.remove({ current.key });
        return;
    }
    const auto registration = decodeVm(*current.value);
    if (!registration) {
        reportSkippedInput("directory", "registration of a VM", current.key, registration.error().detail);
        return;
    }
    plan.addOrUpdate(*registration);
    if (registration->failureDomain == self.failureDomain)
        writeLog(log_level::info, "directory", "VM registered",
            { { "vm", registration->vm.id.value }, { "address", registration->address },
                { "boot", fmt::to_string(registration->vm.incarnation) },
                { "processor_millis", fmt::to_string(registration->vm.processorMillis) } });
}

void vm_directory::data::registerSelf(time_point now)
{
    {
        const std::scoped_lock lock(mutex);
        if (registered || registering || now < nextRegistrationAt)
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
        data->nextRegistrationAt = data->clock.now() + registrationRetry;
    });
}

std::vector<vm_id> vm_directory::data::recentOwners(time_point now) const
{
    std::vector<vm_id> recent;
    for (const auto& [cell, owner] : owners) {
        if (now - owner.heartbeatAt <= ownerTimeout)
            recent.push_back(owner.vm);
    }
    return recent;
}

std::vector<relayed_owner> vm_directory::data::relayedOwners(time_point now) const
{
    std::vector<relayed_owner> relayed;
    for (const auto& [cell, owner] : owners) {
        if (owner.vm == self.vm.id || now - owner.heartbeatAt > ownerTimeout)
            continue;
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - owner.heartbeatAt);
        relayed.push_back({ owner.vm, age, { cell, owner.epoch, true, std::nullopt, owner.load } });
    }
    return relayed;
}

void vm_directory::data::sendHeartbeats(time_point now)
{
    {
        const std::scoped_lock lock(mutex);
        if (now < nextHeartbeatAt)
            return;
    }
    heartbeat current = source();
    const bool owns = std::any_of(current.cells.begin(), current.cells.end(), [](const cell_view& view) { return view.owned; });
    recordOwners(current);
    heartbeat_targets targets;
    {
        const std::scoped_lock lock(mutex);
        nextHeartbeatAt = now + (owns ? ownerHeartbeatInterval : heartbeatInterval);
        targets = plan.targets(self.vm.id, owns, recentOwners(now));
        if (owns && !plan.isFullMesh())
            current.relayed = relayedOwners(now);
        if (now < nextInfrequentHeartbeatAt)
            targets.infrequent.clear();
        else
            nextInfrequentHeartbeatAt = now + infrequentHeartbeatInterval;
    }
    if (targets.frequent.empty() && targets.infrequent.empty())
        return;
    const std::string datagram = encode(current);
    for (const auto& target : targets.frequent)
        link.send(target, datagram);
    for (const auto& target : targets.infrequent)
        link.send(target, datagram);
}

void vm_directory::data::recordOwners(const heartbeat& current)
{
    const std::scoped_lock lock(mutex);
    const auto now = clock.now();
    for (const auto& view : current.cells) {
        if (view.owned)
            recordOwner(view, current.sender, now);
    }
    for (const auto& entry : current.relayed)
        recordOwner(entry.view, entry.owner, now - entry.age);
}

void vm_directory::data::recordOwner(const cell_view& view, const vm_id& vm, time_point heartbeatAt)
{
    if (view.cell >= mostCells)
        return;
    known_owner& known = owners[view.cell];
    known_owner reported { vm, view.epoch, view.load.value_or(cell_load {}), heartbeatAt, false };
    if (reported.epoch == known.epoch) {
        reported.confirmed = known.confirmed || known.isRepeatedBy(reported);
        if (heartbeatAt > known.heartbeatAt)
            known = std::move(reported);
        return;
    }
    // An epoch that a single heartbeat has named may be an error of the datagram.
    const bool mayBeError = !known.confirmed && clock.now() - known.heartbeatAt > ownerTimeout;
    if (reported.epoch < known.epoch && !mayBeError)
        return;
    if (reported.epoch > known.epoch && reported.epoch - known.epoch > 1 && known.confirmed) {
        known_owner& earlier = unconfirmedOwners[view.cell];
        reported.confirmed = earlier.isRepeatedBy(reported);
        if (!reported.confirmed) {
            earlier = std::move(reported);
            return;
        }
    }
    known = std::move(reported);
}

vm_directory::vm_directory(jobs::record_store& store, heartbeat_link& link, const clock_source& clock, jobs::record_stream stream,
    vm_registration self, heartbeat_source source)
    : m_data(std::make_shared<data>(store, link, clock, std::move(stream), std::move(self), std::move(source)))
{
    m_data->tail = std::make_unique<jobs::record_tail>(store, clock, m_data->stream, m_data);
}

vm_directory::~vm_directory() { stop(); }

void vm_directory::start() { m_data->tail->start(); }

void vm_directory::stop() { m_data->tail->stop(); }

void vm_directory::tick()
{
    const auto now = m_data->clock.now();
    m_data->tail->tick(now);
    m_data->registerSelf(now);
    m_data->sendHeartbeats(now);
}

void vm_directory::sendHeartbeatOnNextTick()
{
    const std::scoped_lock lock(m_data->mutex);
    m_data->nextHeartbeatAt = {};
    m_data->nextInfrequentHeartbeatAt = {};
}

void vm_directory::onHeartbeat(const heartbeat& current) { m_data->recordOwners(current); }

std::optional<reported_owner> vm_directory::owner(cell_number cell) const
{
    const std::scoped_lock lock(m_data->mutex);
    const auto found = m_data->owners.find(cell);
    if (found == m_data->owners.end() || m_data->clock.now() - found->second.heartbeatAt > ownerTimeout)
        return std::nullopt;
    const auto& registrations = m_data->plan.registrations();
    const auto vm = registrations.find(found->second.vm);
    if (vm == registrations.end())
        return std::nullopt;
    return reported_owner { found->second.vm, vm->second.address, found->second.epoch, found->second.load,
        found->second.heartbeatAt };
}

std::uint64_t vm_directory::highestEpoch(cell_number cell) const
{
    const std::scoped_lock lock(m_data->mutex);
    const auto found = m_data->owners.find(cell);
    return found == m_data->owners.end() ? 0 : found->second.epoch;
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
