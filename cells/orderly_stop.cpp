#include "cells/orderly_stop.h"

namespace coriandermount::cells {

namespace {

    /// Time until the load balancer has noticed that this VM is not ready: it polls once a second and needs two polls.
    constexpr std::chrono::milliseconds loadBalancerDelay { 2600 };
    /// Part of the grace period that remains when the wait for pending requests is cut short.
    constexpr std::chrono::milliseconds shutdownReserve { 600 };
    /// Time in which a VM with little processor time takes a cell over that was released.
    constexpr std::chrono::milliseconds handoverReserve { 500 };
    /// Time in which the owner stops the runs of the requests that were given up.
    constexpr std::chrono::milliseconds withdrawalReserve { 250 };

} // namespace

orderly_stop::orderly_stop(time_point startedAt, std::chrono::milliseconds grace)
    : m_startedAt(startedAt)
    , m_limit(startedAt + grace - shutdownReserve)
{
}

time_point orderly_stop::preferenceLimit() const { return m_limit - handoverReserve; }

time_point orderly_stop::answerLimit() const { return m_limit - withdrawalReserve; }

bool orderly_stop::mayEnd(time_point now, std::size_t openRequests, bool ownsCell) const
{
    if (now >= m_limit)
        return true;
    return now >= m_startedAt + loadBalancerDelay && openRequests == 0 && !ownsCell;
}

} // namespace coriandermount::cells
