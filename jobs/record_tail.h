/// Follows one stream: the newest record of each key first, then every further record.
#pragma once

#include <chrono>
#include <functional>
#include <memory>

#include "core/clock.h"
#include "jobs/record_store.h"

namespace coriandermount::jobs {

/// Called on the store's thread.
class record_listener {
public:
    virtual ~record_listener() = default;

    /// The records of the whole stream follow; keys that are not among them do not exist.
    virtual void onSnapshot(const std::vector<record>& records) = 0;
    virtual void onRecord(const record& current) = 0;
    /// The store answered: everything appended before `asked` has been handed over.
    virtual void onCaughtUp(time_point asked) = 0;
};

class record_tail {
public:
    /// Store and clock outlive the tail; `listener` outlives it or is told nothing after `stop`.
    /// Reads are at least `pace` apart; a paced tail does not wait for records at the store.
    record_tail(record_store& store, const clock_source& clock, record_stream stream, record_listener& listener,
        std::chrono::milliseconds pace = std::chrono::milliseconds(0));
    ~record_tail();

    record_tail(const record_tail&) = delete;
    record_tail& operator=(const record_tail&) = delete;

    void start();
    void stop();

    /// Starts a read that waits for a retry. Called regularly, since the tail has no thread of its own.
    void tick(time_point now);

private:
    struct data;
    std::shared_ptr<data> m_data;
};

} // namespace coriandermount::jobs
