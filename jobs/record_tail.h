/// Follows a record stream: reads the newest record of each key, then every later record.
#pragma once

#include <chrono>
#include <functional>
#include <memory>

#include "core/clock.h"
#include "jobs/record_store.h"

namespace coriandermount::jobs {

/// Receives the records of a stream. Methods are called on a thread of the store.
class record_listener {
public:
    virtual ~record_listener() = default;

    /// Receives the newest record of each key. Keys that are not among them do not exist. Called at the start, and again when
    /// the store no longer keeps the records that would come next.
    virtual void onSnapshot(const std::vector<record>& records) = 0;
    /// Receives one later record.
    virtual void onRecord(const record& current) = 0;
    /// Called after each answer of the store, when all records appended before `requestedAt` have been delivered.
    virtual void onCaughtUp(time_point requestedAt) = 0;
};

/// Reads one stream and passes the records to a listener.
class record_tail {
public:
    /// `store` and `clock` have to outlive the tail and its pending reads; `listener` has to outlive the tail.
    /// With a `readInterval` above 0, reads are at least that far apart and return at once; otherwise each read waits at the
    /// store for a record (long poll).
    record_tail(record_store& store, const clock_source& clock, record_stream stream, record_listener& listener,
        std::chrono::milliseconds readInterval = std::chrono::milliseconds(0));
    /// The listener is kept alive while it is called, and not called once it has been destroyed. For listeners whose calls take a
    /// lock that is held when the tail is stopped or destroyed.
    record_tail(record_store& store, const clock_source& clock, record_stream stream, std::weak_ptr<record_listener> listener);
    /// Stops reading. Waits for a call of the listener that is in progress on another thread, unless the listener is shared.
    ~record_tail();

    record_tail(const record_tail&) = delete;
    record_tail& operator=(const record_tail&) = delete;

    /// Starts with a new snapshot of the stream.
    void start();
    /// Stops reading; answers to pending reads are ignored. A call of the listener that is in progress on another thread goes on.
    void stop();

    /// Starts the next read or retry if it is due. Has to be called regularly, because the tail has no thread of its own.
    void tick(time_point now);

private:
    struct data;
    std::shared_ptr<data> m_data;
};

} // namespace coriandermount::jobs
