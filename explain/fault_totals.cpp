#include "explain/fault_totals.h"

namespace coriandermount::explain {

double fault_totals::dispatcherShare() const
{
    const auto own = parties.find(std::string(nameOf(party::dispatcher)));
    return own == parties.end() ? 0.0 : static_cast<double>(own->second) / static_cast<double>(total);
}

std::string partyOf(const event_log::fault_key& key)
{
    const auto responsible = event_log::rowOf(key.rule).responsible;
    return responsible ? std::string(nameOf(*responsible)) : "not known";
}

fault_totals computeTotals(const event_log::fault_counts& counts)
{
    fault_totals totals;
    for (const auto& [key, count] : counts) {
        totals.total += count;
        totals.parties[partyOf(key)] += count;
        totals.kinds[std::string(key.problem ? nameOf(*key.problem) : event_log::nameOf(key.kind))] += count;
        totals.rules[std::string(event_log::rowOf(key.rule).name)] += count;
        if (!key.customer.value.empty())
            totals.customers[key.customer.value] += count;
        if (key.configurationVersion > 0)
            totals.versions[std::to_string(key.configurationVersion)] += count;
    }
    return totals;
}

} // namespace coriandermount::explain
