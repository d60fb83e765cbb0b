/// Sums over counts of faults.
#pragma once

#include <map>
#include <string>

#include "event_log/fault_counter.h"

namespace coriandermount::explain {

struct fault_totals {
    std::map<std::string, std::uint64_t> parties;
    std::map<std::string, std::uint64_t> kinds;
    std::map<std::string, std::uint64_t> rules;
    std::map<std::string, std::uint64_t> customers;
    std::map<std::string, std::uint64_t> versions;
    std::uint64_t all = 0;

    /// Part of the faults that the dispatcher itself caused.
    double dispatcherShare() const;
};

fault_totals computeTotals(const event_log::fault_counts& counts);

/// Returns the party that the key's rule names, or "not known".
std::string partyOf(const event_log::fault_key& key);

} // namespace coriandermount::explain
