#include "cells/vm_directory.h"

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
    /// Pause before a failed registration is repeated.
    constexpr std::chrono::milliseconds registrationRetry { 200 };
    /// Age after which an owner that was heard is no longer relied on; ten beats.
    constexpr std::chrono::milliseconds ownerLimit { 1000 };

    std::string encodeVm(const vm_registration& registration)
    {
        std::string packed;
        json::to_msgpack(
            json::array({ registration.id.value, registration.boot, registration.address, registration.failureDomain.value }),
            packed);
        return packed;
    }

    result<vm_registration> decodeVm(const std::string& value)
    {
        try {
            const json fields = json::from_msgpack(value);
            return vm_registration { { fields.at(0) }, fields.at(1), fields.at(2), { fields.at(3) } };
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
    beat_link& link;
    const clock_source& clock;
    jobs::record_stream stream;
    vm_registration self;
    beat_source source;
    std::unique_ptr<jobs::record_tail> tail;

    mutable std::mutex mutex;
    std::map<vm_id, vm_registration> vms;
    std::map<cell_number, known_owner> owners;
    bool registered = false;
    bool registering = false;
    time_point nextRegistration;
    time_point nextBeat;

    data(jobs::record_store& target, beat_link& beats, const clock_source& time, jobs::record_stream where,
        vm_registration registration, beat_source what)
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
    void onContactLost(const error& problem) override;
    void registerSelf(time_point now);
    void sendBeat(time_point now);
    void note(const beat& current);
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
        vms.erase({ current.key });
        return;
    }
    const auto registration = decodeVm(*current.value);
    if (!registration)
        return;
    writeLog(log_level::info, "directory", "a VM is registered",
        { { "vm", registration->id.value }, { "address", registration->address },
            { "boot", fmt::to_string(registration->boot) } });
    vms.insert_or_assign(registration->id, *registration);
}

void vm_directory::data::onContactLost(const error& problem)
{
    writeLog(log_level::warning, "directory", "can't read the VMs", { { "detail", problem.detail } });
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
    request.records.push_back({ self.id.value, encodeVm(self), 0 });
    store.append(std::move(request), [data = shared_from_this()](const result<std::uint64_t>& answer) {
        const std::scoped_lock lock(data->mutex);
        data->registering = false;
        data->registered = answer.has_value();
        data->nextRegistration = data->clock.now() + registrationRetry;
    });
}

void vm_directory::data::sendBeat(time_point now)
{
    std::vector<std::string> targets;
    {
        const std::scoped_lock lock(mutex);
        if (now < nextBeat)
            return;
        for (const auto& [id, registration] : vms) {
            if (id != self.id)
                targets.push_back(registration.address);
        }
    }
    const beat current = source();
    bool owns = false;
    for (const auto& view : current.cells)
        owns = owns || view.owned;
    note(current);
    {
        const std::scoped_lock lock(mutex);
        nextBeat = now + (owns ? ownerBeatInterval : beatInterval);
    }
    const std::string datagram = encode(current);
    for (const auto& target : targets)
        link.send(target, datagram);
}

void vm_directory::data::note(const beat& current)
{
    const std::scoped_lock lock(mutex);
    const auto now = clock.now();
    for (const auto& view : current.cells) {
        if (!view.owned || view.epoch < owners[view.cell].epoch)
            continue;
        owners[view.cell] = { current.sender, view.epoch, view.load.value_or(cell_load {}), now };
    }
}

vm_directory::vm_directory(jobs::record_store& store, beat_link& link, const clock_source& clock, jobs::record_stream stream,
    vm_registration self, beat_source source)
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

void vm_directory::hurry()
{
    const std::scoped_lock lock(m_data->mutex);
    m_data->nextBeat = {};
}

void vm_directory::onBeat(const beat& current) { m_data->note(current); }

std::optional<heard_owner> vm_directory::owner(cell_number cell) const
{
    const std::scoped_lock lock(m_data->mutex);
    const auto found = m_data->owners.find(cell);
    if (found == m_data->owners.end() || m_data->clock.now() - found->second.at > ownerLimit)
        return std::nullopt;
    const auto vm = m_data->vms.find(found->second.vm);
    if (vm == m_data->vms.end())
        return std::nullopt;
    return heard_owner { found->second.vm, vm->second.address, found->second.epoch, found->second.load, found->second.at };
}

std::string vm_directory::address(const vm_id& vm) const
{
    const std::scoped_lock lock(m_data->mutex);
    const auto found = m_data->vms.find(vm);
    return found == m_data->vms.end() ? std::string() : found->second.address;
}

} // namespace coriandermount::cells
