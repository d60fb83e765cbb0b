#include "dispatch/engine.h"

#include <utility>

#include "dispatch/engine_state.h"

namespace coriandermount::dispatch {

engine::data::data(const engine_options& givenOptions)
    : options(givenOptions)
    , random(givenOptions.seed)
    , limits({ givenOptions.requireConfiguration })
    , retries(givenOptions.retries)
    , pool(givenOptions.seed + 1)
    , runTimes(givenOptions.runTimes)
    , health([&givenOptions] {
        placement::worker_health_options options = givenOptions.health;
        options.seed += givenOptions.seed;
        return options;
    }())
    , quarantine(givenOptions.quarantine)
{
}

void engine::data::on(const workers_changed& input, time_point now)
{
    for (const auto worker : pool.update(*input.table))
        health.resetWorker(worker);
    leasesOfWorker.resize(pool.indexLimit());
    health.setListedWorkers(pool.listedWorkers());
    updateSlotShares(now);
    placeQueued(now);
}

void engine::data::on(const configuration_changed& input, time_point now)
{
    limits.adopt(input.snapshot);
    queues.unblockAll();
    placeQueued(now);
}

void engine::data::on(const shares_changed& input, time_point now)
{
    shareNumber = input.shares->number;
    shareLeaseEnd = input.shares->validUntil;
    pool.applyLeasedSlots(input.shares->slots);
    limits.adopt(input.shares);
    queues.unblockAll();
    updateSlotShares(now);
    placeQueued(now);
}

void engine::data::on(const drain_requested&, time_point) { draining = true; }

void engine::data::on(const timer_ticked&, time_point now)
{
    health.tick(now);
    quarantine.tick(now);
    checkLeases(now);
    applyHealthChanges(now);
    expireDeadlines(now);
    updateSlotShares(now);
    placeQueued(now);
    reportDemand(now);
}

engine::engine(engine_options options)
    : m_data(std::make_unique<data>(options))
{
}

engine::~engine() = default;

actions engine::handle(const event& input, time_point now)
{
    std::visit([this, now](const auto& value) { m_data->on(value, now); }, input);
    return std::exchange(m_data->pendingActions, {});
}

std::size_t engine::queuedTasks() const { return m_data->queues.queued(); }

std::size_t engine::runningTasks() const { return m_data->leases.size(); }

std::size_t engine::openJobs() const { return m_data->jobs.size(); }

} // namespace coriandermount::dispatch
