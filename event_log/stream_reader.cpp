#include "event_log/stream_reader.h"

#include <algorithm>
#include <future>
#include <limits>
#include <set>

#include <fmt/format.h>

namespace coriandermount::event_log {

namespace {

    constexpr std::size_t recordsPerPage = 100;
    constexpr std::size_t maxRecords = 5000;

    result<platform::log_batch> readPage(
        platform::log& log, const std::string& stream, platform::log_offset from, std::chrono::milliseconds timeout)
    {
        // The completion may run after the timeout, so it shares ownership of the promise.
        auto promise = std::make_shared<std::promise<result<platform::log_batch>>>();
        auto future = promise->get_future();
        log.read(
            stream, from, recordsPerPage, [promise](result<platform::log_batch> page) { promise->set_value(std::move(page)); });
        if (future.wait_for(timeout) != std::future_status::ready)
            return fail(error_kind::log_unavailable, fmt::format("the log did not answer within {} ms", timeout.count()));
        return future.get();
    }

} // namespace

result<stream_contents> readStream(
    platform::log& log, const std::string& stream, wall_time since, std::chrono::milliseconds timeout)
{
    const auto newest = readPage(log, stream, std::numeric_limits<std::int64_t>::max(), timeout);
    if (!newest)
        return tl::unexpected<error>(newest.error());
    stream_contents contents;
    std::set<std::string> seenIds;
    platform::log_offset end = newest->end;
    std::size_t records = 0;
    bool reachedStart = false;
    while (end > newest->firstKept && !reachedStart && records < maxRecords) {
        const auto from
            = std::max<platform::log_offset>(newest->firstKept, end - std::min<platform::log_offset>(end, recordsPerPage));
        const auto page = readPage(log, stream, from, timeout);
        if (!page)
            return tl::unexpected<error>(page.error());
        for (auto record = page->records.rbegin(); record != page->records.rend(); ++record) {
            if (record->offset >= end)
                continue;
            ++records;
            auto found = decodeBatch(record->body);
            if (!found)
                continue;
            reachedStart = reachedStart || found->at < since;
            if (found->at >= since && seenIds.insert(found->id).second)
                contents.batches.push_back(std::move(*found));
        }
        end = from;
    }
    std::reverse(contents.batches.begin(), contents.batches.end());
    contents.complete = reachedStart || (newest->firstKept <= 1 && records < maxRecords);
    return contents;
}

} // namespace coriandermount::event_log
