/// Bounded buffer of events in a compact binary form; drops the oldest events first.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "event_log/event.h"

namespace coriandermount::event_log {

/// Stores events as bytes in chunks. `append`, `snapshot` and the size functions need external locking; a view may be scanned
/// without a lock while events are appended.
class event_buffer {
public:
    /// Size of one chunk.
    static constexpr std::size_t chunkBytes = 64U * 1024U;

    struct chunk;

    /// Immutable view of the chunks at the time of `snapshot`; later events are not visible in it.
    struct view {
        struct chunk_view {
            std::shared_ptr<const chunk> bytes;
            /// Bytes of the chunk that held events.
            std::size_t used = 0;
            std::uint64_t lastSequence = 0;
        };
        /// Oldest chunk first.
        std::vector<chunk_view> chunks;
        /// Number of events appended to the buffer since it was created, dropped events included.
        std::uint64_t appended = 0;
    };

    /// Rounds `capacityBytes` down to whole chunks, with a minimum of two.
    explicit event_buffer(std::size_t capacityBytes);
    ~event_buffer();

    event_buffer(event_buffer&&) noexcept;
    event_buffer& operator=(event_buffer&&) noexcept;

    /// Appends an event. Its sequence number has to be above those of all earlier events. Texts are truncated to 255 bytes.
    void append(const event& entry);

    /// Returns a view that shares the chunks; no event is copied.
    view snapshot() const;

    /// Returns the memory of the allocated chunks.
    std::size_t usedBytes() const;

    /// Returns the number of events that the buffer holds.
    std::size_t size() const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

/// Selects the events that a scan returns; the defaults match all events.
struct event_filter {
    /// Job whose events are returned; null for all jobs. The key has to outlive the scan.
    const job_key* job = nullptr;
    /// First and last time, both inclusive.
    wall_time since {};
    wall_time until = wall_time::max();
    /// Only events with a higher sequence number are returned.
    std::uint64_t afterSequence = 0;
    /// Maximum number of events returned; the newest are kept.
    std::size_t maxEvents = SIZE_MAX;
};

/// Appends the matching events of `source` to `found`, oldest first. The buffer does not store `event::vm`, so it stays empty.
void scan(const event_buffer::view& source, const event_filter& filter, std::vector<event>& found);

} // namespace coriandermount::event_log
