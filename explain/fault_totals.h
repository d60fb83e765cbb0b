/// Totals of fault counts.
#pragma once

#include <map>
#include <string>

#include "event_log/fault_counter.h"

namespace coriandermount::explain {

/// Totals by the names that JSON and the status page show.
struct fault_totals {
    std::map<std::string, std::uint64_t> parties;
    /// By error, or by fault class for faults without an error.
    std::map<std::string, std::uint64_t> kinds;
    std::map<std::string, std::uint64_t> rules;
    std::map<std::string, std::uint64_t> customers;
    /// By configuration version.
    std::map<std::string, std::uint64_t> versions;
    /// All faults.
    std::uint64_t total = 0;

    /// Returns the share of the faults that is attributed to the dispatcher, from 0 to 1.
    double dispatcherShare() const;
};

/// Adds up `counts` by each part of the key.
fault_totals computeTotals(const event_log::fault_counts& counts);

/// Returns the name of the party that the key's rule names, or "not known".
std::string partyOf(const event_log::fault_key& key);

} // namespace coriandermount::explain
