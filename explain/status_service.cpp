#include "explain/status_service.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace coriandermount::explain {

namespace {

    constexpr std::chrono::milliseconds sampleInterval { 200 };
    constexpr std::chrono::minutes reportedFaultPeriod { 10 };

} // namespace

struct status_service::data {
    status_service_dependencies dependencies;
    std::mutex mutex;
    std::condition_variable stopSignal;
    activity_history history;
    std::uint64_t version = 0;
    time_point versionSince {};
    bool stopping = false;
    std::thread thread;

    explicit data(status_service_dependencies givenDependencies)
        : dependencies(std::move(givenDependencies))
    {
    }

    /// Samples the activity and the configuration version. The caller holds the mutex.
    void sample()
    {
        const auto configuration = dependencies.board.configuration.read();
        if (configuration->version != version || versionSince == time_point()) {
            version = configuration->version;
            versionSince = dependencies.clock.now();
        }
        history.sample(
            dependencies.clock.wallNow(), dependencies.metrics.counterTotals(), dependencies.board.demand.read()->queuedTasks);
    }

    std::chrono::milliseconds configurationAge() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(dependencies.clock.now() - versionSince);
    }

    void setGauges() const
    {
        const auto demand = dependencies.board.demand.read();
        const auto shares = dependencies.board.shares.read();
        metrics::gauges gauges;
        gauges.queuedTasks = demand->queuedTasks;
        gauges.runningTasks = demand->runningTasks;
        gauges.openJobs = static_cast<double>(dependencies.openJobs());
        gauges.configurationVersion = version;
        gauges.configurationAge = configurationAge();
        gauges.journalBytes = dependencies.journal.usedBytes();
        gauges.journalDropped = dependencies.writer.droppedFaults() + dependencies.writer.droppedDetail();
        dependencies.metrics.setGauges(gauges);
        for (const auto& [plan, used] : demand->plans) {
            const auto share = shares->plans.find(plan);
            dependencies.metrics.setPlanGauges(
                plan, used.runningTasks, used.queuedTasks, share == shares->plans.end() ? 0 : share->second.concurrentTasks);
        }
    }

    void run()
    {
        std::unique_lock lock(mutex);
        while (!stopping) {
            sample();
            setGauges();
            stopSignal.wait_for(lock, sampleInterval, [this] { return stopping; });
        }
    }
};

status_service::status_service(status_service_dependencies dependencies)
    : m_data(std::make_unique<data>(std::move(dependencies)))
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
    m_data->stopSignal.notify_all();
    if (m_data->thread.joinable())
        m_data->thread.join();
}

node_status status_service::current()
{
    auto& dependencies = m_data->dependencies;
    const auto configuration = dependencies.board.configuration.read();
    node_status status;
    status.vm = dependencies.vm;
    status.at = dependencies.clock.wallNow();
    status.ready = dependencies.board.ready.load();
    status.draining = dependencies.board.draining.load();
    status.openJobs = dependencies.openJobs();
    status.configurationVersion = configuration->version;
    status.configurationAuthor = configuration->author;
    status.journalBytes = dependencies.journal.usedBytes();
    status.journalDropped = dependencies.writer.droppedFaults() + dependencies.writer.droppedDetail();
    status.workers = dependencies.board.workers.read();
    status.fleet = dependencies.board.fleet.read();
    status.demand = dependencies.board.demand.read();
    status.shares = dependencies.board.shares.read();
    status.faults = dependencies.writer.countsSince(status.at - reportedFaultPeriod);
    const std::scoped_lock lock(m_data->mutex);
    status.configurationAge = m_data->configurationAge();
    status.seconds = m_data->history.seconds();
    return status;
}

} // namespace coriandermount::explain
