#include "cells/worker_link.h"

#include <array>

namespace coriandermount::cells {

std::string_view nameOf(order_failure value)
{
    constexpr std::array<std::string_view, orderFailureCount> names { "fenced", "attempt_too_old", "too_late", "no_room",
        "needs_ticket", "other_instance", "refused", "malformed", "not_sent", "connection_refused", "no_answer" };
    return names[static_cast<std::size_t>(value)];
}

std::string_view nameOf(run_end_reason value)
{
    constexpr std::array<std::string_view, 6> names { "done", "failed", "stopped", "lapsed", "peer_ended", "left_alone" };
    return names[static_cast<std::size_t>(value)];
}

} // namespace coriandermount::cells
