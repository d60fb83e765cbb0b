/// Joins the journals of all VMs and of the log, to explain a job or to report the faults of a period.
#pragma once

#include <functional>
#include <memory>

#include "blackboard/blackboard.h"
#include "core/clock.h"
#include "event_log/explanation.h"
#include "explain/journal_query.h"
#include "peers/peer_link.h"
#include "platform/log.h"

namespace coriandermount::explain {

/// Objects that the aggregator uses. All references have to outlive it.
struct aggregator_dependencies {
    const clock_source& clock;
    blackboard& board;
    event_log::memory_journal& journal;
    event_log::stream_writer& writer;
    platform::log& log;
    peers::peer_link& peers;
    vm_id vm;
    failure_domain_id domain;
    /// Incarnation of this VM that its batches in the log carry.
    std::uint64_t incarnation = 0;
};

/// Faults of a period on all known VMs.
struct fault_report {
    wall_time since {};
    wall_time until {};
    event_log::fault_counts counts;
    event_log::explanation_sources sources;
};

/// Runs queries one after the other on a thread of its own. The thread also records changes of limits in the journal. The public
/// functions may be called on any thread.
class aggregator {
public:
    using explain_completion = std::function<void(const result<event_log::explanation>&)>;
    using faults_completion = std::function<void(const result<fault_report>&)>;

    explicit aggregator(aggregator_dependencies dependencies);
    ~aggregator();

    aggregator(const aggregator&) = delete;
    aggregator& operator=(const aggregator&) = delete;

    /// Starts the thread.
    void start();

    /// Ends the thread after the query in progress. Completions of queries that are still waiting may never be called.
    void stop();

    /// Explains a job and calls `done` on the aggregator's thread. Fails with `job_unknown` if no event of the job is found.
    /// Fails with `queue_full`, on the calling thread, if 32 queries are waiting or the aggregator was stopped.
    void explain(const job_key& job, const explain_completion& done);

    /// Counts the faults from `since` on over all VMs and calls `done` on the aggregator's thread. Fails with `queue_full` as
    /// `explain` does.
    void reportFaults(wall_time since, const faults_completion& done);

    /// Returns the encoded reply to a peer's query, from this VM's journal only; "{}" if the message can't be decoded. Does no
    /// I/O.
    std::string answerPeerQuery(const std::string& message) const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

/// Returns the report as JSON, with totals by party, kind, rule, customer and configuration version.
std::string encodeReport(const fault_report& report);

} // namespace coriandermount::explain
