#include <algorithm>

#include <fmt/format.h>

#include "explain/fault_totals.h"
#include "explain/node_status.h"

namespace coriandermount::explain {

namespace {

    constexpr std::string_view pageHead = R"(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><meta http-equiv="refresh" content="2"><title>coriandermount</title>
<style>
body { font: 15px/1.45 system-ui, sans-serif; margin: 1.5rem auto; max-width: 60rem; color: #1c2b24; background: #fbfbf8; }
h1 { font-size: 1.3rem; } h2 { font-size: 1.05rem; margin-top: 1.6rem; }
table { border-collapse: collapse; } td, th { text-align: left; padding: .15rem .9rem .15rem 0; } th { color: #5a6b62; }
svg { display: block; } .note { color: #5a6b62; }
</style></head><body>
)";

    constexpr double chartWidth = 900;
    constexpr double chartHeight = 120;
    constexpr double barWidth = 360;

    struct series {
        std::string_view name;
        std::string_view colour;
        std::uint64_t activity_second::*value;
    };

    constexpr series chartSeries[]
        = { { "arrivals", "#2f6f9f", &activity_second::arrivals }, { "starts", "#3b8a4f", &activity_second::starts },
              { "queued", "#c08a1e", &activity_second::queued }, { "refusals", "#b23a3a", &activity_second::refusals } };

    /// Escapes a text for HTML. Names come from settings and callers and are not trusted.
    std::string escapeHtml(std::string_view text)
    {
        std::string safe;
        for (const char c : text) {
            switch (c) {
            case '<':
                safe += "&lt;";
                break;
            case '>':
                safe += "&gt;";
                break;
            case '&':
                safe += "&amp;";
                break;
            case '"':
                safe += "&quot;";
                break;
            default:
                safe += c;
            }
        }
        return safe;
    }

    std::string polyline(const std::vector<activity_second>& seconds, const series& line, double largest)
    {
        std::string points;
        for (std::size_t index = 0; index < seconds.size(); ++index) {
            const double x = chartWidth * static_cast<double>(index) / static_cast<double>(activity_history::keptSeconds - 1);
            const double y = chartHeight * (1 - static_cast<double>(seconds[index].*line.value) / largest);
            points += fmt::format("{:.1f},{:.1f} ", x, y);
        }
        return fmt::format(R"(<polyline fill="none" stroke="{}" stroke-width="1.5" points="{}"><title>{}</title></polyline>)",
            line.colour, points, line.name);
    }

    std::string activityChart(const std::vector<activity_second>& seconds)
    {
        std::uint64_t largest = 1;
        for (const auto& second : seconds) {
            for (const auto& line : chartSeries)
                largest = std::max(largest, second.*line.value);
        }
        std::string legend;
        std::string lines;
        for (const auto& line : chartSeries) {
            legend += fmt::format(R"(<span style="color:{}">&#9632; {}</span> )", line.colour, line.name);
            lines += polyline(seconds, line, static_cast<double>(largest));
        }
        return fmt::format(R"(<p>{} <span class="note">highest value {}, last {} s</span></p>
<svg viewBox="0 0 {} {}" width="100%" role="img" aria-label="tasks per second"><rect width="100%" height="100%" fill="#f0f1eb"/>{}</svg>
)",
            legend, largest, seconds.size(), chartWidth, chartHeight, lines);
    }

    std::string faultChart(const event_log::fault_counts& faults)
    {
        const auto totals = computeTotals(faults);
        if (totals.total == 0)
            return "<p>none</p>\n";
        std::string rows;
        for (const auto& [party, count] : totals.parties) {
            const double width = barWidth * static_cast<double>(count) / static_cast<double>(totals.total);
            rows += fmt::format(
                R"(<tr><td>{}</td><td><svg width="{}" height="14"><rect width="{:.1f}" height="14" fill="#b23a3a"/></svg></td><td>{}</td></tr>)",
                escapeHtml(party), barWidth, width, count);
        }
        return "<table>" + rows + "</table>\n";
    }

    std::string_view stateName(member_state state)
    {
        constexpr std::string_view names[] = { "alive", "suspected", "leaving", "dead" };
        return names[static_cast<std::size_t>(state)];
    }

    std::string fleetTable(const node_status& status)
    {
        std::string rows = "<table><tr><th>VM</th><th>domain</th><th>rack</th><th>state</th></tr>";
        for (const auto& vm : status.fleet->members) {
            rows += fmt::format("<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td></tr>", escapeHtml(vm.id.value),
                escapeHtml(vm.domain.value), escapeHtml(vm.rack), stateName(vm.state));
        }
        rows
            += "</table>\n<table><tr><th>other domain</th><th>reachable</th><th>VMs</th><th>workers</th><th>free slots</th></tr>";
        for (const auto& [domain, summary] : status.fleet->otherDomains) {
            rows += fmt::format("<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td></tr>", escapeHtml(domain.value),
                summary.reachable ? "yes" : "no", summary.liveVms, summary.liveWorkers, summary.freeSlots);
        }
        return rows + "</table>\n";
    }

    std::string planTable(const node_status& status)
    {
        std::string rows = "<table><tr><th>plan</th><th>running</th><th>queued</th><th>share</th></tr>";
        for (const auto& [plan, demand] : status.demand->plans) {
            const auto share = status.shares->plans.find(plan);
            rows += fmt::format("<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td></tr>", escapeHtml(plan.value),
                demand.runningTasks, demand.queuedTasks, share == status.shares->plans.end() ? 0 : share->second.concurrentTasks);
        }
        return rows + "</table>\n";
    }

} // namespace

std::string statusPage(const node_status& status)
{
    std::string page(pageHead);
    page += fmt::format(
        "<h1>{}</h1>\n<p>{}{}; {} tasks queued, {} running, {} jobs open; configuration {} by {}, in force for {} s</p>\n",
        escapeHtml(status.vm.value), status.ready ? "ready" : "not ready", status.draining ? ", draining" : "",
        status.demand->queuedTasks, status.demand->runningTasks, status.openJobs, status.configurationVersion,
        escapeHtml(status.configurationAuthor), status.configurationAge.count() / 1000);
    page += "<h2>Tasks per second</h2>\n" + activityChart(status.seconds);
    page += "<h2>Faults of the last ten minutes by party, on this VM</h2>\n" + faultChart(status.faults);
    page += "<h2>Plans</h2>\n" + planTable(status);
    page += "<h2>Fleet</h2>\n" + fleetTable(status);
    return page + "</body></html>\n";
}

} // namespace coriandermount::explain
