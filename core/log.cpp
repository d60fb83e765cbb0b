#include "core/log.h"

#include <array>
#include <atomic>
#include <chrono>
#include <mutex>

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>

#include "core/log_rate_limiter.h"

namespace coriandermount {

namespace {

    std::atomic<log_level> lowestLevel { log_level::info };

    constexpr std::array<std::string_view, 4> levelNames { "debug", "info", "warning", "error" };

    std::atomic<int> logDescriptor { STDERR_FILENO };
    std::atomic<std::uint64_t> droppedLines { 0 };

    /// Returns whether a line can be written without blocking: a pipe that polls as writable accepts a write of less than
    /// PIPE_BUF bytes at once.
    bool canWrite(int descriptor)
    {
        pollfd request { descriptor, POLLOUT, 0 };
        return poll(&request, 1, 0) > 0 && (request.revents & POLLOUT) != 0;
    }

    /// Limit on lines of one kind in a second. A cell owner on 0.5 cores ends fewer jobs than this in a second, so that
    /// lines about single jobs are not suppressed in normal operation.
    constexpr std::uint64_t linesPerSecond = 600;

    log_rate_limiter::decision admitLine(std::string_view component, std::string_view message)
    {
        static std::mutex mutex;
        static log_rate_limiter limiter(linesPerSecond);
        const std::scoped_lock lock(mutex);
        return limiter.admit(fmt::format("{}: {}", component, message), std::chrono::steady_clock::now());
    }

    std::string jsonText(std::string_view text)
    {
        return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }

    void writeLine(log_level level, std::string_view component, std::string_view message, std::initializer_list<log_field> fields)
    {
        const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
        std::string line = fmt::format(R"({{"time":"{:%Y-%m-%dT%H:%M:}{:%S}Z","level":"{}","component":{},"message":{})",
            fmt::gmtime(now), now.time_since_epoch() % std::chrono::minutes(1), levelNames[static_cast<std::size_t>(level)],
            jsonText(component), jsonText(message));
        for (const auto& [name, value] : fields)
            line += fmt::format(",{}:{}", jsonText(name), jsonText(value));
        line += "}\n";
        const int descriptor = logDescriptor.load(std::memory_order_relaxed);
        if (!canWrite(descriptor) || write(descriptor, line.data(), line.size()) < 0)
            droppedLines.fetch_add(1, std::memory_order_relaxed);
    }

} // namespace

void setLogDescriptor(int descriptor) { logDescriptor.store(descriptor, std::memory_order_relaxed); }

std::uint64_t droppedLogLines() { return droppedLines.load(std::memory_order_relaxed); }

void setLogLevel(log_level lowest) { lowestLevel.store(lowest, std::memory_order_relaxed); }

void writeLog(log_level level, std::string_view component, std::string_view message, std::initializer_list<log_field> fields)
{
    if (level < lowestLevel.load(std::memory_order_relaxed))
        return;
    const auto decision = admitLine(component, message);
    if (decision.suppressed > 0)
        writeLine(log_level::warning, "log", "log lines suppressed",
            { { "kind", fmt::format("{}: {}", component, message) }, { "count", fmt::to_string(decision.suppressed) } });
    if (decision.allowed)
        writeLine(level, component, message, fields);
    else
        droppedLines.fetch_add(1, std::memory_order_relaxed);
}

} // namespace coriandermount
