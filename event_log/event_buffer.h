/// Bounded store of events in compact form, the oldest dropped first.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "event_log/event.h"

namespace coriandermount::event_log {

/// Keeps events as bytes in chunks. One writer at a time; a reader scans a view without holding up the writer.
class event_buffer {
public:
    /// Size of one chunk; `capacityBytes` is rounded down to whole chunks, at least two.
    static constexpr std::size_t chunkBytes = 64U * 1024U;

    struct chunk;

    /// Chunks as they were when the view was taken; later writes do not show.
    struct view {
        struct part {
            std::shared_ptr<const chunk> bytes;
            std::size_t used = 0;
            std::uint64_t lastSequence = 0;
        };
        std::vector<part> parts;
        /// Events ever appended to the buffer, dropped ones included.
        std::uint64_t appended = 0;
    };

    explicit event_buffer(std::size_t capacityBytes);
    ~event_buffer();

    event_buffer(event_buffer&&) noexcept;
    event_buffer& operator=(event_buffer&&) noexcept;

    /// Appends an event, whose sequence is above all earlier ones. Texts longer than 255 bytes are cut.
    void append(const event& entry);

    view snapshot() const;

    std::size_t usedBytes() const;
    std::size_t size() const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

/// Which events a scan returns; unset members match all.
struct event_filter {
    const job_key* job = nullptr;
    wall_time since {};
    wall_time until = wall_time::max();
    std::uint64_t afterSequence = 0;
    /// Only the newest so many are returned.
    std::size_t newest = SIZE_MAX;
};

/// Appends the matching events of `source` to `found`, oldest first, without their VM.
void scan(const event_buffer::view& source, const event_filter& filter, std::vector<event>& found);

} // namespace coriandermount::event_log
