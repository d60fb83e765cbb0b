#include "metrics/metrics.h"

#include <array>
#include <atomic>
#include <map>
#include <mutex>
#include <vector>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace coriandermount::metrics {

namespace {

    /// Counter whose value is kept by another subsystem and read at each scrape.
    struct counter_source {
        std::string name;
        std::string help;
        std::function<double()> value;

        prometheus::MetricFamily collect() const
        {
            prometheus::ClientMetric metric;
            metric.counter.value = value();
            return { name, help, prometheus::MetricType::Counter, { std::move(metric) } };
        }
    };

    constexpr std::array decisionNames = std::to_array<std::string_view>(
        { "retry_refused_start", "retry_unreachable", "retry_idempotent", "retry_denied_customer_budget",
            "retry_denied_service_budget", "retry_denied_attempts", "late_answer", "task_turned_long", "worker_ejected_dead",
            "worker_ejected_failing", "worker_ejected_hung", "worker_ejected_straggling", "worker_readmitted", "worker_probed" });
    static_assert(decisionNames.size() == static_cast<std::size_t>(decision_counter::worker_probed) + 1);

    const prometheus::Histogram::BucketBoundaries responseRatioBuckets { 1.01, 1.03, 1.1, 1.2, 1.5, 2, 3, 5, 10, 30, 100 };
    const prometheus::Histogram::BucketBoundaries queueWaitBuckets { 0.0001, 0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5,
        10, 30 };
    constexpr std::string_view otherPlansLabel = "(other)";
    constexpr double microsecondsPerSecond = 1e6;
    constexpr double millisecondsPerSecond = 1e3;

    /// Gauges of one plan, owned by the Prometheus registry.
    struct plan_gauges {
        prometheus::Gauge* running;
        prometheus::Gauge* queued;
        prometheus::Gauge* share;
    };

} // namespace

std::string_view nameOf(decision_counter counter) { return decisionNames[static_cast<std::size_t>(counter)]; }

std::string_view nameOf(message_kind value)
{
    constexpr std::array<std::string_view, messageKindCount> names { "task_start", "task_stop", "peer_call", "log_append" };
    return names[static_cast<std::size_t>(value)];
}

struct registry::data {
    mutable std::mutex sourcesMutex;
    std::vector<counter_source> counterSources;
    prometheus::Registry prometheusRegistry;
    std::vector<prometheus::Counter*> errors;
    std::vector<prometheus::Counter*> taskFailures;
    std::vector<prometheus::Counter*> decisions;
    std::vector<prometheus::Counter*> messages;
    prometheus::Counter* taskStarts = nullptr;
    prometheus::Counter* taskArrivals = nullptr;
    prometheus::Histogram* responseRatio = nullptr;
    prometheus::Histogram* queueWait = nullptr;
    prometheus::Gauge* queuedTasks = nullptr;
    prometheus::Gauge* runningTasks = nullptr;
    prometheus::Gauge* openJobs = nullptr;
    prometheus::Gauge* configurationVersion = nullptr;
    prometheus::Gauge* configurationAge = nullptr;
    prometheus::Gauge* journalBytes = nullptr;
    prometheus::Gauge* journalDropped = nullptr;
    prometheus::Family<prometheus::Counter>* planRefusals = nullptr;
    prometheus::Family<prometheus::Gauge>* planRunning = nullptr;
    prometheus::Family<prometheus::Gauge>* planQueued = nullptr;
    prometheus::Family<prometheus::Gauge>* planShare = nullptr;

    std::atomic<std::uint64_t> refusalTotal { 0 };
    std::atomic<std::uint64_t> failureTotal { 0 };

    std::mutex plansMutex;
    std::map<plan_id, std::map<error_kind, prometheus::Counter*>> planRefusalCounters;
    std::map<plan_id, plan_gauges> planGauges;

    prometheus::Counter* counter(const char* name, const char* help)
    {
        return &prometheus::BuildCounter().Name(name).Help(help).Register(prometheusRegistry).Add({});
    }

    prometheus::Gauge* gauge(const char* name, const char* help)
    {
        return &prometheus::BuildGauge().Name(name).Help(help).Register(prometheusRegistry).Add({});
    }

