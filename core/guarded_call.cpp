#include "core/guarded_call.h"

#include <atomic>
#include <string>

#include "core/log.h"

namespace coriandermount {

namespace {

    std::atomic<std::uint64_t> errorCount { 0 };

} // namespace

void reportUnexpectedError(std::string_view component, std::string_view detail)
{
    errorCount.fetch_add(1, std::memory_order_relaxed);
    writeLog(log_level::error, component, "unexpected error", { { "detail", std::string(detail) } });
}

std::uint64_t unexpectedErrors() { return errorCount.load(std::memory_order_relaxed); }

} // namespace coriandermount
