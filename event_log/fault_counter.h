/// Counts faults by party, kind, customer and configuration version.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "event_log/attribution.h"
#include "event_log/journal.h"

namespace coriandermount::event_log {

enum class fault_class {
    /// A submission was answered as not run.
    refusal,
    /// A submission was answered as may have run.
    failure,
    retry,
    ejection,
    takeover,
    lease,
    log,
    configuration,
    unrecorded,
};

inline constexpr std::size_t faultClassCount = static_cast<std::size_t>(fault_class::unrecorded) + 1;

std::string_view nameOf(fault_class value);

/// What faults are counted by.
struct fault_key {
    wall_time minute {};
    fault_class kind = fault_class::refusal;
    /// Set where the fault has an answer in the error table.
    std::optional<error_kind> problem;
    attribution_rule rule = attribution_rule::own_fault;
    customer_id customer;
    std::uint64_t configurationVersion = 0;

    friend auto operator<=>(const fault_key&, const fault_key&) = default;
};

using fault_counts = std::map<fault_key, std::uint64_t>;

/// Adds all of `more` to `counts`; beyond `mostKeys`, customers are counted together as "(other)".
void addCounts(fault_counts& counts, const fault_counts& more, std::size_t mostKeys);

std::string encodeCounts(const fault_counts& counts);

/// Fails with `malformed_request`.
result<fault_counts> decodeCounts(const std::string& text);

/// Completes the event of an answer with what the event that caused it knows.
event mergedWithCause(event answer, const event& cause);

/// Attributes and counts what the journal records. A fault waits a few seconds for evidence that comes after it.
class fault_counter {
public:
    fault_counter();
    ~fault_counter();

    fault_counter(const fault_counter&) = delete;
    fault_counter& operator=(const fault_counter&) = delete;

    void add(const unread_events& news, wall_time now);

    /// Counts the faults that have waited long enough, and returns what was counted since the last call.
    fault_counts countSettled(wall_time now);

    /// All counts from `since` on, those still waiting included.
    fault_counts countsSince(wall_time since) const;

    /// Adds an event of another VM as evidence only.
    void addEvidence(const event& entry);

    const evidence& known() const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::event_log
