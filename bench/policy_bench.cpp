// Compares placement policies in virtual time: response time relative to the ideal, messages, goodput during overload, short
// tasks together with long tasks, and shares of plans. Prints one table for each user.
#include <cstdio>
#include <memory>

#include "bench/virtual_workers.h"

using namespace coriandermount::bench;

namespace {

enum class policy_kind { engine, random, round_robin, two_choices, fifo };

struct policy_name {
    policy_kind kind;
    const char* name;
};

constexpr policy_name policies[] { { policy_kind::engine, "coriandermount" }, { policy_kind::random, "random" },
    { policy_kind::round_robin, "round robin" }, { policy_kind::two_choices, "two choices" }, { policy_kind::fifo, "FIFO" } };

constexpr double normalLoad = 0.8;
/// Time at the beginning of a run that is excluded from measurements.
constexpr seconds warmUp { 20 };

std::unique_ptr<policy> makePolicy(policy_kind kind, const cluster_shape& shape, const std::vector<double>& weights)
{
    switch (kind) {
    case policy_kind::random:
        return std::make_unique<random_policy>(shape);
    case policy_kind::round_robin:
        return std::make_unique<round_robin_policy>(shape);
    case policy_kind::two_choices:
        return std::make_unique<two_choices_policy>(shape);
    case policy_kind::fifo:
        return std::make_unique<fifo_policy>(shape);
    case policy_kind::engine:
        break;
    }
    return std::make_unique<engine_policy>(shape, weights);
}

/// Parameters of one simulation.
struct scenario {
    cluster_shape shape;
    stream_options stream;
    std::vector<double> weights { 1 };
    fault_plan faults;
};

struct measured_run {
    std::vector<stream_job> jobs;
    run_outcome outcome;
};

measured_run runScenario(policy_kind kind, const scenario& setting)
{
    constexpr seconds afterLastArrival { 180 };
    measured_run result;
    result.jobs = makeStream(setting.stream);
    const auto placementPolicy = makePolicy(kind, setting.shape, setting.weights);
    const seconds end = result.jobs.back().arrival + afterLastArrival;
    result.outcome = virtual_workers(setting.shape, result.jobs, *placementPolicy, setting.faults).run(end);
    return result;
}

double quantile(std::vector<double>& values, double share)
{
    if (values.empty())
        return 0;
    const auto at = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + at, values.end());
    return values[static_cast<std::size_t>(at)];
}

/// Returns the ratios of response time to ideal response time of the jobs that `isSelected` accepts. For a job that was not done,
/// its time limit counts as the response time.
template <class Predicate> std::vector<double> ratios(const measured_run& run, seconds oneWayLatency, const Predicate& isSelected)
{
    std::vector<double> values;
    for (std::size_t index = 0; index < run.jobs.size(); ++index) {
        const auto& job = run.jobs[index];
        if (!isSelected(job))
            continue;
        const auto& record = run.outcome.jobs[index];
        const seconds response = record.done ? record.answeredAt - job.arrival : job.timeLimit;
        values.push_back(response / (job.longest() + 2 * oneWayLatency));
    }
    return values;
}

bool wasAnsweredInTime(const stream_job& job, const job_record& record)
{
    return record.done && record.answeredAt <= job.arrival + job.timeLimit;
}

scenario normalScenario(const cluster_shape& shape)
{
    scenario setting;
    setting.shape = shape;
    setting.stream.slots = static_cast<double>(shape.workers) * shape.slots;
    setting.stream.phases = { { seconds(120), { normalLoad }, {} } };
    return setting;
}

/// Results of one policy: one row of the table.
struct row {
    double median = 0;
    double p99 = 0;
    double p999 = 0;
    double messages = 0;
    double wasted = 0;
    double overloadGoodput = 0;
    double missedDeadlines = 0;
    double p99AfterOverload = 0;
    double shortSlowdownWithLong = 0;
    double shortSlowdownInFlood = 0;
    double share = 0;
    double messagesWithDead = 0;
};

