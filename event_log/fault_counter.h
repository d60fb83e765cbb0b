/// Counts faults by minute, class, error, attribution rule, customer and configuration version.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "event_log/attribution.h"
#include "event_log/journal.h"

namespace coriandermount::event_log {

/// Class of a fault; the names are written to the log.
enum class fault_class {
    /// A submission was answered with the outcome `not_run`.
    refusal,
    /// A submission was answered with an error and the outcome `may_have_run`.
    failure,
    retry,
    ejection,
    takeover,
    lease,
    log,
    configuration,
    /// Events that were dropped before they could be counted.
    unrecorded,
};

/// Number of values of `fault_class`.
inline constexpr std::size_t faultClassCount = static_cast<std::size_t>(fault_class::unrecorded) + 1;

/// Returns the name that is written to the log and to JSON.
std::string_view nameOf(fault_class value);

/// Key by which faults are counted.
struct fault_key {
    /// Time of the fault, rounded down to the minute.
    wall_time minute {};
    fault_class kind = fault_class::refusal;
    /// Error that the fault reports, if any.
    std::optional<error_kind> problem;
    attribution_rule rule = attribution_rule::own_fault;
    customer_id customer;
    std::uint64_t configurationVersion = 0;

    friend auto operator<=>(const fault_key&, const fault_key&) = default;
};

/// Number of faults of each key, ordered by minute.
using fault_counts = std::map<fault_key, std::uint64_t>;

/// Adds all of `added` to `counts`. Once `counts` has `keyLimit` keys, new keys are counted under the customer "(other)" and
/// configuration version 0.
void addCounts(fault_counts& counts, const fault_counts& added, std::size_t keyLimit);

/// Encodes counts as a JSON array with one array for each key.
std::string encodeCounts(const fault_counts& counts);

/// Decodes the output of `encodeCounts`. Fails with `malformed_request`.
result<fault_counts> decodeCounts(const std::string& text);

/// Copies the rule, the bound, the worker and related fields from the event that caused an answer into the event of the answer.
event mergedWithCause(event answer, const event& cause);

/// Attributes and counts the faults that the journal records. Each fault is counted after a delay of 3 s, so that evidence which
/// is recorded after the fault is considered as well. Not thread-safe.
class fault_counter {
public:
    fault_counter();
    ~fault_counter();

    fault_counter(const fault_counter&) = delete;
    fault_counter& operator=(const fault_counter&) = delete;

    /// Adds events, both as evidence and as faults to count. Events that the journal dropped are counted as `unrecorded`.
    void add(const unread_events& unread, wall_time now);

    /// Counts the faults whose delay is over, drops counts older than 24 h, and returns what was counted since the last call.
    fault_counts countSettled(wall_time now);

    /// Returns all counts from the minute of `since` on, including the faults whose delay is not over.
    fault_counts countsSince(wall_time since) const;

    /// Adds an event as evidence only, without counting it.
    void addEvidence(const event& entry);

    /// Returns the evidence collected so far; valid as long as the counter.
    const evidence& collectedEvidence() const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::event_log
