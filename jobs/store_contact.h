/// Recognizes that the record store takes calls and does not answer them.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>

#include "core/clock.h"
#include "jobs/record_store.h"

namespace coriandermount::jobs {

/// Time limits of `store_contact`.
struct store_contact_settings {
    /// How long a call is late before the store is probed. A store that is far slower than it states answers within that.
    std::chrono::milliseconds probeAfter { 250 };
    /// Pause between two probes.
    std::chrono::milliseconds probeInterval { 500 };
    /// How long no call is answered before the store counts as silent. No call to the store is given more time for its answer.
    std::chrono::milliseconds silenceLimit { 1000 };
    /// From which time between two ticks on calls count as late only since the second: the VM itself did not run.
    std::chrono::milliseconds pauseLimit { 300 };
};

/// Tracks the calls of one VM to the record store. Thread-safe.
class store_contact {
public:
    /// `clock` has to outlive the object.
    explicit store_contact(const clock_source& clock, store_contact_settings settings = {});
    ~store_contact();

    store_contact(const store_contact&) = delete;
    store_contact& operator=(const store_contact&) = delete;

    /// Notes that a call is sent now, for which the store waits up to `wait` before it answers. Returns the number of the call.
    std::uint64_t noteCall(std::chrono::milliseconds wait);
    /// Notes that the store has answered a call, with whatever status.
    void noteAnswer(std::uint64_t call);
    /// Notes that a call has ended without an answer.
    void noteFailure(std::uint64_t call);

    /// Returns whether a call is late and none that was sent since was answered. The connections of earlier calls may be dead.
    bool isDoubtful() const;
    /// Returns for how long the store has answered no call that it got; nothing unless it is known not to answer. One late call
    /// does not prove that, and the answer to any call that was sent since ends it.
    std::optional<std::chrono::milliseconds> silence() const;

    /// Probes the store with a read of `stream` while a call is late. Has to be called every few tens of milliseconds.
    void tick(record_store& store, const record_stream& stream);

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::jobs
