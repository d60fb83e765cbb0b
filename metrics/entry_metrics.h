/// Counters and histograms of one entry VM on the users' platform, in the Prometheus text format.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"

namespace coriandermount::metrics {

/// Holds the value of a counter or gauge that another subsystem keeps.
struct metric_sample {
    /// Name of the metric without the prefix `coriandermount_`.
    std::string_view family;
    /// Value of the label `reason`; empty for a metric without labels.
    std::string_view label;
    std::uint64_t value = 0;
    /// Value of the label `time_used`; empty for a metric without it.
    std::string_view timeUsed {};
};

/// Collects the metrics of one entry VM. Every method may be called from any thread.
class entry_metrics {
public:
    entry_metrics();
    ~entry_metrics();

    entry_metrics(const entry_metrics&) = delete;
    entry_metrics& operator=(const entry_metrics&) = delete;

    /// Records an answer to a caller, the time since its request arrived, and the time for which the caller was ready to wait.
    /// `problem` is empty for a success.
    void recordAnswer(
        std::optional<error_kind> problem, std::chrono::microseconds elapsed, std::chrono::milliseconds callerTimeout);

    /// Returns all metrics, followed by `samples`, in the Prometheus text format.
    std::string serialize(const std::vector<metric_sample>& samples) const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::metrics
