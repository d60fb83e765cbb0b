/// Holds requests that arrive before a VM has its first configuration.
#pragma once

#include <cstddef>
#include <functional>
#include <mutex>
#include <vector>

#include "core/clock.h"

namespace coriandermount::jobs {

/// Keeps a bounded number of requests for the short time that the first configuration takes to arrive. Thread-safe.
class configuration_gate {
public:
    explicit configuration_gate(const clock_source& clock)
        : m_clock(clock)
    {
    }

    /// Keeps a request of `bytes` bytes; `resume` is called once, by `tick`. Returns false if too many requests wait already.
    bool hold(std::size_t bytes, std::function<void()> resume);

    /// Resumes all requests if the configuration is loaded, and otherwise those that have waited for `longestWait`.
    void tick(bool configured);

    static constexpr std::chrono::milliseconds longestWait { 500 };
    static constexpr std::size_t mostRequests = 512;
    static constexpr std::size_t mostBytes = std::size_t { 1024 } * 1024;

private:
    struct held_request {
        std::size_t bytes = 0;
        time_point since;
        std::function<void()> resume;
    };

    const clock_source& m_clock;
    std::mutex m_mutex;
    std::vector<held_request> m_requests;
    std::size_t m_bytes = 0;
};

} // namespace coriandermount::jobs