    void addErrorAndDecisionCounters()
    {
        auto& errorFamily = prometheus::BuildCounter()
                                .Name("coriandermount_errors_total")
                                .Help("Jobs refused or failed by reason and responsible party")
                                .Register(prometheusRegistry);
        auto& taskFamily = prometheus::BuildCounter()
                               .Name("coriandermount_task_failures_total")
                               .Help("Starts that were refused or failed by reason and responsible party")
                               .Register(prometheusRegistry);
        for (const auto& row : errorTable()) {
            const std::string reason(row.name);
            const std::string party(nameOf(row.responsible));
            taskFailures.push_back(&taskFamily.Add({ { "reason", reason }, { "party", party } }));
            errors.push_back(
                &errorFamily.Add({ { "reason", reason }, { "party", party }, { "outcome", std::string(nameOf(row.result)) } }));
        }
        auto& decisionFamily = prometheus::BuildCounter()
                                   .Name("coriandermount_decisions_total")
                                   .Help("Retries, denied retries, late answers and changes of workers by reason")
                                   .Register(prometheusRegistry);
        for (const auto name : decisionNames)
            decisions.push_back(&decisionFamily.Add({ { "decision", std::string(name) } }));
    }

    void addMessageCounters()
    {
        auto& family = prometheus::BuildCounter()
                           .Name("coriandermount_messages_total")
                           .Help("Messages sent, by kind")
                           .Register(prometheusRegistry);
        for (std::size_t kind = 0; kind < messageKindCount; ++kind)
            messages.push_back(&family.Add({ { "kind", std::string(nameOf(static_cast<message_kind>(kind))) } }));
    }

    void addHistograms()
    {
        responseRatio = &prometheus::BuildHistogram()
                             .Name("coriandermount_response_over_ideal")
                             .Help("Response time of done jobs over the run time of their longest task")
                             .Register(prometheusRegistry)
                             .Add({}, responseRatioBuckets);
        queueWait = &prometheus::BuildHistogram()
                         .Name("coriandermount_queue_wait_seconds")
                         .Help("Longest wait of a task of each done job")
                         .Register(prometheusRegistry)
                         .Add({}, queueWaitBuckets);
    }

    void addGauges()
    {
        queuedTasks = gauge("coriandermount_queued_tasks", "Tasks that wait on this VM");
        runningTasks = gauge("coriandermount_running_tasks", "Tasks that this VM has on workers");
        openJobs = gauge("coriandermount_open_jobs", "Jobs whose answer is awaited");
        configurationVersion = gauge("coriandermount_configuration_version", "Log offset of the configuration in force");
        configurationAge
            = gauge("coriandermount_configuration_age_seconds", "Time since this VM took the configuration into force");
        journalBytes = gauge("coriandermount_journal_bytes", "Memory in use by the journal");
        journalDropped
            = gauge("coriandermount_journal_dropped_events", "Events that were not written to the log for want of room");
        planRefusals = &prometheus::BuildCounter()
                            .Name("coriandermount_plan_refusals_total")
                            .Help("Refused and failed jobs by plan and reason")
                            .Register(prometheusRegistry);
        planRunning = &prometheus::BuildGauge()
                           .Name("coriandermount_plan_running_tasks")
                           .Help("Running tasks by plan")
                           .Register(prometheusRegistry);
        planQueued = &prometheus::BuildGauge()
                          .Name("coriandermount_plan_queued_tasks")
                          .Help("Waiting tasks by plan")
                          .Register(prometheusRegistry);
        planShare = &prometheus::BuildGauge()
                         .Name("coriandermount_plan_share_tasks")
                         .Help("Concurrent tasks of the plan that this VM may have")
                         .Register(prometheusRegistry);
    }

    /// Returns the plan itself while it may have series of its own, or the label that further plans share.
    plan_id planLabelOf(const plan_id& plan) const
    {
        return planRefusalCounters.contains(plan) || planRefusalCounters.size() < maxPlanSeries
            ? plan
            : plan_id { std::string(otherPlansLabel) };
    }
};

