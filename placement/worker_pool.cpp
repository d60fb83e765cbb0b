#include "placement/worker_pool.h"

#include <algorithm>
#include <bit>
#include <random>
#include <tuple>
#include <unordered_map>

#include <fmt/format.h>

#include "placement/free_slot_buckets.h"

namespace coriandermount::placement {

namespace {

    /// Required memory is rounded up to a power of two or to the middle between two, which bounds the number of indexes.
    constexpr unsigned memoryStepBits = 1;
    constexpr std::uint32_t smallestMemoryMegabytes = 256;

    std::uint32_t roundUpMemory(std::uint32_t megabytes)
    {
        if (megabytes <= smallestMemoryMegabytes)
            return megabytes == 0 ? 0 : smallestMemoryMegabytes;
        const auto width = static_cast<unsigned>(std::bit_width(megabytes));
        const std::uint32_t step = std::uint32_t { 1 } << (width - memoryStepBits - 1);
        return (megabytes + step - 1) / step * step;
    }

    /// Requirement of a task (service, memory, accelerators) with the workers that have a free slot for it.
    struct need {
        service_id service;
        std::uint32_t memoryMegabytes = 0;
        std::uint32_t accelerators = 0;
        free_slot_buckets healthy;
        free_slot_buckets avoided;
        std::uint32_t capacity = 0;
    };

    /// Number, largest memory and largest accelerator count of the live workers that offer a service.
    struct service_bounds {
        std::uint32_t workers = 0;
        std::uint32_t largestMemory = 0;
        std::uint32_t mostAccelerators = 0;
        std::vector<need_index> needs;
    };

    struct worker_state {
        std::shared_ptr<const worker_info> info;
        /// Slots while the worker is live, memory and accelerators, copied from `info` to save a pointer access.
        std::uint32_t liveSlots = 0;
        std::uint32_t memoryMegabytes = 0;
        std::uint32_t accelerators = 0;
        std::uint32_t used = 0;
        std::uint32_t usedMemory = 0;
        std::uint32_t usedAccelerators = 0;
        std::uint32_t leasedSlots = maxSlotsPerWorker;
        std::uint32_t rack = 0;
        worker_condition condition = worker_condition::healthy;
        bool listed = false;
        /// Slots of this worker that are included in `totalSlots` and in the capacity of its needs.
        std::uint32_t countedSlots = 0;
        std::vector<need_index> needs;

        std::uint32_t usableSlots() const
        {
            if (!listed || condition == worker_condition::ejected)
                return 0;
            const std::uint32_t bound = condition == worker_condition::probing ? 1 : maxSlotsPerWorker;
            return std::min({ liveSlots, leasedSlots, bound });
        }

        bool fits(const need& requirement) const
        {
            return usedMemory + requirement.memoryMegabytes <= memoryMegabytes
                && usedAccelerators + requirement.accelerators <= accelerators;
        }
    };

    std::size_t at(worker_index worker) { return static_cast<std::size_t>(worker); }
    std::size_t at(need_index needIndex) { return static_cast<std::size_t>(needIndex); }

} // namespace

struct worker_pool::data {
    std::mt19937_64 random;
    std::vector<worker_state> workers;
    std::vector<worker_index> freeIndexes;
    std::unordered_map<worker_id, worker_index> byId;
    std::vector<need> needs;
    std::map<std::tuple<service_id, std::uint32_t, std::uint32_t>, need_index> needNumbers;
    std::unordered_map<service_id, service_bounds> services;
    std::unordered_map<std::string, std::uint32_t> rackNumbers;
    std::vector<std::uint32_t> rackLoad;
    std::map<worker_id, std::uint32_t> leased;
    bool leasesApply = false;
    std::uint32_t totalSlots = 0;
    std::size_t listed = 0;

