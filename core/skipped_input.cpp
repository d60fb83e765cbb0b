#include "core/skipped_input.h"

#include <atomic>
#include <string>

#include "core/log.h"

namespace coriandermount {

namespace {

    constexpr std::size_t longestText = 200;

    std::atomic<std::uint64_t> skippedCount { 0 };

    std::string shortened(std::string_view text) { return std::string(text.substr(0, longestText)); }

} // namespace

void reportSkippedInput(std::string_view component, std::string_view kind, std::string_view name, std::string_view detail)
{
    skippedCount.fetch_add(1, std::memory_order_relaxed);
    writeLog(log_level::warning, component, "skipped malformed input",
        { { "kind", std::string(kind) }, { "name", shortened(name) }, { "detail", shortened(detail) } });
}

std::uint64_t skippedInputs() { return skippedCount.load(std::memory_order_relaxed); }

} // namespace coriandermount
