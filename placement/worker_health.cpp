#include "placement/worker_health.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <queue>
#include <random>
#include <utility>

namespace coriandermount::placement {

namespace {

    /// Weights of a new answer in the moving averages of failures: of one worker, and of all workers.
    constexpr double workerWeight = 0.1;
    constexpr double overallWeight = 0.002;
    /// Weight of a new run time in the moving average of a worker's slowness.
    constexpr double slownessWeight = 0.05;
    constexpr unsigned minRunTimes = 20;
    constexpr unsigned minAnswers = 5;
    /// Number of consecutive failures from which a worker is avoided.
    constexpr unsigned avoidedAfter = 2;
    /// Lower bound of the share of failures that is considered normal.
    constexpr double normalFailureShare = 0.02;
    /// Share of failures among all workers from which failures are not blamed on a single worker.
    constexpr double generalFailureShare = 0.5;
    /// Limit on the number of doublings of a delay.
    constexpr unsigned maxDoublings = 10;
    /// Probability of a time without answers below which a worker is avoided.
    constexpr double avoidLikelihood = 0.1;

    struct worker_record {
        worker_condition condition = worker_condition::healthy;
        condition_reason reason = condition_reason::none;
        unsigned failuresInRow = 0;
        unsigned connectFailuresInRow = 0;
        unsigned refusalsInRow = 0;
        unsigned answers = 0;
        unsigned runTimes = 0;
        double failureShare = 0;
        /// Moving average of the logarithm of run time divided by predicted run time.
        double slowness = 0;
        time_point lastAnswer {};
        time_point ejectedAt {};
        unsigned failedProbes = 0;
        /// Incremented with each change of condition; timers of an earlier generation are ignored.
        std::uint32_t generation = 0;
    };

    struct timer {
        time_point due;
        std::uint32_t worker = 0;
        std::uint32_t generation = 0;

        friend bool operator>(const timer& a, const timer& b) { return std::pair(a.due, a.worker) > std::pair(b.due, b.worker); }
    };

    bool isConnectFailure(error_kind kind) { return kind == error_kind::worker_unreachable; }

    /// Workers in backoff after refusals are not counted, because the end of the backoff readmits them.
    bool countsAsEjected(worker_condition condition, condition_reason reason)
    {
        const bool out = condition == worker_condition::ejected || condition == worker_condition::probing;
        return out && reason != condition_reason::refusing;
    }

    std::chrono::milliseconds exponentialDelay(std::chrono::milliseconds first, unsigned times, std::chrono::milliseconds largest)
    {
        return std::min(first * (1U << std::min(times, maxDoublings)), largest);
    }

} // namespace

std::string_view nameOf(condition_reason value)
{
    constexpr std::array<std::string_view, 6> names { "none", "dead", "failing", "hung", "straggling", "refusing" };
    return names[static_cast<std::size_t>(value)];
}

struct worker_health::data {
    worker_health_options options;
    std::mt19937_64 random;
    std::vector<worker_record> workers;
    std::priority_queue<timer, std::vector<timer>, std::greater<>> timers;
    std::vector<condition_change> changes;
    std::size_t listed = 0;
    std::size_t ejected = 0;
    double overallFailureShare = 0;
    double overallSlowness = 0;