void measureNormal(policy_kind kind, const cluster_shape& shape, row& result)
{
    const measured_run run = runScenario(kind, normalScenario(shape));
    auto values = ratios(run, shape.oneWayLatency, [](const auto& job) { return job.arrival >= warmUp; });
    result.median = quantile(values, 0.5);
    result.p99 = quantile(values, 0.99);
    result.p999 = quantile(values, 0.999);
    result.messages = static_cast<double>(run.outcome.messages) / static_cast<double>(run.outcome.starts);
    result.wasted = static_cast<double>(run.outcome.wastedMessages) / static_cast<double>(run.outcome.messages);
}

void measureOverload(policy_kind kind, const cluster_shape& shape, row& result)
{
    constexpr double overloadFactor = 3;
    constexpr seconds overloadLength { 10 };
    constexpr seconds recovery { 2 };
    scenario setting = normalScenario(shape);
    setting.stream.phases
        = { { warmUp, { normalLoad }, {} }, { overloadLength, { overloadFactor }, {} }, { seconds(20), { normalLoad }, {} } };
    const measured_run run = runScenario(kind, setting);
    const seconds end = warmUp + overloadLength;
    const seconds recovered = end + recovery;
    double usefulSlotTime = 0;
    for (const auto& slotUse : run.outcome.runs) {
        if (!wasAnsweredInTime(run.jobs[slotUse.job], run.outcome.jobs[slotUse.job]))
            continue;
        const seconds overlap = std::min(slotUse.until, end) - std::max(slotUse.from, warmUp);
        usefulSlotTime += std::max(0.0, overlap.count());
    }
    result.overloadGoodput = usefulSlotTime / (setting.stream.slots * overloadLength.count());
    double accepted = 0;
    double missedDeadlines = 0;
    for (std::size_t index = 0; index < run.jobs.size(); ++index) {
        const auto& record = run.outcome.jobs[index];
        const bool refusedAtOnce = record.notRun && record.answeredAt - run.jobs[index].arrival < seconds(0.001);
        accepted += refusedAtOnce ? 0 : 1;
        missedDeadlines += refusedAtOnce || wasAnsweredInTime(run.jobs[index], record) ? 0 : 1;
    }
    result.missedDeadlines = missedDeadlines / accepted;
    auto after = ratios(run, shape.oneWayLatency, [recovered](const auto& job) { return job.arrival >= recovered; });
    result.p99AfterOverload = quantile(after, 0.99);
}

/// Returns the share of long tasks among all tasks with which they make up the share `work` of the total run time.
double longTasksFor(double work, const task_mix& mix)
{
    task_mix none = mix;
    none.longTasks = 0;
    task_mix all { 0, 1 };
    const double shortMean = meanRunTime(none);
    const double longMean = meanRunTime(all);
    return work * shortMean / (work * shortMean + (1 - work) * longMean);
}

/// Returns the 99th percentile of the response ratio of jobs with short tasks.
double shortP99(policy_kind kind, const scenario& setting)
{
    auto values = ratios(runScenario(kind, setting), setting.shape.oneWayLatency,
        [](const auto& job) { return !job.isLong && job.arrival >= warmUp; });
    return quantile(values, 0.99);
}

void measureWithLongWork(policy_kind kind, const cluster_shape& shape, row& result)
{
    constexpr double longWork = 0.1;
    scenario without = normalScenario(shape);
    without.stream.mix.longTasks = 0;
    scenario with = without;
    with.stream.mix.longTasks = longTasksFor(longWork, without.stream.mix);
    result.shortSlowdownWithLong = shortP99(kind, with) / shortP99(kind, without);
}

/// Measures short tasks while one task in ten is long, which is far more long work than there are slots for. The long tasks begin
/// after a phase with short tasks only, and the amount of short work stays the same.
void measureLongWorkFlood(policy_kind kind, const cluster_shape& shape, row& result)
{
    constexpr double shortLoad = 0.4;
    constexpr double longTasks = 0.1;
    constexpr seconds length { 120 };
    scenario without = normalScenario(shape);
    without.stream.mix.longTasks = 0;
    without.stream.phases = { { warmUp, { shortLoad }, {} }, { length, { shortLoad }, {} } };
    scenario with = without;
    task_mix flood = without.stream.mix;
    flood.longTasks = longTasks;
    const double loadGrowth = meanRunTime(flood) / meanRunTime(without.stream.mix) / (1 - longTasks);
    with.stream.phases[1] = { length, { shortLoad * loadGrowth }, flood };
    result.shortSlowdownInFlood = shortP99(kind, with) / shortP99(kind, without);
}

