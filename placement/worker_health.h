/// Tells sick workers from sound ones by their answers, compared with those of their peers.
#pragma once

#include <chrono>
#include <memory>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "core/types.h"
#include "placement/worker_pool.h"

namespace coriandermount::placement {

struct worker_health_options {
    /// Connect failures in a row after which a worker counts as dead.
    unsigned deadAfter = 2;
    /// Failed tasks in a row after which a worker counts as failing.
    unsigned failingAfter = 4;
    /// Share of failed tasks above which a worker counts as failing although some succeed.
    double failingShare = 0.5;
    /// How many times its peers' share of failures a failing worker has to show.
    double failingRatio = 4;
    /// Shortest time without any answer after which a worker may count as hung.
    std::chrono::milliseconds hungAfter { 1500 };
    /// A worker is hung when its silence is less likely than this.
    double hungLikelihood = 1e-3;
    /// Slowness against peers from which a worker is ejected.
    double stragglingRatio = 3;
    /// Largest share of workers that may be ejected at a time.
    double largestEjectedShare = 0.5;
    /// Wait before the first probe; doubles with each failed one.
    std::chrono::milliseconds firstProbeAfter { 500 };
    std::chrono::milliseconds largestProbeInterval { 30000 };
    /// Wait after a refusal, doubled with each in a row.
    std::chrono::milliseconds firstBackoff { 20 };
    std::chrono::milliseconds largestBackoff { 2000 };
    std::uint64_t seed = 1;
};

/// Why a worker gets no or less work.
enum class condition_reason { none, dead, failing, hung, straggling, refusing };

std::string_view nameOf(condition_reason value);

/// A change that the owner of the pool has to carry out and record.
struct condition_change {
    worker_index worker {};
    worker_condition condition = worker_condition::healthy;
    condition_reason reason = condition_reason::none;
    /// Value that met the limit.
    double value = 0;
    double limit = 0;
    /// How long the worker had been ejected; set when it is readmitted.
    std::chrono::microseconds ejectedFor { 0 };
};

/// Judges workers. Ejected workers get single tasks as probes; refusals only make a worker wait.
class worker_health {
public:
    explicit worker_health(worker_health_options options);
    ~worker_health();

    worker_health(const worker_health&) = delete;
    worker_health& operator=(const worker_health&) = delete;

    /// Sets the number of workers that the largest ejected share refers to.
    void setListedWorkers(std::size_t listed);

    /// Forgets what is known about a number that is given to another worker.
    void resetWorker(worker_index worker);

    /// A task ended well; `slowness` is its run time over the one expected.
    void onSuccess(worker_index worker, double slowness, time_point now);

    /// A task ended badly, or did not start.
    void onFailure(worker_index worker, error_kind kind, time_point now);

    /// A failure turned out to be the task's own: it is not held against the worker.
    void retractFailure(worker_index worker, time_point now);

    /// A worker has not answered for `silence`; `likelihood` is that of a sound one doing so.
    void onUnresponsive(worker_index worker, std::chrono::milliseconds silence, double likelihood, time_point now);

    /// Ends backoffs and starts probes that are due.
    void tick(time_point now);

    /// Returns when a worker last answered; the epoch when it never did.
    time_point lastAnswer(worker_index worker) const;

    std::size_t ejected() const;

    /// Returns the changes since the last call.
    std::vector<condition_change> takeChanges();

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::placement
