#include "explain/node_status.h"

#include <nlohmann/json.hpp>

#include "explain/fault_totals.h"

namespace coriandermount::explain {

using nlohmann::json;

namespace {

    constexpr std::string_view programVersion = "0.1.0";

    json encodeSeconds(const std::vector<activity_second>& seconds)
    {
        json list = json::array();
        for (const auto& second : seconds) {
            list.push_back(
                { { "at_ms", second.at.time_since_epoch().count() }, { "arrivals", second.arrivals }, { "starts", second.starts },
                    { "refusals", second.refusals }, { "failures", second.failures }, { "queued", second.queued } });
        }
        return list;
    }

    json encodePlans(const node_status& status)
    {
        json list = json::array();
        for (const auto& [plan, demand] : status.demand->plans) {
            const auto share = status.shares->plans.find(plan);
            list.push_back({ { "plan", plan.value }, { "running", demand.runningTasks }, { "queued", demand.queuedTasks },
                { "arrivals", demand.tasksPerSecond },
                { "share", share == status.shares->plans.end() ? 0 : share->second.concurrentTasks } });
        }
        return list;
    }

    json encodeWorkers(const node_status& status)
    {
        json list = json::array();
        for (const auto& worker : status.workers->workers) {
            const auto used = status.demand->usedSlots.find(worker.id);
            std::string services;
            for (const auto& service : worker.services)
                services += (services.empty() ? "" : ",") + service.value;
            list.push_back({ { "id", worker.id.value }, { "domain", worker.domain.value }, { "rack", worker.rack },
                { "state", worker.state == vm_state::live ? "live" : "leaving" }, { "slots", worker.slots },
                { "used", used == status.demand->usedSlots.end() ? 0 : used->second }, { "services", services } });
        }
        return list;
    }

} // namespace

std::string encodeStatus(const node_status& status)
{
    return json {
        { "vm", status.vm.value }, { "version", programVersion }, { "at_ms", status.at.time_since_epoch().count() },
        { "ready", status.ready }, { "draining", status.draining }, { "open_jobs", status.openJobs },
        { "queued_tasks", status.demand->queuedTasks }, { "running_tasks", status.demand->runningTasks },
        { "configuration_version", status.configurationVersion }, { "configuration_author", status.configurationAuthor },
        { "configuration_age_ms", status.configurationAge.count() }, { "journal_bytes", status.journalBytes },
        { "journal_dropped", status.journalDropped }, { "plans", encodePlans(status) }, { "workers", encodeWorkers(status) },
        { "seconds", encodeSeconds(status.seconds) }, { "faults_by_party", computeTotals(status.faults).parties }
    }.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace coriandermount::explain