/// Returns the slot time, in seconds, that each plan used between `from` and `until` for jobs that were answered in time.
std::vector<double> servedWork(const measured_run& run, std::size_t plans, seconds from, seconds until)
{
    std::vector<double> served(plans);
    for (const auto& slotUse : run.outcome.runs) {
        const auto& job = run.jobs[slotUse.job];
        const seconds overlap = std::min(slotUse.until, until) - std::max(slotUse.from, from);
        if (wasAnsweredInTime(job, run.outcome.jobs[slotUse.job]))
            served[job.plan] += std::max(0.0, overlap.count());
    }
    return served;
}

void measureShares(policy_kind kind, const cluster_shape& shape, row& result)
{
    constexpr seconds length { 60 };
    scenario setting = normalScenario(shape);
    setting.stream.mix.longTasks = 0;
    setting.weights = { 1, 1, 2, 4 };
    // Each plan demands twice its fair share, and the first plan eight times its fair share.
    setting.stream.phases = { { warmUp + length, { 1.0, 0.25, 0.5, 1.0 }, {} } };
    const measured_run run = runScenario(kind, setting);
    const auto served = servedWork(run, setting.weights.size(), warmUp, warmUp + length);
    double smallestShare = 1e9;
    for (std::size_t plan = 0; plan < served.size(); ++plan) {
        const double entitled = setting.stream.slots * length.count() * setting.weights[plan] / 8;
        smallestShare = std::min(smallestShare, served[plan] / entitled);
    }
    result.share = smallestShare;
}

void measureDeadWorkers(policy_kind kind, const cluster_shape& shape, row& result)
{
    scenario setting = normalScenario(shape);
    setting.stream.phases = { { seconds(60), { 0.6 }, {} } };
    setting.faults = { shape.workers / 3, seconds(20) };
    const measured_run run = runScenario(kind, setting);
    std::size_t messages = run.outcome.messages;
    result.messagesWithDead = static_cast<double>(messages) / static_cast<double>(run.outcome.starts);
}

void printTable(const char* user, const cluster_shape& shape)
{
    std::printf("\n%s: %zu workers of %u slots, one-way latency %.1f ms\n", user, shape.workers, shape.slots,
        shape.oneWayLatency.count() * 1000);
    std::printf("%-15s %7s %7s %7s %9s %8s %9s %7s %10s %11s %7s %7s %10s\n", "policy", "p50", "p99", "p99.9", "msg/task",
        "wasted", "goodput3x", "late", "p99 after", "beside 10%", "flood", "share", "msg dead/3");
    for (const auto& entry : policies) {
        row result;
        measureNormal(entry.kind, shape, result);
        measureOverload(entry.kind, shape, result);
        measureWithLongWork(entry.kind, shape, result);
        measureLongWorkFlood(entry.kind, shape, result);
        measureShares(entry.kind, shape, result);
        measureDeadWorkers(entry.kind, shape, result);
        std::printf("%-15s %7.3f %7.2f %7.2f %9.3f %7.2f%% %9.3f %6.2f%% %10.2f %11.2f %7.2f %7.2f %10.3f\n", entry.name,
            result.median, result.p99, result.p999, result.messages, result.wasted * 100, result.overloadGoodput,
            result.missedDeadlines * 100, result.p99AfterOverload, result.shortSlowdownWithLong, result.shortSlowdownInFlood,
            result.share, result.messagesWithDead);
        std::fflush(stdout);
    }
}

} // namespace

int main()
{
    printTable("Kellari", { 48, 8, 6, seconds(0.0015) });
    printTable("Laulukaar", { 48, 8, 8, seconds(0.0005) });
    return 0;
}