    worker_index indexOf(const worker_id& id);
    void setInfo(worker_index worker, const worker_info& info);
    void refresh(worker_index worker);
    void refreshIn(worker_index worker, need_index needIndex);
    void rebuildServices();
    void forgetUnlisted();
    std::uint32_t leasedSlotsOf(const worker_id& id) const;
    std::uint32_t rackNumber(const std::string& rack);
};

worker_pool::worker_pool(std::uint64_t seed)
    : m_data(std::make_unique<data>())
{
    m_data->random.seed(seed);
}

worker_pool::~worker_pool() = default;

std::uint32_t worker_pool::data::rackNumber(const std::string& rack)
{
    const auto [entry, added] = rackNumbers.try_emplace(rack, static_cast<std::uint32_t>(rackLoad.size()));
    if (added)
        rackLoad.push_back(0);
    return entry->second;
}

worker_index worker_pool::data::indexOf(const worker_id& id)
{
    if (const auto found = byId.find(id); found != byId.end())
        return found->second;
    worker_index number { static_cast<std::uint32_t>(workers.size()) };
    if (freeIndexes.empty()) {
        workers.emplace_back();
    } else {
        number = freeIndexes.back();
        freeIndexes.pop_back();
        workers[at(number)] = {};
    }
    byId.emplace(id, number);
    return number;
}

std::uint32_t worker_pool::data::leasedSlotsOf(const worker_id& id) const
{
    if (!leasesApply)
        return maxSlotsPerWorker;
    const auto found = leased.find(id);
    return found == leased.end() ? 0 : found->second;
}

void worker_pool::data::setInfo(worker_index worker, const worker_info& info)
{
    worker_state& state = workers[at(worker)];
    state.listed = true;
    if (state.info && *state.info == info)
        return;
    const std::uint32_t rack = rackNumber(info.rack);
    if (state.info) {
        rackLoad[state.rack] -= state.used;
        rackLoad[rack] += state.used;
    }
    state.rack = rack;
    state.info = std::make_shared<const worker_info>(info);
    state.liveSlots = info.state == vm_state::live ? std::min(info.slots, info.connections) : 0;
    state.memoryMegabytes = info.memoryMegabytes;
    state.accelerators = info.accelerators;
    state.leasedSlots = leasedSlotsOf(info.id);
}

void worker_pool::data::rebuildServices()
{
    for (auto& [id, bounds] : services)
        bounds = { 0, 0, 0, std::move(bounds.needs) };
    listed = 0;
    for (const auto& worker : workers) {
        if (!worker.listed)
            continue;
        ++listed;
        for (const auto& service : worker.info->services) {
            service_bounds& bounds = services[service];
            if (worker.info->state != vm_state::live)
                continue;
            ++bounds.workers;
            bounds.largestMemory = std::max(bounds.largestMemory, worker.info->memoryMegabytes);
            bounds.mostAccelerators = std::max(bounds.mostAccelerators, worker.info->accelerators);
        }
    }
}

void worker_pool::data::forgetUnlisted()
{
    for (std::uint32_t number = 0; number < workers.size(); ++number) {
        worker_state& worker = workers[number];
        if (!worker.info || worker.listed || worker.used > 0)
            continue;
        byId.erase(worker.info->id);
        worker.info.reset();
        worker.needs.clear();
        freeIndexes.push_back(worker_index { number });
    }
}

std::vector<worker_index> worker_pool::update(const worker_table& table)
{
    for (auto& worker : m_data->workers)
        worker.listed = false;
    std::vector<worker_index> added;
    for (const auto& info : table.workers) {
        const worker_index number = m_data->indexOf(info.id);
        if (!m_data->workers[at(number)].info)
            added.push_back(number);
        m_data->setInfo(number, info);
    }
    m_data->rebuildServices();
    for (std::uint32_t number = 0; number < m_data->workers.size(); ++number) {
        worker_state& worker = m_data->workers[number];
        if (!worker.info)
            continue;
        const std::vector<need_index> previous = std::exchange(worker.needs, {});
        for (const auto& service : worker.info->services) {
            const auto& needs = m_data->services[service].needs;
            worker.needs.insert(worker.needs.end(), needs.begin(), needs.end());
        }
        const std::uint32_t counted = std::exchange(worker.countedSlots, 0);
        m_data->totalSlots -= counted;
        for (const need_index needIndex : previous) {
            m_data->needs[at(needIndex)].capacity -= counted;
            m_data->needs[at(needIndex)].healthy.setFreeSlots(number, 0);
            m_data->needs[at(needIndex)].avoided.setFreeSlots(number, 0);
        }
        m_data->refresh(worker_index { number });
    }
    m_data->forgetUnlisted();
    return added;
}

void worker_pool::applyLeasedSlots(const std::map<worker_id, std::uint32_t>& slots)
{
    m_data->leased = slots;
    m_data->leasesApply = true;
    for (std::uint32_t number = 0; number < m_data->workers.size(); ++number) {
        worker_state& worker = m_data->workers[number];
        if (!worker.info)
            continue;
        const std::uint32_t leased = m_data->leasedSlotsOf(worker.info->id);
        if (leased == worker.leasedSlots)
            continue;
        worker.leasedSlots = leased;
        m_data->refresh(worker_index { number });
    }
}

void worker_pool::data::refresh(worker_index worker)
{
    worker_state& state = workers[at(worker)];
    const std::uint32_t usable = state.usableSlots();
    if (usable != state.countedSlots) {
        totalSlots += usable - state.countedSlots;
        for (const need_index needIndex : state.needs)
            needs[at(needIndex)].capacity += usable - state.countedSlots;
        state.countedSlots = usable;
    }
    for (const need_index needIndex : state.needs)
        refreshIn(worker, needIndex);
}

void worker_pool::data::refreshIn(worker_index worker, need_index needIndex)
{
    const worker_state& state = workers[at(worker)];
    need& index = needs[at(needIndex)];
    const bool free = state.used < state.countedSlots && state.fits(index);
    // A probing worker ranks first, so that the next task decides its probe.
    const bool probing = state.condition == worker_condition::probing;
    const std::uint32_t rank = probing ? maxSlotsPerWorker : state.countedSlots - state.used;
    const std::uint32_t freeSlots = free ? rank : 0;
    const bool avoided = state.condition == worker_condition::avoided;
    const auto number = static_cast<std::uint32_t>(worker);
    index.healthy.setFreeSlots(number, avoided ? 0 : freeSlots);
    index.avoided.setFreeSlots(number, avoided ? freeSlots : 0);
}

need_index worker_pool::needOf(const task_spec& task)
{
    service_bounds& bounds = m_data->services[task.service];
    const std::uint32_t memory
        = std::max(task.memoryMegabytes, std::min(roundUpMemory(task.memoryMegabytes), bounds.largestMemory));
    const auto [entry, added] = m_data->needNumbers.try_emplace(
        { task.service, memory, task.accelerators }, need_index { static_cast<std::uint32_t>(m_data->needs.size()) });
    const need_index number = entry->second;
    if (!added)
        return number;
    need& created = m_data->needs.emplace_back();
    created.service = task.service;
    created.memoryMegabytes = memory;
    created.accelerators = task.accelerators;
    bounds.needs.push_back(number);
    for (std::uint32_t worker = 0; worker < m_data->workers.size(); ++worker) {
        worker_state& state = m_data->workers[worker];
        if (!state.info || !state.info->offers(task.service))
            continue;
        state.needs.push_back(number);
        created.capacity += state.countedSlots;
        m_data->refreshIn(worker_index { worker }, number);
    }
    return number;
}

std::optional<error> worker_pool::unschedulableReason(const task_spec& task) const
{
    const auto found = m_data->services.find(task.service);
    const bool everOffered = found != m_data->services.end();
    if (!everOffered || found->second.workers == 0) {
        const error_kind kind = everOffered || m_data->listed == 0 ? error_kind::no_worker : error_kind::no_such_service;
        return error { kind,
            fmt::format("no live worker offers service \"{}\"; {} workers are listed", task.service.value, m_data->listed),
            std::nullopt };
    }
    const service_bounds& bounds = found->second;
    if (task.memoryMegabytes > bounds.largestMemory) {
        return error { error_kind::task_too_large,
            fmt::format("the task needs {} MB, the largest worker has {} MB", task.memoryMegabytes, bounds.largestMemory),
            std::nullopt };
    }
    if (task.accelerators > bounds.mostAccelerators) {
        return error { error_kind::task_too_large,
            fmt::format("the task needs {} accelerators, the largest worker has {}", task.accelerators, bounds.mostAccelerators),
            std::nullopt };
    }
    return std::nullopt;
}

bool worker_pool::hasFreeSlot(need_index need) const
{
    const auto& index = m_data->needs[at(need)];
    return !index.healthy.empty() || !index.avoided.empty();
}

std::optional<worker_index> worker_pool::chooseExcluding(need_index need, worker_index excluded)
{
    auto& index = m_data->needs[at(need)];
    index.healthy.setFreeSlots(static_cast<std::uint32_t>(excluded), 0);
    index.avoided.setFreeSlots(static_cast<std::uint32_t>(excluded), 0);
    const auto chosen = choose(need);
    m_data->refresh(excluded);
    return chosen;
}

std::optional<worker_index> worker_pool::choose(need_index need)
{
    const auto& index = m_data->needs[at(need)];
    const auto& candidates = index.healthy.empty() ? index.avoided.mostFree() : index.healthy.mostFree();
    if (candidates.empty())
        return std::nullopt;
    const std::uint64_t bits = m_data->random();
    const std::uint32_t first = candidates[(bits & 0xffffffffU) % candidates.size()];
    const std::uint32_t second = candidates[(bits >> 32U) % candidates.size()];
    const auto loadOf = [this](std::uint32_t worker) { return m_data->rackLoad[m_data->workers[worker].rack]; };
    return worker_index { loadOf(second) < loadOf(first) ? second : first };
}

void worker_pool::take(worker_index worker, const task_spec& task)
{
    worker_state& state = m_data->workers[at(worker)];
    ++state.used;
    state.usedMemory += task.memoryMegabytes;
    state.usedAccelerators += task.accelerators;
    ++m_data->rackLoad[state.rack];
    m_data->refresh(worker);
}

void worker_pool::release(worker_index worker, const task_spec& task)
{
    worker_state& state = m_data->workers[at(worker)];
    --state.used;
    state.usedMemory -= task.memoryMegabytes;
    state.usedAccelerators -= task.accelerators;
    --m_data->rackLoad[state.rack];
    m_data->refresh(worker);
}

void worker_pool::setCondition(worker_index worker, worker_condition condition)
{
    worker_state& state = m_data->workers[at(worker)];
    if (state.condition == condition)
        return;
    state.condition = condition;
    m_data->refresh(worker);
}

worker_condition worker_pool::conditionOf(worker_index worker) const { return m_data->workers[at(worker)].condition; }

std::uint32_t worker_pool::capacity(need_index need) const { return m_data->needs[at(need)].capacity; }

std::size_t worker_pool::indexLimit() const { return m_data->workers.size(); }

std::uint32_t worker_pool::totalSlots() const { return m_data->totalSlots; }

std::uint32_t worker_pool::usedSlots(worker_index worker) const { return m_data->workers[at(worker)].used; }

const std::shared_ptr<const worker_info>& worker_pool::infoOf(worker_index worker) const
{
    return m_data->workers[at(worker)].info;
}

bool worker_pool::isListed(worker_index worker) const { return m_data->workers[at(worker)].listed; }

std::optional<worker_index> worker_pool::find(const worker_id& id) const
{
    const auto found = m_data->byId.find(id);
    return found == m_data->byId.end() ? std::nullopt : std::optional(found->second);
}

std::size_t worker_pool::listedWorkers() const { return m_data->listed; }

std::map<worker_id, std::uint32_t> worker_pool::usedSlotsByWorker() const
{
    std::map<worker_id, std::uint32_t> used;
    for (const auto& worker : m_data->workers) {
        if (worker.info && worker.used > 0)
            used[worker.info->id] = worker.used;
    }
    return used;
}

} // namespace coriandermount::placement
