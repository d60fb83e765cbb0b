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

/// One figure that another subsystem counts itself.
struct counter_sample {
    std::string_view family;
    std::string_view label;
    std::uint64_t value = 0;
};

/// Every method may be called from any thread.
class entry_metrics {
public:
    entry_metrics();
    ~entry_metrics();

    entry_metrics(const entry_metrics&) = delete;
    entry_metrics& operator=(const entry_metrics&) = delete;

    /// Counts an answer to a caller with the time that it took; `problem` is nothing for a success.
    void noteAnswer(std::optional<error_kind> problem, std::chrono::microseconds took);

    /// Returns all metrics, with figures that others have counted.
    std::string text(const std::vector<counter_sample>& figures) const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::metrics
