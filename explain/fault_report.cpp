#include <nlohmann/json.hpp>

#include "explain/aggregator.h"
#include "explain/fault_totals.h"

namespace coriandermount::explain {

using nlohmann::json;

namespace {

    json encodeCount(const event_log::fault_key& key, std::uint64_t count)
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
    const fault_totals totals = computeTotals(report.counts);
    json lines = json::array();
    for (const auto& [key, count] : report.counts)
        lines.push_back(encodeCount(key, count));
    return json {
        { "since_ms", report.since.time_since_epoch().count() }, { "until_ms", report.until.time_since_epoch().count() },
        { "total", totals.total }, { "dispatcher_share", totals.dispatcherShare() }, { "by_party", totals.parties },
        { "by_kind", totals.kinds }, { "by_rule", totals.rules }, { "by_customer", totals.customers },
        { "by_version", totals.versions }, { "lines", lines },
        { "sources",
            { { "vms", report.sources.vms }, { "silent_vms", report.sources.unresponsiveVms },
                { "streams", report.sources.streams }, { "problems", report.sources.problems } } }
    }.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace coriandermount::explain
