#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "event_log/explanation.h"

namespace coriandermount::event_log {

using nlohmann::json;

namespace {

    constexpr std::size_t maxStepsShown = 60;

    std::string clockTime(wall_time at)
    {
        const auto milliseconds = at.time_since_epoch().count() % 1000;
        return fmt::format("{:%H:%M:%S}.{:03}", fmt::gmtime(std::chrono::system_clock::to_time_t(at)), milliseconds);
    }

    json encodeBreakdown(const time_breakdown& time)
    {
        json object { { "whole_us", time.total.count() }, { "claim_us", time.claim.count() },
            { "dispatch_us", time.dispatch.count() }, { "queue_us", time.queue.count() }, { "network_us", time.network.count() },
            { "worker_us", time.worker.count() }, { "unaccounted_us", time.unaccounted.count() } };
        if (time.task)
            object["task"] = *time.task;
        return object;
    }

    json encodeFault(const attribution& fault)
    {
        const auto responsible = fault.responsible();
        return { { "party", responsible ? std::string(nameOf(*responsible)) : "not known" }, { "rule", rowOf(fault.rule).name },
            { "because", fault.reason }, { "help", fault.remedy } };
    }

    std::string answerText(const explanation& value)
    {
        if (!value.answered)
            return "open: no answer is known yet";
        if (!value.problem)
            return "done";
        return fmt::format("{} ({}): {}", nameOf(*value.problem), nameOf(value.result), rowOf(*value.problem).message);
    }

    std::string faultLines(const attribution& fault)
    {
        const auto responsible = fault.responsible();
        if (!responsible)
            return fmt::format(
                "party    not known, because {}: {}\nhelp     {}\n", rowOf(fault.rule).condition, fault.reason, fault.remedy);
        return fmt::format("party    {} [{}]\nbecause  {}\nhelp     {}\n", nameOf(*responsible), rowOf(fault.rule).name,
            fault.reason.empty() ? rowOf(fault.rule).condition : fault.reason, fault.remedy);
    }

    std::string timeLine(const time_breakdown& time)
    {
        const auto ms = [](std::chrono::microseconds duration) { return static_cast<double>(duration.count()) / 1000; };
        return fmt::format("time     {:.1f} ms = claim {:.1f} + dispatch {:.1f} + queue {:.1f} + network {:.1f} + worker {:.1f}"
                           " + unaccounted {:.1f}\n",
            ms(time.total), ms(time.claim), ms(time.dispatch), ms(time.queue), ms(time.network), ms(time.worker),
            ms(time.unaccounted));
    }

    std::string sourceLines(const explanation_sources& sources)
    {
        std::string text = fmt::format("sources  VMs: {}", fmt::join(sources.vms, ", "));
        if (!sources.unresponsiveVms.empty())
            text += fmt::format("; no answer from: {}", fmt::join(sources.unresponsiveVms, ", "));
        if (!sources.streams.empty())
            text += fmt::format("; log: {}", fmt::join(sources.streams, ", "));
        for (const auto& problem : sources.problems)
            text += fmt::format("\n         {}", problem);
        return text + "\n";
    }

} // namespace

std::string encodeExplanation(const explanation& value)
{
    json steps = json::array();
    for (const auto& step : value.steps) {
        steps.push_back({ { "at_ms", step.at.time_since_epoch().count() }, { "vm", step.vm.value },
            { "event", nameOf(step.kind) }, { "text", step.text } });
    }
    json object { { "customer", value.job.customer.value }, { "job", value.job.name },
        { "issued_at_ms", value.job.issuedAt.time_since_epoch().count() }, { "answered", value.answered },
        { "outcome", value.answered ? std::string(nameOf(value.result)) : "open" }, { "detail", value.detail },
        { "configuration_version", value.configurationVersion }, { "steps", steps },
        { "sources",
            { { "vms", value.sources.vms }, { "silent_vms", value.sources.unresponsiveVms }, { "streams", value.sources.streams },
                { "problems", value.sources.problems } } },
        { "text", explanationText(value) } };
    if (value.problem)
        object["problem"] = nameOf(*value.problem);
    if (value.fault)
        object["fault"] = encodeFault(*value.fault);
    if (value.time)
        object["time"] = encodeBreakdown(*value.time);
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string explanationText(const explanation& value)
{
    std::string text = fmt::format("job      {} of {}, issued at {} ms\nverdict  {}\n", value.job.name, value.job.customer.value,
        value.job.issuedAt.time_since_epoch().count(), answerText(value));
    if (value.fault)
        text += faultLines(*value.fault);
    if (value.time)
        text += timeLine(*value.time);
    text += "events\n";
    for (std::size_t index = 0; index < value.steps.size(); ++index) {
        const auto& step = value.steps[index];
        // The first and the last steps matter most, so the steps between them are omitted.
        if (value.steps.size() > maxStepsShown && index >= maxStepsShown / 2 && index + maxStepsShown / 2 < value.steps.size()) {
            if (index == maxStepsShown / 2)
                text += fmt::format("  ... {} more; --json lists all of them\n", value.steps.size() - maxStepsShown);
            continue;
        }
        text += fmt::format("  {} {:<10} {}\n", clockTime(step.at), step.vm.value, step.text);
    }
    return text + sourceLines(value.sources);
}

} // namespace coriandermount::event_log
