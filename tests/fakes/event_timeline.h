/// Events of a simulated fleet with their virtual times, for the message of a failed check.
#pragma once

#include <string>
#include <vector>

#include <fmt/format.h>

#include "tests/fakes/virtual_loop.h"

namespace coriandermount::fakes {

/// Collects events of a fleet. Not thread-safe.
class event_timeline {
public:
    explicit event_timeline(const virtual_loop& loop)
        : m_loop(loop)
        , m_start(loop.now())
    {
    }

    /// Records an event that concerns one job.
    void note(const std::string& jobId, std::string text) { m_entries.push_back({ m_loop.now(), jobId, std::move(text) }); }
    /// Records an event that concerns the whole fleet.
    void note(std::string text) { note({}, std::move(text)); }

    /// Returns the events of a job and those of the whole fleet, one a line, with seconds since the start.
    std::string textOf(const std::string& jobId) const
    {
        std::string text;
        for (const auto& entry : m_entries) {
            if (!entry.jobId.empty() && entry.jobId != jobId)
                continue;
            const std::chrono::duration<double> at = entry.at - m_start;
            text += fmt::format("{:9.3f}  {}\n", at.count(), entry.text);
        }
        return text;
    }

private:
    struct entry {
        time_point at;
        std::string jobId;
        std::string text;
    };

    const virtual_loop& m_loop;
    time_point m_start;
    std::vector<entry> m_entries;
};

} // namespace coriandermount::fakes
