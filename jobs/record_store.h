/// Durable keyed records, kept by the platform.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/error.h"

namespace coriandermount::jobs {

/// A sequence of records; the newest record of each key is kept for good.
struct record_stream {
    std::string topic;
    std::uint32_t partition = 0;
};

struct record {
    std::string key;
    /// Nothing removes the key.
    std::optional<std::string> value;
    /// Position in the stream; set by the store.
    std::uint64_t offset = 0;
};

struct record_batch {
    std::vector<record> records;
    /// Offset of the next record that will be appended.
    std::uint64_t end = 0;
};

/// Identity of a writer that may be superseded: appends of a lower epoch are refused once a higher one was seen.
struct writer {
    std::string name;
    std::uint64_t epoch = 0;
    /// Number of this append; a repeated number is not appended again.
    std::uint64_t sequence = 0;
};

struct append_request {
    record_stream stream;
    /// All or none are appended. An empty list only makes the epoch of the writer known.
    std::vector<record> records;
    /// The append is refused unless the stream ends here.
    std::optional<std::uint64_t> expectedEnd;
    std::optional<writer> from;
};

/// Every method may be called from any thread; completions are called once, from a thread of the store.
class record_store {
public:
    virtual ~record_store() = default;

    /// Completes with the offset of the first record, or with
    /// `log_unavailable`: nothing was appended; `log_answer_lost`: it may have been, or may be later;
    /// `log_position_taken`: the stream does not end where expected; `log_epoch_fenced`: a higher epoch was seen;
    /// `log_full`: no space is left.
    using append_completion = std::function<void(result<std::uint64_t>)>;
    virtual void append(append_request request, append_completion done) = 0;

    /// Reads records from offset `from` on; waits up to `wait` for the first.
    /// Completes with `log_records_expired` when records at `from` are no longer kept, and with `log_unavailable`.
    using read_completion = std::function<void(result<record_batch>)>;
    virtual void read(const record_stream& stream, std::uint64_t from, std::chrono::milliseconds wait, read_completion done) = 0;

    /// Reads the newest record of each key. `end` is the end of the stream before the first record was read.
    virtual void readNewest(const record_stream& stream, read_completion done) = 0;
};

} // namespace coriandermount::jobs