    worker_record& at(worker_index worker);
    void setCondition(worker_index worker, condition_change change);
    void evaluate(worker_index worker, time_point now);
    void evaluateSlowness(worker_index worker, time_point now);
    bool isFailing(const worker_record& record) const;
    void eject(worker_index worker, condition_reason reason, double value, double limit, time_point now);
    void avoid(worker_index worker, condition_reason reason, double value, double limit, time_point now);
    void backOff(worker_index worker, time_point now);
    void readmit(worker_index worker, time_point now);
    void armTimer(worker_index worker, std::chrono::milliseconds wait, time_point now);
    void onTimer(worker_index worker);
    void onProbeFailure(worker_index worker, time_point now);
    bool mayEject() const;
};

worker_health::worker_health(worker_health_options options)
    : m_data(std::make_unique<data>())
{
    m_data->options = options;
    m_data->random.seed(options.seed);
}

worker_health::~worker_health() = default;

worker_record& worker_health::data::at(worker_index worker)
{
    const auto number = static_cast<std::size_t>(worker);
    if (number >= workers.size())
        workers.resize(number + 1);
    return workers[number];
}

bool worker_health::data::mayEject() const
{
    return static_cast<double>(ejected + 1) <= options.maxEjectedShare * static_cast<double>(listed);
}

void worker_health::data::setCondition(worker_index worker, condition_change change)
{
    worker_record& record = at(worker);
    if (countsAsEjected(record.condition, record.reason))
        --ejected;
    if (countsAsEjected(change.condition, change.reason))
        ++ejected;
    record.condition = change.condition;
    record.reason = change.reason;
    ++record.generation;
    change.worker = worker;
    changes.push_back(change);
}

void worker_health::data::armTimer(worker_index worker, std::chrono::milliseconds wait, time_point now)
{
    // Jitter spreads the probes of workers that were ejected at the same time.
    const auto jitter = std::chrono::milliseconds(random() % static_cast<std::uint64_t>(wait.count() / 4 + 1));
    timers.push({ now + wait + jitter, static_cast<std::uint32_t>(worker), at(worker).generation });
}

void worker_health::data::eject(worker_index worker, condition_reason reason, double value, double limit, time_point now)
{
    worker_record& record = at(worker);
    if (!mayEject()) {
        // At the limit of ejected workers, a dead worker gets a backoff and any other worker is avoided.
        if (reason == condition_reason::dead)
            backOff(worker, now);
        else if (record.condition == worker_condition::healthy)
            avoid(worker, reason, value, limit, now);
        return;
    }
    record.ejectedAt = now;
    record.failedProbes = 0;
    setCondition(worker, { {}, worker_condition::ejected, reason, value, limit, {} });
    armTimer(worker, options.initialProbeDelay, now);
}

void worker_health::data::avoid(worker_index worker, condition_reason reason, double value, double limit, time_point now)
{
    at(worker).ejectedAt = now;
    setCondition(worker, { {}, worker_condition::avoided, reason, value, limit, {} });
    // An avoided worker may get no tasks at all, so recovery has to be detected by a probe.
    armTimer(worker, options.initialProbeDelay, now);
}

void worker_health::data::backOff(worker_index worker, time_point now)
{
    worker_record& record = at(worker);
    const unsigned before = std::max(record.refusalsInRow, record.connectFailuresInRow);
    const auto wait = exponentialDelay(options.initialBackoff, before > 0 ? before - 1 : 0, options.maxBackoff);
    setCondition(worker, { {}, worker_condition::ejected, condition_reason::refusing, static_cast<double>(before), 0, {} });
    armTimer(worker, wait, now);
}

void worker_health::data::readmit(worker_index worker, time_point now)
{
    worker_record& record = at(worker);
    const auto ejectedFor = std::chrono::duration_cast<std::chrono::microseconds>(now - record.ejectedAt);
    const unsigned answers = record.answers;
    record.failureShare = 0;
    record.failuresInRow = 0;
    record.connectFailuresInRow = 0;
    record.slowness = overallSlowness;
    record.runTimes = 0;
    record.answers = std::min(answers, 1U);
    record.failedProbes = 0;
    setCondition(worker, { {}, worker_condition::healthy, condition_reason::none, 0, 0, ejectedFor });
}

bool worker_health::data::isFailing(const worker_record& record) const
{
    if (overallFailureShare >= generalFailureShare)
        return false;
    if (record.failuresInRow >= options.failingAfter)
        return true;
    const double normal = std::max(overallFailureShare, normalFailureShare);
    return record.answers >= minAnswers && record.failureShare >= options.failingShare
        && record.failureShare >= options.failingRatio * normal;
}

void worker_health::data::evaluate(worker_index worker, time_point now)
{
    worker_record& record = at(worker);
    if (record.condition == worker_condition::ejected)
        return;
    if (record.condition == worker_condition::probing) {
        onProbeFailure(worker, now);
        return;
    }
    if (record.connectFailuresInRow >= options.deadAfter) {
        eject(worker, condition_reason::dead, record.connectFailuresInRow, options.deadAfter, now);
        return;
    }
    if (isFailing(record)) {
        const bool inRow = record.failuresInRow >= options.failingAfter;
        eject(worker, condition_reason::failing, inRow ? record.failuresInRow : record.failureShare,
            inRow ? options.failingAfter : options.failingShare, now);
        return;
    }
    const bool suspect = record.failuresInRow >= avoidedAfter || record.connectFailuresInRow > 0;
    if (suspect && record.condition == worker_condition::healthy)
        avoid(worker, record.connectFailuresInRow > 0 ? condition_reason::dead : condition_reason::failing, 0, 0, now);
}

void worker_health::data::onProbeFailure(worker_index worker, time_point now)
{
    worker_record& record = at(worker);
    const unsigned failed = ++record.failedProbes;
    // `ejected` includes this worker, because probing workers are counted.
    if (static_cast<double>(ejected) > options.maxEjectedShare * static_cast<double>(listed)) {
        avoid(worker, record.reason, failed, 0, now);
        return;
    }
    setCondition(worker, { {}, worker_condition::ejected, record.reason, static_cast<double>(failed), 0, {} });
    armTimer(worker, exponentialDelay(options.initialProbeDelay, failed, options.maxProbeInterval), now);
}

void worker_health::data::evaluateSlowness(worker_index worker, time_point now)
{
    worker_record& record = at(worker);
    if (record.runTimes < minRunTimes)
        return;
    const double ratio = std::exp(record.slowness - overallSlowness);
    if (ratio >= options.stragglingRatio)
        eject(worker, condition_reason::straggling, ratio, options.stragglingRatio, now);
}

void worker_health::setListedWorkers(std::size_t listed) { m_data->listed = listed; }

void worker_health::resetWorker(worker_index worker)
{
    worker_record& record = m_data->at(worker);
    if (countsAsEjected(record.condition, record.reason))
        --m_data->ejected;
    const std::uint32_t generation = record.generation + 1;
    record = {};
    record.generation = generation;
}

void worker_health::onSuccess(worker_index worker, double slowness, time_point now)
{
    worker_record& record = m_data->at(worker);
    record.lastAnswer = now;
    record.failuresInRow = 0;
    record.connectFailuresInRow = 0;
    record.refusalsInRow = 0;
    ++record.answers;
    record.failureShare *= 1 - workerWeight;
    m_data->overallFailureShare *= 1 - overallWeight;
    const double logarithm = std::log(std::max(slowness, 1e-3));
    record.slowness += (logarithm - record.slowness) * slownessWeight;
    m_data->overallSlowness += (logarithm - m_data->overallSlowness) * overallWeight;
    ++record.runTimes;
    switch (record.condition) {
    case worker_condition::probing:
        if (record.reason == condition_reason::straggling
            && logarithm - m_data->overallSlowness > std::log(m_data->options.stragglingRatio))
            m_data->onProbeFailure(worker, now);
        else
            m_data->readmit(worker, now);
        return;
    case worker_condition::ejected:
        // An answer proves that a hung worker has recovered; workers ejected for other reasons need a successful probe.
        if (record.reason == condition_reason::hung)
            m_data->readmit(worker, now);
        return;
    case worker_condition::avoided:
        m_data->setCondition(worker, { {}, worker_condition::healthy, condition_reason::none, 0, 0, {} });
        m_data->evaluateSlowness(worker, now);
        return;
    case worker_condition::healthy:
        m_data->evaluateSlowness(worker, now);
        return;
    }
}

void worker_health::onFailure(worker_index worker, error_kind kind, time_point now)
{
    worker_record& record = m_data->at(worker);
    if (kind == error_kind::worker_refused) {
        // A refusal is an answer: the worker is alive and has no free capacity.
        record.lastAnswer = now;
        record.connectFailuresInRow = 0;
        ++record.refusalsInRow;
        if (record.condition != worker_condition::ejected)
            m_data->backOff(worker, now);
        return;
    }
    if (isConnectFailure(kind)) {
        ++record.connectFailuresInRow;
        m_data->evaluate(worker, now);
        return;
    }
    if (kind != error_kind::lease_expired)
        record.lastAnswer = now;
    ++record.failuresInRow;
    ++record.answers;
    record.failureShare += (1 - record.failureShare) * workerWeight;
    m_data->overallFailureShare += (1 - m_data->overallFailureShare) * overallWeight;
    m_data->evaluate(worker, now);
}

void worker_health::retractFailure(worker_index worker, time_point now)
{
    worker_record& record = m_data->at(worker);
    if (record.failuresInRow > 0)
        --record.failuresInRow;
    record.failureShare = std::max(0.0, record.failureShare - workerWeight);
    if (record.reason != condition_reason::failing || record.failuresInRow >= avoidedAfter)
        return;
    if (record.condition == worker_condition::avoided)
        m_data->setCondition(worker, { {}, worker_condition::healthy, condition_reason::none, 0, 0, {} });
    else if (record.condition == worker_condition::ejected || record.condition == worker_condition::probing)
        m_data->readmit(worker, now);
}

void worker_health::onUnresponsive(worker_index worker, std::chrono::milliseconds unanswered, double likelihood, time_point now)
{
    worker_record& record = m_data->at(worker);
    if (unanswered < m_data->options.hungAfter || record.condition == worker_condition::ejected)
        return;
    if (likelihood < m_data->options.hungLikelihood) {
        if (record.condition == worker_condition::probing)
            m_data->onProbeFailure(worker, now);
        else
            m_data->eject(worker, condition_reason::hung, likelihood, m_data->options.hungLikelihood, now);
        return;
    }
    if (likelihood < avoidLikelihood && record.condition == worker_condition::healthy)
        m_data->avoid(worker, condition_reason::hung, likelihood, avoidLikelihood, now);
}

void worker_health::data::onTimer(worker_index worker)
{
    worker_record& record = at(worker);
    if (record.reason == condition_reason::refusing) {
        setCondition(worker, { {}, worker_condition::healthy, condition_reason::none, 0, 0, {} });
        return;
    }
    setCondition(worker, { {}, worker_condition::probing, record.reason, 0, 0, {} });
}

void worker_health::tick(time_point now)
{
    while (!m_data->timers.empty() && m_data->timers.top().due <= now) {
        const timer due = m_data->timers.top();
        m_data->timers.pop();
        const worker_index worker { due.worker };
        if (m_data->at(worker).generation == due.generation)
            m_data->onTimer(worker);
    }
}

time_point worker_health::lastAnswer(worker_index worker) const { return m_data->at(worker).lastAnswer; }

std::size_t worker_health::ejected() const { return m_data->ejected; }

std::vector<condition_change> worker_health::takeChanges() { return std::exchange(m_data->changes, {}); }

} // namespace coriandermount::placement