registry::registry()
    : m_data(std::make_unique<data>())
{
    m_data->addErrorAndDecisionCounters();
    m_data->addMessageCounters();
    m_data->addHistograms();
    m_data->addGauges();
    m_data->taskStarts = m_data->counter("coriandermount_task_starts_total", "Tasks handed to a worker");
    m_data->taskArrivals = m_data->counter("coriandermount_task_arrivals_total", "Tasks of submissions");
}

registry::~registry() = default;

void registry::count(error_kind kind) { m_data->errors[static_cast<std::size_t>(kind)]->Increment(); }

void registry::countTaskFailure(error_kind kind) { m_data->taskFailures[static_cast<std::size_t>(kind)]->Increment(); }

void registry::count(decision_counter counter) { m_data->decisions[static_cast<std::size_t>(counter)]->Increment(); }

void registry::countPlanRefusal(const plan_id& plan, error_kind kind)
{
    auto& sum = rowOf(kind).result == outcome::not_run ? m_data->refusalTotal : m_data->failureTotal;
    sum.fetch_add(1, std::memory_order_relaxed);
    const std::scoped_lock lock(m_data->plansMutex);
    const plan_id planLabel = m_data->planLabelOf(plan);
    auto*& counter = m_data->planRefusalCounters[planLabel][kind];
    if (!counter)
        counter = &m_data->planRefusals->Add({ { "plan", planLabel.value }, { "reason", std::string(nameOf(kind)) } });
    counter->Increment();
}

void registry::countTaskArrivals(std::size_t tasks) { m_data->taskArrivals->Increment(static_cast<double>(tasks)); }

void registry::countTaskStart() { m_data->taskStarts->Increment(); }

void registry::countMessage(message_kind kind) { m_data->messages[static_cast<std::size_t>(kind)]->Increment(); }

void registry::observeAnswer(double responseOverIdeal, std::chrono::microseconds longestWait)
{
    m_data->responseRatio->Observe(responseOverIdeal);
    m_data->queueWait->Observe(static_cast<double>(longestWait.count()) / microsecondsPerSecond);
}

void registry::setGauges(const gauges& current)
{
    m_data->queuedTasks->Set(current.queuedTasks);
    m_data->runningTasks->Set(current.runningTasks);
    m_data->openJobs->Set(current.openJobs);
    m_data->configurationVersion->Set(static_cast<double>(current.configurationVersion));
    m_data->configurationAge->Set(static_cast<double>(current.configurationAge.count()) / millisecondsPerSecond);
    m_data->journalBytes->Set(static_cast<double>(current.journalBytes));
    m_data->journalDropped->Set(static_cast<double>(current.journalDropped));
}

void registry::setPlanGauges(const plan_id& plan, double running, double queued, double share)
{
    const std::scoped_lock lock(m_data->plansMutex);
    auto found = m_data->planGauges.find(plan);
    if (found == m_data->planGauges.end()) {
        if (m_data->planGauges.size() >= maxPlanSeries)
            return;
        const prometheus::Labels labels { { "plan", plan.value } };
        const plan_gauges series { &m_data->planRunning->Add(labels), &m_data->planQueued->Add(labels),
            &m_data->planShare->Add(labels) };
        found = m_data->planGauges.emplace(plan, series).first;
    }
    found->second.running->Set(running);
    found->second.queued->Set(queued);
    found->second.share->Set(share);
}

counter_totals registry::counterTotals() const
{
    counter_totals current;
    current.arrivals = static_cast<std::uint64_t>(m_data->taskArrivals->Value());
    current.starts = static_cast<std::uint64_t>(m_data->taskStarts->Value());
    current.refusals = m_data->refusalTotal.load();
    current.failures = m_data->failureTotal.load();
    return current;
}

void registry::addCounterSource(std::string name, std::string help, std::function<double()> value)
{
    const std::scoped_lock lock(m_data->sourcesMutex);
    m_data->counterSources.push_back({ std::move(name), std::move(help), std::move(value) });
}

std::string registry::expose() const
{
    auto families = m_data->prometheusRegistry.Collect();
    const std::scoped_lock lock(m_data->sourcesMutex);
    for (const auto& source : m_data->counterSources)
        families.push_back(source.collect());
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace coriandermount::metrics
