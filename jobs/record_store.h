/// Interface to the platform's durable store of keyed records.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/error.h"

namespace coriandermount::jobs {

/// Names a sequence of records. The store may drop older records of a key, but never its newest one.
struct record_stream {
    std::string topic;
    std::uint32_t partition = 0;
};

/// Keyed value in a stream.
struct record {
    std::string key;
    /// Value of the key; an empty optional removes the key.
    std::optional<std::string> value;
    /// Position in the stream; set by the store.
    std::uint64_t offset = 0;
};

/// Consecutive records of a stream, or the newest record of each key.
struct record_batch {
    std::vector<record> records;
    /// Offset of the next record that will be appended.
    std::uint64_t end = 0;
};

/// Identity of a writer that is fenced by its epoch: the store refuses appends with a lower epoch than the highest it has seen.
struct writer {
    std::string name;
    std::uint64_t epoch = 0;
    /// Number of this append; the store does not repeat an append with the same number.
    std::uint64_t sequence = 0;
};

/// Records to append, with the conditions for doing so.
struct append_request {
    record_stream stream;
    /// Records, of which all are appended or none. An empty list only announces the epoch of the writer.
    std::vector<record> records;
    /// If set, the append is refused unless the end of the stream is this offset.
    std::optional<std::uint64_t> expectedEnd;
    /// If set, the append is fenced by the writer's epoch.
    std::optional<writer> from;
};

/// Appends and reads records. All methods may be called from any thread; completions are called exactly once, from a thread of
/// the store.
class record_store {
public:
    virtual ~record_store() = default;

    /// Receives the offset of the first appended record, or one of these errors:
    /// `log_unavailable`: nothing was appended; `log_answer_lost`: the records may have been appended, or may be later;
    /// `log_position_taken`: the end of the stream is not `expectedEnd`; `log_epoch_fenced`: the store has seen a higher epoch;
    /// `log_full`: no space is left.
    using append_completion = std::function<void(result<std::uint64_t>)>;
    /// Appends the records of `request`, unless one of its conditions does not hold.
    virtual void append(append_request request, append_completion done) = 0;

    /// Receives the records that were read, or an error.
    using read_completion = std::function<void(result<record_batch>)>;
    /// Reads records from offset `from` on; waits up to `wait` for the first one. Fails with `log_records_expired` when records
    /// at `from` are no longer kept, and with `log_unavailable`.
    virtual void read(const record_stream& stream, std::uint64_t from, std::chrono::milliseconds wait, read_completion done) = 0;

    /// Reads the newest record of each key. `record_batch::end` is the end of the stream before the first record was read.
    virtual void readNewest(const record_stream& stream, read_completion done) = 0;
};

} // namespace coriandermount::jobs
