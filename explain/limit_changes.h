/// Compares two configurations and returns the changed limits as journal events.
#pragma once

#include <vector>

#include "configuration/configuration.h"
#include "event_log/event.h"

namespace coriandermount::explain {

/// Returns one `limit_changed` event for each limit, service list and customer's plan that differs. Plans that are in only one of
/// the configurations are not compared.
std::vector<event_log::event> computeLimitChanges(const configuration::snapshot& before, const configuration::snapshot& after);

} // namespace coriandermount::explain
