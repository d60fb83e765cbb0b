#include <nlohmann/json.hpp>

#include "explain/aggregator.h"
#include "explain/fault_totals.h"

namespace coriandermount::explain {

using nlohmann::json;

namespace {

    json encodeLine(const event_log::fault_key& key, std::uint64_t count)
    {
        json line { { "minute_ms", key.minute.time_since_epoch().count() }, { "class", event_log::nameOf(key.kind) },
            { "rule", event_log::rowOf(key.rule).name }, { "party", partyOf(key) }, { "customer", key.customer.value },
            { "configuration_version", key.configurationVersion }, { "count", count } };
        if (key.problem)
            line["problem"] = nameOf(*key.problem);
        return line;
    }

} // namespace

std::string encodeReport(const fault_report& report)
{
    const fault_totals sums = computeTotals(report.counts);
    json lines = json::array();
    for (const auto& [key, count] : report.counts)
        lines.push_back(encodeLine(key, count));
    return json {
        { "since_ms", report.since.time_since_epoch().count() }, { "until_ms", report.until.time_since_epoch().count() },
        { "total", sums.all }, { "dispatcher_share", sums.dispatcherShare() }, { "by_party", sums.parties },
        { "by_kind", sums.kinds }, { "by_rule", sums.rules }, { "by_customer", sums.customers }, { "by_version", sums.versions },
        { "lines", lines },
        { "sources",
            { { "vms", report.sources.vms }, { "silent_vms", report.sources.unresponsiveVms },
                { "streams", report.sources.streams }, { "problems", report.sources.problems } } }
    }.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace coriandermount::explain
