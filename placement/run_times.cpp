#include "placement/run_times.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <tuple>

namespace coriandermount::placement {

namespace {

    /// Histogram buckets start at 100 microseconds, and four buckets span a factor of two.
    constexpr std::size_t bucketCount = 96;
    constexpr double bucketsPerDoubling = 4;
    constexpr double lowestMicroseconds = 100;
    /// Above this number of observations all counts are halved, so that old observations lose weight.
    constexpr double maxObservations = 4000;
    /// Observations between two refreshes of a prediction; below `enoughObservations` every observation refreshes it.
    constexpr unsigned refreshInterval = 16;
    constexpr double enoughObservations = 64;
    /// Below this number of observations the declared class decides whether a task is long work.
    constexpr double minObservations = 8;

    std::size_t bucketOf(std::chrono::microseconds ran)
    {
        const double ratio = static_cast<double>(ran.count()) / lowestMicroseconds;
        if (ratio <= 1)
            return 0;
        const auto bucket = static_cast<std::size_t>(std::log2(ratio) * bucketsPerDoubling);
        return std::min(bucket, bucketCount - 1);
    }

    std::chrono::microseconds middleOf(std::size_t bucket)
    {
        const double value = lowestMicroseconds * std::exp2((static_cast<double>(bucket) + 0.5) / bucketsPerDoubling);
        return std::chrono::microseconds(static_cast<std::int64_t>(value));
    }

    /// Returns the number of decimal digits of the declared run time in milliseconds; 0 when none is declared.
    int magnitudeOf(std::chrono::milliseconds declared)
    {
        int magnitude = 0;
        for (auto rest = declared.count(); rest > 0; rest /= 10)
            ++magnitude;
        return magnitude;
    }

    struct learned_group {
        std::array<double, bucketCount> counts {};
        double total = 0;
        double sumMicroseconds = 0;
        unsigned sinceRefresh = 0;
        bool declaredLong = false;
        run_time_prediction prediction;

        void halveCounts();
        void refresh(const run_time_options& options);
    };

    void learned_group::halveCounts()
    {
        for (double& count : counts)
            count /= 2;
        total /= 2;
        sumMicroseconds /= 2;
    }

    void learned_group::refresh(const run_time_options& options)
    {
        sinceRefresh = 0;
        prediction.observations = total;
        if (total <= 0) {
            prediction.mean = prediction.p10 = prediction.median = prediction.p90 = prediction.p99 = options.defaultRunTime;
            prediction.isLong = declaredLong;
            return;
        }
        prediction.mean = std::chrono::microseconds(static_cast<std::int64_t>(sumMicroseconds / total));
        const std::array<double, 4> shares { 0.1, 0.5, 0.9, 0.99 };
        const std::array<std::chrono::microseconds*, 4> targets { &prediction.p10, &prediction.median, &prediction.p90,
            &prediction.p99 };
        double seen = 0;
        std::size_t next = 0;
        for (std::size_t bucket = 0; bucket < bucketCount && next < shares.size(); ++bucket) {
            seen += counts[bucket];
            while (next < shares.size() && seen >= shares[next] * total)
                *targets[next++] = middleOf(bucket);
        }
        prediction.isLong = total < minObservations ? declaredLong : prediction.median > options.longWork;
    }

} // namespace

struct run_times::data {
    run_time_options options;
    std::deque<learned_group> groups;
    std::map<std::tuple<service_id, task_class, int>, run_time_group> numbers;

    learned_group& at(run_time_group group) { return groups[static_cast<std::size_t>(group)]; }
};

run_times::run_times(run_time_options options)
    : m_data(std::make_unique<data>())
{
    m_data->options = options;
}

run_times::~run_times() = default;

run_time_group run_times::groupOf(const task_spec& task)
{
    const run_time_group next { static_cast<std::uint32_t>(m_data->groups.size()) };
    const auto [entry, added]
        = m_data->numbers.try_emplace({ task.service, task.declaredClass, magnitudeOf(task.declaredRunTime) }, next);
    if (added) {
        learned_group& created = m_data->groups.emplace_back();
        created.declaredLong = task.declaredClass == task_class::long_work;
        created.refresh(m_data->options);
    }
    return entry->second;
}

const run_time_prediction& run_times::predict(run_time_group group) const { return m_data->at(group).prediction; }

double run_times::survivalProbability(run_time_group group, std::chrono::microseconds elapsed) const
{
    const learned_group& learned = m_data->at(group);
    double longer = 1;
    for (std::size_t bucket = bucketOf(elapsed) + 1; bucket < bucketCount; ++bucket)
        longer += learned.counts[bucket];
    return longer / (learned.total + 1);
}

void run_times::observe(run_time_group group, std::chrono::microseconds ran)
{
    learned_group& learned = m_data->at(group);
    learned.counts[bucketOf(ran)] += 1;
    learned.total += 1;
    learned.sumMicroseconds += static_cast<double>(ran.count());
    if (learned.total > maxObservations)
        learned.halveCounts();
    if (learned.total < enoughObservations || ++learned.sinceRefresh >= refreshInterval)
        learned.refresh(m_data->options);
}

} // namespace coriandermount::placement
