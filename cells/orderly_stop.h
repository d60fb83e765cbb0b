/// Decides how long an entry VM that was told to stop goes on, and to which VMs it may hand over its cell meanwhile.
#pragma once

#include <chrono>
#include <cstddef>

#include "core/clock.h"

namespace coriandermount::cells {

/// Schedule of one orderly stop. Holds no other state, and performs no I/O.
class orderly_stop {
public:
    /// `startedAt` is when the VM was told to stop; `grace` is the time after which the platform ends its process.
    orderly_stop(time_point startedAt, std::chrono::milliseconds grace);

    /// Returns until when the cell is kept unless a VM with about the same processor time can take it. The owner needs the rest
    /// of the grace period to hand the cell over to another VM.
    time_point preferenceLimit() const;

    /// Returns the time by which all callers have to be answered. Until the VM ends, it tells new owners of the cell which of
    /// these jobs were given up.
    time_point answerLimit() const;

    /// Returns whether the VM may close its connections: the load balancer sends it no more connections, all its callers are
    /// answered and it owns no cell, or its time is over. `openRequests` counts the requests that are not answered or whose
    /// withdrawal is still repeated.
    bool mayEnd(time_point now, std::size_t openRequests, bool ownsCell) const;

private:
    time_point m_startedAt;
    time_point m_limit;
};

} // namespace coriandermount::cells
