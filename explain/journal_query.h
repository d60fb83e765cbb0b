/// Messages with which VMs query each other's journals.
#pragma once

#include <string>

#include "event_log/fault_counter.h"
#include "event_log/journal.h"
#include "event_log/stream_writer.h"

namespace coriandermount::explain {

/// Name of the peer method.
inline constexpr std::string_view journalQueryMethod = "journal_query";

/// Query for the events of one job or, without a job, for the counts of faults.
struct journal_query {
    std::optional<job_key> job;
    /// Start of the period for counts and context.
    wall_time since {};
};

/// Reply of one VM to a query.
struct journal_reply {
    vm_id vm;
    std::uint64_t incarnation = 0;
    /// Events of the job.
    std::vector<event_log::event> events;
    /// Faults since the start of the period, and the tasks that ended near the job's last event.
    std::vector<event_log::event> context;
    /// Set only for a query without a job.
    event_log::fault_counts counts;
};

/// Encodes a query as JSON.
std::string encodeQuery(const journal_query& query);

/// Decodes a query. Fails with `malformed_request`.
result<journal_query> decodeQuery(const std::string& text);

/// Encodes a reply as JSON.
std::string encodeReply(const journal_reply& reply);

/// Decodes a reply. Fails with `malformed_request`.
result<journal_reply> decodeReply(const std::string& text);

/// Answers a query from the journal of this VM, without I/O.
journal_reply answerQuery(const journal_query& query, const vm_id& vm, std::uint64_t incarnation,
    const event_log::memory_journal& journal, event_log::stream_writer& writer);

} // namespace coriandermount::explain
