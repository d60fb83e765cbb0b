#include "metrics/entry_metrics.h"

#include <fmt/format.h>
#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace coriandermount::metrics {

namespace {

    /// Upper bounds of the buckets in seconds. The usual latency targets lie between 60 ms and 1.5 s.
    const prometheus::Histogram::BucketBoundaries answerTimeBuckets { 0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5,
        5.0, 10.0 };

    /// Upper bounds of the share of a caller's time that has passed.
    const prometheus::Histogram::BucketBoundaries timeUsedBuckets { 0.1, 0.25, 0.5, 0.75, 0.9, 1.0 };

} // namespace

struct entry_metrics::data {
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& answers = prometheus::BuildCounter()
                                                           .Name("coriandermount_answers_total")
                                                           .Help("Answers to callers by reason; ok for a success")
                                                           .Register(registry);
    prometheus::Histogram& answerTimes = prometheus::BuildHistogram()
                                             .Name("coriandermount_answer_seconds")
                                             .Help("Time from a request to its answer")
                                             .Register(registry)
                                             .Add({}, answerTimeBuckets);
    prometheus::Family<prometheus::Histogram>& errorTimesUsed
        = prometheus::BuildHistogram()
              .Name("coriandermount_error_time_used_ratio")
              .Help("Share of the caller's time that had passed when the caller was answered with an error, by reason")
              .Register(registry);
};

entry_metrics::entry_metrics()
    : m_data(std::make_unique<data>())
{
}

entry_metrics::~entry_metrics() = default;

void entry_metrics::recordAnswer(
    std::optional<error_kind> problem, std::chrono::microseconds elapsed, std::chrono::milliseconds callerTimeout)
{
    const std::string reason(problem ? nameOf(*problem) : "ok");
    m_data->answers.Add({ { "reason", reason } }).Increment();
    m_data->answerTimes.Observe(std::chrono::duration<double>(elapsed).count());
    if (problem && callerTimeout.count() > 0)
        m_data->errorTimesUsed.Add({ { "reason", reason } }, timeUsedBuckets)
            .Observe(std::chrono::duration<double, std::milli>(elapsed) / callerTimeout);
}

std::string entry_metrics::serialize(const std::vector<metric_sample>& samples) const
{
    std::string text = prometheus::TextSerializer().Serialize(m_data->registry.Collect());
    for (const auto& sample : samples) {
        if (sample.label.empty())
            text += fmt::format("coriandermount_{} {}\n", sample.family, sample.value);
        else if (!sample.timeUsed.empty())
            text += fmt::format("coriandermount_{}{{reason=\"{}\",time_used=\"{}\"}} {}\n", sample.family, sample.label,
                sample.timeUsed, sample.value);
        else
            text += fmt::format("coriandermount_{}{{reason=\"{}\"}} {}\n", sample.family, sample.label, sample.value);
    }
    return text;
}

} // namespace coriandermount::metrics
