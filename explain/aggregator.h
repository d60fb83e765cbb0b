/// Joins what all VMs and the log know about a job, or about the faults of a period.
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

/// What the investigator works with; everything outlives it.
struct aggregator_dependencies {
    const clock_source& clock;
    blackboard& board;
    event_log::memory_journal& journal;
    event_log::stream_writer& writer;
    platform::log& log;
    peers::peer_link& peers;
    vm_id vm;
    failure_domain_id domain;
    std::uint64_t incarnation = 0;
};

/// Faults of a period over all VMs that are known.
struct fault_report {
    wall_time since {};
    wall_time until {};
    event_log::fault_counts counts;
    event_log::explanation_sources sources;
};

/// Answers one question after the other on a thread of its own; also notes changed limits in the journal.
class aggregator {
public:
    using explain_completion = std::function<void(const result<event_log::explanation>&)>;
    using faults_completion = std::function<void(const result<fault_report>&)>;

    explicit aggregator(aggregator_dependencies parts);
    ~aggregator();

    aggregator(const aggregator&) = delete;
    aggregator& operator=(const aggregator&) = delete;

    void start();
    void stop();

    /// Fails with `job_unknown`, or with `queue_full` when too many questions wait.
    void explain(const job_key& job, const explain_completion& done);

    void reportFaults(wall_time since, const faults_completion& done);

    /// Answers a peer from this VM's memory.
    std::string answerPeerQuery(const std::string& message) const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

/// Returns the report as JSON, with totals by party, kind, customer and version.
std::string encodeReport(const fault_report& report);

} // namespace coriandermount::explain
