// Measures the time and memory per recorded event, and the bytes appended to the log at the load of a busy node.
#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include "core/clock.h"
#include "event_log/batch_planner.h"
#include "event_log/journal.h"

using namespace coriandermount;

namespace {

constexpr std::size_t journalBytes = 16 * 1024 * 1024;

event_log::event makePlacedEvent(std::uint64_t number)
{
    event_log::event entry;
    entry.kind = event_log::event_kind::task_placed;
    entry.job = job_key { { "kellari" }, fmt::format("release-check-{:012}", number), wall_time(std::chrono::milliseconds(1)) };
    entry.task = static_cast<std::uint32_t>(number % 260);
    entry.subject = "worker-0123";
    entry.elapsed = std::chrono::microseconds(1234);
    entry.configurationVersion = 812;
    return entry;
}

/// Copies an event without recording it, as the baseline of `recordEvent`.
void buildEvent(benchmark::State& state)
{
    const auto sample = makePlacedEvent(1);
    for (auto _ : state) {
        event_log::event entry = sample;
        benchmark::DoNotOptimize(entry);
    }
}

void recordEvent(benchmark::State& state)
{
    static const system_clock_source clock;
    static event_log::memory_journal journal(clock, { "entry-1" }, journalBytes);
    const auto sample = makePlacedEvent(1);
    for (auto _ : state)
        journal.record(sample);
    if (state.thread_index() == 0) {
        const auto retainedEvents = journal.eventsSince({}).size();
        state.counters["bytes_per_event"] = static_cast<double>(journal.usedBytes()) / static_cast<double>(retainedEvents);
    }
}

/// Reads one job's events while the journal is full.
void findJob(benchmark::State& state)
{
    const system_clock_source clock;
    event_log::memory_journal journal(clock, { "entry-1" }, journalBytes);
    for (std::uint64_t number = 0; number < 200000; ++number)
        journal.record(makePlacedEvent(number));
    const auto key = *makePlacedEvent(199990).job;
    for (auto _ : state)
        benchmark::DoNotOptimize(journal.eventsOf(key));
}

/// Simulates ten minutes of 1,400 starts and 20 refusals per second, and counts the appended bytes per second.
void appendedBytes(benchmark::State& state)
{
    for (auto _ : state) {
        event_log::batch_planner planner({ { "entry-1" }, 1 });
        std::uint64_t bytes = 0;
        std::uint64_t number = 0;
        for (int second = 0; second < 600; ++second) {
            event_log::unread_events unread;
            for (int index = 0; index < 500; ++index)
                unread.detail.push_back(makePlacedEvent(++number));
            unread.missedDetail = 5100;
            for (int index = 0; index < 20; ++index) {
                auto entry = makePlacedEvent(++number);
                entry.kind = event_log::event_kind::job_refused;
                entry.problem = error_kind::plan_concurrency_exceeded;
                unread.faults.push_back(entry);
            }
            planner.enqueue(std::move(unread), {});
            const time_point now { std::chrono::seconds(second) };
            if (const auto text = planner.nextBatch(now, wall_time(std::chrono::seconds(second)))) {
                bytes += text->size();
                planner.onAppended(true, now);
            }
        }
        state.counters["bytes_per_second"] = static_cast<double>(bytes) / 600;
        state.counters["dropped_faults"] = static_cast<double>(planner.droppedFaults());
    }
}

} // namespace

BENCHMARK(buildEvent);
BENCHMARK(recordEvent)->Threads(1)->Threads(4);
BENCHMARK(findJob)->Unit(benchmark::kMillisecond);
BENCHMARK(appendedBytes)->Iterations(1)->Unit(benchmark::kMillisecond);

BENCHMARK_MAIN();
