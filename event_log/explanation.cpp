#include "event_log/explanation.h"

#include <algorithm>
#include <map>
#include <set>

#include <fmt/format.h>

#include "event_log/fault_counter.h"
#include "event_log/journal.h"

namespace coriandermount::event_log {

namespace {

    std::string milliseconds(std::chrono::microseconds value)
    {
        return fmt::format("{:.1f} ms", static_cast<double>(value.count()) / 1000);
    }

    std::string taskText(const event& entry) { return entry.task ? fmt::format("task {}", *entry.task) : "the job"; }

    std::string boundText(const event& entry)
    {
        if (entry.rule.empty())
            return entry.value.empty() ? "" : fmt::format(" ({})", entry.value);
        return fmt::format(" ({} of \"{}\" is {}, demand {}; version {})", entry.rule, entry.subject, entry.limit, entry.value,
            entry.configurationVersion);
    }

    std::string problemText(const event& entry) { return entry.problem ? std::string(nameOf(*entry.problem)) : ""; }

    /// Returns whether a failed start proves that it did not run the task.
    bool provesNotRun(const event& entry) { return entry.problem && rowOf(*entry.problem).result == outcome::not_run; }

    std::string stepText(const event& entry)
    {
        switch (entry.kind) {
        case event_kind::job_received:
            return fmt::format("received with {} tasks and a time limit of {} ms", entry.value, entry.limit);
        case event_kind::job_claimed:
            return fmt::format("claimed in {}{}", milliseconds(entry.elapsed), entry.value.empty() ? "" : ": " + entry.value);
        case event_kind::job_dispatched:
            return fmt::format("passed to the engine in {}", milliseconds(entry.elapsed));
        case event_kind::job_admitted:
            return fmt::format("admitted{}", boundText(entry));
        case event_kind::job_refused:
            return fmt::format("refused: {}{}", problemText(entry), boundText(entry));
        case event_kind::task_queued:
            return fmt::format("{} queued{}", taskText(entry), boundText(entry));
        case event_kind::task_placed:
            return fmt::format("{} placed on worker \"{}\" after {} in the queue{}", taskText(entry), entry.subject,
                milliseconds(entry.elapsed), entry.value.empty() ? "" : fmt::format(" ({})", entry.value));
        case event_kind::task_started:
            return fmt::format("{} started on worker \"{}\"", taskText(entry), entry.subject);
        case event_kind::task_answered:
            return entry.problem
                ? fmt::format("{} failed on worker \"{}\" after {}: {}{}", taskText(entry), entry.subject,
                    milliseconds(entry.elapsed), problemText(entry), entry.value.empty() ? "" : fmt::format(" ({})", entry.value))
                : fmt::format("{} answered by worker \"{}\" after {}, of which it ran {}", taskText(entry), entry.subject,
                    milliseconds(entry.elapsed), milliseconds(entry.elapsedPart));
        case event_kind::task_retried:
            return fmt::format("{} {} worker \"{}\" ({}), queued again", taskText(entry),
                provesNotRun(entry) ? "not run by" : "may have been run by", entry.subject, problemText(entry));
        case event_kind::job_answered:
            return entry.problem ? fmt::format(
                       "answered after {}: {}, {}", milliseconds(entry.elapsed), problemText(entry), nameOf(outcomeOf(entry)))
                                 : fmt::format("answered after {}: done", milliseconds(entry.elapsed));
        default:
            return fmt::format(
                "{} {}{}{}", nameOf(entry.kind), entry.subject, boundText(entry), entry.problem ? ": " + problemText(entry) : "");
        }
    }

    void removeDuplicates(std::vector<event>& events)
    {
        std::set<std::pair<vm_id, std::uint64_t>> seenKeys;
        std::erase_if(events, [&seenKeys](const event& entry) { return !seenKeys.emplace(entry.vm, entry.sequence).second; });
    }

    /// Returns the newest answer, merged with the event that caused it; if there is none, the newest refusal; else nothing.
    std::optional<event> finalAnswerOf(const std::vector<event>& events)
    {
        const event* cause = nullptr;
        const event* answer = nullptr;
        for (const auto& entry : events) {
            const bool isCause = entry.kind == event_kind::job_refused || entry.kind == event_kind::task_answered;
            if (isCause && entry.problem)
                cause = &entry;
            if (entry.kind == event_kind::job_answered)
                answer = &entry;
        }
        if (!answer)
            return cause && cause->kind == event_kind::job_refused ? std::optional<event>(*cause) : std::nullopt;
        if (cause && cause->problem == answer->problem)
            return mergedWithCause(*answer, *cause);
        return *answer;
    }

    /// Returns whether the events show a start without proof that it did not run its task, or an answer with results.
    bool showExecution(const std::vector<event>& events)
    {
        std::map<std::optional<std::uint32_t>, int> unprovedStarts;
        for (const auto& entry : events) {
            if (entry.kind == event_kind::job_answered && outcomeOf(entry) == outcome::done)
                return true;
            if (entry.kind == event_kind::task_placed)
                ++unprovedStarts[entry.task];
            else if (entry.kind == event_kind::task_answered && provesNotRun(entry))
                --unprovedStarts[entry.task];
        }
        return std::any_of(unprovedStarts.begin(), unprovedStarts.end(), [](const auto& entry) { return entry.second > 0; });
    }

} // namespace

result<explanation> explain(const job_key& job, std::vector<event> events, const evidence& context, explanation_sources sources)
{
    if (events.empty()) {
        return fail(error_kind::job_unknown,
            fmt::format("no event of the job found on {} VMs and in {} log streams; {} VMs did not answer", sources.vms.size(),
                sources.streams.size(), sources.unresponsiveVms.size()));
    }
    sortByTime(events);
    removeDuplicates(events);
    explanation found;
    found.job = job;
    found.sources = std::move(sources);
    for (const auto& entry : events) {
        found.steps.push_back({ entry.at, entry.vm, entry.kind, stepText(entry) });
        found.configurationVersion = std::max(found.configurationVersion, entry.configurationVersion);
    }
    found.time = computeTimeBreakdown(events);
    const auto finalAnswer = finalAnswerOf(events);
    if (!finalAnswer)
        return found;
    found.answered = true;
    found.problem = finalAnswer->problem;
    found.detail = finalAnswer->value;
    found.result = outcomeOf(*finalAnswer);
    // The newest answer may be that of a later submission, which was refused without knowledge of the earlier ones.
    if (found.result == outcome::not_run && showExecution(events))
        found.result = outcome::may_have_run;
    if (finalAnswer->problem)
        found.fault = attribute(*finalAnswer, context);
    return found;
}

} // namespace coriandermount::event_log
