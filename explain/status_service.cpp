#include "explain/status_service.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace coriandermount::explain {

namespace {

    constexpr std::chrono::milliseconds sampleInterval { 200 };
    constexpr std::chrono::minutes faultPeriod { 10 };

} // namespace

struct status_service::data {
    status_parts parts;
    std::mutex mutex;
    std::condition_variable changed;
    activity recent;
    std::uint64_t version = 0;
    time_point versionSince {};
    bool stopping = false;
    std::thread thread;

    explicit data(status_parts given)
        : parts(std::move(given))
    {
    }

    /// Called with the mutex held.
    void sample()
    {
        const auto configuration = parts.board.configuration.read();
        if (configuration->version != version || versionSince == time_point()) {
            version = configuration->version;
            versionSince = parts.clock.now();
        }
        recent.sample(parts.clock.wallNow(), parts.metrics.counterTotals(), parts.board.demand.read()->queuedTasks);
    }

    std::chrono::milliseconds configurationAge() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(parts.clock.now() - versionSince);
    }

    void setGauges() const
    {
        const auto demand = parts.board.demand.read();
        const auto shares = parts.board.shares.read();
        metrics::gauges gauges;
        gauges.queuedTasks = demand->queuedTasks;
        gauges.runningTasks = demand->runningTasks;
        gauges.openJobs = static_cast<double>(parts.openJobs());
        gauges.configurationVersion = version;
        gauges.configurationAge = configurationAge();
        gauges.journalBytes = parts.journal.usedBytes();
        gauges.journalDropped = parts.writer.droppedFaults() + parts.writer.droppedDetail();
        parts.metrics.setGauges(gauges);
        for (const auto& [plan, used] : demand->plans) {
            const auto share = shares->plans.find(plan);
            parts.metrics.setPlanGauges(
                plan, used.runningTasks, used.queuedTasks, share == shares->plans.end() ? 0 : share->second.concurrentTasks);
        }
    }

    void run()
    {
        std::unique_lock lock(mutex);
        while (!stopping) {
            sample();
            setGauges();
            changed.wait_for(lock, sampleInterval, [this] { return stopping; });
        }
    }
};

status_service::status_service(status_parts parts)
    : m_data(std::make_unique<data>(std::move(parts)))
{
}

status_service::~status_service() { stop(); }

void status_service::start()
{
    m_data->thread = std::thread([this] { m_data->run(); });
}

void status_service::stop()
{
    {
        const std::scoped_lock lock(m_data->mutex);
        m_data->stopping = true;
    }
    m_data->changed.notify_all();
    if (m_data->thread.joinable())
        m_data->thread.join();
}

node_status status_service::current()
{
    auto& parts = m_data->parts;
    const auto configuration = parts.board.configuration.read();
    node_status status;
    status.vm = parts.vm;
    status.at = parts.clock.wallNow();
    status.ready = parts.board.ready.load();
    status.draining = parts.board.draining.load();
    status.openJobs = parts.openJobs();
    status.configurationVersion = configuration->version;
    status.configurationAuthor = configuration->author;
    status.journalBytes = parts.journal.usedBytes();
    status.journalDropped = parts.writer.droppedFaults() + parts.writer.droppedDetail();
    status.workers = parts.board.workers.read();
    status.fleet = parts.board.fleet.read();
    status.demand = parts.board.demand.read();
    status.shares = parts.board.shares.read();
    status.faults = parts.writer.countsSince(status.at - faultPeriod);
    const std::scoped_lock lock(m_data->mutex);
    status.configurationAge = m_data->configurationAge();
    status.seconds = m_data->recent.seconds();
    return status;
}

} // namespace coriandermount::explain
