/// Notes in the journal what a new configuration changed.
#pragma once

#include <vector>

#include "configuration/configuration.h"
#include "event_log/event.h"

namespace coriandermount::explain {

/// Returns one `limit_changed` event for each bound, service list and customer's plan that differs.
std::vector<event_log::event> limitChanges(const configuration::snapshot& before, const configuration::snapshot& after);

} // namespace coriandermount::explain
