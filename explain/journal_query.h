/// Messages by which VMs ask each other for their journals.
#pragma once

#include <string>

#include "event_log/fault_counter.h"
#include "event_log/journal.h"
#include "event_log/stream_writer.h"

namespace coriandermount::explain {

inline constexpr std::string_view journalQueryMethod = "journal_query";

/// Asks for the events of one job, or for the counts of faults.
struct journal_query {
    std::optional<job_key> job;
    /// Counts and evidence from this time on.
    wall_time since {};
};

struct journal_reply {
    vm_id vm;
    std::uint64_t incarnation = 0;
    /// Events of the job.
    std::vector<event_log::event> events;
    /// Limit changes, ejections, losses and failures around it.
    std::vector<event_log::event> context;
    event_log::fault_counts counts;
};

std::string encodeQuery(const journal_query& query);
/// Fails with `malformed_request`.
result<journal_query> decodeQuery(const std::string& text);

std::string encodeReply(const journal_reply& reply);
/// Fails with `malformed_request`.
result<journal_reply> decodeReply(const std::string& text);

/// Answers a query from this VM's memory.
journal_reply answerQuery(const journal_query& query, const vm_id& vm, std::uint64_t incarnation,
    const event_log::memory_journal& journal, event_log::stream_writer& writer);

} // namespace coriandermount::explain
