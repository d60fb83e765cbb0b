/// HTTP routes that show the state of this VM.
#pragma once

#include "explain/status_service.h"
#include "front/api.h"

namespace coriandermount::front {

/// Registers `GET /v1/status`, which returns JSON, and `GET /status`, which returns an HTML page. `source` must outlive `target`.
void addStatusRoutes(api& target, explain::status_service& source);

} // namespace coriandermount::front
