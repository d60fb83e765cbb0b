#include "explain/journal_service.h"

namespace coriandermount::explain {

namespace {

    std::uint64_t incarnationAt(const clock_source& clock)
    {
        return static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count());
    }

    event_log::batch_options batchOptions(const journal_service_dependencies& dependencies, std::uint64_t incarnation)
    {
        event_log::batch_options options;
        options.vm = dependencies.vm;
        options.incarnation = incarnation;
        options.bytesPerSecond = dependencies.logBytesPerSecond;
        return options;
    }

} // namespace

struct journal_service::data {
    std::uint64_t incarnation;
    event_log::stream_writer writer;
    aggregator journalAggregator;

    explicit data(const journal_service_dependencies& dependencies)
        : incarnation(incarnationAt(dependencies.clock))
        , writer(dependencies.clock, dependencies.journal, dependencies.log, dependencies.domain,
              batchOptions(dependencies, incarnation))
        , journalAggregator({ dependencies.clock, dependencies.board, dependencies.journal, writer, dependencies.log,
              dependencies.peers, dependencies.vm, dependencies.domain, incarnation })
    {
    }
};

journal_service::journal_service(const journal_service_dependencies& dependencies, peers::peer_service& methods)
    : m_data(std::make_unique<data>(dependencies))
{
    methods.addMethod(
        std::string(journalQueryMethod), [this](const std::string& message, const peers::peer_service::reply_function& reply) {
            reply(m_data->journalAggregator.answerPeerQuery(message));
        });
}

journal_service::~journal_service() = default;

void journal_service::start()
{
    m_data->writer.start();
    m_data->journalAggregator.start();
}

void journal_service::flush(std::chrono::milliseconds limit) { m_data->writer.stop(limit); }

void journal_service::stop()
{
    m_data->journalAggregator.stop();
    m_data->writer.stop(std::chrono::milliseconds(0));
}

aggregator& journal_service::journalAggregator() { return m_data->journalAggregator; }

event_log::stream_writer& journal_service::writer() { return m_data->writer; }

} // namespace coriandermount::explain
