#include "explain/fault_totals.h"

namespace coriandermount::explain {

double fault_totals::dispatcherShare() const
{
    const auto own = parties.find(std::string(nameOf(party::dispatcher)));
    return own == parties.end() ? 0.0 : static_cast<double>(own->second) / static_cast<double>(all);
}

std::string partyOf(const event_log::fault_key& key)
{
    const auto responsible = event_log::rowOf(key.rule).responsible;
    return responsible ? std::string(nameOf(*responsible)) : "not known";
}

fault_totals computeTotals(const event_log::fault_counts& counts)
{
    fault_totals sums;
    for (const auto& [key, count] : counts) {
        sums.all += count;
        sums.parties[partyOf(key)] += count;
        sums.kinds[std::string(key.problem ? nameOf(*key.problem) : event_log::nameOf(key.kind))] += count;
        sums.rules[std::string(event_log::rowOf(key.rule).name)] += count;
        if (!key.customer.value.empty())
            sums.customers[key.customer.value] += count;
        if (key.configurationVersion > 0)
            sums.versions[std::to_string(key.configurationVersion)] += count;
    }
    return sums;
}

} // namespace coriandermount::explain
